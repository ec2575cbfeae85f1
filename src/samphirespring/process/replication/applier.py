"""Applies committed entries, replies to their proposers, and captures snapshots."""

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
from samphirespring.process.replication.pending import PendingReplies
from samphirespring.process.replication.replica_log import ReplicaLog
from samphirespring.process.replication.snapshot_policy import SnapshotPolicy
from samphirespring.process.replication.state_machine import CommandT, ResultT, SnapshotT
from samphirespring.process.replication.state_machine_adapter import StateMachineAdapter
from samphirespring.process.replication.write_jobs import WriteSnapshot


class Applier(Generic[CommandT, ResultT, SnapshotT]):
    """Owns the state machine of one session, and the replies that wait for its entries.

    Args:
        adapter: The state machine.
        limits: Limits of the replica.
    """

    def __init__(
        self, *, adapter: StateMachineAdapter[CommandT, ResultT, SnapshotT], limits: GroupLimits
    ) -> None:
        self._adapter = adapter
        self._limits = limits
        self._snapshots = SnapshotPolicy(limits)
        self._proposals: PendingReplies[ResultT] = PendingReplies()
        self._membership_changes: PendingReplies[Membership] = PendingReplies()

    @property
    def applied_index(self) -> LogIndex:
        """Last index that the state machine has applied."""
        return self._adapter.applied_index

    def register_proposal(self, index: LogIndex, reply: ReplySlot[ResultT]) -> None:
        """Register a proposal: its reply slot receives the result once the command is applied.

        Args:
            index: Index of the command.
            reply: Receives the result.
        """
        self._proposals.add(index, reply)

    def register_membership_change(self, index: LogIndex, reply: ReplySlot[Membership]) -> None:
        """Register a membership change: its reply slot receives the membership once committed.

        Args:
            index: Index of its entry.
            reply: Receives the membership.
        """
        self._membership_changes.add(index, reply)

    def fail_pending(self, error: SamphireError) -> None:
        """Fail all pending replies.

        Args:
            error: The error.
        """
        self._proposals.fail_all(error)
        self._membership_changes.fail_all(error)

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
            self._adapter.skip(entry)
            if entry.kind is EntryKind.MEMBERSHIP:
                self._membership_changes.resolve(entry.index, require_membership(entry))

    def restore_steps(self, data: bytes, *, index: LogIndex) -> Iterator[None]:
        """Replace the whole state in short steps.

        Args:
            data: The encoded snapshot.
            index: Last index that the snapshot covers.
        """
        return self._adapter.restore_steps(data, index=index)

    def start_snapshot_if_due(self, log: ReplicaLog) -> WriteSnapshot | None:
        """Capture a snapshot if one is due; return the job that writes it, or None.

        Args:
            log: The replica's log.
        """
        index = self._adapter.applied_index
        term = log.find_term(index)
        if term is None or not self._snapshots.is_due():
            return None
        self._snapshots.record_started()
        captured = self._adapter.capture()
        mark = SnapshotMark(
            index=index,
            term=term,
            membership=log.find_membership(index),
            size_bytes=0,
            checksum=0,
        )
        return WriteSnapshot(
            mark=mark,
            encode=lambda: self._adapter.encode_snapshot(captured),
            base=LogIndex(max(0, index - self._limits.retained_entries)),
        )

    def record_snapshot_written(self) -> None:
        """Record that the snapshot has been written."""
        self._snapshots.record_done()

    def _apply_command(self, entry: Entry) -> None:
        try:
            result = self._adapter.apply(entry)
        except InternalError as error:
            self._proposals.fail(entry.index, error)
        else:
            self._proposals.resolve(entry.index, result)
