import json
import re

import anyio
from behave import given, then, when

from samphirespring.connection.http_protocol import read_notice
from samphirespring.connection.http_server import serve_http

ADDRESS = "127.0.0.1:26421"
PORT = 26421
STATUS_LINE = b"HTTP/1.1 200 OK"
TIMEOUT_S = 15.0
REQUEST = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"


class ScriptedApp:
    """ASGI application that runs `respond(app, number, body)` for each request."""

    def __init__(self, respond):
        self.respond = respond
        self.started = []
        self.running = 0
        self.max_running = 0
        self.left = anyio.Event()
        self.closes = False

    async def __call__(self, scope, receive, send):
        number = len(self.started)
        self.started.append(scope["path"])
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body", False):
                break
        with anyio.CancelScope() as scope_of_request:
            read_notice(scope).subscribe(lambda: self._leave(scope_of_request))
            content, headers = await self.respond(number, body)
            headers = [(b"content-length", b"%d" % len(content)), *headers]
            await send({"type": "http.response.start", "status": 200, "headers": headers})
            await send({"type": "http.response.body", "body": content, "more_body": False})
        self.running -= 1

    def _leave(self, scope):
        self.left.set()
        scope.cancel()


def make_delayed(delays_ms):
    async def respond(number, _):
        await anyio.sleep(delays_ms.get(number, 0) / 1_000)
        return b"%d" % number, []

    return respond


@given("a server whose requests take {a:d}, {b:d}, {c:d} and {d:d} ms")
def step_server(context, a, b, c, d):
    context.app = ScriptedApp(make_delayed(dict(enumerate((a, b, c, d)))))


@given("a server whose first request takes {delay_ms:d} ms")
def step_slow_server(context, delay_ms):
    context.app = ScriptedApp(make_delayed({0: delay_ms}))


@given("a server that closes the connection after its second response")
def step_closing_server(context):
    async def respond(number, _):
        await anyio.sleep(0.02)
        return b"%d" % number, [(b"connection", b"close")] if number == 1 else []

    context.app = ScriptedApp(respond)
    context.app.closes = True


@given("a server that echoes bodies")
def step_echo_server(context):
    async def respond(_, body):
        return body, []

    context.app = ScriptedApp(respond)


def run(context, talk):
    """Await `talk(stream, server)` on a connection to the server."""

    async def main():
        with anyio.fail_after(TIMEOUT_S):
            async with (
                serve_http(context.app, address=ADDRESS) as server,
                await anyio.connect_tcp("127.0.0.1", PORT) as stream,
            ):
                context.received = await talk(stream, server)

    anyio.run(main)


async def receive_all(stream, *, count=None):
    """Return what is received until the end, or until `count` responses; None after a reset."""
    data = b""
    try:
        while count is None or len(split_responses(data)) < count:
            data += await stream.receive()
    except anyio.EndOfStream:
        return data
    except anyio.BrokenResourceError:
        return None
    return data


def split_responses(data):
    """Return the bodies of the complete responses."""
    bodies = []
    while match := re.match(rb"HTTP/1.1 200 OK\r\n(.*?)\r\n\r\n", data, re.DOTALL):
        length = int(re.search(rb"content-length: (\d+)", match[1])[1])
        if len(data) < match.end() + length:
            break
        bodies.append(data[match.end() : match.end() + length])
        data = data[match.end() + length :]
    return bodies


@when("{count:d} requests are sent at once on one connection")
def step_send(context, count):
    async def talk(stream, _):
        await stream.send(b"".join(REQUEST % number for number in range(count)))
        return await receive_all(stream, count=None if context.app.closes else count)

    run(context, talk)


@when("{count:d} requests are sent while the first one runs")
def step_send_flood(context, count):
    async def talk(stream, server):
        received = bytearray()

        async def receive():
            seen, counted = 0, 0
            while seen < count:
                received.extend(await stream.receive())
                # A status line may arrive in two parts.
                seen += received.count(STATUS_LINE, counted)
                counted = max(counted, received.rfind(STATUS_LINE) + 1)

        async with anyio.create_task_group() as group:
            group.start_soon(stream.send, b"".join(REQUEST % number for number in range(count)))
            group.start_soon(receive)
            await anyio.sleep(0.15)
            [protocol] = server._server.server_state.connections
            context.waiting_bytes = len(protocol.pipeline) * len(REQUEST % 10_000)
        return bytes(received)

    run(context, talk)


@then("at most {size:d} KiB wait, and all {count:d} responses come in order")
def step_check_flood(context, size, count):
    assert 0 < context.waiting_bytes <= size * 1_024, context.waiting_bytes
    assert split_responses(context.received) == [b"%d" % number for number in range(count)]


@then("{count:d} responses come in order, and at most {running:d} request ran at a time")
def step_check_order(context, count, running):
    bodies = split_responses(context.received)
    assert bodies == [b"%d" % number for number in range(count)], bodies
    assert context.app.max_running == running


@then(
    "{count:d} responses come in order, the connection ends without a reset,"
    " and {ran:d} requests ran"
)
def step_check_closed(context, count, ran):
    assert context.received is not None, "the connection was reset"
    assert split_responses(context.received) == [b"%d" % number for number in range(count)]
    assert len(context.app.started) == ran, context.app.started


@when("{count:d} requests are sent at once on one connection and the server stops after {ms:d} ms")
def step_send_and_stop(context, count, ms):
    async def talk(stream, server):
        await stream.send(b"".join(REQUEST % number for number in range(count)))
        await anyio.sleep(ms / 1_000)
        server.begin_drain()
        return await receive_all(stream)

    run(context, talk)


@when("{count:d} requests are sent at once on one connection, which is closed after {ms:d} ms")
def step_send_and_leave(context, count, ms):
    async def talk(stream, _):
        await stream.send(b"".join(REQUEST % number for number in range(count)))
        await anyio.sleep(ms / 1_000)
        await stream.aclose()
        with anyio.move_on_after(0.5):
            await context.app.left.wait()

    run(context, talk)


@then("the running request is told within 0.5 s, and {ran:d} requests ran")
def step_check_left(context, ran):
    assert context.app.left.is_set()
    assert len(context.app.started) == ran, context.app.started


@when("a read, an upload of {size:d} bytes and a read are sent at once on one connection")
def step_send_upload(context, size):
    upload = b"POST /u HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size

    async def talk(stream, _):
        received = []

        async def receive():
            received.append(await receive_all(stream, count=3))

        async with anyio.create_task_group() as group:
            group.start_soon(receive)
            await stream.send(REQUEST % 0 + upload + REQUEST % 2)
        return received[0]

    run(context, talk)


@then("the bodies of the responses have {a:d}, {b:d} and {c:d} bytes")
def step_check_bodies(context, a, b, c):
    assert [len(body) for body in split_responses(context.received)] == [a, b, c]


LARGE = b"x" * 102_400
MALFORMED = {
    "two Host headers": b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "no Host header": b"GET / HTTP/1.1\r\nX: y\r\n\r\n",
    "a length and chunks": b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two different lengths": b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
    b"Content-Length: 2\r\n\r\nab",
    "a folded header": b"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
    "a space before a header's colon": b"GET / HTTP/1.1\r\nHost: h\r\nX : a\r\n\r\n",
    "a head of 100 KiB": b"GET / HTTP/1.1\r\nHost: h\r\n"
    + b"".join(b"X%d: %b\r\n" % (n, b"y" * 1_000) for n in range(100))
    + b"\r\n",
    "one header of 100 KiB without an end": b"GET / HTTP/1.1\r\nHost: h\r\nX: " + LARGE,
    "a target of 100 KiB without an end": b"GET /" + LARGE,
    "trailers of 100 KiB": b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
    + b"".join(b"X%d: %b\r\n" % (n, b"y" * 1_000) for n in range(100)),
}


@when("{name} are sent")
def step_send_malformed(context, name):
    async def talk(stream, _):
        await stream.send(MALFORMED[name])
        return await receive_all(stream)

    run(context, talk)


@then('the response has status {status:d} and the code "{code}", and nothing ran')
def step_check_malformed(context, status, code):
    head, _, body = (context.received or b"").partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), head
    assert json.loads(body)["code"] == code
    assert context.app.running <= 1
