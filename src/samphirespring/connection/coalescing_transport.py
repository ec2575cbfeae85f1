"""A transport that sends what is written within one pass of the event loop at once."""

import asyncio
from typing import Any


class CoalescingTransport(asyncio.Transport):
    """Gathers writes until the event loop's next pass, so that a short answer is one segment.

    Status line, headers and body of an answer are written apart; each write would be a system
    call, and a packet, of its own. Flow control is the inner transport's.

    Args:
        inner: The transport of the connection.
        loop: The event loop.
    """

    def __init__(self, inner: asyncio.Transport, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self._inner = inner
        self._loop = loop
        self._buffered: list[bytes] = []

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Hold data until the next pass of the event loop.

        Args:
            data: The bytes; they are copied unless they are immutable.
        """
        if not data:
            return
        if not self._buffered:
            self._loop.call_soon(self._flush)
        self._buffered.append(bytes(data))

    def write_eof(self) -> None:
        """Send what is held, and close the sending side."""
        self._flush()
        self._inner.write_eof()

    def can_write_eof(self) -> bool:
        """Return whether the sending side can be closed alone."""
        return self._inner.can_write_eof()

    def close(self) -> None:
        """Send what is held, and close the connection."""
        self._flush()
        self._inner.close()

    def abort(self) -> None:
        """Close the connection at once; what is held is lost."""
        self._buffered.clear()
        self._inner.abort()

    def is_closing(self) -> bool:
        """Return whether the connection is closed or being closed."""
        return self._inner.is_closing()

    def is_reading(self) -> bool:
        """Return whether received bytes are passed on."""
        return self._inner.is_reading()

    def pause_reading(self) -> None:
        """Pass no received bytes on for now."""
        self._inner.pause_reading()

    def resume_reading(self) -> None:
        """Pass received bytes on again."""
        self._inner.resume_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return a fact of the connection.

        Args:
            name: The fact.
            default: Returned for an unknown fact.
        """
        return self._inner.get_extra_info(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Use another protocol.

        Args:
            protocol: The protocol.
        """
        self._inner.set_protocol(protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol in use."""
        return self._inner.get_protocol()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the bounds of the send buffer at which the protocol is paused and resumed.

        Args:
            high: Upper bound, in bytes.
            low: Lower bound, in bytes.
        """
        self._inner.set_write_buffer_limits(high, low)

    def get_write_buffer_size(self) -> int:
        """Return the bytes that are not sent yet."""
        return self._inner.get_write_buffer_size() + sum(map(len, self._buffered))

    def _flush(self) -> None:
        if self._buffered and not self._inner.is_closing():
            self._inner.write(b"".join(self._buffered))
        self._buffered.clear()
