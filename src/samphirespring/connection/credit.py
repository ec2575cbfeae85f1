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

    def grant(self, size_bytes: int) -> None:
        """Add to the credit.

        Args:
            size_bytes: Bytes that may be sent in addition.
        """
        self._size_bytes += size_bytes
        self._granted.set()

    async def spend(self, size_bytes: int) -> None:
        """Wait until some credit is left, and use it for one message, which may exceed it.

        Args:
            size_bytes: Size of the message, in bytes.
        """
        while self._size_bytes <= 0:
            self._granted = anyio.Event()
            await self._granted.wait()
        self._size_bytes -= size_bytes
