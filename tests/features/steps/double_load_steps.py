import threading
import time
from collections import Counter
from itertools import cycle

from behave import then, when

from fleet.client import send_request
from fleet.example import read_address

HOST = "recipes.wheatsheaf.example"
PATHS = {"interactive": "/bread", "helper": "/internal/units"}
WAIT_LIMIT_S = 60.0
REFUSAL_PAUSE_S = 1.0


class _Load:
    """Threads that each send requests in sequence until enough helper requests were refused."""

    def __init__(self, addresses):
        self.addresses = cycle(addresses)
        self.responses = {priority: [] for priority in PATHS}
        self.done = threading.Event()

    def run(self, counts, *, refusals):
        threads = [
            threading.Thread(
                target=self._send_repeatedly, args=(priority, number, next(self.addresses))
            )
            for priority, count in counts.items()
            for number in range(count)
        ]
        for thread in threads:
            thread.start()
        deadline = time.monotonic() + WAIT_LIMIT_S
        while count_refused(self.responses["helper"]) < refusals and time.monotonic() < deadline:
            time.sleep(0.05)
        self.done.set()
        for thread in threads:
            thread.join()

    def _send_repeatedly(self, priority, number, address):
        headers = {"Host": HOST, "X-Workspace": f"{priority}-{number}"}
        while not self.done.is_set():
            response = send_request(address, "GET", PATHS[priority], headers=headers)
            self.responses[priority].append(response)
            if response.status == 503:
                self.done.wait(REFUSAL_PAUSE_S)


def count_refused(responses):
    return sum(response.status == 503 for response in tuple(responses))


@when(
    "{urgent:d} interactive and {helpers:d} helper callers send to 60 slots"
    " until {refusals:d} helpers were refused"
)
def step_double_load(context, urgent, helpers, refusals):
    nodes = context.fleet.example.nodes
    context.load = _Load([read_address(node, "caller_listen") for node in nodes])
    context.load.run({"interactive": urgent, "helper": helpers}, refusals=refusals)
    context.refusals = refusals


@then('helpers were refused first, each with its reason, outcome "not-run" and a retry delay')
def step_check_refusals(context):
    responses = context.load.responses
    refused = {priority: count_refused(responses[priority]) for priority in PATHS}
    print(f"  measured: {refused} refused of { {p: len(r) for p, r in responses.items()} }")
    assert refused["helper"] >= context.refusals, refused
    refused_share = {priority: refused[priority] / len(responses[priority]) for priority in PATHS}
    assert refused_share["interactive"] < refused_share["helper"] / 4, refused_share
    reasons = Counter(
        (response.code, response.json["detail"].rpartition(" ")[2])
        for response in responses["helper"]
        if response.status == 503
    )
    assert reasons[("refused", "shedding")] > 0, reasons
    assert {code for code, _ in reasons} == {"refused"}, reasons
    for response in (*responses["helper"], *responses["interactive"]):
        if response.status == 503:
            assert response.headers["samphire-outcome"] == "not-run", response
            assert int(response.headers["retry-after"]) >= 1, response
