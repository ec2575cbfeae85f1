import http.client
import json
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from fleet.client import send_json, send_request
from fleet.example import read_address
from fleet.processes import read_dump, read_host

CANCEL_TIMEOUT_S = 30.0


def list_targets(context, service, *, host=None):
    targets = json.loads(context.fleet.example.targets.read_text())["targets"]
    return [t for t in targets if t["service"] == service and host in (None, t["host"])]


def set_behaviour(target, mode, **members):
    response = send_json(target["address"], "POST", "/_behaviour", {"mode": mode, **members})
    assert response.status == 200


def read_counts(target):
    return send_request(target["address"], "GET", "/_counts").json


def find_caller_address(context):
    return read_address(context.fleet.example.nodes[0], "caller_listen")


def change_behaviour(context, targets, mode, **members):
    context.changed_targets = targets
    context.counts_before = {t["target"]: read_counts(t) for t in targets}
    for target in targets:
        set_behaviour(target, mode, **members)
        context.add_cleanup(set_behaviour, target, "well")


@given('the targets of "{service}" on the first node\'s host are "{mode}"')
def step_change_host(context, service, mode):
    host = read_host(context.fleet.example.nodes[0])
    change_behaviour(context, list_targets(context, service, host=host), mode)


@given('all targets of "{service}" are "{mode}"')
def step_change_all(context, service, mode):
    change_behaviour(context, list_targets(context, service), mode)


@given('all targets of "{service}" take {delay:d} ms')
def step_slow_all(context, service, delay):
    change_behaviour(context, list_targets(context, service), "well", delay_ms=delay)


RAW_RESPONSES = {
    "a body": "HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}",
    "a chunked body": "HTTP/1.1 {status} X\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\n{{}}\r\n0\r\n\r\n",
    "an interim response before": "HTTP/1.1 100 Continue\r\n\r\n"
    "HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}",
    "a refusal": "HTTP/1.1 {status} X\r\nContent-Length: 20\r\n\r\n" '{{"code": "shedding"}}',
}


@given(
    'the targets of "{service}" on the first node\'s host send {response} with status "{status}"'
)
def step_send_raw_on_host(context, service, response, status):
    raw = RAW_RESPONSES[response].format(status=status)
    host = read_host(context.fleet.example.nodes[0])
    change_behaviour(context, list_targets(context, service, host=host), "raw", raw=raw)


@given('all targets of "{service}" send {response} with status "{status}"')
def step_send_raw_everywhere(context, service, response, status):
    raw = RAW_RESPONSES[response].format(status=status)
    change_behaviour(context, list_targets(context, service), "raw", raw=raw)


@when('a caller reads {count:d} times from "{host}" at the first node')
def step_read_times(context, count, host):
    address = find_caller_address(context)

    def read(number):
        return send_request(address, "GET", f"/{number}", headers={"Host": host})

    with ThreadPoolExecutor(max_workers=4) as pool:
        context.responses = list(pool.map(read, range(count)))


@then('each response is complete with outcome "{outcome}"')
def step_check_complete(context, outcome):
    for number, response in enumerate(context.responses):
        assert response.status == 200, response
        assert response.json["path"] == f"/{number}"
        assert response.headers["samphire-outcome"] == outcome


@then('no target that is "{mode}" ran a request')
def step_check_none_ran(context, mode):
    for target in context.changed_targets:
        before = context.counts_before[target["target"]]["started"]
        assert read_counts(target)["started"] == before


@then("at least one response took several attempts")
def step_check_attempts(context):
    assert max(int(r.headers["samphire-attempts"]) for r in context.responses) > 1


@when('a caller reads {size:d} bytes from "{host}" at the first node')
def step_read_long(context, size, host):
    headers = {"Host": host, "X-Answer-Bytes": str(size)}
    try:
        context.response = send_request(find_caller_address(context), "GET", "/", headers=headers)
    except (http.client.IncompleteRead, ConnectionError) as error:
        context.error = error
    else:
        context.error = None


@then("the caller detects that the response is cut off")
def step_check_cut(context):
    assert context.error is not None, context.response.status


@when('a caller of "{host}" disconnects after {wait:d} ms')
def step_disconnect(context, host, wait):
    connection = http.client.HTTPConnection(find_caller_address(context), timeout=10)
    connection.request("GET", "/", headers={"Host": host, "Samphire-Deadline-Ms": "60000"})
    time.sleep(wait / 1_000)
    connection.close()


@then('every started request of "{service}" is cancelled at its target')
def step_check_cancelled(context, service):
    deadline = time.monotonic() + CANCEL_TIMEOUT_S
    while True:
        sums = dict.fromkeys(("started", "finished", "cancelled"), 0)
        for target in context.changed_targets:
            before = context.counts_before[target["target"]]
            counts = read_counts(target)
            for name in sums:
                sums[name] += counts[name] - before[name]
        if sums["started"] >= 1 and sums["cancelled"] == sums["started"]:
            return
        assert time.monotonic() < deadline, sums
        time.sleep(0.05)


ORDERS = {
    "a kit order": b"{}",
    "a streamed kit order": [b"{}" + b" " * 65_534] * 10,
}


@when("a caller posts {order} with a deadline of {deadline:d} ms")
def step_post_order(context, order, deadline):
    headers = {
        "Host": "orders.wheatsheaf.example",
        "Samphire-Deadline-Ms": str(deadline),
        "X-Workspace": "bakers",
        "Idempotency-Key": f"order-{context.scenario.name}",
    }
    headers["Idempotency-Key"] = headers["Idempotency-Key"].replace(" ", "-")
    context.response = send_request(
        find_caller_address(context), "POST", "/kit-orders", headers=headers, body=ORDERS[order]
    )


@then('the response has outcome "{outcome}" and status {status:d} after {attempts} attempt')
def step_check_outcome(context, outcome, status, attempts):
    response = context.response
    assert response.status == status, response
    assert response.headers["samphire-outcome"] == outcome, response
    assert response.headers["samphire-attempts"] == attempts, response
    if outcome == "not-run":
        assert response.headers["retry-after"] == "1", response


def has_only_successful_probes(dump):
    prober = dump["target_prober"]
    latest = {entry["target"]: entry["succeeded"] for entry in prober["latest"]}
    return set(latest) == set(prober["scheduled"]) and all(latest.values()) and latest


@then(
    "within {limit:d} s every target has been probed,"
    " and each node's dump reports that all its probes succeeded"
)
def step_check_probes(context, limit):
    example = context.fleet.example
    targets = json.loads(example.targets.read_text())["targets"]
    addresses = [read_address(path, "local_listen") for path in example.nodes]
    deadline = time.monotonic() + limit
    while not (
        all(read_counts(target)["probes"] for target in targets)
        and all(has_only_successful_probes(read_dump(address)) for address in addresses)
    ):
        assert time.monotonic() < deadline, [read_counts(target) for target in targets]
        time.sleep(0.2)
