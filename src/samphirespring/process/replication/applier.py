"""Applies committed entries, answers those who wait for them, and takes snapshots."""

from collections.abc import Iterator
from typing import Generic

from samphirespring.process.errors import InternalError, SamphireError
from samphirespring.process.ids import LogIndex
from samphirespring.process.mailbox import ReplySlot
from samphirespring.process.replication.context import GroupLimits
from samphirespring.process.replication.entries import (
    Entry,
    EntryKind,
    Membership,
    SnapshotMark,
    require_membership,
)
from samphirespring.process.replication.machine_host import MachineHost
from samphirespring.process.replication.pending import PendingReplies
from samphirespring.process.replication.replica_log import ReplicaLog
from samphirespring.process.replication.snapshot_policy import SnapshotPolicy
from samphirespring.process.replication.state_machine import CommandT, ResultT, SnapshotT
from samphirespring.process.replication.write_jobs import WriteSnapshot


class Applier(Generic[CommandT, ResultT, SnapshotT]):
    """Owns the state machine of one session and the replies that wait for it.

    Args:
        host: The state machine.
        limits: Bounds of the replica.
    """

    def __init__(
        self, *, host: MachineHost[CommandT, ResultT, SnapshotT], limits: GroupLimits
    ) -> None:
        self._host = host
        self._limits = limits
        self._snapshots = SnapshotPolicy(limits)
        self._proposals: PendingReplies[ResultT] = PendingReplies()
        self._changes: PendingReplies[Membership] = PendingReplies()

    @property
    def applied_index(self) -> LogIndex:
        """Last index that the machine's state contains."""
        return self._host.applied_index

    def wait_for(self, index: LogIndex, reply: ReplySlot[ResultT]) -> None:
        """Answer with the result of a command once it is applied.

        Args:
            index: Index of the command.
            reply: Gets the result.
        """
        self._proposals.add(index, reply)

    def wait_for_change(self, index: LogIndex, reply: ReplySlot[Membership]) -> None:
        """Answer with a membership once it is committed.

        Args:
            index: Index of its entry.
            reply: Gets the membership.
        """
        self._changes.add(index, reply)

    def fail_waiting(self, error: SamphireError) -> None:
        """Give an error to all that wait.

        Args:
            error: The error.
        """
        self._proposals.fail_all(error)
        self._changes.fail_all(error)

    def apply(self, entries: tuple[Entry, ...]) -> None:
        """Apply committed entries.

        Args:
            entries: The entries, in order.
        """
        for entry in entries:
            self._snapshots.record_applied(entry)
            if entry.kind is EntryKind.COMMAND:
                self._apply_command(entry)
                continue
            self._host.skip(entry)
            if entry.kind is EntryKind.MEMBERSHIP:
                self._changes.resolve(entry.index, require_membership(entry))

    def restore_steps(self, data: bytes, *, index: LogIndex) -> Iterator[None]:
        """Replace the whole state in short steps.

        Args:
            data: The encoded snapshot.
            index: Last index that it covers.
        """
        return self._host.restore_steps(data, index=index)

    def start_snapshot_if_due(self, log: ReplicaLog) -> WriteSnapshot | None:
        """Return the job that writes a snapshot, if one is due.

        Args:
            log: The replica's log.
        """
        index = self._host.applied_index
        term = log.find_term(index)
        if term is None or not self._snapshots.is_due():
            return None
        self._snapshots.record_started()
        captured = self._host.capture()
        mark = SnapshotMark(
            index=index,
            term=term,
            membership=log.find_membership(index),
            size_bytes=0,
            checksum=0,
        )
        return WriteSnapshot(
            mark=mark,
            encode=lambda: self._host.encode_snapshot(captured),
            base=LogIndex(max(0, index - self._limits.retained_entries)),
        )

    def note_snapshot_done(self) -> None:
        """Take that the snapshot was written."""
        self._snapshots.record_done()

    def _apply_command(self, entry: Entry) -> None:
        try:
            result = self._host.apply(entry)
        except InternalError as error:
            self._proposals.fail(entry.index, error)
        else:
            self._proposals.resolve(entry.index, result)
