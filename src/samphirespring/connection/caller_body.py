"""Reads the body of a caller's request from its connection."""

from collections.abc import AsyncGenerator

import anyio
from uvicorn._types import ASGIReceiveCallable

from samphirespring.request.body import BodyAbortedError, RequestBody, StreamedBody, WholeBody
from samphirespring.request.errors import BodyTooLargeError, RequestTimeoutError

WHOLE_BYTES = 262_144
"""Largest body that is read whole before a target is chosen. A longer one is streamed: it would
take too much memory, and would be sent to the target only once its caller has sent all of it."""


class CallerBodyReader:
    """Reads the parts of one request's body.

    Args:
        receive: The ASGI function that returns the next part.
        limit_bytes: Largest body, in bytes.
        part_timeout_s: Longest wait for the next part, in seconds.
    """

    def __init__(
        self, receive: ASGIReceiveCallable, *, limit_bytes: int, part_timeout_s: float
    ) -> None:
        self._receive = receive
        self._limit_bytes = limit_bytes
        self._part_timeout_s = part_timeout_s
        self._size_bytes = 0
        self._has_ended = False

    async def read(self, *, length: int | None) -> RequestBody | None:
        """Return the body, or None if the caller has left.

        Args:
            length: Length that the caller declared, in bytes; None without one.

        Raises:
            BodyTooLargeError: The body is too large.
            RequestTimeoutError: The caller stopped sending.
        """
        if length is not None and length > self._limit_bytes:
            raise self._make_size_error()
        parts: list[bytes] = []
        try:
            while not self._has_ended and self._size_bytes <= WHOLE_BYTES:
                with anyio.fail_after(self._part_timeout_s):
                    parts.append(await self._read_part())
        except TimeoutError:
            raise RequestTimeoutError("the caller stopped sending the body") from None
        except BodyAbortedError:
            return None
        beginning = parts[0] if len(parts) == 1 else b"".join(parts)
        if self._has_ended:
            return WholeBody(beginning)
        return StreamedBody(
            beginning, self._iterate_rest(), length=length, part_timeout_s=self._part_timeout_s
        )

    async def _iterate_rest(self) -> AsyncGenerator[bytes, None]:
        while not self._has_ended:
            try:
                yield await self._read_part()
            except BodyTooLargeError as error:
                raise BodyAbortedError(error.detail) from None

    async def _read_part(self) -> bytes:
        message = await self._receive()
        if message["type"] != "http.request":
            raise BodyAbortedError("the caller has left")
        part = message.get("body", b"")
        self._size_bytes += len(part)
        if self._size_bytes > self._limit_bytes:
            raise self._make_size_error()
        self._has_ended = not message.get("more_body", False)
        return part

    def _make_size_error(self) -> BodyTooLargeError:
        return BodyTooLargeError(f"the body is larger than {self._limit_bytes} bytes")
