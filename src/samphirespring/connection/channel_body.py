"""Body of a request that arrives on an attempt channel after the attempt was admitted."""

from collections import deque
from collections.abc import AsyncIterator, Callable

import anyio

from samphirespring.request.body import BodyAbortedError, BodySource

BODY_CREDIT_BYTES = 131_072
"""Bytes of a body that the front may send before they are passed on to the target."""


class ChannelBody(BodySource):
    """Buffers at most the credit that it has granted to the front.

    Args:
        grant_credit: Tells the front how many more bytes it may send.
    """

    def __init__(self, grant_credit: Callable[[int], None]) -> None:
        self._grant_credit = grant_credit
        self._parts: deque[bytes] = deque()
        self._is_complete = False
        self._is_aborted = False
        self._changed = anyio.Event()

    def add(self, data: bytes, *, is_last: bool) -> None:
        """Append a part that arrived.

        Args:
            data: The part.
            is_last: Whether the body ends with it.
        """
        self._parts.append(data)
        self._is_complete = is_last
        self._changed.set()

    def abort(self) -> None:
        """Record that the rest will not come."""
        if not self._is_complete:
            self._is_aborted = True
            self._changed.set()

    async def iterate(self) -> AsyncIterator[bytes]:
        """Grant credit and yield the parts as they arrive."""
        self._grant_credit(BODY_CREDIT_BYTES)
        while True:
            while not self._parts:
                if self._is_complete:
                    return
                if self._is_aborted:
                    raise BodyAbortedError("the front stopped sending")
                self._changed = anyio.Event()
                await self._changed.wait()
            part = self._parts.popleft()
            yield part
            if not self._is_complete:
                self._grant_credit(len(part))
