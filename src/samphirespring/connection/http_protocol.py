"""Server side of one HTTP/1.1 connection, on uvicorn's protocol for httptools."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import httptools
import msgspec
import uvicorn
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from samphirespring.connection.attempt_channel import RESPONSE_CREDIT_BYTES
from samphirespring.connection.body_holding import (
    HOLDING,
    HOLDING_EXTENSION,
    BodyHolding,
    read_holding,
)
from samphirespring.connection.closing_transport import ClosingTransport
from samphirespring.connection.head_guard import HeadGuard
from samphirespring.connection.parse_turns import Parser, ParseTurns
from samphirespring.connection.pipeline_flow import PipelineFlow
from samphirespring.connection.problems import (
    PROBLEM_CONTENT_TYPE,
    Problem,
    encode_problem,
)
from samphirespring.process.caller_budget import (
    Account,
    CallerBudget,
    EndReason,
    Holder,
    HolderState,
    Holding,
)
from samphirespring.process.errors import ErrorCode

KEEPALIVE_TIMEOUT_S = 75
QUEUED_REQUESTS = 8
"""Requests sent ahead on one connection that wait as objects; further ones wait as bytes."""

QUEUED_BYTES = 65_536
"""Memory of such objects, and of the request before them, from which further ones wait as bytes."""

BACKLOG_BYTES = 16_384
"""Bytes of further requests that wait before the connection isn't read any more."""

READ_BYTES = 16_384
"""Most bytes that are received from one connection at once. All connections that are ready are read
in one turn of the event loop, before any of what they sent is passed on."""

SLICE_BYTES = 4_096
"""Most bytes that are parsed at once: the parser can't stop after a request."""

SLICE_ITEMS = 256
"""Headers and chunks in `SLICE_BYTES` from which a connection parses on in turns."""

CONNECTION_BYTES = 10_240
"""Memory of a connection without a request, in bytes."""

TLS_BYTES = 57_344
"""Additional memory of a connection with TLS, in bytes, beside what waits to be sent."""

WINDOW_BYTES = 32_768
"""Bytes that the system may hold for a connection that isn't read; they are memory, too."""

REQUEST_BYTES = 6_144
"""Memory of a request without its head and body, in bytes."""

HEAD_FACTOR = 3
"""Memory of a parsed head for each byte of it."""

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
    budget: CallerBudget | None = None
    """Counts what the connections hold; None counts nothing."""

    def load(self) -> None:
        """Set up the server."""
        super().load()
        self.parse_turns = ParseTurns()


class BoundedHttpProtocol(HttpToolsProtocol, Holder, Parser):
    """Applies bounds to each connection and responds to malformed HTTP with an error code.

    Requests that a client sends ahead wait in a queue, and behind it as bytes; when enough wait,
    the connection isn't read until their turn comes. They are served in order, and not at all
    behind a response that closes the connection.

    A connection whose bytes take long to parse, as they hold many small chunks or headers, parses
    them in turns with others.
    """

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Set up a new connection with the current bounds."""
        assert isinstance(self.config, BoundedHttpConfig)
        bounds = self.config.read_bounds()
        self._guard = HeadGuard(bounds.header_bytes)
        self._head_timeout_s = bounds.header_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None
        self._running: RequestResponseCycle | None = None
        self._is_rejected = False
        self._backlog = b""
        """Received bytes that aren't parsed."""

        self._body_parts: list[bytes] = []
        """Parts of a body that the slice in hand holds."""

        self._slice_items = 0
        """Headers and chunks of the latest slice."""

        self._awaits_turn = False
        """Whether the connection is to parse on in its turn."""

        self._parse_turns = self.config.parse_turns
        self._costs: deque[int] = deque()
        """Memory of the request that is served and of those in the queue, in bytes."""

        self.timeout_keep_alive = bounds.idle_timeout_s  # type: ignore[assignment]
        self._encrypted = _limit_reads(transport)
        self._closing_transport = ClosingTransport(transport, self.loop)
        super().connection_made(self._closing_transport)
        self._base_bytes = CONNECTION_BYTES + (TLS_BYTES if self.scheme == "https" else 0)
        self._pipeline_flow = PipelineFlow(self.transport, is_full=self._is_full)
        self.flow = self._pipeline_flow
        self._budget = self.config.budget
        self._account: Account | None = None
        if self._budget is not None:
            self._account = self._budget.open(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the requests that are served or wait that the client has gone."""
        self._stop_head_timer()
        waiting = [cycle for cycle, _ in self.pipeline]
        self.pipeline.clear()
        for cycle in (self._running, *waiting):
            if cycle is not None and not cycle.response_complete:
                self._end_cycle(cycle)
            if cycle is not None:
                read_holding(cycle.scope).detach()
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        self._backlog = b""
        if self._budget is not None and self._account is not None:
            self._budget.close(self._account)
            self._account = None
        self._break_references()

    def _break_references(self) -> None:
        """Free the connection at once: the garbage collector finds its cycles much later."""
        self._running = None
        self._encrypted = None
        self.cycle = None  # type: ignore[assignment]
        self.scope = None  # type: ignore[assignment]
        self._pipeline_flow.detach()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes after the last request of the connection are discarded."""
        if self._discards:
            return
        self._backlog = self._backlog + data if self._backlog else data
        if self._is_slow_to_parse:
            self._request_turn()
        else:
            self._parse_backlog()
        self._report(has_progress=True)

    def take_turn(self) -> None:
        """Parse one slice, and receive again once no more is left that takes long."""
        self._awaits_turn = False
        if self._discards:
            return
        self._parse_backlog()
        if not self._awaits_turn and not self._has_full_body():
            self.flow.resume_reading()
        self._report(has_progress=True)

    def _request_turn(self) -> None:
        if not self._awaits_turn:
            self._awaits_turn = True
            self.flow.pause_reading()
            self._parse_turns.request(self)

    @property
    def _is_slow_to_parse(self) -> bool:
        """Whether the latest slice took long."""
        return self._slice_items >= SLICE_ITEMS

    def _has_full_body(self) -> bool:
        """Whether the task of the request has to take a part of the body first."""
        running = self._running
        return running is not None and len(running.body) > HIGH_WATER_LIMIT

    @property
    def _discards(self) -> bool:
        """Whether what is received belongs to no request."""
        return self._is_rejected or self.transport.is_closing()

    def _is_full(self) -> bool:
        """Whether enough was received of what is sent ahead or takes long to parse."""
        return self._awaits_turn or (self._is_queue_full() and len(self._backlog) >= BACKLOG_BYTES)

    def _is_queue_full(self) -> bool:
        """Whether enough requests wait, or enough bytes of them."""
        if not self.pipeline:
            return False
        return len(self.pipeline) >= QUEUED_REQUESTS or self._count_queue() >= QUEUED_BYTES

    def _count_queue(self) -> int:
        """Return the memory of the request that is served and of those that wait, in bytes."""
        return sum(self._costs) + sum(len(cycle.body) for cycle, _ in self.pipeline)

    def _parse_backlog(self) -> None:
        """Parse received bytes until enough requests wait, or the rest is left for a turn."""
        position = 0
        while position < len(self._backlog) and not self._stops_parsing():
            self._parse(self._backlog[position : position + SLICE_BYTES])
            position += SLICE_BYTES
            if self._discards:
                position = len(self._backlog)
            elif self._is_slow_to_parse and position < len(self._backlog):
                self._request_turn()
        self._backlog = self._backlog[position:]
        if self._is_full():
            self.flow.pause_reading()

    def _stops_parsing(self) -> bool:
        return self._awaits_turn or self._is_queue_full()

    def _parse(self, data: bytes) -> None:
        self._slice_items = 0
        self._guard.begin_feed(len(data))
        super().data_received(data)
        self._pass_on_body()
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
        self._slice_items += 1
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
        self.scope["extensions"] = {
            DISCONNECT_EXTENSION: {NOTICE: DisconnectNotice()},
            HOLDING_EXTENSION: {HOLDING: BodyHolding(self._report)},
        }
        self._costs.append(REQUEST_BYTES + HEAD_FACTOR * self._guard.head_bytes)
        with self._pipeline_flow.queueing():
            super().on_headers_complete()
        if self.parser.should_upgrade():
            # The parser accepts no further request after one that asks for another protocol.
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Keep part of a body, which is passed on with the others of the slice."""
        self._slice_items += 1
        self._guard.count_body(len(body))
        self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """End the body of a request."""
        self._pass_on_body()
        super().on_message_complete()

    def _pass_on_body(self) -> None:
        """Pass the parts of a body on to the request's task."""
        if self._body_parts:
            body = b"".join(self._body_parts)
            self._body_parts.clear()
            super().on_body(body)

    def on_response_complete(self) -> None:
        """Serve the next request that was sent ahead, and read on once few are left."""
        self._costs.popleft()
        super().on_response_complete()
        if not self._discards:
            self._parse_backlog()
            self.flow.resume_reading()
        self._report()

    def pause_writing(self) -> None:
        """Let the response wait, because its client reads slowly."""
        super().pause_writing()
        self._report()

    def resume_writing(self) -> None:
        """Let the response go on."""
        super().resume_writing()
        self._report(has_progress=True)

    def measure(self) -> Holding:
        """Return what the connection holds for its client."""
        unread_bytes = self._count_unread()
        size_bytes = self._base_bytes + len(self._backlog) + unread_bytes
        size_bytes += HEAD_FACTOR * self._guard.size_bytes + self._count_queue()
        if self.flow.read_paused:
            size_bytes += WINDOW_BYTES
        state = HolderState.RECEIVING if self._guard.expects_head else HolderState.IDLE
        running = self._running
        if running is not None and not running.response_complete:
            size_bytes += len(running.body) + read_holding(running.scope).size_bytes
            size_bytes += _count_response(running)
            state = self._find_state(running)
        if unread_bytes:
            state = HolderState.UNREAD
        return Holding(size_bytes=size_bytes, unread_bytes=unread_bytes, state=state)

    def _count_unread(self) -> int:
        """Return the bytes that the caller has to read, with those that TLS has encoded."""
        encrypted_bytes = 0 if self._encrypted is None else self._encrypted.get_write_buffer_size()
        return self.transport.get_write_buffer_size() + encrypted_bytes

    def _find_state(self, running: RequestResponseCycle) -> HolderState:
        # A body that its target reads slowly isn't waited for.
        if running.more_body and len(running.body) <= HIGH_WATER_LIMIT:
            return HolderState.RECEIVING
        if self.pipeline or self._backlog or self._guard.expects_head:
            return HolderState.AHEAD
        return HolderState.SERVING

    def pause(self) -> None:
        """Receive no more, because the process holds too much for its callers."""
        self._pipeline_flow.hold()

    def resume(self) -> None:
        """Receive again."""
        self._pipeline_flow.unhold()

    def end(self, reason: EndReason) -> None:
        """Refuse a request whose body isn't complete and not passed on; close otherwise.

        Args:
            reason: Why the budget ends the connection.
        """
        running = self._running
        is_open = running is not None and not running.response_complete
        if running is not None and is_open and self._may_refuse(running):
            self._refuse(running)
        elif is_open or self._count_unread():
            self.cut()
        else:
            self.transport.close()

    def cut(self) -> None:
        """Close the connection immediately, and free what waits on it.

        The transport tells that it is closed one turn later; other connections would have taken the
        same room by then.
        """
        self.pipeline.clear()
        self._backlog = b""
        self.transport.abort()

    def _may_refuse(self, running: RequestResponseCycle) -> bool:
        holding = read_holding(running.scope)
        is_begun = running.response_started or self._count_unread() > 0
        return running.more_body and not holding.is_passed_on and not is_begun

    def _refuse(self, running: RequestResponseCycle) -> None:
        self._is_rejected = True
        self._backlog = b""
        running.body = bytearray()
        running.keep_alive = False
        self._closing_transport.expect_more()
        read_holding(running.scope).refuse()
        running.message_event.set()

    def _report(self, *, has_progress: bool = False) -> None:
        """Tell the budget what the connection holds."""
        if self._budget is not None and self._account is not None:
            self._budget.record(self._account, has_progress=has_progress)

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
            self._head_timer = self.loop.call_later(self._head_timeout_s, self._end_head_time)

    def _end_head_time(self) -> None:
        self._head_timer = None
        if self.flow.read_paused:
            # The rest of the head waits until the connection is read again.
            self._start_head_timer()
        else:
            self.transport.close()

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


def _limit_reads(transport: asyncio.Transport) -> asyncio.Transport | None:
    """Let a connection receive `READ_BYTES` at most at once; with TLS, beside a part of a record.

    Returns:
        The transport of the encoded bytes; None without TLS.
    """
    tls: Any = getattr(transport, "_ssl_protocol", None)
    reader: Any = transport if tls is None else tls
    if hasattr(reader, "max_size"):
        reader.max_size = READ_BYTES
    if tls is None:
        return None
    # The library's buffer has 256 KiB, and is kept for as long as the connection.
    tls._ssl_buffer = bytearray(READ_BYTES)
    tls._ssl_buffer_view = memoryview(tls._ssl_buffer)
    encrypted: asyncio.Transport | None = tls._transport
    return encrypted


def _count_response(running: RequestResponseCycle) -> int:
    """Return the memory of the part of a response that may wait for its client, in bytes."""
    if not running.response_started:
        return 0
    if running.chunked_encoding:
        return RESPONSE_CREDIT_BYTES
    return min(RESPONSE_CREDIT_BYTES, running.expected_content_length)


def _count_hosts(headers: list[tuple[bytes, bytes]]) -> int:
    return sum(name == b"host" for name, _ in headers)


def _close_after_discarding(transport: asyncio.Transport) -> None:
    assert isinstance(transport, ClosingTransport)
    transport.close_after_discarding()
