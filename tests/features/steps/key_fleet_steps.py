import json
import os
import signal
import socket
import tempfile
import threading
import time
import uuid
from contextlib import ExitStack
from pathlib import Path

from behave import given, then, when

from features.steps.one_way_steps import CONTROL_PORT_OFFSET, READ, shift_port
from features.steps.workspace_keys_steps import hash_keys
from fleet.client import send_request, send_to_leader
from fleet.example import place_example, read_address
from fleet.partition import OneWayPartition
from fleet.processes import run_fleet

PORT_OFFSET = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
KEYS = ("k-old", "k-kept")
TOKEN = "example-token-recipes"
SECTION_PATH = "/v1/document/sections/recipes"
POLL_S = 0.1
REQUEST_INTERVAL_S = 0.02


def add_keys(example, lease_s):
    document = json.loads(example.document.read_text())
    document["fleet"]["key_lease_ms"] = round(lease_s * 1_000)
    document["recipes"]["workspaces"] = {"bakers": {"api_keys": hash_keys(*KEYS)}}
    example.document.write_text(json.dumps(document))


@given("a running fleet whose requests need keys, with leases of {lease:g} s")
def step_start(context, lease):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="keys-")))
    example = place_example("wheatsheaf", folder, port_offset=PORT_OFFSET)
    links = [read_address(path, "link_listen") for path in example.controls]
    routes = {address: shift_port(address, CONTROL_PORT_OFFSET) for address in links}
    overrides = {
        path.name: {"link_listen": routes[read_address(path, "link_listen")]}
        for path in example.controls
    }
    example = place_example("wheatsheaf", folder, port_offset=PORT_OFFSET, overrides=overrides)
    add_keys(example, lease)
    context.control_links = links
    context.links = OneWayPartition(routes)
    stack.enter_context(context.links.serve())
    context.fleet = stack.enter_context(run_fleet(example))


def find_callers(context, node):
    return read_address(context.fleet.example.folder / f"{node}.json", "caller_listen")


def read_with_key(context, key, node):
    headers = {**READ, "Samphire-Api-Key": key}
    return send_request(find_callers(context, node), "GET", "/recipes/1", headers=headers)


def wait_until_served(context, key, node, *, limit_s):
    deadline = time.monotonic() + limit_s
    while (response := read_with_key(context, key, node)).status != 200:
        assert time.monotonic() < deadline, response
        time.sleep(POLL_S)


def withdraw(context, key):
    """Withdraw a key, and return once the change is acknowledged."""
    addresses = [read_address(path, "operator_listen") for path in context.fleet.example.controls]
    current = send_to_leader(addresses, "GET", SECTION_PATH, token=TOKEN).json
    content = current["content"]
    kept = [other for other in KEYS if other != key]
    content["workspaces"]["bakers"]["api_keys"] = hash_keys(*kept)
    change = {
        "base_version": current["version"],
        "change_id": str(uuid.uuid4()),
        "content": content,
    }
    response = send_to_leader(addresses, "PUT", SECTION_PATH, change, token=TOKEN)
    assert response.status == 200, response
    context.acknowledged_at_s = time.monotonic()


@then('requests with the keys "{first}" and "{second}" are served by "{node}"')
def step_check_both(context, first, second, node):
    for key in (first, second):
        wait_until_served(context, key, node, limit_s=10.0)


@when('"{node}" is frozen, the key "{key}" is withdrawn, and {pause:g} s pass')
def step_freeze(context, node, key, pause):
    context.fleet.signal(node, signal.SIGSTOP)
    withdraw(context, key)
    time.sleep(pause)


@when('{count:d} requests with the key "{key}" are sent to "{node}", and it wakes')
def step_send_and_wake(context, count, key, node):
    host, _, port = find_callers(context, node).rpartition(":")
    head = f"GET /recipes/1 HTTP/1.1\r\nHost: {READ['Host']}\r\nSamphire-Api-Key: {key}\r\n"
    text = f"{head}Connection: close\r\n\r\n".encode()
    connections = []
    for _ in range(count):
        connection = socket.create_connection((host, int(port)), timeout=15)
        connection.sendall(text)
        connections.append(connection)
    context.fleet.signal(node, signal.SIGCONT)
    context.statuses = []
    for connection in connections:
        with connection:
            line = connection.makefile("rb").readline()
        context.statuses.append(int(line.split()[1]))


@then("none of these requests ran")
def step_check_none_ran(context):
    assert context.statuses and set(context.statuses) <= {401, 503}, context.statuses


@then('within {limit:g} s requests with the key "{key}" are served by "{node}"')
def step_check_served_again(context, limit, key, node):
    wait_until_served(context, key, node, limit_s=limit)
    context.node = node


@then('requests with the key "{key}" are refused with 401')
def step_check_unauthorized(context, key):
    response = read_with_key(context, key, context.node)
    assert (response.status, response.code) == (401, "api_key_unknown"), response


@then('requests with the key "{key}" are served by "{node}"')
def step_check_served(context, key, node):
    wait_until_served(context, key, node, limit_s=2.0)


class Sender:
    """Sends requests with one key to one node, and records when those that ran were sent."""

    def __init__(self, context, key, node):
        self.ran_at_s = []
        self.sent_count = 0
        self._arguments = (context, key, node)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._send)
        self._thread.start()

    def close(self):
        self._stop.set()
        self._thread.join()

    def _send(self):
        while not self._stop.wait(REQUEST_INTERVAL_S):
            sent_at_s = time.monotonic()
            self.sent_count += 1
            if read_with_key(*self._arguments).status == 200:
                self.ran_at_s.append(sent_at_s)


@when('"{node}" is cut off from the control hosts, and the key "{key}" is withdrawn')
def step_cut(context, node, key):
    context.sender = Sender(context, key, node)
    context.add_cleanup(context.sender.close)
    process = context.fleet.processes[node].pid
    for address in context.control_links:
        for toward in (True, False):
            context.links.cut_direction(address, toward=toward, opened_by=process)
    withdraw(context, key)


@then('{limit:g} s after the acknowledgement no request with the key "{key}" runs at "{node}"')
def step_check_limit(context, limit, key, node):
    time.sleep(max(0.0, context.acknowledged_at_s + limit + 3.0 - time.monotonic()))
    context.sender.close()
    ran = [at_s - context.acknowledged_at_s for at_s in context.sender.ran_at_s]
    # The node hears of nothing, so it goes on for a while.
    assert any(after_s > 0.0 for after_s in ran), ran
    assert max(ran) <= limit, max(ran)
    assert context.links.hold_count > 0
    context.node = node


@then('requests with the key "{key}" are refused there with {status:d} "{code}"')
def step_check_refused_there(context, key, status, code):
    response = read_with_key(context, key, context.node)
    assert (response.status, response.code) == (status, code), response
    assert response.headers["samphire-outcome"] == "not-run"
    assert int(response.headers["retry-after"]) >= 1


@when("the node can reach the control hosts again")
def step_heal(context):
    context.links.heal()
