"""How requests and answers look on the connection to a backend server."""

from abc import ABC, abstractmethod

from samphirespring.connection.http_headers import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    exclude_headers,
)
from samphirespring.connection.refusals import BodyRefusalReader, RefusalReader
from samphirespring.request.messages import AttemptRequest, ResponseHead

REPLACED_HEADERS = frozenset(
    {DEADLINE_HEADER, ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER, b"content-length", b"expect"}
)
"""Headers of the caller that the agent sets itself."""

HttpHeaders = list[tuple[bytes, bytes]]


class BackendDialect(ABC):
    """Names of headers towards backend servers, and how their refusals are told."""

    @abstractmethod
    def make_headers(self, request: AttemptRequest) -> HttpHeaders:
        """Return the headers of an attempt, without those that concern one connection only.

        Args:
            request: The attempt.
        """

    @abstractmethod
    def is_response_to(self, head: ResponseHead, request: AttemptRequest) -> bool:
        """Return whether an answer may be the one to an attempt.

        Args:
            head: Head of the answer.
            request: The attempt.
        """

    @abstractmethod
    def make_refusal_reader(self) -> RefusalReader:
        """Return what recognises a statement that the request didn't start."""


class SamphireDialect(BackendDialect):
    """The project's own headers, and refusals that are typed in the body."""

    def make_headers(self, request: AttemptRequest) -> HttpHeaders:
        """Return the headers of an attempt."""
        headers = exclude_headers(request.headers, REPLACED_HEADERS)
        headers.append((DEADLINE_HEADER, str(request.remaining_ms).encode()))
        headers.append((ATTEMPT_HEADER, request.attempt.encode()))
        if request.key is not None:
            headers.append((IDEMPOTENCY_KEY_HEADER, request.key.encode()))
        return headers

    def is_response_to(self, head: ResponseHead, request: AttemptRequest) -> bool:
        """Return True: backend servers don't echo an id."""
        return True

    def make_refusal_reader(self) -> RefusalReader:
        """Return a reader of typed bodies."""
        return BodyRefusalReader()
