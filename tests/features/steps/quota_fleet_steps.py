import json
import os
import re
import signal
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from behave import given, then, when

from fleet.client import send_request
from fleet.example import place_example, read_address
from fleet.leaders import find_leader
from fleet.processes import run_fleet

PORT_OFFSET = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
DEADLINE_MS = 8_000
WINDOW_S = 5.0
HOST = "recipes.wheatsheaf.example"
CLIENTS = 250
"""More than can be in flight, so that no request is sent late."""


@dataclass(frozen=True, kw_only=True)
class Sent:
    """A request and its response, with times since the start in seconds."""

    sent_s: float
    ended_s: float
    status: int
    headers: dict


@given(
    'a fleet in which workspace "{workspace}" has a quota of {rate:d} per s and a burst of'
    " {burst:d}"
)
def step_start(context, workspace, rate, burst):
    folder = tempfile.TemporaryDirectory(prefix="quotas-")
    context.add_cleanup(folder.cleanup)
    example = place_example("wheatsheaf", Path(folder.name), port_offset=PORT_OFFSET)
    document = json.loads(example.document.read_text())
    document["fleet"] |= {"quota_overshoot": 0.1, "quota_slack": 20, "quota_window_s": WINDOW_S}
    quota = {"requests_per_s": rate, "burst": burst}
    document["recipes"]["workspaces"] = {workspace: {"quota": quota}}
    for route in document["recipes"]["routes"]:
        route["deadline_ms"] = DEADLINE_MS
    example.document.write_text(json.dumps(document))
    fleet = run_fleet(example)
    context.fleet = fleet.__enter__()
    context.add_cleanup(fleet.__exit__, None, None, None)


@when(
    '"{workspace}" sends {rate:d} per s to each of {count:d} nodes for {span:d} s, and the leading'
    " control host is {fault} after {after:d} s"
)
def step_send(context, workspace, rate, count, span, fault, after):
    addresses = [read_address(path, "caller_listen") for path in context.fleet.example.nodes]
    context.start_s = time.monotonic()
    context.span_s = span
    with ThreadPoolExecutor(CLIENTS) as pool:
        faults = pool.submit(_lose_leader, context, fault, after)
        calls = [
            (number / rate, address, workspace)
            for number in range(span * rate)
            for address in addresses[:count]
        ]
        calls += [(number / 2, addresses[0], "other") for number in range(span * 2)]
        results = [
            (name, pool.submit(_send, context.start_s, at_s, address, name))
            for at_s, address, name in sorted(calls)
        ]
        context.sent = [future.result() for name, future in results if name == workspace]
        context.others = [future.result() for name, future in results if name != workspace]
        faults.result()


def _lose_leader(context, fault, after):
    time.sleep(max(0.0, context.start_s + after - time.monotonic()))
    leader = find_leader(context.fleet).stem
    if fault == "killed":
        context.fleet.kill(leader)
        return
    context.fleet.signal(leader, signal.SIGSTOP)
    time.sleep(float(re.fullmatch(r"paused for (.*) s", fault)[1]))
    context.fleet.signal(leader, signal.SIGCONT)


def _send(start_s, at_s, address, workspace):
    time.sleep(max(0.0, start_s + at_s - time.monotonic()))
    sent_s = time.monotonic() - start_s
    response = send_request(
        address, "GET", "/recipes/1", headers={"Host": HOST, "X-Workspace": workspace}
    )
    return Sent(
        sent_s=sent_s,
        ended_s=time.monotonic() - start_s,
        status=response.status,
        headers=response.headers,
    )


@then('in any 5 s at most {most:d} requests of "acme" that were sent in it have run')
def step_check_rule(context, most):
    # The stand-ins answer at once: a request that reached its target has ended soon after.
    ran = [sent for sent in context.sent if sent.status == 200]
    for first in ran:
        end_s = first.sent_s + WINDOW_S
        inside = sum(first.sent_s <= one.sent_s and one.ended_s <= end_s for one in ran)
        assert inside <= most, (first.sent_s, inside)


@then('every request that did not run got 429, the outcome "not-run" and a delay')
def step_check_refusals(context):
    refused = [sent for sent in context.sent if sent.status != 200]
    assert refused
    for sent in refused:
        assert sent.status == 429, sent
        assert sent.headers["samphire-outcome"] == "not-run", sent
        assert int(sent.headers["retry-after"]) >= 1, sent


@then('"acme" is served {least:d} per s in the last 5 s, and at most {most:d} per s')
def step_check_rate(context, least, most):
    from_s = context.span_s - 5
    served = sum(sent.status == 200 and sent.sent_s >= from_s for sent in context.sent)
    assert least * 5 <= served <= most * 5, served / 5


@then("the nodes logged that the quota was spent, and that control was lost and reached again")
def step_check_logs(context):
    for path in context.fleet.example.nodes[:2]:
        log = (context.fleet.example.folder / f"{path.stem}.log").read_text()
        for event in ("quota_spent", "quota_control_lost", "quota_control_reachable"):
            assert event in log, (path.stem, event)


@then("a workspace without a quota was served all the time")
def step_check_others(context):
    assert {sent.status for sent in context.others} == {200}, context.others
