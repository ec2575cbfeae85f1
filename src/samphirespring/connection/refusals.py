"""Typed refusals of backend servers, which state that a request never started."""

from abc import ABC, abstractmethod

import msgspec

from samphirespring.connection.http_headers import find_header
from samphirespring.process.errors import DECODE_ERRORS
from samphirespring.request.messages import ResponseHead
from samphirespring.request.states import RefusalCode

TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
MAX_BODY_BYTES = 4_096
MAX_RETRY_AFTER_DIGITS = 6

UNAVAILABLE_CODES = {
    "draining": RefusalCode.DRAINING,
    "no_slot": RefusalCode.NO_SLOT,
    "queue_timeout": RefusalCode.NO_SLOT,
    "shedding": RefusalCode.SHEDDING,
}
"""Refusals by the code in a body with status 503, in lower case."""


class _Body(msgspec.Struct, frozen=True, kw_only=True):
    """JSON body of a refusal."""

    error: str | None = None
    code: str | None = None
    retry_after_seconds: float | None = None


class TypedRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """A refusal that proves that nothing ran."""

    code: RefusalCode
    retry_after_ms: int | None


class RefusalReader(ABC):
    """Inspects a response while it is forwarded, and detects a refusal."""

    @abstractmethod
    def feed_head(self, head: ResponseHead) -> None:
        """Inspect status and headers.

        Args:
            head: The head.
        """

    @abstractmethod
    def feed_chunk(self, data: bytes) -> None:
        """Inspect part of the body.

        Args:
            data: The bytes.
        """

    @abstractmethod
    def read(self) -> TypedRefusal | None:
        """Return the refusal in a complete response, or None if it isn't one."""


class BodyRefusalReader(RefusalReader):
    """Detects a refusal by its status and the code in its body."""

    def __init__(self) -> None:
        self._head: ResponseHead | None = None
        self._body = bytearray()

    def feed_head(self, head: ResponseHead) -> None:
        """Inspect status and headers."""
        if head.status in (TOO_MANY_REQUESTS, UNAVAILABLE):
            self._head = head

    def feed_chunk(self, data: bytes) -> None:
        """Inspect part of the body."""
        if self._head is not None and len(self._body) <= MAX_BODY_BYTES:
            self._body += data

    def read(self) -> TypedRefusal | None:
        """Return the refusal in a complete response, or None if it isn't one."""
        head = self._head
        if head is None or len(self._body) > MAX_BODY_BYTES:
            return None
        try:
            body = msgspec.json.decode(self._body, type=_Body)
        except DECODE_ERRORS:
            return None
        code = _find_code(head.status, body)
        if code is None:
            return None
        return TypedRefusal(code=code, retry_after_ms=_read_retry_after_ms(head, body))


def _find_code(status: int, body: _Body) -> RefusalCode | None:
    if status == TOO_MANY_REQUESTS:
        return RefusalCode.RATE_LIMITED if body.error == "rate_limited" else None
    for text in (body.error, body.code):
        code = None if text is None else UNAVAILABLE_CODES.get(text.lower())
        if code is not None:
            return code
    return None


def _read_retry_after_ms(head: ResponseHead, body: _Body) -> int | None:
    """Return the delay that a refusal requests; its header takes precedence over its body."""
    header = find_header(head.headers, b"retry-after")
    if header is not None and header.isdigit() and len(header) <= MAX_RETRY_AFTER_DIGITS:
        return int(header) * 1_000
    seconds = body.retry_after_seconds
    if seconds is None or not 0.0 <= seconds < 10.0**MAX_RETRY_AFTER_DIGITS:
        return None
    return round(seconds * 1_000)
