"""Growth of the costs of membership with the size of the fleet: memory, CPU time, link traffic."""

import random
import time

import anyio
import msgspec

from benchmarks.figures import Figure
from benchmarks.slopes import fit_slope, measure_bytes, measure_cpu_s
from samphirespring.connection.link_client import Link
from samphirespring.connection.link_server import UnaryHandler, serve_link
from samphirespring.connection.registry_link import REPORT_HOSTS, HostReport, ReportBatch
from samphirespring.process.ids import (
    FailureDomainName,
    HostId,
    Incarnation,
    LogIndex,
    RegionName,
    RegistryVersion,
    TargetId,
)
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.registry.commands import ChangeHosts
from samphirespring.process.registry.state_machine import RegistryStateMachine
from samphirespring.process.registry_service import RegistryService
from samphirespring.process.replication.state_machine import LocalProposer
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.target_table import TargetTable
from samphirespring.process.target_table_messages import ApplyDelta
from samphirespring.process.targets import (
    HostRecord,
    Locality,
    RegistryDelta,
    TargetLoad,
    TargetRecord,
)
from samphirespring.process.timers import MonotonicTimerService
from samphirespring.request.selection import NearestOfTwoSelector
from samphirespring.version.ids import ServiceName

HOSTS = 3_300
HOST_COUNTS = (330, 1_100, HOSTS)
TARGETS_PER_HOST = 9
SERVICES = 1_400
REGIONS = 6
DOMAINS = 24
REPORT_COUNTS = (200, 400, 800)
ADDRESS = "127.0.0.1"
PORT = 27_990


def measure() -> list[Figure]:
    """Return the costs at each size, and their slopes."""
    figures = _measure_table()
    figures += _measure_registry()
    figures += anyio.run(_measure_reports)
    return figures


def make_record(number: int, *, sequence: int = 1) -> HostRecord:
    """Return a host's record.

    Args:
        number: Number of the host.
        sequence: Sequence number of the record.
    """
    domain = number % DOMAINS
    targets = tuple(
        TargetRecord(
            target=TargetId(f"service-{(number * 7 + slot * 131) % SERVICES}-{number}-{slot}"),
            service=ServiceName(f"service-{(number * 7 + slot * 131) % SERVICES}"),
            load=TargetLoad(
                phase=TargetPhase.SERVING,
                condition=TargetCondition.HEALTHY,
                free_slots=5,
                slots=5,
            ),
        )
        for slot in range(TARGETS_PER_HOST)
    )
    return HostRecord(
        locality=Locality(
            region=RegionName(f"region-{domain % REGIONS}"),
            failure_domain=FailureDomainName(f"domain-{domain}"),
            host=HostId(f"host-{number}"),
        ),
        incarnation=Incarnation(1_700_000_000_000_000_000 + number),
        link_address=f"10.{number >> 8}.{number & 255}.7:7001",
        sequence=sequence,
        targets=targets,
    )


def _encode_table(hosts: int) -> bytes:
    delta = RegistryDelta(
        since=RegistryVersion(0),
        version=RegistryVersion(2),
        complete=True,
        hosts=tuple(make_record(number) for number in range(hosts)),
    )
    return msgspec.msgpack.encode(delta)


def _decode_delta(data: bytes) -> RegistryDelta:
    return msgspec.msgpack.decode(data, type=RegistryDelta)


def _make_table() -> TargetTable:
    here = make_record(0).locality
    selector = NearestOfTwoSelector(random.Random(1))
    return TargetTable(selector, locality=here, timers=MonotonicTimerService())


def _fill_table(data: bytes) -> TargetTable:
    table = _make_table()

    async def fill() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(table.run)
            table.inbox.post(ApplyDelta(delta=_decode_delta(data)))
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()

    anyio.run(fill)
    return table


def _measure_table() -> list[Figure]:
    encoded = [_encode_table(hosts) for hosts in HOST_COUNTS]
    memory = [measure_bytes(lambda data=data: _fill_table(data)) / 1e6 for data in encoded]
    cpu = [measure_cpu_s(lambda data=data: _fill_table(data)) * 1e3 for data in encoded]
    wire = [len(data) / 1e3 for data in encoded]
    return [
        *fit_slope("front: target table, memory", HOST_COUNTS, memory, unit="MB", size_unit="host"),
        *fit_slope("front: whole table taken in", HOST_COUNTS, cpu, unit="ms", size_unit="host"),
        *fit_slope("whole table on a link", HOST_COUNTS, wire, unit="kB", size_unit="host"),
    ]


def fill_state_machine(hosts: int) -> RegistryStateMachine:
    state_machine = RegistryStateMachine()
    for number in range(hosts):
        state_machine.apply(
            index=LogIndex(number + 1), command=ChangeHosts(records=(make_record(number),))
        )
    return state_machine


def _measure_registry() -> list[Figure]:
    memory = [
        measure_bytes(lambda hosts=hosts: fill_state_machine(hosts)) / 1e6 for hosts in HOST_COUNTS
    ]
    cpu = [
        measure_cpu_s(lambda hosts=hosts: fill_state_machine(hosts)) * 1e3 for hosts in HOST_COUNTS
    ]
    return [
        *fit_slope("registry: state, memory", HOST_COUNTS, memory, unit="MB", size_unit="host"),
        *fit_slope("registry: changes applied", HOST_COUNTS, cpu, unit="ms", size_unit="host"),
    ]


async def _measure_reports() -> list[Figure]:
    state_machine = fill_state_machine(HOSTS)
    service = RegistryService(
        state_machine=state_machine,
        proposer=LocalProposer(state_machine),
        lease_s=1_000.0,
        timers=MonotonicTimerService(),
        metrics=NullMetrics(),
    )
    async with anyio.create_task_group() as group:
        group.start_soon(service.run)
        handlers = [UnaryHandler(REPORT_HOSTS, service.report)]
        async with serve_link(handlers, address=f"{ADDRESS}:{PORT}"):
            link = Link(f"{ADDRESS}:{PORT}")
            cpu = [await _time_reports(link, state_machine, reports) for reports in REPORT_COUNTS]
            link.close()
        group.cancel_scope.cancel()
    return fit_slope(
        "registry: renewals, both ends of the link",
        REPORT_COUNTS,
        cpu,
        unit="ms",
        size_unit="report",
    )


async def _time_reports(link: Link, state_machine: RegistryStateMachine, count: int) -> float:
    started = time.process_time()
    for number in range(count):
        record = make_record(number)
        report = HostReport(
            host=record.locality.host,
            incarnation=record.incarnation,
            sequence=record.sequence,
        )
        batch = ReportBatch(known_version=state_machine.version, reports=(report,))
        await link.call(REPORT_HOSTS, batch, timeout_s=10.0)
    return (time.process_time() - started) * 1e3
