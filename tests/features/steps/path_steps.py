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


def _list_caller_addresses(context):
    return [read_address(path, "caller_listen") for path in context.fleet.example.nodes]


@when('a caller requests "{path}" of "{host}" from each node')
def step_request_each(context, path, host):
    context.responses = [
        send_request(address, "GET", path, headers={"Host": host})
        for address in _list_caller_addresses(context)
    ]


@then('each response is complete and for "{path}"')
def step_check_each(context, path):
    assert len(context.responses) == 3
    for response in context.responses:
        assert response.status == 200, response
        assert response.json["path"] == path, response
        assert int(response.headers["content-length"]) == len(response.body)


@then('each response has outcome "{outcome}" and {attempts} attempts')
def step_check_metadata(context, outcome, attempts):
    for response in context.responses:
        assert response.headers["samphire-outcome"] == outcome
        assert response.headers["samphire-attempts"] == attempts


@when('a caller requests "{path}" of "{host}" with header "{name}" "{value}"')
def step_request_with_header(context, path, host, name, value):
    headers = {"Host": host, name: value}
    context.response = send_request(
        _list_caller_addresses(context)[0], "GET", path, headers=headers
    )


@then("the response has status {status:d}")
def step_check_status(context, status):
    assert context.response.status == status, context.response


@then("the backend server received a deadline of at most {limit:d} ms")
def step_check_deadline(context, limit):
    assert 0 < context.response.json["deadline_ms"] <= limit, context.response


@then("the response has at least {count:d} bytes")
def step_check_size(context, count):
    assert len(context.response.body) >= count
    assert int(context.response.headers["content-length"]) == len(context.response.body)


@when("{count:d} concurrent requests with different echo values are sent to all nodes")
def step_request_concurrently(context, count):
    addresses = _list_caller_addresses(context)

    def request(number):
        headers = {"Host": RECIPES, "X-Echo": f"echo-{number}"}
        return send_request(addresses[number % 3], "GET", f"/{number}", headers=headers)

    with ThreadPoolExecutor(max_workers=24) as pool:
        context.responses = list(pool.map(request, range(count)))


@then("each response has the echo value of its request")
def step_check_echoes(context):
    for number, response in enumerate(context.responses):
        assert response.status == 200, response
        assert response.json["echo"] == f"echo-{number}", response
        assert response.json["path"] == f"/{number}", response


def _exchange_raw(address, data):
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        connection.sendall(data)
        received = b""
        while True:
            chunk = connection.recv(65536)
            if not chunk:
                break
            received += chunk
    head, _, body = received.partition(b"\r\n\r\n")
    status_line, *lines = head.decode().split("\r\n")
    pairs = [line.partition(": ") for line in lines]
    headers = {name.lower(): value for name, _, value in pairs}
    return Response(status=int(status_line.split()[1]), headers=headers, body=body)


RAW_REQUESTS = {
    "garbage": b"\x00\x01 nonsense\r\n\r\n",
    "no host": b"GET / HTTP/1.0\r\n\r\n",
    "two content lengths": (
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabc"
    ),
    "oversize headers": b"GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + b"x" * 200_000 + b"\r\n\r\n",
}
PARSABLE_REQUESTS = {
    "oversize body": ("POST", "orders.wheatsheaf.example", {}, b"x" * 2_000_000),
    "unknown host": ("GET", "nowhere.example", {}, None),
    "method not routed": ("DELETE", RECIPES, {}, None),
    "expired deadline": ("GET", RECIPES, {"Samphire-Deadline-Ms": "0"}, None),
    "malformed deadline": ("GET", RECIPES, {"Samphire-Deadline-Ms": "soon"}, None),
    "malformed key": ("GET", RECIPES, {"Idempotency-Key": "a b"}, None),
}


@when('a caller sends "{request}"')
def step_send_invalid(context, request):
    address = _list_caller_addresses(context)[0]
    if request in RAW_REQUESTS:
        context.response = _exchange_raw(address, RAW_REQUESTS[request])
        return
    method, host, headers, body = PARSABLE_REQUESTS[request]
    context.response = send_request(
        address, method, "/kit-orders", headers={"Host": host, **headers}, body=body
    )


@then('the response has status {status:d} and code "{code}"')
def step_check_code(context, status, code):
    assert context.response.status == status, context.response
    assert context.response.code == code, context.response


@then("the response contains no traceback")
def step_check_no_traceback(context):
    assert b"Traceback" not in context.response.body
    assert b".py" not in context.response.body
    assert context.response.headers["samphire-outcome"] == "not-run"


def _read_usage(context):
    settings = context.fleet.example.nodes[0]
    process = psutil.Process(context.fleet.processes[settings.stem].pid)
    return len(process.net_connections(kind="tcp")), process.num_fds()


@given("the node's open connections and file descriptors are counted")
def step_count_usage(context):
    context.usage = _read_usage(context)


INVALID_BYTES = {
    "garbage": bytes(range(256)) * 8,
    "truncated preface": HTTP2_PREFACE[:10],
    "truncated frame": HTTP2_PREFACE + EMPTY_SETTINGS_FRAME + bytes.fromhex("0000ff0000"),
    "truncated head": b"PUT /v1/targets/x HTTP/1.1\r\nHost:",
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
            connection.sendall(INVALID_BYTES[kind])


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
    response = send_request(
        _list_caller_addresses(context)[0], "GET", "/a", headers={"Host": RECIPES}
    )
    assert response.status == 200, response


@then("the node has closed the connections of these peers")
def step_check_usage(context):
    deadline = time.monotonic() + SETTLE_TIMEOUT_S
    while True:
        connections, descriptors = _read_usage(context)
        # Links between nodes may be opened meanwhile; leaked connections of the peers would be 20.
        if connections <= context.usage[0] + 10 and descriptors <= context.usage[1] + 10:
            return
        assert time.monotonic() < deadline, (context.usage, connections, descriptors)
        time.sleep(0.1)


@when("a backend server announces {announcement}")
def step_announce(context, announcement):
    address = read_address(context.fleet.example.nodes[0], "local_listen")
    context.response = send_request(
        address, "PUT", "/v1/targets/recipes-x", body=announcement.encode()
    )
    assert json.loads(context.response.body)["status"] == context.response.status
