import json
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import anyio
import psutil
from behave import given, then, when

from fleet.client import Response, send_request
from fleet.example import read_address
from samphirespring.connection.attempt_link import RUN_ATTEMPT
from samphirespring.connection.link_client import Link
from samphirespring.connection.link_errors import RemoteError
from samphirespring.process.errors import ErrorCode

RECIPES = "recipes.wheatsheaf.example"
SETTLE_TIMEOUT_S = 20.0
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
EMPTY_SETTINGS_FRAME = bytes.fromhex("000000040000000000")


def _list_callers(context):
    return [read_address(path, "caller_listen") for path in context.fleet.example.nodes]


@when('a caller reads "{path}" of "{host}" at each node')
def step_read_each(context, path, host):
    context.answers = [
        send_request(address, "GET", path, headers={"Host": host})
        for address in _list_callers(context)
    ]


@then('each answer is complete and for "{path}"')
def step_check_each(context, path):
    assert len(context.answers) == 3
    for answer in context.answers:
        assert answer.status == 200, answer
        assert answer.json["path"] == path, answer
        assert int(answer.headers["content-length"]) == len(answer.body)


@then('each answer has outcome "{outcome}" and {attempts} attempts')
def step_check_facts(context, outcome, attempts):
    for answer in context.answers:
        assert answer.headers["samphire-outcome"] == outcome
        assert answer.headers["samphire-attempts"] == attempts


@when('a caller reads "{path}" of "{host}" with header "{name}" "{value}"')
def step_read_with_header(context, path, host, name, value):
    headers = {"Host": host, name: value}
    context.answer = send_request(_list_callers(context)[0], "GET", path, headers=headers)


@then("the answer has status {status:d}")
def step_check_status(context, status):
    assert context.answer.status == status, context.answer


@then("the backend server got a deadline of at most {limit:d} ms")
def step_check_deadline(context, limit):
    assert 0 < context.answer.json["deadline_ms"] <= limit, context.answer


@then("the answer has at least {count:d} bytes")
def step_check_size(context, count):
    assert len(context.answer.body) >= count
    assert int(context.answer.headers["content-length"]) == len(context.answer.body)


@when("{count:d} callers read at the same time at all nodes, each with its own echo")
def step_read_concurrently(context, count):
    addresses = _list_callers(context)

    def read(number):
        headers = {"Host": RECIPES, "X-Echo": f"echo-{number}"}
        return send_request(addresses[number % 3], "GET", f"/{number}", headers=headers)

    with ThreadPoolExecutor(max_workers=24) as pool:
        context.answers = list(pool.map(read, range(count)))


@then("each caller has got its own echo")
def step_check_echoes(context):
    for number, answer in enumerate(context.answers):
        assert answer.status == 200, answer
        assert answer.json["echo"] == f"echo-{number}", answer
        assert answer.json["path"] == f"/{number}", answer


def _exchange_raw(address, data):
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        connection.sendall(data)
        received = b""
        while True:
            part = connection.recv(65536)
            if not part:
                break
            received += part
    head, _, body = received.partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    pairs = [line.partition(": ") for line in lines]
    headers = {name.lower(): value for name, _, value in pairs}
    return Response(status=int(first.split()[1]), headers=headers, body=body)


RAW_REQUESTS = {
    "garbage": b"\x00\x01 nonsense\r\n\r\n",
    "no host": b"GET / HTTP/1.0\r\n\r\n",
    "two content lengths": (
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabc"
    ),
    "oversize headers": b"GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + b"x" * 200_000 + b"\r\n\r\n",
}
FORMED_REQUESTS = {
    "oversize body": ("POST", "orders.wheatsheaf.example", {}, b"x" * 2_000_000),
    "unknown host": ("GET", "nowhere.example", {}, None),
    "method not routed": ("DELETE", RECIPES, {}, None),
    "expired deadline": ("GET", RECIPES, {"Samphire-Deadline-Ms": "0"}, None),
    "malformed deadline": ("GET", RECIPES, {"Samphire-Deadline-Ms": "soon"}, None),
    "malformed key": ("GET", RECIPES, {"Idempotency-Key": "a b"}, None),
}


@when('a caller sends "{request}"')
def step_send_bad(context, request):
    address = _list_callers(context)[0]
    if request in RAW_REQUESTS:
        context.answer = _exchange_raw(address, RAW_REQUESTS[request])
        return
    method, host, headers, body = FORMED_REQUESTS[request]
    context.answer = send_request(
        address, method, "/kit-orders", headers={"Host": host, **headers}, body=body
    )


@then('the answer has status {status:d} and code "{code}"')
def step_check_code(context, status, code):
    assert context.answer.status == status, context.answer
    assert context.answer.code == code, context.answer


@then("the answer tells no traceback")
def step_check_no_traceback(context):
    assert b"Traceback" not in context.answer.body
    assert b".py" not in context.answer.body
    assert context.answer.headers["samphire-outcome"] == "not-run"


def _read_usage(context):
    settings = context.fleet.example.nodes[0]
    process = psutil.Process(context.fleet.processes[settings.stem].pid)
    return len(process.net_connections(kind="tcp")), process.num_fds()


@given("the node's open sockets and tasks are counted")
def step_count_usage(context):
    context.usage = _read_usage(context)


BAD_BYTES = {
    "garbage": bytes(range(256)) * 8,
    "cut preface": HTTP2_PREFACE[:10],
    "cut frame": HTTP2_PREFACE + EMPTY_SETTINGS_FRAME + bytes.fromhex("0000ff0000"),
    "cut head": b"PUT /v1/targets/x HTTP/1.1\r\nHost:",
}


@when('{count:d} peers send "{kind}" to the "{port}" port of a node')
def step_send_bytes(context, count, kind, port):
    address = read_address(context.fleet.example.nodes[0], port)
    host, _, number = address.rpartition(":")
    for _ in range(count):
        if kind == "wrong type":
            _call_with_wrong_type(address)
            continue
        with socket.create_connection((host, int(number)), timeout=10) as connection:
            connection.sendall(BAD_BYTES[kind])


def _call_with_wrong_type(address):
    async def call():
        link = Link(address)
        try:
            async with link.open_stream(RUN_ATTEMPT, "no attempt") as frames:
                async for _ in frames:
                    raise AssertionError("a frame came back")
        except RemoteError as error:
            assert error.remote_code is ErrorCode.LINK_MESSAGE_INVALID, error
        else:
            raise AssertionError("no error came back")
        finally:
            link.close()

    anyio.run(call)


@then("the node still serves callers")
def step_check_serves(context):
    answer = send_request(_list_callers(context)[0], "GET", "/a", headers={"Host": RECIPES})
    assert answer.status == 200, answer


@then("the node has no more sockets and tasks than before")
def step_check_usage(context):
    deadline = time.monotonic() + SETTLE_TIMEOUT_S
    while True:
        connections, descriptors = _read_usage(context)
        # Links between nodes may open meanwhile; bad peers would leave 20 each.
        if connections <= context.usage[0] + 10 and descriptors <= context.usage[1] + 10:
            return
        assert time.monotonic() < deadline, (context.usage, connections, descriptors)
        time.sleep(0.1)


@when("a backend server announces {announcement}")
def step_announce(context, announcement):
    address = read_address(context.fleet.example.nodes[0], "local_listen")
    context.answer = send_request(
        address, "PUT", "/v1/targets/recipes-x", body=announcement.encode()
    )
    assert json.loads(context.answer.body)["status"] == context.answer.status
