"""Transport that joins all writes of one event loop iteration into one."""

import asyncio
from typing import Any


class CoalescingTransport(asyncio.Transport):
    """Buffers writes until the next event loop iteration, so that a short response is one segment.

    Status line, headers and body of a response are written separately; each write would be a
    separate system call and packet. Flow control is left to the inner transport.

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
        """Buffer data until the next event loop iteration.

        Args:
            data: The bytes; they are copied unless they are immutable.
        """
        if not data:
            return
        if not self._buffered:
            self._loop.call_soon(self._flush)
        self._buffered.append(bytes(data))

    def write_eof(self) -> None:
        """Send the buffered data, and close the sending side."""
        self._flush()
        self._inner.write_eof()

    def can_write_eof(self) -> bool:
        """Return whether the sending side can be closed separately."""
        return self._inner.can_write_eof()

    def close(self) -> None:
        """Send the buffered data, and close the connection."""
        self._flush()
        self._inner.close()

    def abort(self) -> None:
        """Close the connection immediately; buffered data is discarded."""
        self._buffered.clear()
        self._inner.abort()

    def is_closing(self) -> bool:
        """Return whether the connection is closing or closed."""
        return self._inner.is_closing()

    def is_reading(self) -> bool:
        """Return whether received bytes are delivered to the protocol."""
        return self._inner.is_reading()

    def pause_reading(self) -> None:
        """Stop delivering received bytes to the protocol."""
        self._inner.pause_reading()

    def resume_reading(self) -> None:
        """Resume delivering received bytes to the protocol."""
        self._inner.resume_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information on the connection.

        Args:
            name: Key of the information, such as `socket`.
            default: Returned for an unknown key.
        """
        return self._inner.get_extra_info(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol of the connection.

        Args:
            protocol: The new protocol.
        """
        self._inner.set_protocol(protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol in use."""
        return self._inner.get_protocol()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the send buffer sizes at which the protocol is paused and resumed.

        Args:
            high: Size at which the protocol is paused, in bytes.
            low: Size at which the protocol is resumed, in bytes.
        """
        self._inner.set_write_buffer_limits(high, low)

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not sent yet."""
        return self._inner.get_write_buffer_size() + sum(map(len, self._buffered))

    def _flush(self) -> None:
        if self._buffered and not self._inner.is_closing():
            self._inner.write(b"".join(self._buffered))
        self._buffered.clear()
