import http.client
import json
import threading
import time

from behave import given, then, when

from fleet.client import send_json, send_request
from fleet.example import read_address

ORDERS = "orders.wheatsheaf.example"
READY_TIMEOUT_S = 30.0
DEADLINE_MS = "12000"
KIT = b'{"kit": 1}'


def _list_order_targets(context):
    targets = json.loads(context.fleet.example.targets.read_text())["targets"]
    return [target for target in targets if target["service"] == "orders"]


def _read_address(context, node):
    return read_address(context.fleet.example.nodes[node], "caller_listen")


def _make_headers(key, deadline_ms):
    return {
        "Host": ORDERS,
        "Idempotency-Key": key,
        "X-Workspace": "bakers",
        "Samphire-Deadline-Ms": deadline_ms,
    }


def _send_order(context, key, node, *, body=KIT, deadline_ms=DEADLINE_MS):
    headers = _make_headers(key, deadline_ms)
    return send_request(
        _read_address(context, node), "POST", "/kit-orders", headers=headers, body=body
    )


def _record_response(context, response):
    context.earlier = getattr(context, "response", None)
    context.response = response


def _set_behaviour(context, **members):
    for target in _list_order_targets(context):
        send_json(target["address"], "PUT", "/_behaviour", members)


@when('an order "{key}" is sent at node {node:d}')
def step_send_order(context, key, node):
    _record_response(context, _send_order(context, key, node))


@when('an order "{key}" is sent at node {node:d} with another body')
def step_send_other(context, key, node):
    _record_response(context, _send_order(context, key, node, body=b'{"kit": 2}'))


@when('an order "{key}" is sent at node {node:d} with a deadline of {deadline:d} ms')
def step_send_deadline(context, key, node, deadline):
    _record_response(context, _send_order(context, key, node, deadline_ms=str(deadline)))


@when('an order "{key}" is sent at nodes 0 and 1 at the same time')
def step_send_two(context, key):
    responses = {}

    def send(node):
        responses[node] = _send_order(context, key, node)

    threads = [threading.Thread(target=send, args=(node,)) for node in (0, 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.earlier, context.response = responses[0], responses[1]


@when('an order "{key}" is sent at node 0, which is killed while it runs')
def step_kill_node(context, key):
    def send():
        try:
            _send_order(context, key, 0)
        except OSError:
            return

    thread = threading.Thread(target=send)
    thread.start()
    _wait_for_run(context, key)
    context.fleet.kill(context.fleet.example.nodes[0].stem)
    thread.join()


@when('the caller of an order "{key}" at node {node:d} disconnects while it runs')
def step_disconnect(context, key, node):
    context.cancelled_before = _sum_cancelled(context)
    connection = http.client.HTTPConnection(_read_address(context, node), timeout=READY_TIMEOUT_S)
    connection.request("POST", "/kit-orders", body=KIT, headers=_make_headers(key, DEADLINE_MS))
    _wait_for_run(context, key)
    connection.close()


@then('order "{key}" ran {count:d} time and was not cancelled')
def step_check_not_cancelled(context, key, count):
    step_check_runs(context, key, count)
    assert _sum_cancelled(context) == context.cancelled_before


def _wait_for_run(context, key):
    deadline = time.monotonic() + READY_TIMEOUT_S
    while _count_runs(context, key) == 0:
        assert time.monotonic() < deadline, "the order did not start"
        time.sleep(0.02)


def _count_runs(context, key):
    return sum(counts["runs"].get(key, 0) for counts in _read_counts(context))


def _sum_cancelled(context):
    return sum(counts["cancelled"] for counts in _read_counts(context))


def _read_counts(context):
    for target in _list_order_targets(context):
        yield send_request(target["address"], "GET", "/_counts").json


@given("the backend servers of orders take {delay:d} ms")
def step_slow(context, delay):
    _set_behaviour(context, mode="well", delay_ms=delay)


@given("the backend servers of orders stall")
def step_stall(context):
    _set_behaviour(context, mode="stalling")


@given("the backend servers of orders are healthy again")
@then("the backend servers of orders are healthy again")
def step_healthy(context):
    _set_behaviour(context, mode="well")


@when("a control host is killed")
def step_kill_control(context):
    context.fleet.kill(context.fleet.example.controls[0].stem)


@given("another control host is killed")
def step_kill_second_control(context):
    context.fleet.kill(context.fleet.example.controls[1].stem)


@then('the order\'s response has status {status:d}, outcome "{outcome}" and {count:d} attempts')
def step_check_order(context, status, outcome, count):
    response = context.response
    assert response.status == status, (response.status, response.body)
    assert response.headers["samphire-outcome"] == outcome, response.headers
    assert response.headers["samphire-attempts"] == str(count), response.headers


@then('the order\'s response has status {status:d} and code "{code}"')
def step_check_order_code(context, status, code):
    response = context.response
    assert (response.status, response.code) == (status, code), (response.status, response.body)


@then('the order\'s outcome is "{outcome}"')
def step_check_outcome(context, outcome):
    allowed = [part.strip(' "') for part in outcome.split(" or ")]
    assert context.response.headers["samphire-outcome"] in allowed, context.response


@then('both responses are identical and order "{key}" ran {count:d} time')
def step_check_same(context, key, count):
    assert context.response.status == context.earlier.status == 200, (
        context.response,
        context.earlier,
    )
    assert context.response.body == context.earlier.body
    assert _count_runs(context, key) == count


@then('order "{key}" ran {count:d} time')
@then('order "{key}" ran {count:d} times')
def step_check_runs(context, key, count):
    assert _count_runs(context, key) == count, _count_runs(context, key)


@then("a read of recipes at node {node:d} has status {status:d}")
def step_check_read(context, node, status):
    headers = {"Host": "recipes.wheatsheaf.example", "X-Workspace": "bakers"}
    response = send_request(_read_address(context, node), "GET", "/bread", headers=headers)
    assert response.status == status, (response.status, response.body)
