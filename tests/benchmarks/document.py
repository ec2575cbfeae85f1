"""Time until changes of the document are in force, and compilation costs at the planned size."""

import gc
import logging
import os
import statistics
import subprocess
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import msgspec
import psutil
import structlog

from benchmarks.figures import Figure
from benchmarks.restart import measure_restart
from document.distribution import DOMAIN, DistributionNode, make_document_handlers, make_peers
from document.samples import make_access, make_team_section
from samphirespring.connection.codec import MsgpackCodec
from samphirespring.connection.link_server import serve_link
from samphirespring.process.control_groups import ControlGroups
from samphirespring.process.document.initializer import DocumentInitializer
from samphirespring.process.document.leader_contact import LeaderContactWatch
from samphirespring.process.document.service import DocumentService
from samphirespring.process.document.session import OperatorSession
from samphirespring.process.document.state_machine import DocumentStateMachine
from samphirespring.process.document.store import DocumentStore
from samphirespring.process.errors import SamphireError
from samphirespring.process.ids import GroupId
from samphirespring.process.mailbox import Mailbox
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.runtime import run_tasks
from samphirespring.process.settings import ControlSettings
from samphirespring.process.timers import MonotonicTimerService
from samphirespring.version.compilation import Compiler
from samphirespring.version.document import AccessSection
from samphirespring.version.section_set import SectionSet, store_section
from samphirespring.version.stamp import DocumentStamp

PORT_OFFSET = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
CONTROL_PORT = 19_600 + PORT_OFFSET
NODE_PORT = 19_700 + PORT_OFFSET
CHANGES = 20
NODE_COUNTS = (20, 50, 100)
REPLICA_COUNTS = (3, 5)
ROUTES = 40_000
WORKSPACES = 330_000
SECTIONS = 40
SCALES = (0.25, 0.5, 1.0)
MEGABYTE = 1e6


def measure():
    """Return all figures."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    figures = []
    for scale in SCALES:
        figures.extend(_run_compilation(scale))
    for replicas in REPLICA_COUNTS:
        medians = []
        for nodes in NODE_COUNTS:
            result = anyio.run(_measure_fleet, replicas, nodes)
            medians.append(result[0].value)
            figures.extend(result)
        slope = (medians[-1] - medians[0]) / (NODE_COUNTS[-1] - NODE_COUNTS[0])
        name = f"slope of the median, {replicas} replicas, all nodes in one process"
        figures.append(Figure(name=name, value=slope, unit="ms/node"))
    return [*figures, *measure_restart()]


def _run_compilation(scale):
    """Measure the compilation in a separate process, whose memory holds nothing else."""
    command = [sys.executable, "-m", "benchmarks.document", str(scale)]
    result = subprocess.run(command, capture_output=True, check=True)
    return msgspec.json.decode(result.stdout, type=list[Figure])


def _measure_compilation(scale):
    import samphirespring.process.composition.node  # noqa: F401 - include the memory of a node's code

    process = psutil.Process()
    label = f"{round(ROUTES * scale)} routes, {round(WORKSPACES * scale)} workspaces"
    before_mb = _read_resident_mb(process)
    sections = SectionSet(
        stamp=DocumentStamp(generation=1, version=1),
        sections={
            f"team-{number}": store_section(
                f"team-{number}", make_large_section(number, scale), version=1
            )
            for number in range(SECTIONS)
        },
    )
    compiler = Compiler()
    total_s, longest_s = _compile(compiler, sections)
    figures = [
        Figure(name=f"resident before, {label}", value=before_mb, unit="MB"),
        Figure(name=f"resident compiled, {label}", value=_read_resident_mb(process), unit="MB"),
        Figure(name=f"first compilation, {label}", value=total_s, unit="s"),
        Figure(name=f"longest step of it, {label}", value=longest_s * 1e3, unit="ms"),
    ]
    durations_s = []
    for number in range(10):
        text = make_large_section(number, scale, floor=0.8)
        sections = sections.replace_section(f"team-{number}", text)
        durations_s.append(_compile(compiler, sections))
    change_ms = statistics.median(total for total, _ in durations_s) * 1e3
    longest_ms = max(longest for _, longest in durations_s) * 1e3
    text_kb = len(sections.sections["team-0"].read_text()) / 1e3
    return [
        *figures,
        Figure(name=f"change of one section of {text_kb:.0f} kB", value=change_ms, unit="ms"),
        Figure(name=f"longest step of 10 changes, {label}", value=longest_ms, unit="ms"),
        Figure(name=f"resident after, {label}", value=_read_resident_mb(process), unit="MB"),
    ]


def _compile(compiler, sections):
    total_s = longest_s = 0.0
    start_s = time.perf_counter()
    for _ in compiler.compile_steps(sections):
        step_s = time.perf_counter() - start_s
        total_s += step_s
        longest_s = max(longest_s, step_s)
        start_s = time.perf_counter()
    return total_s, longest_s


def _read_resident_mb(process):
    gc.collect()
    return process.memory_info().rss / MEGABYTE


def make_large_section(number, scale, *, floor=0.7):
    name = f"team-{number}"
    services = {f"{name}-{i}": {"floor": floor} for i in range(35)}
    routes = [
        {
            "host": f"{name}-{i // 4}.example.com",
            "path_prefix": f"/v1/area{i % 4}",
            "service": f"{name}-{i % 35}",
            "deadline_ms": 1_000,
        }
        for i in range(round(ROUTES * scale / SECTIONS))
    ]
    workspaces = {
        f"workspace-{number:03d}-{i:06d}": {"limit": {"requests_per_s": 10 + i % 20, "burst": 20}}
        for i in range(round(WORKSPACES * scale / SECTIONS))
    }
    section = {"services": services, "routes": routes, "workspaces": workspaces}
    return msgspec.json.encode(section)


class _ControlHost:
    """The tasks of one control host that serve the document."""

    def __init__(self, number, addresses, folder):
        timers = MonotonicTimerService()
        peers = [
            {"replica": f"control-{i}", "link_address": address}
            for i, address in enumerate(addresses)
        ]
        settings = msgspec.convert(
            {
                "locality": {"region": "r", "failure_domain": DOMAIN, "host": f"c{number}"},
                "replica": f"control-{number}",
                "link_listen": addresses[number],
                "operator_listen": "127.0.0.1:1",
                "peers": peers,
                "data_folder": str(folder / str(number)),
            },
            ControlSettings,
        )
        self.store = DocumentStore(timers=timers)
        self.groups = ControlGroups(settings, timers=timers, metrics=NullMetrics())
        state_machine = DocumentStateMachine(on_version=self.store.newest.post)
        group = self.groups.add(GroupId("document"), state_machine)
        self.documents = DocumentService(state_machine=state_machine, proposer=group, timers=timers)
        document = {"access": make_access(), "fleet": {}, "bread": make_team_section("bread")}
        initializer = DocumentInitializer(
            documents=self.documents,
            initial={name: msgspec.json.encode(part) for name, part in document.items()},
            timers=timers,
        )
        contact = LeaderContactWatch(group=group, store=self.store, timers=timers)
        self.tasks = (self.store, contact, initializer, *self.groups.tasks)

    def make_handlers(self):
        return [*make_document_handlers(self.store), *self.groups.make_handlers()]


async def _measure_fleet(replicas, nodes):
    front = Mailbox(name="front", capacity=100_000)
    with tempfile.TemporaryDirectory() as folder:
        async with AsyncExitStack() as stack:
            controls = await _start_controls(stack, replicas, Path(folder))
            fleet = await _start_nodes(stack, nodes, replicas, front)
            return await _change_repeatedly(controls, fleet, front, replicas)


async def _start_controls(stack, replicas, folder):
    addresses = [f"127.0.0.1:{CONTROL_PORT + i}" for i in range(replicas)]
    controls = [_ControlHost(i, addresses, folder) for i in range(replicas)]
    for number, control in enumerate(controls):
        await stack.enter_async_context(run_tasks(control.tasks))
        await stack.enter_async_context(
            serve_link(control.make_handlers(), address=f"127.0.0.1:{CONTROL_PORT + number}")
        )
    return controls


async def _start_nodes(stack, nodes, replicas, front):
    control = [f"127.0.0.1:{CONTROL_PORT + i}" for i in range(replicas)]
    peers = make_peers(nodes, first_port=NODE_PORT)
    fleet = [DistributionNode(peer, peers, control=control, front=front) for peer in peers]
    for node in fleet:
        await stack.enter_async_context(node.run())
    return fleet


async def _change_repeatedly(controls, fleet, front, replicas):
    session = OperatorSession(team="bread", access=AccessSection())
    await _receive_versions(front, 1, len(fleet))
    base, _ = await _change(controls, session, base=1, number=0)
    await _receive_versions(front, base, len(fleet))
    process = psutil.Process()
    delays_ms, accept_ms = [], []
    encoded = _ByteCounter()
    start_cpu_s = sum(process.cpu_times()[:2])
    for number in range(1, CHANGES + 1):
        sent_at_s = time.perf_counter()
        base, accepted_at_s = await _change(controls, session, base=base, number=number)
        accept_ms.append((accepted_at_s - sent_at_s) * 1e3)
        received_times_s = await _receive_versions(front, base, len(fleet))
        delays_ms.extend(
            (received_at_s - accepted_at_s) * 1e3 for received_at_s in received_times_s
        )
    cpu_ms = (sum(process.cpu_times()[:2]) - start_cpu_s) * 1e3 / CHANGES / len(fleet)
    label = f"{replicas} replicas, {len(fleet)} nodes"
    delays_ms.sort()
    return [
        Figure(
            name=f"in force after accepted, p50, {label}",
            value=_find_quantile(delays_ms, 0.5),
            unit="ms",
        ),
        Figure(
            name=f"in force after accepted, p99, {label}",
            value=_find_quantile(delays_ms, 0.99),
            unit="ms",
        ),
        Figure(name=f"accepted, p50, {label}", value=statistics.median(accept_ms), unit="ms"),
        Figure(name=f"CPU per node and change, with control, {label}", value=cpu_ms, unit="ms"),
        Figure(
            name=f"encoded bytes per node and change, with control, {label}",
            value=encoded.stop() / CHANGES / len(fleet),
            unit="B",
        ),
    ]


async def _change(controls, session, *, base, number):
    """Change the section through the leader; return the new version and the time of acceptance."""
    content = make_team_section("bread", routes=20, floor=0.5 + number / 100)
    while True:
        for control in controls:
            try:
                accepted = await control.documents.change(
                    "bread",
                    session,
                    base_version=base,
                    change_id=f"change-{number}",
                    text=msgspec.json.encode(content),
                )
            except SamphireError:
                continue
            return accepted.version, time.perf_counter()
        await anyio.sleep(0.05)


async def _receive_versions(front, version, count):
    times = []
    while len(times) < count:
        message = await front.receive()
        if message.compiled.version == version:
            times.append(time.perf_counter())
    return times


class _ByteCounter:
    """Counts the bytes that the codec encodes, until stopped."""

    def __init__(self):
        self._total = 0
        self._encode = MsgpackCodec.encode
        counter = self

        def encode(codec, message, message_type):
            data = counter._encode(codec, message, message_type)
            counter._total += len(data)
            return data

        MsgpackCodec.encode = encode

    def stop(self):
        MsgpackCodec.encode = self._encode
        return self._total


def _find_quantile(values, share):
    return values[min(len(values) - 1, int(len(values) * share))]


if __name__ == "__main__":
    sys.stdout.buffer.write(msgspec.json.encode(_measure_compilation(float(sys.argv[1]))))
