"""HTTP servers of a process, on uvicorn."""

import asyncio
import socket
import ssl
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import anyio
import h11
import msgspec
import uvicorn
from uvicorn.protocols.http.h11_impl import H11Protocol

from samphirespring.connection.coalescing_transport import CoalescingTransport
from samphirespring.connection.listener import open_listener
from samphirespring.connection.problems import (
    PROBLEM_CONTENT_TYPE,
    Problem,
    encode_problem,
)
from samphirespring.process.errors import ErrorCode

START_POLL_INTERVAL_S = 0.01
ACCEPTED_REQUEST_TIMEOUT_S = 0.3
"""Time for a just accepted connection to send a request while the server stops, in seconds."""
KEEPALIVE_TIMEOUT_S = 75
DISCARD_TIMEOUT_S = 1.0
"""How long the rest of a malformed request is read and discarded, in seconds."""


class ConnectionBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size of request heads and on the waiting times of one client connection.

    Attributes:
        header_bytes: Largest size of a request's head, in bytes.
        header_timeout_s: Longest time in which a head arrives, in seconds; None has no limit.
        idle_timeout_s: Longest time between two requests, in seconds.
    """

    header_bytes: int = 1 << 16
    header_timeout_s: float | None = None
    idle_timeout_s: float = KEEPALIVE_TIMEOUT_S


class _Config(uvicorn.Config):
    """Configuration whose bounds are read again for each new connection."""

    read_bounds: Callable[[], ConnectionBounds] = ConnectionBounds


class _BoundedH11Protocol(H11Protocol):
    """Responds to malformed HTTP with an error code, and applies the bounds of each connection."""

    _discarding = False
    _header_timeout_s: float | None = None
    _header_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Set up a new connection with the current bounds."""
        assert isinstance(self.config, _Config)
        bounds = self.config.read_bounds()
        self.conn = h11.Connection(h11.SERVER, max_incomplete_event_size=bounds.header_bytes)
        self.timeout_keep_alive = bounds.idle_timeout_s  # type: ignore[assignment]
        self._header_timeout_s = bounds.header_timeout_s
        super().connection_made(CoalescingTransport(transport, self.loop))

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the header timer when the connection ends."""
        self._stop_header_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Process received bytes; bytes after a malformed request are discarded."""
        if self._discarding:
            return
        if self._header_timer is None and self.conn.their_state is h11.IDLE:
            self._start_header_timer()
        super().data_received(data)
        if self.conn.their_state is not h11.IDLE:
            self._stop_header_timer()

    def _start_header_timer(self) -> None:
        if self._header_timeout_s is not None:
            self._header_timer = self.loop.call_later(self._header_timeout_s, self.transport.close)

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def send_400_response(self, msg: str) -> None:
        """Respond to a malformed request with an error code, and close the connection."""
        body = encode_problem(
            Problem(
                title="malformed request",
                status=400,
                code=ErrorCode.MALFORMED_REQUEST.value,
                detail="the bytes aren't a valid HTTP request, or its headers are too large",
            )
        )
        head = (
            b"HTTP/1.1 400 Bad Request\r\n"
            b"content-type: " + PROBLEM_CONTENT_TYPE + b"\r\n"
            b"content-length: " + str(len(body)).encode() + b"\r\n"
            b"samphire-outcome: not-run\r\n"
            b"connection: close\r\n\r\n"
        )
        self.transport.write(head + body)
        self._close_after_discarding()

    def _close_after_discarding(self) -> None:
        # Closing with unread bytes resets the connection, and the client could lose the response.
        self._discarding = True
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(DISCARD_TIMEOUT_S, self.transport.close)


class _EmbeddedServer(uvicorn.Server):
    """Server for a process that handles signals itself."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._exit_requested = anyio.Event()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield

    async def main_loop(self) -> None:
        """Wait for an exit request, instead of polling ten times a second as the library does."""
        await self.on_tick(0)
        await self._exit_requested.wait()

    def request_exit(self) -> None:
        """Exit once the requests in flight have finished."""
        self.should_exit = True
        self._exit_requested.set()


class HttpServer:
    """One listening HTTP server of the process.

    Args:
        server: The uvicorn server.
        listeners: The listening sockets, which the server closes.
    """

    def __init__(self, server: _EmbeddedServer, listeners: Sequence[socket.socket]) -> None:
        self._server = server
        self._listeners = listeners
        self.draining = False
        """Whether responses tell clients to close their connection."""

    def begin_drain(self) -> None:
        """Close each connection after its next response; new connections are still served."""
        self.draining = True

    def stop_listening(self) -> None:
        """Accept no more connections; open connections are still served."""
        for listener in self._server.servers:
            listener.close()

    async def run(self) -> None:
        """Serve until `stop` is called and the requests in flight have finished."""
        await self._server.serve(sockets=list(self._listeners))

    async def wait_until_started(self) -> None:
        """Wait until the server listens."""
        while not self._server.started:
            await anyio.sleep(START_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Accept no more connections, and exit once the requests in flight have finished."""
        self.begin_drain()
        self.stop_listening()
        # A client whose connection was just accepted gets time to send its request.
        await anyio.sleep(ACCEPTED_REQUEST_TIMEOUT_S)
        self._server.request_exit()


class _DrainingApp:
    """Adds `Connection: close` to the responses of a draining server."""

    def __init__(self, app: Any) -> None:
        self._app = app
        self.server: HttpServer | None = None

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        async def send_with_close(message: Any) -> None:
            draining = self.server is not None and self.server.draining
            if draining and message["type"] == "http.response.start":
                headers = [*message.get("headers", ()), (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        await self._app(scope, receive, send_with_close)


@asynccontextmanager
async def serve_http(
    app: Any,
    *,
    address: str,
    more_addresses: Sequence[str] = (),
    read_bounds: Callable[[], ConnectionBounds] = ConnectionBounds,
    drain_timeout_s: float = 5.0,
    tls: ssl.SSLContext | None = None,
) -> AsyncIterator[HttpServer]:
    """Serve an ASGI application while the context is open; leaving waits for requests in flight.

    Args:
        app: The application.
        address: `IP:port` to listen on.
        more_addresses: Further addresses to listen on.
        read_bounds: Returns the bounds of a new connection.
        drain_timeout_s: Longest wait for requests in flight, in seconds.
        tls: Context of the listening socket; None serves plain HTTP.

    Raises:
        AddressUnavailableError: The address is taken or isn't one of this host.
    """
    draining_app = _DrainingApp(app)
    config = _Config(
        draining_app,
        http=_BoundedH11Protocol,
        ws="none",
        lifespan="off",
        interface="asgi3",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        timeout_graceful_shutdown=round(drain_timeout_s),
    )
    config.read_bounds = read_bounds
    config.load()
    config.ssl = tls
    listeners = [open_listener(listen_address) for listen_address in (address, *more_addresses)]
    server = HttpServer(_EmbeddedServer(config), listeners)
    draining_app.server = server
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        await server.wait_until_started()
        try:
            yield server
        finally:
            with anyio.CancelScope(shield=True):
                await server.stop()
