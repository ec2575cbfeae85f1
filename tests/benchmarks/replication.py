"""Replicated groups over loopback links in one process: commits, recovery, idle costs."""

import tempfile
import time
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from random import Random

import anyio

from benchmarks.figures import Figure
from replication.line_list import AddLine, LineList
from replication.loopback import Host, find_leader
from samphirespring.connection.codec import MsgpackCodec
from samphirespring.process.ids import GroupLineage, LogIndex, ReplicaId, Term
from samphirespring.process.replication.applier import Applier
from samphirespring.process.replication.context import GroupLimits
from samphirespring.process.replication.disk import FolderDisk
from samphirespring.process.replication.entries import (
    Entry,
    EntryKind,
    Identity,
    Membership,
    SnapshotMark,
)
from samphirespring.process.replication.replica_files import open_files
from samphirespring.process.replication.state_machine_adapter import StateMachineAdapter
from samphirespring.process.replication.storage import GroupStorage
from samphirespring.process.replication.write_jobs import perform_batch

PORT = 31900
PAYLOAD = "x" * 200
UNBATCHED_LIMITS = GroupLimits(request_batch_size=1, write_batch_size=1)
COMMITS_AT_ONCE = 2_000
COMMITS_SINGLE = 300
IDLE_S = 8.0
IDLE_GROUPS = 4
FRAME_BYTES = 14
"""HTTP/2 and gRPC headers of one message, in bytes."""


def measure() -> list[Figure]:
    """Return all figures."""
    figures = []
    for count in (3, 5):
        figures += anyio.run(_measure_commits, count)
    for entries in (1_000, 5_000, 20_000):
        figures += _measure_recovery(entries)
    for count in (3, 5):
        figures += anyio.run(_measure_idle, count)
    return figures


@asynccontextmanager
async def _serve(count, *, groups=1, limits=None):
    with tempfile.TemporaryDirectory() as folder:
        async with AsyncExitStack() as stack:
            hosts = [
                Host(n, count=count, folder=folder, port=PORT, groups=groups, limits=limits)
                for n in range(count)
            ]
            for host in hosts:
                await stack.enter_async_context(host.serve())
            for group in range(groups):
                await find_leader(hosts, group=group)
            yield hosts


async def _measure_commit_rate(count, *, commits, limits):
    async with _serve(count, limits=limits) as hosts:
        leader = (await find_leader(hosts)).replicas[0]
        started_at_s = time.perf_counter()
        async with anyio.create_task_group() as tasks:
            for _ in range(commits):
                tasks.start_soon(leader.propose, AddLine(text=PAYLOAD))
        return commits / (time.perf_counter() - started_at_s)


async def _measure_commits(count):
    grouped = await _measure_commit_rate(count, commits=COMMITS_AT_ONCE, limits=None)
    single = await _measure_commit_rate(count, commits=COMMITS_SINGLE, limits=UNBATCHED_LIMITS)
    async with _serve(count) as hosts:
        leader = (await find_leader(hosts)).replicas[0]
        durations_s = []
        for _ in range(200):
            started_at_s = time.perf_counter()
            await leader.propose(AddLine(text=PAYLOAD))
            durations_s.append(time.perf_counter() - started_at_s)
    durations_s.sort()
    return [
        Figure(
            name=f"{count} replicas, {COMMITS_AT_ONCE} commits at once",
            value=grouped,
            unit="commits/s",
            baseline=single,
            baseline_name="one sync for each commit",
        ),
        Figure(
            name=f"{count} replicas, one at a time, p50", value=durations_s[100] * 1e3, unit="ms"
        ),
        Figure(
            name=f"{count} replicas, one at a time, p99", value=durations_s[198] * 1e3, unit="ms"
        ),
    ]


def _measure_recovery(entries):
    """Measure opening a log without a snapshot, and with one of all but the last 500 entries."""
    figures = []
    with tempfile.TemporaryDirectory() as folder:
        disk = FolderDisk(Path(folder))
        storage = GroupStorage(disk=disk, folder="group")
        identity = open_files(storage, replica=ReplicaId("a"), random=Random(1)).identity
        formed = Identity(member=identity.member, may_form=False, lineage=GroupLineage("l"))
        storage.write_identity(formed)
        command = StateMachineAdapter(LineList()).encode_command(AddLine(text=PAYLOAD))
        log_entries = [
            Entry(index=LogIndex(n), term=Term(1), kind=EntryKind.COMMAND, payload=command)
            for n in range(1, entries + 1)
        ]
        for start in range(0, entries, 100):
            storage.append(log_entries[start : start + 100])
        figures += _time_recovery(disk, entries, "without a snapshot")
        _write_snapshot(storage, log_entries[: entries - 500])
        figures += _time_recovery(disk, entries, "with a snapshot before the last 500")
    return figures


def _write_snapshot(storage, covered):
    limits = GroupLimits(snapshot_entries=1, retained_entries=0)
    applier = Applier(adapter=StateMachineAdapter(LineList()), limits=limits)
    applier.apply(tuple(covered))
    last = covered[-1]
    mark = SnapshotMark(
        index=last.index, term=last.term, membership=Membership(), size_bytes=0, checksum=0
    )
    job = applier.start_snapshot_if_due(_StubLog(mark))
    perform_batch(storage, [job])
    storage.close()


class _StubLog:
    """Stub of a log that returns the term and membership of one mark."""

    def __init__(self, mark):
        self._mark = mark

    def find_term(self, index):
        return self._mark.term

    def find_membership(self, index):
        return self._mark.membership


def _time_recovery(disk, entries, name):
    storage = GroupStorage(disk=disk, folder="group")
    size_bytes = sum(len(disk.read(f"group/{n}")) for n in disk.list_names("group"))
    started_at_s = time.perf_counter()
    opened = open_files(storage, replica=ReplicaId("a"), random=Random(1))
    stored = opened.stored
    adapter = StateMachineAdapter(LineList())
    covered = stored.log.snapshot.index if stored.log.snapshot else LogIndex(0)
    adapter.restore(stored.snapshot_data, index=covered)
    for entry in stored.log.read(LogIndex(covered + 1), stored.log.last.index):
        adapter.apply(entry)
    duration_s = time.perf_counter() - started_at_s
    assert adapter.applied_index == entries
    storage.close()
    return [
        Figure(name=f"recovery of {entries} entries, {name}", value=duration_s * 1e3, unit="ms"),
        Figure(name=f"files of {entries} entries, {name}", value=size_bytes, unit="bytes"),
    ]


async def _measure_idle(count):
    figures = []
    for groups in (1, IDLE_GROUPS):
        async with _serve(count, groups=groups):
            await anyio.sleep(1.0)
            sent = []
            with _EncodedSizes(sent):
                cpu_s = time.process_time()
                await anyio.sleep(IDLE_S)
                cpu_s = time.process_time() - cpu_s
            name = f"{count} replicas, {groups} idle groups"
            figures += [
                Figure(
                    name=f"{name}: sent by a host on average",
                    value=sum(sent) / IDLE_S / count,
                    unit="bytes/s",
                ),
                Figure(
                    name=f"{name}: processor of a host on average",
                    value=cpu_s / IDLE_S / count * 100,
                    unit="% of a core",
                ),
            ]
    return figures


class _EncodedSizes:
    """Context manager that records the size of each message sent on links."""

    def __init__(self, sizes):
        self._sizes = sizes
        self._encode = MsgpackCodec.encode

    def __enter__(self):
        encode, sizes = self._encode, self._sizes

        def count(codec, message, message_type):
            data = encode(codec, message, message_type)
            sizes.append(len(data) + FRAME_BYTES)
            return data

        MsgpackCodec.encode = count

    def __exit__(self, *_):
        MsgpackCodec.encode = self._encode
