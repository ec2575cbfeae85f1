"""Mapping of attempts and refusals to the HTTP messages of backend servers."""

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
"""Headers of the caller that the agent replaces with its own values."""

HttpHeaders = list[tuple[bytes, bytes]]


class BackendDialect(ABC):
    """Maps attempts to request headers and detects refusals, for one backend protocol."""

    @abstractmethod
    def make_headers(self, request: AttemptRequest) -> HttpHeaders:
        """Return the request headers of an attempt, without hop-by-hop headers.

        Args:
            request: The attempt.
        """

    @abstractmethod
    def is_response_to(
        self, head: ResponseHead, request: AttemptRequest, *, is_first: bool
    ) -> bool:
        """Return whether a response may belong to an attempt.

        Args:
            head: Head of the response.
            request: The attempt.
            is_first: Whether it is the first response on its connection, so that it can't be a
                late copy of an earlier one.
        """

    @abstractmethod
    def make_refusal_reader(self) -> RefusalReader:
        """Return a new reader that detects a refusal in one response."""


class SamphireDialect(BackendDialect):
    """Dialect with Samphire headers, and refusals that are typed by a code in the body."""

    def make_headers(self, request: AttemptRequest) -> HttpHeaders:
        """Return the request headers of an attempt."""
        headers = exclude_headers(request.headers, REPLACED_HEADERS)
        headers.append((DEADLINE_HEADER, str(request.remaining_ms).encode()))
        headers.append((ATTEMPT_HEADER, request.attempt.encode()))
        if request.key is not None:
            headers.append((IDEMPOTENCY_KEY_HEADER, request.key.encode()))
        return headers

    def is_response_to(
        self, head: ResponseHead, request: AttemptRequest, *, is_first: bool
    ) -> bool:
        """Return True: backend servers of this dialect don't echo an attempt id."""
        return True

    def make_refusal_reader(self) -> RefusalReader:
        """Return a reader of the codes in response bodies."""
        return BodyRefusalReader()
