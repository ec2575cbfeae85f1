"""What a front end brings of a caller's request, and how the answer goes back."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

import msgspec

from samphirespring.request.ids import IdempotencyKey, RequestId
from samphirespring.request.messages import Header
from samphirespring.request.states import Outcome
from samphirespring.version.ids import WorkspaceId


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request, whatever protocol it came by."""

    request: RequestId
    method: str
    host: str
    """Host name without port, in lower case."""

    path: str
    """Path without query."""

    target: bytes
    """Path with query, as it goes to the backend server."""

    headers: tuple[Header, ...]
    body: bytes
    deadline_ms: int | None
    """Time that the caller grants, in milliseconds; None takes the route's."""

    address: str
    """IP address of the caller; empty if unknown."""

    workspace: WorkspaceId
    key: IdempotencyKey | None


class ResponseMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """What the system itself tells the caller about an answer."""

    request: RequestId
    outcome: Outcome
    attempt_count: int


class ResponseWriter(ABC):
    """Writes the answer to the caller; owned by the connection's task."""

    @abstractmethod
    async def write_head(
        self, status: int, headers: Sequence[Header], metadata: ResponseMetadata
    ) -> None:
        """Write status and headers.

        Args:
            status: HTTP status or its counterpart.
            headers: The backend server's headers.
            facts: What the system itself tells the caller.
        """

    @abstractmethod
    async def write_chunk(self, data: bytes) -> None:
        """Write part of the body.

        Args:
            data: The bytes.
        """

    @abstractmethod
    async def finish(self) -> None:
        """End the answer; it is complete."""

    @abstractmethod
    async def abort(self) -> None:
        """Break the connection, so that the caller sees that the answer is cut."""
