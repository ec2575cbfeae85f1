"""One connection to a backend server, which serves one request at a time."""

import asyncio
from collections.abc import AsyncIterator
from typing import cast

from samphirespring.connection.response_parser import (
    ParsedHead,
    ResponseInvalidError,
    ResponseParser,
    ResponseTruncatedError,
)
from samphirespring.process.addresses import parse_address

BUFFER_BYTES = 262_144
"""Received bytes of a body that wait for the reader before the peer is slowed down."""


class ConnectionBrokenError(Exception):
    """The connection ended, or the peer sent bytes that are no response.

    Attributes:
        received: Whether any byte of a response was received.
    """

    def __init__(self, detail: str, *, received: bool) -> None:
        super().__init__(detail)
        self.received = received


class UpstreamConnection(asyncio.Protocol):
    """Owns one socket; bytes that arrive while no request is open close it.

    Such bytes are an extra or late response: whoever sends the next request must not get it.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser: ResponseParser | None = None
        self._error: ConnectionBrokenError | None = None
        self._received = False
        self._buffered_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._may_write = asyncio.Event()
        self._may_write.set()
        self.served_count = 0
        """Number of responses that were received completely."""

        self.owes_body = False
        """Whether the rest of a request's body must be sent before anything else."""

        self.idle_since_s = 0.0
        """When the latest response was complete, in seconds of monotonic time; set by the pool."""

    @property
    def is_usable(self) -> bool:
        """Whether the connection can serve another request."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and self._error is None
            and self._parser is None
            and not self.owes_body
        )

    def close(self) -> None:
        """Close the connection; unsent bytes are discarded."""
        if self._transport is not None:
            self._transport.abort()

    def begin(self, *, bodyless: bool) -> None:
        """Begin the exchange of one request.

        Args:
            bodyless: Whether the response has no body, as to a HEAD request.
        """
        self._parser = ResponseParser(bodyless=bodyless)
        self._received = False
        self._buffered_bytes = 0

    def write(self, *parts: bytes) -> None:
        """Send bytes of the request; they are buffered if the peer reads slowly.

        The response may come before all of them are sent. A later request is sent behind them.

        Args:
            parts: The bytes.

        Raises:
            ConnectionBrokenError: The connection has ended.
        """
        if self._error is not None:
            raise self._error
        # From Python 3.12 on, the event loop tries to write an empty part again and again.
        filled = [part for part in parts if part]
        if filled:
            cast(asyncio.Transport, self._transport).writelines(filled)

    async def drain(self) -> None:
        """Wait until the peer has read most of what was written."""
        await self._may_write.wait()

    async def read_head(self) -> ParsedHead:
        """Wait for the head of the response.

        Raises:
            ConnectionBrokenError: The connection ended before, or sent no response.
        """
        parser = cast(ResponseParser, self._parser)
        while parser.head is None:
            await self._wait_for_bytes()
        return parser.head

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body until the response is complete.

        Raises:
            ConnectionBrokenError: The connection ended before that, or sent no response.
        """
        parser = cast(ResponseParser, self._parser)
        while True:
            data = parser.take_body()
            if data:
                self._buffered_bytes = 0
                self._resume_reading()
                yield data
            elif parser.is_complete:
                break
            else:
                await self._wait_for_bytes()
        self._end_exchange(parser)

    async def _wait_for_bytes(self) -> None:
        if self._error is not None:
            raise self._error
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _end_exchange(self, parser: ResponseParser) -> None:
        self._parser = None
        self.served_count += 1
        if not parser.allows_reuse:
            self.close()

    def _resume_reading(self) -> None:
        transport = cast(asyncio.Transport, self._transport)
        if not transport.is_closing() and not transport.is_reading():
            transport.resume_reading()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to own the socket, as the event loop's callback."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._parser is None:
            self._fail("bytes that belong to no request")
            return
        self._received = True
        try:
            self._parser.feed(data)
        except ResponseInvalidError as error:
            self._fail(error.detail)
            return
        self._buffered_bytes += len(data)
        if self._buffered_bytes > BUFFER_BYTES and not self._parser.is_complete:
            cast(asyncio.Transport, self._transport).pause_reading()
        self._wake()

    def eof_received(self) -> None:
        """Handle the end of the peer's bytes; the transport closes afterwards."""
        if self._parser is None:
            return
        try:
            self._parser.feed_eof()
        except ResponseTruncatedError as error:
            self._fail(error.detail)
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""
        if self._parser is None or not self._parser.is_complete:
            self._fail("the connection was reset" if exc is not None else "the connection ended")
        self._may_write.set()

    def pause_writing(self) -> None:
        """Let the sender of a body wait, because the peer reads slowly."""
        self._may_write.clear()

    def resume_writing(self) -> None:
        """Let the sender of a body go on."""
        self._may_write.set()

    def _fail(self, detail: str) -> None:
        if self._error is None:
            self._error = ConnectionBrokenError(detail, received=self._received)
        self.close()
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def open_connection(address: str) -> UpstreamConnection:
    """Return a new connection.

    Args:
        address: `IP:port` of the backend server.

    Raises:
        OSError: The connection can't be opened.
    """
    parts = parse_address(address)
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(UpstreamConnection, parts.host, parts.port)
    return connection
