"""Server side of one HTTP/1.1 connection, on uvicorn's protocol for httptools."""

import asyncio
from collections.abc import Callable
from typing import Any

import httptools
import msgspec
import uvicorn
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from samphirespring.connection.closing_transport import ClosingTransport
from samphirespring.connection.problems import (
    PROBLEM_CONTENT_TYPE,
    Problem,
    encode_problem,
)
from samphirespring.process.errors import ErrorCode

KEEPALIVE_TIMEOUT_S = 75
DISCONNECT_EXTENSION = "samphire.disconnect"
"""Name of the ASGI extension that holds the `DisconnectNotice` of a request."""

NOTICE = "notice"


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


class DisconnectNotice:
    """Tells whoever serves a request that its client has closed the connection.

    It takes the place of a task that waits for the ASGI message with the same meaning.
    """

    def __init__(self) -> None:
        self._callback: Callable[[], None] | None = None
        self._given = False

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Set the function to call once the client has gone; immediately if it already has.

        Args:
            callback: The function.
        """
        self._callback = callback
        if self._given:
            callback()

    def give(self) -> None:
        """Call the subscriber."""
        self._given = True
        if self._callback is not None:
            self._callback()


def read_notice(scope: Any) -> DisconnectNotice:
    """Return the notice of a request; one that is never given if the server doesn't provide it.

    Args:
        scope: The ASGI scope.
    """
    extension = scope.get("extensions", {}).get(DISCONNECT_EXTENSION, {})
    notice: DisconnectNotice = extension.get(NOTICE) or DisconnectNotice()
    return notice


class BoundedHttpConfig(uvicorn.Config):
    """Configuration whose bounds are read again for each new connection."""

    read_bounds: Callable[[], ConnectionBounds] = ConnectionBounds


class BoundedHttpProtocol(HttpToolsProtocol):
    """Applies bounds to each connection and responds to malformed HTTP with an error code.

    Requests that a client sends ahead are parsed at most as far as the bytes of one read; then the
    connection isn't read until their turn comes. They are served in order, and not at all behind a
    response that closes the connection.
    """

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Set up a new connection with the current bounds."""
        assert isinstance(self.config, BoundedHttpConfig)
        bounds = self.config.read_bounds()
        self._guard = _HeadGuard(bounds.header_bytes)
        self._head_timeout_s = bounds.header_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None
        self._running: RequestResponseCycle | None = None
        self._is_rejected = False
        self.timeout_keep_alive = bounds.idle_timeout_s  # type: ignore[assignment]
        super().connection_made(ClosingTransport(transport, self.loop))
        self.flow = _PipelineFlow(self.transport, has_waiting=lambda: bool(self.pipeline))

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the requests that are served or wait that the client has gone."""
        self._stop_head_timer()
        waiting = [cycle for cycle, _ in self.pipeline]
        self.pipeline.clear()
        for cycle in (self._running, *waiting):
            if cycle is not None and not cycle.response_complete:
                cycle.disconnected = True
                cycle.message_event.set()
                read_notice(cycle.scope).give()
        super().connection_lost(exc)
        self._unset_keepalive_if_required()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes after the last request of the connection are discarded."""
        if self._is_rejected or self.transport.is_closing():
            return
        self._guard.begin_feed(len(data))
        super().data_received(data)
        self._guard.end_feed()
        if self._guard.is_exceeded and not self._is_rejected:
            self.send_400_response("")
        elif self._guard.expects_head:
            self._start_head_timer()

    def on_message_begin(self) -> None:
        """Begin the head of a request."""
        super().on_message_begin()
        self._guard.begin_head()

    def on_url(self, url: bytes) -> None:
        """Keep part of the request's target."""
        self._guard.count(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; trailers are dropped."""
        self._guard.count(len(name) + len(value))
        if self._guard.expects_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """End the head of a request, and serve it if no other one is being served."""
        self._stop_head_timer()
        self._guard.end_head()
        if self.parser.get_http_version() == "1.1" and _count_hosts(self.headers) != 1:
            raise httptools.HttpParserError("a request needs exactly one Host header")
        self.scope["extensions"] = {DISCONNECT_EXTENSION: {NOTICE: DisconnectNotice()}}
        super().on_headers_complete()
        if self.parser.should_upgrade():
            # The parser accepts no further request after one that asks for another protocol.
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Keep part of a body for the request's task."""
        self._guard.count(0)
        super().on_body(body)

    def on_response_complete(self) -> None:
        """Serve the next request that was sent ahead, and read on once none is left."""
        super().on_response_complete()
        if not self.transport.is_closing():
            self.flow.resume_reading()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self._running = cycle
        super()._start_asgi_task(cycle, app)

    def _start_head_timer(self) -> None:
        if self._head_timer is None and self._head_timeout_s is not None:
            self._head_timer = self.loop.call_later(self._head_timeout_s, self.transport.close)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def send_400_response(self, msg: str) -> None:
        """Respond to a malformed request with an error code, and close the connection.

        The response must not overtake those of earlier requests: behind one that is being served,
        the connection is closed without another response.
        """
        self._is_rejected = True
        if self._running is not None and not self._running.response_complete:
            self._running.keep_alive = False
            self.pipeline.clear()
            return
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
        _close_after_discarding(self.transport)


class _PipelineFlow(FlowControl):
    """Flow control that reads nothing more while requests that were sent ahead wait.

    Args:
        transport: The transport of the connection.
        has_waiting: Returns whether such requests wait.
    """

    def __init__(self, transport: asyncio.Transport, *, has_waiting: Callable[[], bool]) -> None:
        super().__init__(transport)
        self._has_waiting = has_waiting

    def resume_reading(self) -> None:
        """Read on, unless requests wait."""
        if not self._has_waiting():
            super().resume_reading()


class _HeadGuard:
    """Measures the head of a request, and what is received beside its body.

    Args:
        limit_bytes: Largest size of the head with the trailers, in bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._size_bytes = 0
        self._pending_bytes = 0
        """Bytes received since the parser last reported a part of the request."""

        self._fed_bytes = 0
        self._has_progress = False
        self.expects_head = False
        """Whether a head has begun and isn't complete."""

    @property
    def is_exceeded(self) -> bool:
        """Whether the head, the trailers or a part that has no end is too large."""
        return self._size_bytes + self._pending_bytes > self._limit_bytes

    def begin_feed(self, count: int) -> None:
        """Record received bytes before they are parsed.

        Args:
            count: Number of bytes.
        """
        self._fed_bytes = count
        self._has_progress = False

    def end_feed(self) -> None:
        """Count received bytes in which no part of the request ended."""
        self._pending_bytes = 0 if self._has_progress else self._pending_bytes + self._fed_bytes

    def count(self, count: int) -> None:
        """Count a part of the head or a trailer.

        Args:
            count: Number of bytes; 0 for parts of the body, which have their own limit.
        """
        self._size_bytes += count
        self._has_progress = True

    def begin_head(self) -> None:
        """Begin a request."""
        self.expects_head = True
        self._has_progress = True
        self._size_bytes = 0

    def end_head(self) -> None:
        """End the head of the request."""
        self.expects_head = False
        self._has_progress = True


def _count_hosts(headers: list[tuple[bytes, bytes]]) -> int:
    return sum(name == b"host" for name, _ in headers)


def _close_after_discarding(transport: asyncio.Transport) -> None:
    assert isinstance(transport, ClosingTransport)
    transport.close_after_discarding()
