"""Queues the effects of a replica, and tracks how far its log was written and applied."""

from collections.abc import Iterable

from samphirespring.process.ids import LogIndex, MemberId, PersistToken
from samphirespring.process.replication.effects import Apply, Effect, InstallSnapshot, Persist, Send
from samphirespring.process.replication.entries import HardState, SnapshotMark
from samphirespring.process.replication.messages import ReplicaMessage
from samphirespring.process.replication.persistence import PersistenceTracker
from samphirespring.process.replication.replica_log import ReplicaLog


class EffectQueue:
    """Collects effects until the owner pops them; a write comes before messages that rely on it.

    Args:
        log: The replica's log.
        applied_index: Last index contained in the restored state of the state machine.
    """

    def __init__(self, *, log: ReplicaLog, applied_index: LogIndex) -> None:
        self.persistence = PersistenceTracker(synced_index=log.last.index)
        self._log = log
        self._written_index = log.last.index
        self._applied_index = applied_index
        self._effects: list[Effect] = []

    @property
    def is_written(self) -> bool:
        """Whether the whole log is written and synced."""
        return self._written_index >= self._log.last.index and self.persistence.is_idle

    def send(self, to: MemberId, message: ReplicaMessage) -> None:
        """Send a message.

        Args:
            to: The member.
            message: The message.
        """
        self._effects.append(Send(to=to, message=message))

    def send_after_sync(self, to: MemberId, message: ReplicaMessage) -> None:
        """Send a message once all writes started so far are synced.

        Args:
            to: The member.
            message: The message.
        """
        self.persistence.hold(Send(to=to, message=message))
        self._effects.extend(self.persistence.release())

    def add(self, effects: Iterable[Effect]) -> None:
        """Append effects that another part produced.

        Args:
            effects: The effects, in order.
        """
        self._effects.extend(effects)

    def persist_entries(self) -> None:
        """Write the entries that were appended since the last write."""
        last = self._log.last.index
        if self._written_index >= last:
            return
        entries = self._log.read(LogIndex(self._written_index + 1), last)
        self._written_index = last
        token = self.persistence.start_write(last)
        self._effects.append(Persist(token=token, entries=entries))

    def persist_hard_state(self, state: HardState) -> PersistToken:
        """Write term and vote, after all appended entries; return the number of the write.

        Args:
            state: Term and vote.
        """
        self.persist_entries()
        token = self.persistence.start_write(self._log.last.index)
        self._effects.append(Persist(token=token, hard_state=state))
        return token

    def mark_synced(self, token: PersistToken) -> None:
        """Record that a write and all earlier ones are synced, and send messages held for them.

        Args:
            token: Number of the write.
        """
        self._effects.extend(self.persistence.mark_synced(token))

    def record_truncation(self, first: LogIndex) -> None:
        """Record that the log was truncated.

        Args:
            first: First dropped index.
        """
        self.persistence.record_truncation(first)
        self._written_index = min(self._written_index, LogIndex(first - 1))

    def install_snapshot(self, mark: SnapshotMark, data: bytes) -> None:
        """Write a snapshot in place of the log, and restore the state machine from it.

        Args:
            mark: Metadata of the snapshot.
            data: The encoded state.
        """
        self._written_index = mark.index
        self._applied_index = mark.index
        token = self.persistence.start_write(mark.index)
        self._effects.append(InstallSnapshot(token=token, mark=mark, data=data))

    def apply_committed(self, commit_index: LogIndex) -> None:
        """Apply the committed entries that haven't been applied yet.

        Args:
            commit_index: Last committed index.
        """
        if self._applied_index >= commit_index:
            return
        first = LogIndex(self._applied_index + 1)
        self._applied_index = commit_index
        self._effects.append(Apply(entries=self._log.read(first, commit_index)))

    def pop_all(self) -> list[Effect]:
        """Return all effects, in order, and clear the queue."""
        effects, self._effects = self._effects, []
        return effects
