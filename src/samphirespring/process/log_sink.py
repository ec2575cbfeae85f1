"""Writes log lines to standard output without ever waiting for its reader."""

import os

PENDING_BYTES = 1 << 16
"""Largest part of the log that waits for a slow reader, in bytes; more lines are dropped."""


class LogSink:
    """File-like object for the log's lines; lines that a slow reader has no room for are dropped.

    Args:
        descriptor: File descriptor to write to.
        capacity: Largest number of bytes that wait.
    """

    def __init__(self, descriptor: int, *, capacity: int = PENDING_BYTES) -> None:
        self._descriptor = descriptor
        self._capacity = capacity
        self._pending = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write text, or keep it for the next call, or drop it.

        Args:
            text: Whole lines, or the line break after one.
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
        """Write what the reader has room for."""
        while self._pending:
            try:
                count = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone: there is nobody left to tell.
                self._pending.clear()
                return
            del self._pending[:count]
