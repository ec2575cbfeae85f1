"""Writes log lines to standard output without waiting for its reader."""

import os

PENDING_BYTES = 1 << 16
"""Largest amount of output buffered for a slow reader, in bytes; further lines are dropped."""


class LogSink:
    """Non-blocking, file-like target for log lines; drops lines while its buffer is full.

    Args:
        descriptor: File descriptor to write to.
        capacity: Size of the buffer, in bytes.
    """

    def __init__(self, descriptor: int, *, capacity: int = PENDING_BYTES) -> None:
        self._descriptor = descriptor
        self._capacity = capacity
        self._pending = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write text, buffer it for the next call, or drop it.

        Args:
            text: One or more whole lines, or the line break that ends a line.
        """
        data = text.encode()
        if len(self._pending) + len(data) > self._capacity:
            self._dropped += 1
        else:
            if self._dropped:
                self._pending += b'{"event": "log_lines_dropped", "count": %d}\n' % self._dropped
                self._dropped = 0
            self._pending += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts."""
        while self._pending:
            try:
                count = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the failure can't be logged either.
                self._pending.clear()
                return
            if count == 0:
                # Some descriptors report a full buffer in this way.
                return
            del self._pending[:count]
