import json
import os
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path

from behave import given, then, when

from fleet.client import send_json, send_request
from fleet.example import place_example, read_address
from fleet.leaders import find_leader
from fleet.partition import OneWayPartition
from fleet.processes import read_dump, read_host, run_fleet, wait_until_listening

AGENT_PORT_OFFSET = 5
CONTROL_PORT_OFFSET = 2
POLL_S = 0.1
LOST_CONTACT_AGE_S = 3.0
BURST_SIZE = 40
"""Concurrent reads of a burst: twice the slots of a service at one host, so that the front also
needs hosts of other regions. A front judges only paths that it uses."""

BURST_INTERVAL_S = 0.5
READ_DELAY_MS = 150.0
"""Time that a target takes for a request, so that the reads of a burst overlap, in milliseconds."""

LEADERSHIP_TIMEOUT_S = 60.0
REGISTRY_GROUP = "registry"
FLOOR = 0.7
READ = {"Host": "recipes.wheatsheaf.example", "Samphire-Deadline-Ms": "15000"}
DIRECTIONS = {
    "to the agent": ("agent", True),
    "from the agent": ("agent", False),
    "to the registry": ("control", True),
    "from the registry": ("control", False),
}


def shift_port(address, offset):
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + offset}"


class FrontMonitor:
    """Sends requests to the fleet, and repeatedly records which targets each front doesn't use."""

    def __init__(self, fleet, readers):
        self.fleet = fleet
        self.readers = readers
        self.exclusions = []
        self.view_count = 0
        self.stop = threading.Event()
        self.threads = [
            threading.Thread(target=self.poll_fronts),
            threading.Thread(target=self.send_requests),
            threading.Thread(target=self.send_bursts),
        ]
        for thread in self.threads:
            thread.start()

    def close(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()

    def send_requests(self):
        number = 0
        while not self.stop.wait(0.01):
            number += 1
            try:
                send_request(self.readers[number % len(self.readers)], "GET", "/1", headers=READ)
            except OSError:
                continue

    def send_bursts(self):
        number = 0
        with ThreadPoolExecutor(BURST_SIZE) as senders:
            while not self.stop.wait(BURST_INTERVAL_S):
                number += 1
                reader = self.readers[number % len(self.readers)]
                for _ in range(BURST_SIZE):
                    senders.submit(send_request, reader, "GET", "/1", headers=READ)

    def poll_fronts(self):
        while not self.stop.wait(POLL_S):
            for settings in self.fleet.example.nodes:
                try:
                    table = read_dump(read_address(settings, "local_listen"))["target_table"]
                except OSError:
                    # On a busy test host, reading a dump may time out.
                    continue
                self.view_count += 1
                for service in table["advice"]["services"]:
                    if service["ejected"] or service["spared"]:
                        self.exclusions.append(
                            (settings.stem, service, measure_usable_share(table, service))
                        )


def measure_usable_share(table, service):
    """Return the share of a service's targets that a front may use."""
    avoided = set(table["advice"]["avoided_hosts"])
    ejected = set(service["ejected"])
    targets = [
        (target["target"], host["locality"]["host"])
        for host in table["hosts"]
        for target in host["targets"]
        if target["service"] == service["service"]
    ]
    total = len(targets) + len(service["missing"])
    return sum(t not in ejected and host not in avoided for t, host in targets) / total


@given('a running Wheatsheaf fleet whose links with "{node}" can be cut')
def step_fleet(context, node):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="one-way-")))
    offset = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
    example = place_example("wheatsheaf", folder, port_offset=offset)
    context.cut_node = next(path for path in example.nodes if path.stem == node)
    value = json.loads(context.cut_node.read_text())
    context.agent_links = [value["link_listen"]]
    agent_routes = {value["link_listen"]: shift_port(value["link_listen"], AGENT_PORT_OFFSET)}
    control_routes = {a: shift_port(a, CONTROL_PORT_OFFSET) for a in value["control_links"]}
    context.control_links = list(control_routes)
    # Every process reaches the control hosts through the forwarders: a reply of a control host
    # also names the leader's address.
    overrides = {
        path.name: {"link_listen": control_routes[read_address(path, "link_listen")]}
        for path in example.controls
    }
    overrides[context.cut_node.name] = {
        "link_listen": agent_routes[value["link_listen"]],
        "link_advertised": value["link_listen"],
    }
    example = place_example("wheatsheaf", folder, port_offset=offset, overrides=overrides)
    context.links = OneWayPartition({**agent_routes, **control_routes})
    stack.enter_context(context.links.serve())
    context.fleet = stack.enter_context(run_fleet(example))
    context.other_nodes = [path for path in example.nodes if path != context.cut_node]
    context.readers = [read_address(path, "caller_listen") for path in context.other_nodes]
    for target in json.loads(example.targets.read_text())["targets"]:
        send_json(target["address"], "PUT", "/_behaviour", {"delay_ms": READ_DELAY_MS})
    context.front_monitor = FrontMonitor(context.fleet, context.readers)
    stack.callback(context.front_monitor.close)


@when('the direction "{direction}" is cut while callers read from the other nodes')
def step_cut(context, direction):
    kind, toward = DIRECTIONS[direction]
    if kind == "agent":
        for address in context.agent_links:
            context.links.cut_direction(address, toward=toward)
        return
    node = context.fleet.processes[context.cut_node.stem]
    for address in context.control_links:
        context.links.cut_direction(address, toward=toward, opened_by=node.pid)


@given('the registry is led by another control host than "{name}"')
def step_move_leadership(context, name):
    deadline = time.monotonic() + LEADERSHIP_TIMEOUT_S
    while find_leader(context.fleet, group=REGISTRY_GROUP).stem == name:
        assert time.monotonic() < deadline, f"{name} leads the registry again and again"
        settings = next(path for path in context.fleet.example.controls if path.stem == name)
        assert context.fleet.stop(name) == 0
        context.fleet.start_control(settings)
        wait_until_listening(read_address(settings, "link_listen"))


def read_tables(settings):
    return [read_dump(read_address(path, "local_listen"))["target_table"] for path in settings]


def list_hosts(table):
    return {host["locality"]["host"] for host in table["hosts"]}


def wait_until(is_reached, limit, describe):
    deadline = time.monotonic() + limit
    while not is_reached():
        assert time.monotonic() < deadline, describe()
        time.sleep(POLL_S)


@then("within {limit:d} s the other fronts avoid the node's host")
def step_check_avoided(context, limit):
    host = read_host(context.cut_node)

    def is_reached():
        tables = read_tables(context.other_nodes)
        return all(table["advice"]["avoided_hosts"] == [host] for table in tables)

    wait_until(is_reached, limit, lambda: [t["advice"] for t in read_tables(context.other_nodes)])
    assert context.links.hold_count > 0


@then("within {limit:d} s the registry and the other fronts no longer have the host")
def step_check_expired(context, limit):
    host = read_host(context.cut_node)
    wait_until(
        lambda: all(host not in list_hosts(table) for table in read_tables(context.other_nodes)),
        limit,
        lambda: [list_hosts(table) for table in read_tables(context.other_nodes)],
    )
    # The node itself keeps the hosts that it had.
    assert len(list_hosts(read_tables([context.cut_node])[0])) == len(context.other_nodes) + 1


@then("within {limit:d} s the node has lost contact with the registry, and all stay")
def step_check_lost_contact(context, limit):
    address = read_address(context.cut_node, "local_listen")

    def read_client():
        return read_dump(address)["registry_client"]

    wait_until(lambda: read_client()["age_s"] > LOST_CONTACT_AGE_S, limit, read_client)
    assert context.links.hold_count > 0
    nodes = context.fleet.example.nodes
    assert all(len(list_hosts(table)) == len(nodes) for table in read_tables(nodes))


@then("{count:d} further requests to the other nodes all succeed")
def step_check_reads(context, count):
    for number in range(count):
        address = context.readers[number % len(context.readers)]
        response = send_request(address, "GET", f"/{number}", headers=READ)
        assert response.status == 200, response


@when("all directions are restored")
def step_heal(context):
    context.links.heal()


@then("within {limit:d} s every node has all hosts again and avoids none")
def step_check_restored(context, limit):
    nodes = context.fleet.example.nodes

    def is_restored():
        tables = read_tables(nodes)
        avoids = any(table["advice"]["avoided_hosts"] for table in tables)
        return not avoids and all(len(list_hosts(table)) == len(nodes) for table in tables)

    wait_until(is_restored, limit, lambda: [table["advice"] for table in read_tables(nodes)])


@then("no front ejected a target at any time, and each kept its floor")
def step_check_views(context):
    context.front_monitor.close()
    assert context.front_monitor.view_count >= len(context.fleet.example.nodes)
    ejected = [entry for entry in context.front_monitor.exclusions if entry[1]["ejected"]]
    assert all(share >= FLOOR for _, _, share in ejected), ejected
    assert not ejected, ejected
