"""The follower's part of snapshot transfer, used for entries that the leader has compacted."""

from samphirespring.process.ids import LogIndex, MemberId
from samphirespring.process.replication.entries import SnapshotMark
from samphirespring.process.replication.log_follower import LogFollower
from samphirespring.process.replication.messages import SnapshotChunk, SnapshotReply
from samphirespring.process.replication.replica_state import ReplicaState


class SnapshotFollower:
    """Collects the parts of a snapshot and installs the complete snapshot.

    Args:
        state: The replica's state.
        follower: Acknowledges the entries that the snapshot covers.
    """

    def __init__(self, state: ReplicaState, *, follower: LogFollower) -> None:
        self._state = state
        self._follower = follower

    def on_chunk(self, sender: MemberId, chunk: SnapshotChunk) -> None:
        """Add a part, unless the log has the entries that the snapshot covers.

        Args:
            sender: The leader.
            chunk: The part.
        """
        state = self._state
        if chunk.mark.index <= state.commit_index:
            state.verified_index = max(state.verified_index, state.commit_index)
            self._follower.acknowledge(sender)
            return
        if state.log.has(chunk.mark.position):
            # The log keeps entries after the snapshot: they may be acknowledged already.
            state.verified_index = max(state.verified_index, chunk.mark.index)
            state.commit(chunk.mark.index)
            self._follower.acknowledge(sender)
            return
        self._collect(sender, chunk)

    def _collect(self, sender: MemberId, chunk: SnapshotChunk) -> None:
        state = self._state
        data = state.receiver.add_chunk(chunk)
        if data is not None:
            self._install(chunk.mark, data)
            return
        # After a checksum failure the receiver is empty, so the transfer restarts at byte 0.
        reply = SnapshotReply(
            term=state.term,
            position=chunk.mark.position,
            next_offset=state.receiver.next_offset,
            sent_at_s=chunk.sent_at_s,
        )
        state.effects.send(sender, reply)

    def _install(self, mark: SnapshotMark, data: bytes) -> None:
        state = self._state
        state.effects.record_truncation(LogIndex(state.log.base.index + 1))
        state.log.reset(mark)
        state.verified_index = mark.index
        state.commit_index = mark.index
        state.effects.install_snapshot(mark, data)
