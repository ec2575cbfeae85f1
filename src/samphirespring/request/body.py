"""Bodies of requests: short ones are kept whole, the rest of long ones is read once, on demand."""

from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import aclosing

import anyio

from samphirespring.connection.body_buffer import BodyBuffer
from samphirespring.process.errors import ErrorCode, InternalError, SamphireError

INLINE_BYTES = 8_192
"""Largest body that is sent with an attempt; a longer one is sent once the agent has admitted the
attempt, so that a refusal costs no transfer."""


class BodyAbortedError(SamphireError):
    """The rest of a body will not come, because the caller or the link is gone or too slow."""

    code = ErrorCode.REQUEST_TIMEOUT


class BodySource(ABC):
    """Provides a body in parts."""

    @abstractmethod
    def iterate(self) -> AsyncIterator[bytes]:
        """Return an iterator over the parts; a long body can be iterated only once.

        Raises:
            BodyAbortedError: While iterating; the rest of the body will not come.
        """


class RequestBody(BodySource):
    """Body of a caller's request."""

    @property
    @abstractmethod
    def length(self) -> int | None:
        """Length in bytes; None while it isn't known."""

    @property
    @abstractmethod
    def inline(self) -> bytes | None:
        """The whole body if it is short enough to be sent with each attempt."""

    @property
    @abstractmethod
    def can_replay(self) -> bool:
        """Whether another attempt can still send the whole body."""

    @abstractmethod
    async def read_whole(self) -> bytes:
        """Read the rest, and return the whole body.

        Raises:
            BodyAbortedError: The rest will not come.
        """


class WholeBody(RequestBody):
    """Body that has been received completely.

    Args:
        data: The body.
    """

    def __init__(self, data: bytes) -> None:
        self._data = data

    @property
    def length(self) -> int | None:
        """Length in bytes."""
        return len(self._data)

    @property
    def inline(self) -> bytes | None:
        """The body if it is short."""
        return self._data if len(self._data) <= INLINE_BYTES else None

    @property
    def can_replay(self) -> bool:
        """True: the body is kept until the request ends."""
        return True

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        yield self._data

    async def read_whole(self) -> bytes:
        """Return the body."""
        return self._data


class StreamedBody(RequestBody):
    """Long body whose beginning has been received; the caller is read as fast as the target reads.

    Args:
        beginning: The part that has been received.
        rest: Further parts from the caller.
        length: Declared length of the whole body, in bytes; None if the caller declared none.
        part_timeout_s: Longest wait for the next part, in seconds, so that a caller that stops
            sending doesn't hold a slot of a target.
        on_keep: Called before the whole body is kept in memory; None if nobody counts it.
    """

    def __init__(
        self,
        beginning: bytes,
        rest: AsyncGenerator[bytes, None],
        *,
        length: int | None,
        part_timeout_s: float,
        on_keep: Callable[[], None] | None = None,
    ) -> None:
        self._beginning = beginning
        self._rest: AsyncGenerator[bytes, None] | None = rest
        self._length = length
        self._part_timeout_s = part_timeout_s
        self._on_keep = on_keep

    @property
    def length(self) -> int | None:
        """Declared length in bytes."""
        return self._length

    @property
    def inline(self) -> bytes | None:
        """None: the body is long."""
        return None

    @property
    def can_replay(self) -> bool:
        """Whether no part has been sent to a target yet."""
        return self._rest is not None

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the beginning and then the rest, which can be done only once."""
        if self._rest is None:
            raise InternalError("the body has been sent already")
        rest, self._rest = self._rest, None
        yield self._beginning
        self._beginning = b""
        async with aclosing(rest):
            while True:
                try:
                    with anyio.fail_after(self._part_timeout_s):
                        part = await anext(rest)
                except StopAsyncIteration:
                    return
                except TimeoutError:
                    raise BodyAbortedError("the caller stopped sending") from None
                yield part

    async def read_whole(self) -> bytes:
        """Read the rest, and return the whole body."""
        if self._on_keep is not None:
            self._on_keep()
        buffer = BodyBuffer()
        async for part in self.iterate():
            buffer.add(part)
        return buffer.join()


EMPTY_BODY = WholeBody(b"")
