"""Sends the body of a request to a backend server while the response is awaited."""

import anyio

from samphirespring.connection.upstream_connection import (
    ConnectionBrokenError,
    UpstreamConnection,
)
from samphirespring.request.body import BodyAbortedError, BodySource


class BodyUpload:
    """Writes a body to a connection as fast as the peer reads it.

    Args:
        connection: The connection; it can't be used again unless the whole body was sent.
        body: Provides the body.
        length: Declared length in bytes; None sends the body in chunks.
    """

    def __init__(
        self, connection: UpstreamConnection, body: BodySource, length: int | None
    ) -> None:
        self._connection = connection
        self._body = body
        self._is_chunked = length is None
        self._begun = anyio.Event()
        self.was_aborted = False
        """Whether the rest of the body didn't come, so that the connection had to be closed."""

    def begin(self) -> None:
        """Begin to send, after the head was written."""
        self._begun.set()

    async def run(self) -> None:
        """Send the body; an error on the connection is left to the reader of the response."""
        self._connection.owes_body = True
        await self._begun.wait()
        try:
            async for part in self._body.iterate():
                self._write(part)
                await self._connection.drain()
            if self._is_chunked:
                self._connection.write(b"0\r\n\r\n")
            self._connection.owes_body = False
        except ConnectionBrokenError:
            return
        except BodyAbortedError:
            self.was_aborted = True
            self._connection.close()

    def _write(self, part: bytes) -> None:
        if not part:
            return
        if self._is_chunked:
            self._connection.write(b"%x\r\n" % len(part), part, b"\r\n")
        else:
            self._connection.write(part)


def make_framing_header(length: int | None) -> tuple[bytes, bytes]:
    """Return the header that tells the backend server where a body that follows ends.

    Args:
        length: Declared length in bytes; None if it isn't known.
    """
    if length is None:
        return (b"transfer-encoding", b"chunked")
    return (b"content-length", b"%d" % length)
