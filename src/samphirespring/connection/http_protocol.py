"""Server side of one HTTP/1.1 connection, on uvicorn's protocol for httptools."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
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
QUEUED_REQUESTS = 32
"""Requests sent ahead on one connection that wait before the connection isn't read any more."""

REQUEST_LINE_BYTES = len(b"  HTTP/1.1\r\n\r\n")
HEADER_SEPARATOR_BYTES = len(b": \r\n")
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

    Requests that a client sends ahead wait in a queue; when it is full, the connection isn't read
    until their turn comes. They are served in order, and not at all behind a response that closes
    the connection.
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
        self._pipeline_flow = _PipelineFlow(
            self.transport, count_waiting=lambda: len(self.pipeline)
        )
        self.flow = self._pipeline_flow

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the requests that are served or wait that the client has gone."""
        self._stop_head_timer()
        waiting = [cycle for cycle, _ in self.pipeline]
        self.pipeline.clear()
        for cycle in (self._running, *waiting):
            if cycle is not None and not cycle.response_complete:
                self._end_cycle(cycle)
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
        self._guard.count(len(name) + len(value) + HEADER_SEPARATOR_BYTES)
        if self._guard.expects_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """End the head of a request, and serve it if no other one is being served."""
        self._stop_head_timer()
        self._guard.end_head()
        self._guard.count(len(self.parser.get_method()) + REQUEST_LINE_BYTES)
        if self._guard.is_exceeded:
            raise httptools.HttpParserError("the head is too large")
        if self.parser.get_http_version() == "1.1" and _count_hosts(self.headers) != 1:
            raise httptools.HttpParserError("a request needs exactly one Host header")
        self.scope["extensions"] = {DISCONNECT_EXTENSION: {NOTICE: DisconnectNotice()}}
        with self._pipeline_flow.queueing():
            super().on_headers_complete()
        if self.parser.should_upgrade():
            # The parser accepts no further request after one that asks for another protocol.
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Keep part of a body for the request's task."""
        self._guard.count_body(len(body))
        super().on_body(body)

    def on_response_complete(self) -> None:
        """Serve the next request that was sent ahead, and read on once none is left."""
        super().on_response_complete()
        if not self.transport.is_closing():
            self.flow.resume_reading()

    def _end_cycle(self, cycle: RequestResponseCycle) -> None:
        """Tell a request that its client has gone; nothing more is sent for it."""
        cycle.disconnected = True
        cycle.message_event.set()
        read_notice(cycle.scope).give()

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
        self.pipeline.clear()
        running = self._running
        if running is not None and not running.response_complete:
            if not running.more_body:
                running.keep_alive = False
                return
            # The rest of its body won't come.
            self._end_cycle(running)
            if running.response_started:
                self.transport.close()
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
    """Flow control that stops reading once enough requests that were sent ahead wait.

    A connection that isn't read doesn't tell that its client has gone, so a few may wait.

    Args:
        transport: The transport of the connection.
        count_waiting: Returns how many such requests wait.
    """

    def __init__(self, transport: asyncio.Transport, *, count_waiting: Callable[[], int]) -> None:
        super().__init__(transport)
        self._count_waiting = count_waiting
        self._is_queueing = False

    @contextmanager
    def queueing(self) -> Iterator[None]:
        """Treat pauses inside the context as caused by a request that is queued."""
        self._is_queueing = True
        try:
            yield
        finally:
            self._is_queueing = False

    def pause_reading(self) -> None:
        """Stop reading, unless more requests may be queued."""
        if not self._is_queueing or self._count_waiting() >= QUEUED_REQUESTS:
            super().pause_reading()

    def resume_reading(self) -> None:
        """Read on, unless the queue is full."""
        if self._count_waiting() < QUEUED_REQUESTS:
            super().resume_reading()


class _HeadGuard:
    """Measures the head of a request, and what is received beside its body.

    Args:
        limit_bytes: Largest size of the head with the trailers, in bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._size_bytes = 0
        """Size of the complete parts of the head and the trailers, in bytes."""

        self._pending_bytes = 0
        """Bytes of a part that isn't complete."""

        self._uncounted_bytes = 0
        """Bytes of the current feed that belong to no complete part."""

        self._has_progress = False
        self.expects_head = False
        """Whether a head has begun and isn't complete."""

    @property
    def is_exceeded(self) -> bool:
        """Whether the head, the trailers or a part that has no end is too large."""
        return self._size_bytes + self._pending_bytes > self._limit_bytes

    def begin_feed(self, size_bytes: int) -> None:
        """Record received bytes before they are parsed.

        Args:
            size_bytes: Number of bytes.
        """
        self._uncounted_bytes = size_bytes
        self._has_progress = False

    def end_feed(self) -> None:
        """Count the received bytes of a part that isn't complete."""
        if self._has_progress:
            self._pending_bytes = 0
        if self.expects_head or not self._has_progress:
            self._pending_bytes += max(0, self._uncounted_bytes)

    def count(self, size_bytes: int) -> None:
        """Count a complete part of the head or a trailer.

        Args:
            size_bytes: Number of bytes.
        """
        self._size_bytes += size_bytes
        self._uncounted_bytes -= size_bytes
        self._has_progress = True

    def count_body(self, size_bytes: int) -> None:
        """Count a part of the body, which has its own limit.

        Args:
            size_bytes: Number of bytes.
        """
        self._uncounted_bytes -= size_bytes
        self._has_progress = True

    def begin_head(self) -> None:
        """Begin a request."""
        self.expects_head = True
        self._has_progress = True
        self._size_bytes = 0
        self._pending_bytes = 0

    def end_head(self) -> None:
        """End the head of the request."""
        self.expects_head = False
        self._has_progress = True


def _count_hosts(headers: list[tuple[bytes, bytes]]) -> int:
    return sum(name == b"host" for name, _ in headers)


def _close_after_discarding(transport: asyncio.Transport) -> None:
    assert isinstance(transport, ClosingTransport)
    transport.close_after_discarding()
