import os
import random
import resource
import socket
import ssl
import tempfile
from contextlib import AsyncExitStack, ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from unittest import mock

import anyio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies

from document.certificates import Authority
from samphirespring.connection.caller_http import CallerApp
from samphirespring.connection.http_protocol import REQUEST_BYTES, BoundedHttpProtocol
from samphirespring.connection.http_server import serve_http
from samphirespring.process.caller_budget import (
    END_SHARE,
    GROWING_STATES,
    BudgetLimits,
    CallerBudget,
    Holder,
    HolderState,
    Holding,
)
from samphirespring.process.composition.client_budgets import make_budget_limits
from samphirespring.process.settings import CallerLimits
from samphirespring.process.tls_reloader import TlsContextStore

KIB = 1_024
UNREAD_S = 30.0
PORT = 21_900 + int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
ADDRESS = f"127.0.0.1:{PORT}"
CALLER_STATES = (
    HolderState.RECEIVING,
    HolderState.AHEAD,
    HolderState.IDLE,
    HolderState.UNREAD,
)
"""States that depend on the caller alone."""

TIMEOUT_S = 10.0
SETTLE_S = 0.3


@dataclass(eq=False)
class FakeConnection(Holder):
    """Holds what a test says, and records what it is told."""

    size_bytes: int = 0
    unread_bytes: int = 0
    state: HolderState = HolderState.IDLE
    is_paused: bool = False
    is_cut: bool = False
    ended: list = field(default_factory=list)
    log: list = field(default_factory=list)
    account: object = None

    def measure(self):
        return Holding(size_bytes=self.size_bytes, unread_bytes=self.unread_bytes, state=self.state)

    def pause(self):
        self.is_paused = True

    def resume(self):
        self.is_paused = False

    def end(self, reason):
        self.ended.append(reason.value)
        self.log.append(self)

    def cut(self):
        self.is_cut = True


class Bench:
    """A budget with its clock and its connections."""

    def __init__(self, *, held_bytes, connections):
        self.now_s = 1_000.0
        limits = BudgetLimits(held_bytes=held_bytes, connections=connections, unread_s=UNREAD_S)
        self.budget = CallerBudget(limits, read_now_s=lambda: self.now_s)
        self.connections = []
        self.ended = []
        self.newest = None

    def open(self):
        connection = FakeConnection(log=self.ended)
        connection.account = self.budget.open(connection)
        self.connections.append(connection)
        return connection

    def set(self, connection, state, size_bytes, *, unread_bytes=0):
        connection.state = state
        connection.size_bytes = size_bytes
        connection.unread_bytes = unread_bytes
        self.budget.record(connection.account, has_progress=True)


@given("a budget of {size:d} KiB and {connections:d} connections")
def step_budget(context, size, connections):
    context.bench = Bench(held_bytes=size * KIB, connections=connections)


@when("{count:d} connections receive {size:d} KiB each")
def step_receive_each(context, count, size):
    for _ in range(count):
        context.bench.set(context.bench.open(), HolderState.RECEIVING, size * KIB)


@when("{count:d} connections are idle and hold {size:d} KiB each")
def step_hold_each(context, count, size):
    for _ in range(count):
        context.bench.set(context.bench.open(), HolderState.IDLE, size * KIB)


@when("connection {number:d} receives {size:d} KiB in all")
def step_receive(context, number, size):
    bench = context.bench
    bench.set(bench.connections[number - 1], HolderState.RECEIVING, size * KIB)


@when("connection {number:d} sends ahead and holds {size:d} KiB")
def step_send_ahead(context, number, size):
    bench = context.bench
    bench.set(bench.connections[number - 1], HolderState.AHEAD, size * KIB)


@when("a new connection receives {size:d} KiB")
def step_receive_new(context, size):
    context.bench.newest = context.bench.open()
    context.bench.set(context.bench.newest, HolderState.RECEIVING, size * KIB)


@given("connection {number:d} is {what} and holds {size:d} KiB")
def step_place(context, number, what, size):
    """Each is placed with the clock set back by the time for which it has stood still."""
    bench = context.bench
    name, _, wait = what.partition(" for ")
    back_s = float(wait.removesuffix(" s") or 0.0)
    bench.now_s -= back_s
    connection = bench.open()
    size_bytes = size * KIB
    if name == "paused":
        connection.is_paused = True
        bench.set(connection, HolderState.RECEIVING, size_bytes)
        connection.account.paused_at_s = bench.now_s
        bench.budget._paused.add(connection.account)
    elif name == "unread":
        bench.set(connection, HolderState.UNREAD, size_bytes, unread_bytes=size_bytes)
    else:
        states = {
            "stalled": HolderState.RECEIVING,
            "received now": HolderState.RECEIVING,
            "sending ahead": HolderState.AHEAD,
            "served": HolderState.SERVING,
            "idle": HolderState.IDLE,
        }
        bench.set(connection, states[name], size_bytes)
    bench.now_s += back_s


@when("connection {number:d} closes")
def step_close(context, number):
    context.bench.budget.close(context.bench.connections[number - 1].account)


@when("a sweep follows after {wait:d} s")
def step_sweep(context, wait):
    context.bench.now_s += wait
    if context.bench.budget._paused:
        context.bench.now_s += 1.0
    context.bench.budget.sweep()


@when("its caller reads 1 KiB and a sweep follows, 10 times, every 29 s")
def step_read_slowly(context):
    connection = context.bench.connections[0]
    for _ in range(10):
        context.bench.now_s += 29.0
        connection.unread_bytes -= KIB
        connection.size_bytes -= KIB
        context.bench.budget.sweep()


@then("none is paused and none is ended")
def step_check_calm(context):
    assert not context.bench.ended
    step_check_unpaused(context)


@then("none is paused any more")
def step_check_unpaused(context):
    assert not any(connection.is_paused for connection in context.bench.connections)


@then("connection {number:d} is paused, and no other")
def step_check_paused(context, number):
    paused = [c for c in context.bench.connections if c.is_paused]
    assert paused == [context.bench.connections[number - 1]], paused
    assert not context.bench.ended


@then('connection {number:d} is the first that is ended, with the reason "{reason}"')
def step_check_first(context, number, reason):
    first = context.bench.ended[0]
    assert first is context.bench.connections[number - 1], context.bench.ended
    assert first.ended[0] == reason, first.ended


@then("connection {number:d} isn't ended")
def step_check_not_ended(context, number):
    assert not context.bench.connections[number - 1].ended


@then("connection {number:d} is cut, as it hasn't closed yet")
def step_check_cut(context, number):
    assert context.bench.connections[number - 1].is_cut


@then("there is no room for another request")
def step_check_room(context):
    assert not context.bench.budget.has_room


@then("the new connection is ended, and no other")
def step_check_new(context):
    assert context.bench.ended == [context.bench.newest]


@when("connections open, receive, are served, stand still and close at random")
def step_random(context):
    context.faults = []

    @for_all(strategies.integers(0, 1 << 30))
    def run(seed):
        generator = random.Random(seed)
        bench = Bench(held_bytes=1_000 * KIB, connections=50)
        for _ in range(200):
            _take_random_step(bench, generator)
            _check_random_step(bench, context.faults)

    run()


def _take_random_step(bench, generator):
    bench.now_s += generator.choice((0.0, 0.1, 3.0))
    open_connections = [c for c in bench.connections if not c.ended]
    choice = generator.random()
    if choice < 0.3 or not open_connections:
        bench.open()
    elif choice < 0.4:
        closed = generator.choice(bench.connections)
        bench.budget.close(closed.account)
        bench.connections.remove(closed)
    elif choice < 0.5:
        bench.budget.sweep()
    else:
        connection = generator.choice(open_connections)
        state = generator.choice(CALLER_STATES)
        if connection.state is HolderState.RECEIVING and generator.random() < 0.05:
            state = HolderState.SERVING
        size_bytes = generator.randrange(60 * KIB)
        unread_bytes = size_bytes if state is HolderState.UNREAD else 0
        if connection.state is not HolderState.SERVING:
            bench.set(connection, state, size_bytes, unread_bytes=unread_bytes)


def _check_random_step(bench, faults):
    staying = [c for c in bench.connections if not c.ended]
    receiving = sum(c.size_bytes for c in staying if c.state in GROWING_STATES)
    if receiving > 1_000 * KIB * END_SHARE:
        faults.append(f"{receiving} bytes are received")
    if sum(c.size_bytes for c in staying) != bench.budget.held_bytes:
        faults.append("the sum is wrong")
    served = [c for c in bench.connections if c.ended and c.state is HolderState.SERVING]
    if served:
        faults.append("a served connection was ended")


@then(
    "those that aren't served never hold more than half of the budget, and none that is served is"
    " ended"
)
def step_check_random(context):
    assert not context.faults, context.faults[:3]


class NoDocumentFront:
    """Front without a document: it only says that no request reached it."""

    def read_document(self):
        return None


def make_budget(size_bytes, clock):
    limits = BudgetLimits(held_bytes=size_bytes, connections=100, unread_s=UNREAD_S)
    return CallerBudget(limits, read_now_s=lambda: clock["now_s"])


@given("a server that may hold {size:d} KiB for callers")
def step_server(context, size):
    context.clock = {"now_s": 0.0}
    context.budget = make_budget(size * KIB, context.clock)
    context.app = CallerApp(NoDocumentFront(), CallerLimits(), budget=context.budget)


async def receive_all(stream):
    data = b""
    try:
        while True:
            data += await stream.receive()
    except anyio.EndOfStream:
        return data


@when("a body stops one byte short of {size:d} bytes, and another one comes")
def step_stop_short(context, size):
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size

    async def main():
        with anyio.fail_after(TIMEOUT_S):
            async with (
                serve_http(context.app, address=ADDRESS, budget=context.budget),
                await anyio.connect_tcp("127.0.0.1", PORT) as first,
                await anyio.connect_tcp("127.0.0.1", PORT) as second,
            ):
                await first.send(head + b"x" * (size - 1))
                await anyio.sleep(SETTLE_S)
                context.clock["now_s"] += 3.0
                await second.send(head + b"x" * (size - 1))
                await anyio.sleep(SETTLE_S)
                context.budget.sweep()
                context.received = await receive_all(first)
                # The second one, which was paused, is refused as well.
                context.clock["now_s"] += 1.0
                context.budget.sweep()
                await receive_all(second)

    anyio.run(main)


@then(
    'the first response has status {status:d}, the outcome "{outcome}" and Retry-After, and its'
    " connection ends without a reset"
)
def step_check_refusal(context, status, outcome):
    head = context.received.partition(b"\r\n\r\n")[0].decode().lower()
    assert head.startswith(f"http/1.1 {status} "), head
    assert f"samphire-outcome: {outcome}" in head, head
    assert "retry-after: 1" in head, head


@given("a server whose response has {mib:d} MiB")
def step_long_response(context, mib):
    async def app(scope, receive, send):
        await receive()
        headers = [(b"content-length", b"%d" % (mib << 20))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for number in range(mib * 16):
            is_last = number == mib * 16 - 1
            body = {"type": "http.response.body", "body": b"x" * 65_536, "more_body": not is_last}
            await send(body)

    context.app = app
    context.clock = {"now_s": 0.0}
    context.budget = make_budget(1 << 26, context.clock)


@when("a caller reads none of it for longer than it may")
def step_read_nothing(context):
    async def main():
        with anyio.fail_after(TIMEOUT_S):
            async with serve_http(context.app, address=ADDRESS, budget=context.budget):
                caller = socket.create_connection(("127.0.0.1", PORT), timeout=TIMEOUT_S)
                with caller:
                    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
                    caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                    await anyio.sleep(SETTLE_S)
                    context.budget.sweep()
                    assert context.budget.connection_count == 1
                    assert context.budget.held_bytes > 65_536
                    context.clock["now_s"] += UNREAD_S
                    context.budget.sweep()
                    await anyio.sleep(SETTLE_S)

    anyio.run(main)


@then("the connection is closed, and the server holds nothing")
def step_check_closed(context):
    assert context.budget.connection_count == 0
    assert context.budget.held_bytes == 0


class CountingBudget(CallerBudget):
    """Counts after each report the requests that wait, also on connections that were ended."""

    most_waiting = 0

    def record(self, account, *, has_progress=False):
        super().record(account, has_progress=has_progress)
        waiting = sum(len(other.holder.pipeline) for other in self._accounts)
        self.most_waiting = max(self.most_waiting, waiting)


@when("{count:d} callers send {requests:d} requests ahead each, all before the server reads")
def step_send_ahead_at_once(context, count, requests):
    limits = context.budget._limits
    context.budget = CountingBudget(limits, read_now_s=lambda: context.clock["now_s"])
    sent = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * requests

    async def app(scope, receive, send):
        await receive()
        await anyio.sleep(TIMEOUT_S)

    async def main():
        with anyio.fail_after(TIMEOUT_S), ExitStack() as stack:
            async with serve_http(app, address=ADDRESS, budget=context.budget, drain_timeout_s=0.1):
                callers = [
                    stack.enter_context(socket.create_connection(("127.0.0.1", PORT)))
                    for _ in range(count)
                ]
                while context.budget.connection_count < count:
                    await anyio.sleep(0.01)
                for caller in callers:
                    caller.sendall(sent)
                await anyio.sleep(SETTLE_S)
                stack.close()

    anyio.run(main)


@then("at no time do more requests wait than twice what the budget has room for")
def step_check_waiting(context):
    room = context.budget._limits.held_bytes // REQUEST_BYTES
    assert context.budget.ended
    assert context.budget.most_waiting <= 2 * room, (context.budget.most_waiting, room)


@given("a node whose process may open {descriptors} descriptors")
def step_descriptors(context, descriptors):
    limit = resource.RLIM_INFINITY if descriptors == "unlimited" else int(descriptors)
    with mock.patch.object(resource, "getrlimit", return_value=(limit, limit)):
        context.limits = make_budget_limits(CallerLimits())


@then("it closes idle connections beyond {connections:d}")
def step_check_connections(context, connections):
    assert context.limits.connections == connections, context.limits


@when("the request that connection {number:d} sent ahead is served")
def step_serve_ahead(context, number):
    connection = context.bench.connections[number - 1]
    context.bench.set(connection, HolderState.SERVING, connection.size_bytes)


@given("a server with TLS and the default settings")
def step_tls_server(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    files = Authority(Path(folder.name), "own").issue("server")
    context.tls = TlsContextStore().make_server(files, mutual=False)
    context.clock = {"now_s": 0.0}
    limits = make_budget_limits(CallerLimits())
    context.budget = CallerBudget(limits, read_now_s=lambda: context.clock["now_s"])


@when("{count:d} callers send a body of {size:d} bytes each and stay idle")
def step_stay_idle(context, count, size):
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
    tls = ssl.create_default_context()
    tls.check_hostname = False
    tls.verify_mode = ssl.CERT_NONE
    context.parts = []

    async def app(scope, receive, send):
        while (await receive()).get("more_body"):
            pass
        headers = [(b"content-length", b"0")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    receive_data = BoundedHttpProtocol.data_received

    def record_size(protocol, data):
        context.parts.append(len(data))
        receive_data(protocol, data)

    async def main():
        async with (
            serve_http(app, address=ADDRESS, budget=context.budget, tls=context.tls),
            AsyncExitStack() as stack,
        ):
            for _ in range(count):
                connecting = anyio.connect_tcp(
                    "127.0.0.1", PORT, ssl_context=tls, tls_standard_compatible=False
                )
                caller = await stack.enter_async_context(await connecting)
                # What comes with the end of the handshake is read before there is a connection.
                await caller.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                assert b"200 OK" in await caller.receive()
                await caller.send(head + b"x" * size)
                assert b"200 OK" in await caller.receive()
            context.idle_count = context.budget.connection_count

    with mock.patch.object(BoundedHttpProtocol, "data_received", record_size):
        anyio.run(main)


@then("none of their connections is ended, and the server received {size:d} bytes at most at once")
def step_check_tls(context, size):
    assert context.idle_count == 150, (context.idle_count, context.budget.ended)
    assert not context.budget.ended
    assert max(context.parts) <= size, max(context.parts)
