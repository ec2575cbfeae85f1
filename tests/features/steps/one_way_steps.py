import json
import os
import tempfile
import threading
import time
from contextlib import ExitStack
from pathlib import Path

from behave import given, then, when

from fleet.client import send_request
from fleet.example import place_example, read_address
from fleet.partition import OneWayPartition
from fleet.processes import read_dump, read_host, run_fleet

AGENT_SHIFT = 5
CONTROL_SHIFT = 2
POLL_S = 0.1
SILENT_S = 3.0
FLOOR = 0.7
READ = {"Host": "recipes.wheatsheaf.example", "Samphire-Deadline-Ms": "15000"}
WAYS = {
    "to the agent": ("agent", True),
    "from the agent": ("agent", False),
    "to the registry": ("control", True),
    "from the registry": ("control", False),
}


def shift_port(address, span):
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + span}"


class FrontWatch:
    """Reads from the fleet, and looks at what each front leaves out, again and again."""

    def __init__(self, fleet, readers):
        self.fleet = fleet
        self.readers = readers
        self.seen = []
        self.views = 0
        self.stop = threading.Event()
        self.threads = [threading.Thread(target=self.look), threading.Thread(target=self.read)]
        for thread in self.threads:
            thread.start()

    def close(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()

    def read(self):
        number = 0
        while not self.stop.wait(0.01):
            number += 1
            try:
                send_request(self.readers[number % len(self.readers)], "GET", "/1", headers=READ)
            except OSError:
                continue

    def look(self):
        while not self.stop.wait(POLL_S):
            for settings in self.fleet.example.nodes:
                try:
                    table = read_dump(read_address(settings, "local_listen"))["target_table"]
                except OSError:
                    # A busy machine may take longer than a dump waits.
                    continue
                self.views += 1
                for service in table["advice"]["services"]:
                    if service["ejected"] or service["spared"]:
                        self.seen.append((settings.stem, service, measure_left(table, service)))


def measure_left(table, service):
    """Return the share of a service's targets that a front may use."""
    avoided = set(table["advice"]["avoided_hosts"])
    out = set(service["ejected"])
    targets = [
        (target["target"], host["locality"]["host"])
        for host in table["hosts"]
        for target in host["targets"]
        if target["service"] == service["service"]
    ]
    total = len(targets) + len(service["missing"])
    return sum(t not in out and host not in avoided for t, host in targets) / total


@given('a running Wheatsheaf fleet whose links with "{node}" can be cut')
def step_fleet(context, node):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="one-way-")))
    offset = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
    example = place_example("wheatsheaf", folder, port_offset=offset)
    context.settings = next(path for path in example.nodes if path.stem == node)
    value = json.loads(context.settings.read_text())
    context.agent_links = [value["link_listen"]]
    real = {value["link_listen"]: shift_port(value["link_listen"], AGENT_SHIFT)}
    through = {shift_port(a, CONTROL_SHIFT): a for a in value["control_links"]}
    context.control_links = list(through)
    overrides = {
        context.settings.name: {
            "link_listen": real[value["link_listen"]],
            "link_advertised": value["link_listen"],
            "control_links": list(through),
        }
    }
    example = place_example("wheatsheaf", folder, port_offset=offset, overrides=overrides)
    context.links = OneWayPartition({**real, **through})
    stack.enter_context(context.links.serve())
    context.fleet = stack.enter_context(run_fleet(example))
    context.others = [path for path in example.nodes if path != context.settings]
    context.readers = [read_address(path, "caller_listen") for path in context.others]
    context.front_watch = FrontWatch(context.fleet, context.readers)
    stack.callback(context.front_watch.close)


@when('the way "{way}" is cut under reads at the other nodes')
def step_cut(context, way):
    kind, toward = WAYS[way]
    for address in context.agent_links if kind == "agent" else context.control_links:
        context.links.cut_direction(address, toward=toward)


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
    host = read_host(context.settings)

    def is_reached():
        tables = read_tables(context.others)
        return all(table["advice"]["avoided_hosts"] == [host] for table in tables)

    wait_until(is_reached, limit, lambda: [t["advice"] for t in read_tables(context.others)])
    assert context.links.hold_count > 0


@then("within {limit:d} s the registry and the other fronts no longer have the host")
def step_check_expired(context, limit):
    host = read_host(context.settings)
    wait_until(
        lambda: all(host not in list_hosts(table) for table in read_tables(context.others)),
        limit,
        lambda: [list_hosts(table) for table in read_tables(context.others)],
    )
    # The node itself keeps what it knew.
    assert len(list_hosts(read_tables([context.settings])[0])) == len(context.others) + 1


@then("within {limit:d} s the node knows that its registry is silent, and all stay")
def step_check_silent(context, limit):
    address = read_address(context.settings, "local_listen")

    def read_client():
        return read_dump(address)["registry_client"]

    wait_until(lambda: read_client()["age_s"] > SILENT_S, limit, read_client)
    assert context.links.hold_count > 0
    nodes = context.fleet.example.nodes
    assert all(len(list_hosts(table)) == len(nodes) for table in read_tables(nodes))


@then("{count:d} further reads at the other nodes all get their answers")
def step_check_reads(context, count):
    for number in range(count):
        address = context.readers[number % len(context.readers)]
        answer = send_request(address, "GET", f"/{number}", headers=READ)
        assert answer.status == 200, answer


@when("all ways are whole again")
def step_heal(context):
    context.links.heal()


@then("within {limit:d} s every node reaches every host and knows all targets again")
def step_check_whole(context, limit):
    nodes = context.fleet.example.nodes

    def is_whole():
        tables = read_tables(nodes)
        avoids = any(table["advice"]["avoided_hosts"] for table in tables)
        return not avoids and all(len(list_hosts(table)) == len(nodes) for table in tables)

    wait_until(is_whole, limit, lambda: [table["advice"] for table in read_tables(nodes)])


@then("no front ejected a target at any moment, and each kept its floor")
def step_check_views(context):
    context.front_watch.close()
    assert context.front_watch.views >= len(context.fleet.example.nodes)
    ejected = [entry for entry in context.front_watch.seen if entry[1]["ejected"]]
    assert all(left >= FLOOR for _, _, left in ejected), ejected
    assert not ejected, ejected
