"""HTTP servers of a process, on uvicorn."""

import socket
import ssl
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import anyio
import uvicorn

from samphirespring.connection.http_protocol import (
    BoundedHttpConfig,
    BoundedHttpProtocol,
    ConnectionBounds,
)
from samphirespring.connection.listener import open_listener
from samphirespring.process.caller_budget import CallerBudget

START_POLL_INTERVAL_S = 0.01
ACCEPTED_REQUEST_TIMEOUT_S = 0.3
"""Time for a just accepted connection to send a request while the server stops, in seconds, unless
it only serves clients of the same host, who ask again."""

EXIT_DELAY_S = 0.1
"""Time that the library waits before it looks whether requests are in flight, in seconds."""


class _EmbeddedServer(uvicorn.Server):
    """Server for a process that handles signals itself."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._exit_requested = anyio.Event()
        self.cancelled_count = 0
        """Number of requests that were cancelled when the drain timeout expired."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield

    async def main_loop(self) -> None:
        """Wait for an exit request, instead of polling ten times a second as the library does."""
        await self.on_tick(0)
        await self._exit_requested.wait()

    def request_exit(self, *, timeout_s: float) -> None:
        """Exit once the requests in flight have finished.

        Args:
            timeout_s: Time after which requests that still run are cancelled, in seconds.
        """
        # The library passes the value to `asyncio.timeout`, which takes fractions of a second.
        self.config.timeout_graceful_shutdown = max(0.0, timeout_s)  # type: ignore[assignment]
        self.should_exit = True
        self._exit_requested.set()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Wait for the requests in flight, and count those that the timeout cancels."""
        if not self.server_state.connections and not self.server_state.tasks:
            self._close_listeners(sockets or ())
            return
        await super().shutdown(sockets)
        self.cancelled_count = len(self.server_state.tasks)

    def _close_listeners(self, sockets: Sequence[socket.socket]) -> None:
        """Stop listening; the library takes a tenth of a second for it, also without a client."""
        for server in self.servers:
            server.close()
        for listener in sockets:
            listener.close()


class HttpServer:
    """One listening HTTP server of the process.

    Args:
        server: The uvicorn server.
        listeners: The listening sockets, which the server closes.
        drain_timeout_s: Longest time from `stop` to the end of the last request, in seconds.
        accepted_timeout_s: Time for a just accepted connection to send a request after `stop`, in
            seconds.
    """

    def __init__(
        self,
        server: _EmbeddedServer,
        listeners: Sequence[socket.socket],
        *,
        drain_timeout_s: float,
        accepted_timeout_s: float,
    ) -> None:
        self._server = server
        self._listeners = listeners
        self._drain_timeout_s = drain_timeout_s
        self._accepted_timeout_s = accepted_timeout_s
        self.draining = False
        """Whether responses tell clients to close their connection."""

    @property
    def cancelled_count(self) -> int:
        """Number of requests that were cancelled when the drain timeout expired."""
        return self._server.cancelled_count

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
        await anyio.sleep(self._accepted_timeout_s)
        self._server.request_exit(
            timeout_s=self._drain_timeout_s - self._accepted_timeout_s - EXIT_DELAY_S
        )


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
    accepted_timeout_s: float = ACCEPTED_REQUEST_TIMEOUT_S,
    tls: ssl.SSLContext | None = None,
    reserved_share: float = 0.0,
    budget: CallerBudget | None = None,
) -> AsyncIterator[HttpServer]:
    """Serve an ASGI application while the context is open; leaving waits for requests in flight.

    Args:
        app: The application.
        address: `IP:port` to listen on.
        more_addresses: Further addresses to listen on.
        read_bounds: Returns the bounds of a new connection.
        drain_timeout_s: Longest wait for requests in flight when the context is left, in seconds.
        accepted_timeout_s: Time for a just accepted connection to send a request then, in seconds.
        tls: Context of the listening socket; None serves plain HTTP.
        reserved_share: Share of the process's descriptors that the connections don't use.
        budget: Counts what the connections hold for clients; None sets no limit.

    Raises:
        AddressUnavailableError: The address is taken or isn't one of this host.
    """
    draining_app = _DrainingApp(app)
    config = BoundedHttpConfig(
        draining_app,
        http=BoundedHttpProtocol,
        ws="none",
        lifespan="off",
        interface="asgi3",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
    )
    config.read_bounds = read_bounds
    config.budget = budget
    config.load()
    config.ssl = tls
    listeners = [
        open_listener(listen_address, reserved_share=reserved_share)
        for listen_address in (address, *more_addresses)
    ]
    server = HttpServer(
        _EmbeddedServer(config),
        listeners,
        drain_timeout_s=drain_timeout_s,
        accepted_timeout_s=accepted_timeout_s,
    )
    draining_app.server = server
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        await server.wait_until_started()
        try:
            yield server
        finally:
            with anyio.CancelScope(shield=True):
                await server.stop()
