import json
import signal
import socket
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime

from behave import given, then, when

from fleet.client import send_json, send_request
from fleet.example import read_address

ORDERS = "orders.wheatsheaf.example"
RECIPES = "recipes.wheatsheaf.example"
WAIT_S = 15.0


def _list_targets(context):
    return json.loads(context.fleet.example.targets.read_text())["targets"]


def _read(address, number=0):
    headers = {"Host": RECIPES, "X-Echo": str(number), "Samphire-Deadline-Ms": "2000"}
    return send_request(address, "GET", f"/{number}", headers=headers)


def _restart_after_scenario(context, settings):
    """Start the node again after the scenario, for the next one."""
    context.add_cleanup(context.fleet.wait_until_serving)
    context.add_cleanup(context.fleet.start_node, settings)


@given("the backend servers respond after {delay:d} ms")
def step_set_delay(context, delay):
    for target in _list_targets(context):
        send_json(target["address"], "POST", "/_behaviour", {"delay_ms": delay})
        context.add_cleanup(send_json, target["address"], "POST", "/_behaviour", {})


@when("{count:d} callers send reads to all nodes at the same time and one node is asked to stop")
def step_stop_under_load(context, count):
    nodes = context.fleet.example.nodes
    addresses = [read_address(path, "caller_listen") for path in nodes]
    with ThreadPoolExecutor(max_workers=count) as pool:
        futures = [pool.submit(_read, addresses[n % len(nodes)], n) for n in range(count)]
        time.sleep(0.5)
        context.exit_status = context.fleet.stop(nodes[0].stem)
        context.responses = [future.result() for future in futures]
    _restart_after_scenario(context, nodes[0])


@then("all callers receive complete responses")
def step_check_responses(context):
    for number, response in enumerate(context.responses):
        assert response.status == 200, response
        assert response.json["echo"] == str(number), response


@then("the stopped node exits with status {status:d}")
def step_check_status(context, status):
    assert context.exit_status == status, context.exit_status


@given("a node that gives requests in flight {timeout:g} s when it stops")
def step_set_drain_timeout(context, timeout):
    settings = context.fleet.example.nodes[0]
    text = settings.read_text()
    settings.write_text(json.dumps(json.loads(text) | {"drain_timeout_s": timeout}))
    _restart_after_scenario(context, settings)
    context.add_cleanup(settings.write_text, text)
    context.fleet.stop(settings.stem)
    context.fleet.start_node(settings)
    context.fleet.wait_until_serving()


@given("the backend servers don't respond")
def step_stall(context):
    for target in _list_targets(context):
        send_json(target["address"], "POST", "/_behaviour", {"mode": "stalling"})
        context.add_cleanup(send_json, target["address"], "POST", "/_behaviour", {})


@when("the node is asked to stop {delay:d} ms after a caller sent it {request}")
def step_stop_during_request(context, delay, request):
    settings = context.fleet.example.nodes[0]
    address = read_address(settings, "caller_listen")
    with ThreadPoolExecutor(max_workers=1) as pool:
        future = pool.submit(SENDERS[request], address)
        time.sleep(delay / 1_000)
        context.exit_status = context.fleet.stop(settings.stem)
        context.response = future.result()


def _send_order(address, **headers):
    headers = {
        "Host": ORDERS,
        "X-Workspace": "bakers",
        "Samphire-Deadline-Ms": "30000",
        **headers,
    }
    return send_json(address, "POST", "/kit-orders", {"kit": "supper"}, headers=headers)


def _send_order_with_key(address):
    return _send_order(address, **{"Idempotency-Key": f"stop-{uuid.uuid4()}"})


SENDERS = {"an action": _send_order, "an action with a key": _send_order_with_key}


@then('the caller receives status {status:d}, code "{code}" and outcome "{outcome}"')
def step_check_error(context, status, code, outcome):
    response = context.response
    assert (response.status, response.code) == (status, code), response
    assert response.headers["samphire-outcome"] == outcome, response


@when("a node is asked to stop and a caller then sends it a read")
def step_read_while_stopping(context):
    settings = context.fleet.example.nodes[0]
    context.fleet.signal(settings.stem, signal.SIGTERM)
    time.sleep(0.5)
    context.response = _read(read_address(settings, "caller_listen"))
    context.exit_status = context.fleet.stop(settings.stem)
    _restart_after_scenario(context, settings)


@then("the caller receives a complete response that closes the connection")
def step_check_closed_connection(context):
    assert context.response.status == 200, context.response
    assert context.response.headers["connection"] == "close", context.response


@when("a caller disconnects {delay:d} ms after sending a read")
def step_disconnect(context, delay):
    context.cancelled_before = _count_cancelled(context)
    host, _, port = read_address(context.fleet.example.nodes[0], "caller_listen").rpartition(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(b"GET /left HTTP/1.1\r\nHost: " + RECIPES.encode() + b"\r\n\r\n")
        time.sleep(delay / 1000)


def _count_cancelled(context):
    addresses = [target["address"] for target in _list_targets(context)]
    return sum(send_request(a, "GET", "/_counts").json["cancelled"] for a in addresses)


@then("the backend servers count {count:d} cancelled request")
def step_check_cancelled(context, count):
    deadline = time.monotonic() + WAIT_S
    while _count_cancelled(context) < context.cancelled_before + count:
        assert time.monotonic() < deadline, _count_cancelled(context)
        time.sleep(0.1)


@then("no node has logged an error")
def step_check_logs(context):
    for settings in context.fleet.example.nodes:
        log = (context.fleet.example.folder / f"{settings.stem}.log").read_text()
        errors = [line for line in log.splitlines() if '"level": "error"' in line]
        assert not errors, errors[:3]


@when("a node without requests is asked to stop")
def step_stop_idle_node(context):
    context.settings_path = context.fleet.example.nodes[0]
    context.exit_status = context.fleet.stop(context.settings_path.stem)
    _restart_after_scenario(context, context.settings_path)


@then('at most {most_s:g} s pass between its log lines "{first}" and "{last}"')
def step_check_log_times(context, most_s, first, last):
    log = (context.fleet.example.folder / f"{context.settings_path.stem}.log").read_text()
    lines = [json.loads(line) for line in log.splitlines() if line.startswith("{")]
    times = {line["event"]: datetime.fromisoformat(line["timestamp"]) for line in lines}
    passed_s = (times[last] - times[first]).total_seconds()
    assert 0.0 <= passed_s <= most_s, passed_s
