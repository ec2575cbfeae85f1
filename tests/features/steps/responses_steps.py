import asyncio
import itertools
from contextlib import suppress

import anyio
from behave import given, then, when

from front.scripted_backend import (
    FAILURE_KINDS,
    Agent,
    ScriptedBackend,
    make_response,
    reset,
)
from front.stalling_pool import StallingPool
from samphirespring.connection.upstream_connection import UpstreamConnection
from samphirespring.platform.backend_dialect import PlatformBackendDialect
from samphirespring.request.body import BodyAbortedError, BodySource
from samphirespring.version.states import DetectionMode

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
TIMEOUT_S = 10.0

ENDLESS = {
    "garbage": (b"", b"\x00\xff" * 2_000),
    "a status line": (b"HTTP/1.1 200 ", b"O" * 4_000),
    "one header": (HEAD + b"X: ", b"y" * 4_000),
    "many headers": (HEAD, b"X: y\r\n" * 600),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "a chunk extension": (CHUNKED + b"5;", b"e" * 4_000),
    "trailers": (CHUNKED + b"5\r\nhello\r\n0\r\n", b"X: y\r\n" * 600),
}


def run(context, script, call, dialect=None, *, reads_bodies=True):
    """Await `call(agent, backend)` while a backend server with the script runs."""
    context.backend = ScriptedBackend(script, reads_bodies=reads_bodies)

    async def main():
        with anyio.fail_after(TIMEOUT_S):
            async with context.backend.serve():
                context.result = await call(Agent(dialect), context.backend)

    anyio.run(main)


@when("a backend server sends {name} without end")
def step_send_without_end(context, name):
    if name == "a body":
        context.endless = (HEAD + b"\r\n", b"b" * 4_000)
        return
    beginning, repeated = ENDLESS[name]

    async def script(backend, stream, _):
        await backend.send(stream, beginning)
        await backend.send_without_end(stream, repeated)

    run(context, script, lambda agent, backend: agent.exchange(backend))


@then('the exchange fails as "{kind}" after at most {limit:d} KiB')
def step_check_bound(context, kind, limit):
    assert context.result is FAILURE_KINDS[kind], context.result
    # What the kernel's buffers hold counts, too.
    assert context.backend.sent_bytes <= limit * 1_024, context.backend.sent_bytes


@when("the reader takes {size:d} MiB of it and leaves")
def step_take(context, size):
    beginning, repeated = context.endless

    async def script(backend, stream, _):
        await backend.send(stream, beginning)
        await backend.send_without_end(stream, repeated)

    async def call(agent, backend):
        result = await agent.exchange(backend, take_bytes=size << 20)
        await backend.closed.wait()
        return result

    run(context, script, call)


@then("at most {size:d} MiB were received, and the connection is closed")
def step_check_received(context, size):
    status, body = context.result
    assert status == 200
    assert len(body) <= size << 20, len(body)
    assert context.backend.closed.is_set()


@given("each response is sent {copies}")
def step_send_copies(context, copies):
    answered = []

    async def script(backend, stream, head):
        name = head.split()[1][1:]
        # The late copy takes the place of the response to the second request.
        is_late_copy = copies == "and a copy with another id later" and len(answered) == 1
        answered.append(name)
        shown = answered[0] if is_late_copy else name
        response = make_response(b"for " + shown, request_id=shown)
        await backend.send(stream, response * (2 if copies == "twice at once" else 1))
        if copies == "and a copy before the next request":
            await anyio.sleep(0.02)
            await backend.send(stream, response)

    context.copies_script = script


@when("two requests are sent one after the other")
def step_send_two(context):
    async def call(agent, backend):
        results = [await agent.exchange(backend, name=b"first")]
        await anyio.sleep(0.1)
        results.append(await agent.exchange(backend, name=b"second"))
        if not isinstance(results[1], tuple):
            # A response to another request is never passed on; a read is sent again.
            results[1] = await agent.exchange(backend, name=b"second")
        return results

    run(context, context.copies_script, call, PlatformBackendDialect())


@then("both get their own responses, over {count:d} connections")
def step_check_own(context, count):
    assert context.result == [(200, b"for first"), (200, b"for second")], context.result
    assert context.backend.connections == count, context.backend.connections


REFUSALS = {
    "with the request's id": b"HTTP/1.1 503 S\r\nX-Request-Id: first\r\nX-Not-Executed: 1\r\n",
    "without an id": b"HTTP/1.1 503 S\r\nX-Not-Executed: 1\r\n",
    "by status 421": b"HTTP/1.1 421 M\r\nX-Request-Id: first\r\n",
    "by a code in the body": b"HTTP/1.1 503 S\r\n",
}
REFUSAL_BODY = b'{"code": "no_slot"}'
LATER_ATTEMPTS = {
    "another attempt at the request": b"first",
    "an attempt at another request": b"second",
}


def copy_first_response(context, first):
    """Send `first` as the first response, and once more before the second one."""

    async def script(backend, stream, head):
        name = head.split()[1][1:]
        if len(backend.requests) == 1:
            await backend.send(stream, first)
            return
        is_same_connection = backend.connections == 1
        own = make_response(b"own", request_id=name)
        await backend.send(stream, first + own if is_same_connection else own)

    context.copying_script = script


def send_later_attempt(context, name):
    async def call(agent, backend):
        context.first_result = await agent.exchange(backend, name=b"first", body=None)
        return await agent.exchange(backend, name=name)

    run(context, context.copying_script, call, context.dialect)


@given(
    "a backend server that refuses a request {refusal}, "
    "and repeats the refusal before its next response"
)
def step_copy_refusal(context, refusal):
    is_typed_by_body = refusal == "by a code in the body"
    context.dialect = None if is_typed_by_body else PlatformBackendDialect()
    length = b"Content-Length: %d\r\n\r\n" % len(REFUSAL_BODY)
    copy_first_response(context, REFUSALS[refusal] + length + REFUSAL_BODY)


@given(
    "a backend server that fails a request without an id, "
    "and repeats the failure before its next response"
)
def step_copy_failure(context):
    context.dialect = PlatformBackendDialect()
    copy_first_response(context, b"HTTP/1.1 500 F\r\nContent-Length: 0\r\n\r\n")


@when("the attempt is refused, and {attempt} is sent")
def step_send_later(context, attempt):
    send_later_attempt(context, LATER_ATTEMPTS[attempt])
    assert context.first_result[0] in (421, 503), context.first_result


@when("the attempt fails, and an attempt at another request is sent")
def step_send_after_failure(context):
    send_later_attempt(context, b"second")
    assert context.first_result == (500, b""), context.first_result


@then("the later attempt gets its own response")
def step_check_later(context):
    assert context.result == (200, b"own"), context.result


@then("the later attempt doesn't get the failure")
def step_check_no_failure(context):
    assert context.result != (500, b""), context.result


RESPONSES = {
    "a body without a length": HEAD + b"\r\nhello",
    "a body shorter than its length": HEAD + b"Content-Length: 6\r\n\r\nhello",
    "an unfinished chunked body": CHUNKED + b"5\r\nhello\r\n",
    "nothing": b"",
    "an interim response before the head": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    + HEAD
    + b"Content-Length: 5\r\n\r\nhello",
    "two different lengths": HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
    "a length and chunks": HEAD
    + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
}


@when("a backend server sends {name} and closes the connection")
def step_send_and_close(context, name):
    async def script(backend, stream, _):
        await backend.send(stream, RESPONSES[name]) if RESPONSES[name] else None
        await stream.aclose()

    run(context, script, lambda agent, backend: agent.exchange(backend))


@when("a backend server sends {name} and resets the connection")
def step_send_and_reset(context, name):
    async def script(backend, stream, _):
        await backend.send(stream, RESPONSES[name])
        await anyio.sleep(0.05)
        reset(stream)
        await stream.aclose()

    run(context, script, lambda agent, backend: agent.exchange(backend))


@then('the result is the complete body "{body}"')
def step_check_complete(context, body):
    assert context.result == (200, body.encode()), context.result


@then("the result is {kind:w}")
def step_check_failed(context, kind):
    assert context.result is FAILURE_KINDS[kind], context.result


@when('a backend server sends the status "{status}" and says that it didn\'t run the request')
@when('a backend server sends the status "" and says that it didn\'t run the request')
def step_send_status(context, status=""):
    head = f"HTTP/1.1 {status} S\r\nX-Request-Id: r\r\nX-Not-Executed: 1\r\n"
    response = head.encode() + b"Content-Length: 0\r\n\r\n"
    context.results = []
    for data in (response, b"HTTP/1.1 100 Continue\r\n\r\n" + response):

        async def script(backend, stream, _, data=data):
            await backend.send(stream, data)

        run(context, script, lambda agent, b: agent.exchange(b), PlatformBackendDialect())
        context.results.append(context.result)


@then('the exchange fails as "{kind}", as does one behind an interim response')
def step_check_both(context, kind):
    assert context.results == [FAILURE_KINDS[kind]] * 2, context.results


@given("a backend server that drops connections without notice after {idle_s:g} s")
def step_dropping_backend(context, idle_s):
    async def script(backend, stream, _):
        await backend.send(stream, make_response(b"ok"))
        with anyio.move_on_after(idle_s):
            await stream.receive()
            raise AssertionError("the request came in time; the script serves only one")
        await stream.receive()  # Whatever is sent next on this connection is reset.
        reset(stream)
        await stream.aclose()

    context.dropping_script = script


@when("{count:d} requests are sent, one every {interval_s:g} s")
def step_send_series(context, count, interval_s):
    async def call(agent, backend):
        results = []
        for _ in range(count):
            results.append(await agent.exchange(backend))
            await anyio.sleep(interval_s)
        return results

    run(context, context.dropping_script, call)


@then("at most {count:d} of them fails")
def step_check_series(context, count):
    failed = [result for result in context.result if result != (200, b"ok")]
    assert len(failed) <= count, context.result


PART = b"u" * 65_536
HELLO = HEAD + b"Content-Length: 5\r\n\r\nhello"


class ScriptedBody(BodySource):
    """Sends a body in parts, and stops, or ends early, after some of them."""

    def __init__(self, size_bytes, *, stops_after=None, ends_after=None):
        self.size_bytes = size_bytes
        self.stops_after = stops_after
        self.ends_after = ends_after

    async def iterate(self):
        for sent in range(0, self.size_bytes, len(PART)):
            if self.stops_after is not None and sent >= self.stops_after:
                await anyio.sleep_forever()
            if self.ends_after is not None and sent >= self.ends_after:
                raise BodyAbortedError("the caller left")
            yield PART


async def read_body(stream, size_bytes):
    """Read until a part of a body has arrived; its head was read before."""
    received = 0
    with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while received < size_bytes:
            received += len(await stream.receive())


async def end_upload(backend, stream, behaviour):
    if behaviour == "resets the connection":
        reset(stream)
        await stream.aclose()
    elif behaviour == "closes the connection":
        await stream.aclose()
    elif behaviour == "sends half a response and closes":
        await backend.send(stream, HELLO[:-2])
        await stream.aclose()
    elif behaviour == "responds and closes":
        await backend.send(stream, HELLO)
        await stream.aclose()
    elif behaviour == "responds":
        await backend.send(stream, HELLO)
    else:
        raise NotImplementedError(behaviour)


@given("a backend server that {behaviour} once it has read {size:d} KiB of a body")
def step_failing_reader(context, behaviour, size):
    async def script(backend, stream, _):
        await read_body(stream, size << 10)
        await end_upload(backend, stream, behaviour)
        await read_body(stream, float("inf"))

    context.upload_script = script


@given("a backend server that reads the whole body and responds")
def step_whole_reader(context):
    async def script(backend, stream, _):
        await read_body(stream, float("inf"))

    context.upload_script = script


def upload(context, size, **terms):
    async def call(agent, backend):
        body = ScriptedBody(size << 20, **terms)
        result = await agent.exchange(backend, body=body, body_follows=True, body_length=size << 20)
        await backend.closed.wait()
        return result

    run(context, context.upload_script, call, reads_bodies=False)


@when("a body of {size:d} MiB is sent to it, as fast as it goes")
def step_upload(context, size):
    upload(context, size)


@when("a body of {size:d} MiB is sent to it, and then stops")
def step_stopping_upload(context, size):
    upload(context, size, stops_after=262_144)


@when("a body of {size:d} MiB is sent to it, whose caller leaves after {part:d} MiB")
def step_left_upload(context, size, part):
    upload(context, size, ends_after=part << 20)


@then("the result is {kind:w}, and the connection isn't used again")
def step_check_upload_failed(context, kind):
    assert context.result is FAILURE_KINDS[kind], context.result
    assert context.backend.closed.is_set()


@then('the result is the complete body "{body}", and the connection isn\'t used again')
def step_check_upload_complete(context, body):
    assert context.result == (200, body.encode()), context.result
    assert context.backend.closed.is_set()


@given("a target of which every tenth attempt fails by an unforeseen error")
def step_failing_target(context):
    numbers = itertools.count(1)

    def draw_latency_s(_):
        if next(numbers) % 10 == 0:
            raise ArithmeticError("an error that no handler knows")
        return 0.01

    context.pool = StallingPool(
        mode=DetectionMode.FAST, seed=1, count=1, rate_per_s=20.0, draw_latency_s=draw_latency_s
    )


@when("reads are sent to it for {duration_s:g} s")
def step_send_reads(context, duration_s):
    async def main():
        await anyio.sleep(duration_s)
        context.started = context.pool.hosts[0].upstream.started
        context.pool.rate_per_s = 0.001
        await anyio.sleep(1.0)
        context.agent_dump = await context.pool.hosts[0].agent.dump()

    context.pool.run(main)


@then("the other attempts are served, and all slots are free afterwards")
def step_check_served(context):
    assert context.started > 50, context.started
    assert context.agent_dump.running == 0, context.agent_dump


class RecordingTransport(asyncio.Transport):
    """Keeps the parts that are written to it."""

    def __init__(self):
        super().__init__()
        self.parts = []

    def write(self, data):
        self.parts.append(data)

    def writelines(self, parts):
        self.parts.extend(parts)


WRITTEN_PARTS = {
    'a head and ""': (b"head", b""),
    'a head and "body"': (b"head", b"body"),
    '""': (b"",),
}


@when("{parts} are written to a connection")
def step_write_parts(context, parts):
    context.transport = RecordingTransport()
    connection = UpstreamConnection()
    connection.connection_made(context.transport)
    connection.write(*WRITTEN_PARTS[parts])


@then("its transport gets the parts {passed_on}")
def step_check_parts(context, passed_on):
    expected = [] if passed_on == "none" else passed_on.split(", ")
    assert [part.decode() for part in context.transport.parts] == expected, context.transport.parts


SEALED_HEAD = HEAD + b"X-Seal: s\r\nContent-Type: text/plain\r\n"
STOPPED_RESPONSES = {
    "a head and a body with a length": SEALED_HEAD + b"Content-Length: 5\r\n\r\nhello",
    "a head and a chunked body": (
        SEALED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
    ),
    "the head before a body without a length": SEALED_HEAD + b"\r\n",
}


@when("the connection ends by a {kind:w} after each byte of {response}")
def step_stop_anywhere(context, kind, response):
    data = STOPPED_RESPONSES[response]
    lengths = itertools.count()
    context.results = []

    async def script(backend, stream, _):
        await backend.send(stream, data[: next(lengths)])
        if kind == "reset":
            await anyio.sleep(0.001)  # The bytes arrive before the reset.
            reset(stream)
        await stream.aclose()

    async def call(agent, backend):
        for _ in range(len(data)):
            context.results.append(await agent.exchange(backend))

    run(context, script, call)


@then("no attempt has a response, and none counts as not started")
def step_check_stopped(context):
    allowed = {FAILURE_KINDS["cut"], FAILURE_KINDS["reset"]}
    assert set(context.results) <= allowed, context.results
