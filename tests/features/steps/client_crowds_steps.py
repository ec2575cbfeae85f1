import os
import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

from behave import given, then, when

from fleet.client import send_request
from fleet.crowd import CROWDS, ORDERS, RECIPES, make_configurations, open_crowd
from fleet.example import place_example, read_address
from fleet.platform_control import run_platform_control
from fleet.processes import read_dump, run_fleet

MIB = 1 << 20
MAX_BODY_BYTES = 32 * MIB
ORDINARY_TRIES = 20
RETRY_DELAY_S = 0.5
WARM_UP_READS = 20
NODES = ("node-alta-1", "node-mani-1", "node-sask-1")
MB = 1_000_000
PORT_OFFSET = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))


@dataclass
class Usage:
    """Memory and descriptors of the system's own processes."""

    fleet: object
    rest_bytes: dict[str, int] = field(default_factory=dict)
    rest_descriptors: dict[str, int] = field(default_factory=dict)
    peak_descriptors: dict[str, int] = field(default_factory=dict)

    def record_rest(self):
        for name in self.list_names():
            self.rest_bytes[name] = self.read_peak_bytes(name)
            self.rest_descriptors[name] = self.peak_descriptors[name] = self.count(name)

    def observe(self):
        for name in self.list_names():
            self.peak_descriptors[name] = max(self.peak_descriptors[name], self.count(name))

    def list_names(self):
        return [name for name in self.fleet.processes if not name.startswith("backends-")]

    def read_peak_bytes(self, name):
        return read_peak_bytes(self.fleet.processes[name].pid)

    def count(self, name):
        return len(os.listdir(f"/proc/{self.fleet.processes[name].pid}/fd"))


def read_peak_bytes(pid):
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * 1_024


@given(
    "a running Wheatsheaf fleet whose nodes may hold {mib:d} MiB and {connections:d} connections"
    " for callers"
)
def step_run(context, mib, connections):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="wheatsheaf-"))
    limits = {"body_bytes": MAX_BODY_BYTES, "held_bytes": mib * MIB, "connections": connections}
    node = {"limits": limits}
    overrides = {f"{name}.json": dict(node) for name in NODES}
    overrides["node-alta-1.json"]["metrics_listen"] = f"127.0.0.1:{21_804 + PORT_OFFSET}"
    overrides["control-1.json"] = {"metrics_listen": f"127.0.0.1:{21_805 + PORT_OFFSET}"}
    example = place_example(
        "wheatsheaf", Path(folder), port_offset=PORT_OFFSET, overrides=overrides
    )
    context.fleet = stack.enter_context(run_fleet(example))
    context.crowd = stack.enter_context(ExitStack())
    context.callers = read_address(Path(folder) / "node-alta-1.json", "caller_listen")
    for _ in range(WARM_UP_READS):
        read_ordinary(context)
    context.usage = Usage(context.fleet)
    context.usage.record_rest()


@when('a crowd sends {name} to node "node-alta-1"')
def step_send(context, name):
    send_crowd(context, name, context.callers)


@when("a crowd sends {name} to every node")
def step_send_everywhere(context, name):
    for node in NODES:
        send_crowd(context, name, find_port(context, node, "caller_listen"))


@when("a crowd sends {name} to {port} of {process}")
def step_send_to_port(context, name, port, process):
    send_crowd(context, name, find_port(context, process, port))


def send_crowd(context, name, address):
    scripts = CROWDS[name]()
    context.crowd.enter_context(open_crowd(address, scripts, observe=context.usage.observe))


def find_port(context, process, port):
    return read_address(context.fleet.example.folder / f"{process}.json", port)


@then("{process} serves its own clients")
def step_check_own_clients(context, process):
    port = "operator_listen" if process.startswith("control-") else "local_listen"
    address = find_port(context, process, port)
    for attempt in range(ORDINARY_TRIES):
        try:
            assert read_dump(address)
            return
        except OSError:
            if attempt == ORDINARY_TRIES - 1:
                raise
        time.sleep(RETRY_DELAY_S)


@when("the crowd closes its connections")
def step_close(context):
    context.crowd.close()


@then("an ordinary read is answered while the crowd's connections are open")
@then("an ordinary read is answered")
def step_read(context):
    """A refusal that says "not run" is followed as an ordinary client does: it asks again."""
    for _ in range(ORDINARY_TRIES):
        response = read_ordinary(context)
        if response.status == 200:
            assert response.json["path"] == "/recipes/7"
            return
        assert response.status in (429, 503), response
        time.sleep(RETRY_DELAY_S)
    raise AssertionError(f"no answer after {ORDINARY_TRIES} tries: {response}")


def read_ordinary(context):
    headers = {"Host": RECIPES, "X-Workspace": "ordinary"}
    return send_request(context.callers, "GET", "/recipes/7", headers=headers)


@then(
    "every process lives, within {mib:d} MiB and {descriptors:d} descriptors above what it had"
    " at rest"
)
def step_check(context, mib, descriptors):
    usage = context.usage
    context.fleet.check_running()
    usage.observe()
    grown_bytes = {n: usage.read_peak_bytes(n) - usage.rest_bytes[n] for n in usage.list_names()}
    opened = {n: usage.peak_descriptors[n] - usage.rest_descriptors[n] for n in usage.list_names()}
    found = ", ".join(f"{n}: {grown_bytes[n] / MIB:.1f} MiB, {opened[n]}" for n in grown_bytes)
    print(f"above rest: {found}")
    assert max(grown_bytes.values()) <= mib * MIB, found
    assert max(opened.values()) <= descriptors, found


@when("an ordinary caller sends a body of {mib:d} MiB")
def step_send_body(context, mib):
    headers = {"Host": ORDERS, "X-Workspace": "ordinary"}
    context.sent_bytes = mib * MIB
    context.response = send_request(
        context.callers, "POST", "/kit-orders", headers=headers, body=b"x" * context.sent_bytes
    )


@when("an ordinary caller sends {count:d} chunks of one byte")
def step_send_chunks(context, count):
    headers = {"Host": ORDERS, "X-Workspace": "ordinary", "Transfer-Encoding": "chunked"}
    context.sent_bytes = count
    body = b"1\r\nx\r\n" * count + b"0\r\n\r\n"
    context.response = send_request(
        context.callers, "POST", "/kit-orders", headers=headers, body=body
    )


@then("it arrives whole at a target")
def step_check_body(context):
    assert context.response.status == 200, context.response
    assert context.response.json["body_bytes"] == context.sent_bytes


@given("a running control host of the platform")
def step_run_platform_control(context):
    stack = ExitStack()
    context.add_cleanup(stack.close)
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="control-")))
    context.control = stack.enter_context(run_platform_control(folder, port_offset=PORT_OFFSET))
    context.crowd = stack.enter_context(ExitStack())
    submit_until_accepted(context)


@when("a crowd sends it {count:d} configurations of {size_mb:d} MB each, {form}")
def step_send_configurations(context, count, size_mb, form):
    scripts = make_configurations(form, count=count, size_bytes=size_mb * MB)
    context.crowd.enter_context(open_crowd(context.control.address, scripts, observe=lambda: None))


@then("a configuration is accepted while the crowd's connections are open")
@then("a configuration is accepted")
def step_submit_small(context):
    submit_until_accepted(context)


def submit_until_accepted(context):
    for _ in range(ORDINARY_TRIES):
        response = context.control.submit_small()
        if response.status == 200:
            return
        assert response.status in (429, 503), response
        time.sleep(RETRY_DELAY_S)
    raise AssertionError(f"no answer after {ORDINARY_TRIES} tries: {response}")


@then("the control host lives within {limit_mb:d} MB")
def step_check_control(context, limit_mb):
    process = context.control.process
    assert process.poll() is None, process.returncode
    peak_mb = read_peak_bytes(process.pid) / MB
    print(f"the control host: {peak_mb:.0f} MB")
    assert peak_mb <= limit_mb, peak_mb
