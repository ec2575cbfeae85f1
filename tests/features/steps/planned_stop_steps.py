import json
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from fleet.client import send_json, send_request
from fleet.example import read_address

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
