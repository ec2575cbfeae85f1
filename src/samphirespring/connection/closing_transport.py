"""Transport that closes a connection without losing the response that was written last."""

import asyncio

from samphirespring.connection.coalescing_transport import CoalescingTransport

DISCARD_TIMEOUT_S = 0.2
"""How long further bytes of the client are read and discarded, in seconds."""


class ClosingTransport(CoalescingTransport):
    """Closing with unread bytes resets the connection, and the client could lose the response.

    If bytes may be unread, they are read first; the protocol must discard what it receives while
    the transport is closing.

    Args:
        inner: The transport of the connection.
        loop: The event loop.
    """

    def __init__(self, inner: asyncio.Transport, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(inner, loop)
        self._is_discarding = False
        self._expects_more = False

    def expect_more(self) -> None:
        """Treat bytes as unread when the connection closes, since its client is still sending."""
        self._expects_more = True

    def close(self) -> None:
        """Send the buffered data, and close the connection."""
        if self._is_discarding:
            return
        if self.is_reading() and not self._expects_more:
            super().close()
        else:
            self.close_after_discarding()

    def close_after_discarding(self) -> None:
        """Send the buffered data, and close the connection once the client has closed its side."""
        if self._is_discarding or self.is_closing():
            return
        if not self.can_write_eof():
            super().close()
            return
        try:
            self.write_eof()
        except OSError:
            # The client has gone already.
            super().close()
            return
        self._is_discarding = True
        self._inner.resume_reading()
        self._loop.call_later(DISCARD_TIMEOUT_S, self._inner.close)

    def is_closing(self) -> bool:
        """Return whether the connection is closing or closed."""
        return self._is_discarding or super().is_closing()
