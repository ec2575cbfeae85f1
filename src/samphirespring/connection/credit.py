"""Credit of a sender: how much more of a body its receiver accepts."""

import anyio


class Credit:
    """Counts the bytes that may still be sent.

    Args:
        size_bytes: Initial credit, in bytes.
    """

    def __init__(self, size_bytes: int = 0) -> None:
        self._size_bytes = size_bytes
        self._granted = anyio.Event()
        self.is_closed = False
        """Whether the receiver has left."""

    def grant(self, size_bytes: int) -> None:
        """Add to the credit.

        Args:
            size_bytes: Bytes that may be sent in addition.
        """
        self._size_bytes += size_bytes
        self._granted.set()

    def close(self) -> None:
        """Record that the receiver has left: nothing more is to be sent to it."""
        self.is_closed = True
        self._granted.set()

    async def spend(self, size_bytes: int) -> bool:
        """Wait until some credit is left, and use it for one message, which may exceed it.

        Args:
            size_bytes: Size of the message, in bytes.

        Returns:
            Whether the message may be sent; not if the receiver has left.
        """
        while self._size_bytes <= 0 and not self.is_closed:
            self._granted = anyio.Event()
            await self._granted.wait()
        self._size_bytes -= size_bytes
        return not self.is_closed
