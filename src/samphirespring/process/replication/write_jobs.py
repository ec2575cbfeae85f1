"""Write jobs of one replica, and their grouping into batches with one sync."""

from collections.abc import Callable, Sequence

import msgspec
import xxhash

from samphirespring.process.ids import LogIndex, PersistToken
from samphirespring.process.replication.effects import (
    FormGroup,
    InstallSnapshot,
    Persist,
    WriteIdentity,
)
from samphirespring.process.replication.entries import Entry, HardState, SnapshotMark
from samphirespring.process.replication.storage import GroupStorage


class WriteSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Request to write a snapshot of this replica's state.

    Attributes:
        mark: Position and membership of the snapshot; size and checksum are filled in when it is
            written.
        encode: Returns the encoded state; runs on the worker thread.
        base: Last log index that isn't needed afterwards.
    """

    mark: SnapshotMark
    encode: Callable[[], bytes]
    base: LogIndex


class WritesSynced(msgspec.Struct, frozen=True, kw_only=True):
    """A write of the replica and all earlier ones are synced."""

    token: PersistToken


class SnapshotWritten(msgspec.Struct, frozen=True, kw_only=True):
    """A snapshot of this replica's state is synced."""

    mark: SnapshotMark


class IdentityWritten(msgspec.Struct, frozen=True, kw_only=True):
    """The identity is synced."""


class FirstMembershipWritten(msgspec.Struct, frozen=True, kw_only=True):
    """A new group is formed; the files must be reopened."""


WriteJob = Persist | InstallSnapshot | WriteSnapshot | WriteIdentity | FormGroup
WriteOutcome = WritesSynced | SnapshotWritten | IdentityWritten | FirstMembershipWritten


def split_jobs(jobs: Sequence[WriteJob], *, limit: int) -> list[list[WriteJob]]:
    """Return the jobs in order, grouped into batches that are each written with one sync.

    Args:
        jobs: The jobs.
        limit: Largest number of appends in one batch.
    """
    batches: list[list[WriteJob]] = []
    for job in jobs:
        joins = (
            isinstance(job, Persist)
            and bool(batches)
            and isinstance(batches[-1][0], Persist)
            and len(batches[-1]) < limit
        )
        if joins:
            batches[-1].append(job)
        else:
            batches.append([job])
    return batches


def perform_batch(storage: GroupStorage, batch: Sequence[WriteJob]) -> WriteOutcome:
    """Write one batch and sync it.

    Args:
        storage: The replica's files.
        batch: One batch of `split_jobs`.

    Raises:
        DiskFailedError: Part of the batch may not be durable.
    """
    match batch[0]:
        case WriteSnapshot() as job:
            return _write_snapshot(storage, job)
        case InstallSnapshot() as job:
            storage.install_snapshot(job.mark, job.data)
            return WritesSynced(token=job.token)
        case WriteIdentity() as job:
            storage.write_identity(job.identity)
            return IdentityWritten()
        case FormGroup() as job:
            # The identity is written last: if a crash leaves it out, the first entry is dropped
            # at the next start.
            storage.write_first_membership(job.membership)
            storage.write_identity(job.identity)
            return FirstMembershipWritten()
        case Persist():
            return _write_appends(storage, [job for job in batch if isinstance(job, Persist)])


def _write_snapshot(storage: GroupStorage, job: WriteSnapshot) -> SnapshotWritten:
    data = job.encode()
    mark = SnapshotMark(
        index=job.mark.index,
        term=job.mark.term,
        membership=job.mark.membership,
        size_bytes=len(data),
        checksum=xxhash.xxh3_64_intdigest(data),
    )
    storage.write_snapshot(mark, data, base=job.base)
    return SnapshotWritten(mark=mark)


def _write_appends(storage: GroupStorage, jobs: Sequence[Persist]) -> WritesSynced:
    entries: list[Entry] = []
    hard_state: HardState | None = None
    for job in jobs:
        entries.extend(job.entries)
        hard_state = job.hard_state or hard_state
    if hard_state is not None:
        storage.write_hard_state(hard_state)
    if entries:
        storage.append(entries)
    return WritesSynced(token=jobs[-1].token)
