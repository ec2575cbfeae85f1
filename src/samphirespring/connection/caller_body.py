"""Reads the body of a caller's request from its connection."""

from collections.abc import AsyncGenerator

import anyio
from uvicorn._types import ASGIReceiveCallable

from samphirespring.connection.body_buffer import BodyBuffer
from samphirespring.connection.body_holding import BodyHolding
from samphirespring.request.body import BodyAbortedError, RequestBody, StreamedBody, WholeBody
from samphirespring.request.errors import (
    OVERLOAD_RETRY_AFTER_S,
    BodyTooLargeError,
    OverloadedError,
    RequestTimeoutError,
)

WHOLE_BYTES = 262_144
"""Largest body that is read whole before a target is chosen. A longer one is streamed: it would
take too much memory, and would be sent to the target only once its caller has sent all of it."""


class CallerBodyReader:
    """Reads the parts of one request's body.

    Args:
        receive: The ASGI function that returns the next part.
        limit_bytes: Largest body, in bytes.
        part_timeout_s: Longest wait for the next part, in seconds.
        holding: Counts the parts that are held.
    """

    def __init__(
        self,
        receive: ASGIReceiveCallable,
        *,
        limit_bytes: int,
        part_timeout_s: float,
        holding: BodyHolding,
    ) -> None:
        self._receive = receive
        self._limit_bytes = limit_bytes
        self._part_timeout_s = part_timeout_s
        self._holding = holding
        self._size_bytes = 0
        self._has_ended = False
        self._keeps_parts = False

    async def read(self, *, length: int | None) -> RequestBody | None:
        """Return the body, or None if the caller has left.

        Args:
            length: Length that the caller declared, in bytes; None without one.

        Raises:
            BodyTooLargeError: The body is too large.
            RequestTimeoutError: The caller stopped sending.
            OverloadedError: The process holds too much for its callers.
        """
        if length is not None and length > self._limit_bytes:
            raise self._make_size_error()
        try:
            beginning = await self._read_beginning()
        except TimeoutError:
            raise RequestTimeoutError("the caller stopped sending the body") from None
        except BodyAbortedError:
            return None
        if self._has_ended:
            return WholeBody(beginning)
        self._holding.is_passed_on = True
        return StreamedBody(
            beginning,
            self._iterate_rest(len(beginning)),
            length=length,
            part_timeout_s=self._part_timeout_s,
            on_keep=self._keep_parts,
        )

    async def _read_beginning(self) -> bytes:
        """Return the whole body, or the beginning of a long one."""
        beginning = await self._read_timed_part()
        if self._has_ended:
            return beginning
        buffer = BodyBuffer()
        buffer.add(beginning)
        while not self._has_ended and self._size_bytes <= WHOLE_BYTES:
            buffer.add(await self._read_timed_part())
        return buffer.join()

    async def _read_timed_part(self) -> bytes:
        with anyio.fail_after(self._part_timeout_s):
            return await self._read_part()

    def _keep_parts(self) -> None:
        self._keeps_parts = True

    async def _iterate_rest(self, beginning_bytes: int) -> AsyncGenerator[bytes, None]:
        """Yield the parts behind the beginning; each is released once the next one is needed."""
        self._release(beginning_bytes)
        while not self._has_ended:
            try:
                part = await self._read_part()
            except (BodyTooLargeError, OverloadedError) as error:
                raise BodyAbortedError(error.detail) from None
            yield part
            self._release(len(part))

    def _release(self, size_bytes: int) -> None:
        if not self._keeps_parts:
            self._holding.release(size_bytes)

    async def _read_part(self) -> bytes:
        message = await self._receive()
        if message["type"] != "http.request":
            raise BodyAbortedError("the caller has left")
        if self._holding.is_refused:
            raise OverloadedError(
                "the node holds too much for its callers", retry_after_s=OVERLOAD_RETRY_AFTER_S
            )
        part = message.get("body", b"")
        self._size_bytes += len(part)
        if self._size_bytes > self._limit_bytes:
            raise self._make_size_error()
        self._has_ended = not message.get("more_body", False)
        if part:
            self._holding.add(len(part))
        return part

    def _make_size_error(self) -> BodyTooLargeError:
        return BodyTooLargeError(f"the body is larger than {self._limit_bytes} bytes")
