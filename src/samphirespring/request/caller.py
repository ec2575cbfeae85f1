"""Protocol-independent form of a caller's request, and the interface that writes its response."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

import msgspec

from samphirespring.request.body import RequestBody
from samphirespring.request.ids import IdempotencyKey, RequestId
from samphirespring.request.messages import Header
from samphirespring.request.states import Outcome
from samphirespring.version.ids import ApiKeyFingerprint, WorkspaceId


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request, independent of the protocol."""

    request: RequestId
    method: str
    host: str
    """Host name without the port, in lower case."""

    path: str
    """Path without the query string."""

    target: bytes
    """Path with query string, as it is sent to the backend server."""

    headers: tuple[Header, ...]
    body: RequestBody
    deadline_ms: int | None
    """Timeout that the caller requested, in milliseconds; None to use the route's."""

    address: str
    """IP address of the caller; empty if unknown."""

    workspace: WorkspaceId
    """The workspace that the request belongs to; if workspaces hold API keys, the holder of the
    request's key as soon as the front has checked it."""

    key: IdempotencyKey | None
    api_key: ApiKeyFingerprint | None = None
    """Fingerprint of the only API key that the caller sent; None if it sent none, or several."""

    rank: int | None = None
    """Order among waiting requests of the same priority; None to use the route's."""


class ResponseMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Facts about a response that the front adds for the caller."""

    request: RequestId
    outcome: Outcome
    attempt_count: int


class ResponseWriter(ABC):
    """Writes the response to the caller. Owned by the task of the caller's connection."""

    @abstractmethod
    async def write_head(
        self, status: int, headers: Sequence[Header], metadata: ResponseMetadata
    ) -> None:
        """Write the status and the headers.

        Args:
            status: HTTP status, or the equivalent in another protocol.
            headers: The backend server's headers.
            metadata: Facts that the front adds.
        """

    @abstractmethod
    async def write_chunk(self, data: bytes) -> None:
        """Write part of the body.

        Args:
            data: Bytes of the body.
        """

    @abstractmethod
    async def finish(self) -> None:
        """End the response after its last chunk."""

    @abstractmethod
    async def abort(self) -> None:
        """Abort the connection so that the caller detects an incomplete response."""
