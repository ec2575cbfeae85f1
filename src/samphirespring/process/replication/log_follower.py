"""The follower's part of log replication: heartbeats, entries and acknowledgements."""

from collections.abc import Sequence

from samphirespring.process.errors import InternalError
from samphirespring.process.ids import LogIndex, MemberId
from samphirespring.process.replication.entries import Entry
from samphirespring.process.replication.messages import (
    AppendRejection,
    AppendReply,
    AppendRequest,
    Heartbeat,
    HeartbeatReply,
    LeaderMessage,
)
from samphirespring.process.replication.replica_state import ReplicaState
from samphirespring.process.states import ReplicaRole


class LogFollower:
    """Appends matching entries, acknowledges them once synced, and updates the commit index.

    Args:
        state: The replica's state.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state

    def accept_leader(self, sender: MemberId, message: LeaderMessage, *, now_s: float) -> None:
        """Follow the leader of the current term, and grant no vote for `election_min_s`.

        Args:
            sender: The leader.
            message: Its message.
            now_s: Monotonic time, in seconds.

        Raises:
            InternalError: This replica leads the same term.
        """
        state = self._state
        if state.leadership is not None:
            raise InternalError(f"{sender} leads term {state.term}, which this replica leads")
        state.role = ReplicaRole.FOLLOWER
        state.leader = sender
        state.leader_contact_at_s = now_s
        state.votes_withheld_until_s = now_s + state.timing.election_min_s
        state.leader_sent_at_s = max(state.leader_sent_at_s, message.sent_at_s)
        state.reset_election_timeout(now_s)

    def on_heartbeat(self, sender: MemberId, heartbeat: Heartbeat, *, now_s: float) -> None:
        """Update the commit index, and reply.

        Args:
            sender: The leader.
            heartbeat: Its heartbeat.
            now_s: Monotonic time, in seconds.
        """
        state = self._state
        state.silent_since_s = {
            member: now_s - silence_s for member, silence_s in heartbeat.silences
        }
        state.commit(min(heartbeat.commit_index, state.verified_index))
        reply = HeartbeatReply(
            term=state.term, sent_at_s=heartbeat.sent_at_s, match_index=state.match_index
        )
        state.effects.send(sender, reply)

    def on_append_request(self, sender: MemberId, request: AppendRequest) -> None:
        """Append the entries if the log matches up to them; otherwise reject them with a hint.

        Args:
            sender: The leader.
            request: The entries.
        """
        state = self._state
        entries = request.entries
        previous = request.previous
        if previous.index < state.log.base.index:
            # Compacted entries are committed, so they match the leader's log.
            entries = tuple(entry for entry in entries if entry.index > state.log.base.index)
            previous = state.log.base
        if not state.log.has(previous):
            self._reject(sender, request)
            return
        self._append_entries(entries)
        last_index = entries[-1].index if entries else previous.index
        state.verified_index = max(state.verified_index, last_index)
        state.commit(min(request.commit_index, state.verified_index))
        if state.effects.is_written:
            self.acknowledge(sender)

    def acknowledge(self, leader: MemberId) -> None:
        """Report to the leader the last index that is synced here and matches its log.

        Args:
            leader: The leader.
        """
        state = self._state
        reply = AppendReply(
            term=state.term, match_index=state.match_index, sent_at_s=state.leader_sent_at_s
        )
        state.effects.send(leader, reply)

    def _reject(self, sender: MemberId, request: AppendRequest) -> None:
        state = self._state
        hint = min(request.previous.index, state.log.last.index)
        if hint == request.previous.index:
            hint = LogIndex(state.log.find_term_start(hint) - 1)
        rejection = AppendRejection(
            term=state.term,
            previous_index=request.previous.index,
            hint_index=max(hint, state.commit_index),
            sent_at_s=request.sent_at_s,
        )
        state.effects.send(sender, rejection)

    def _append_entries(self, entries: Sequence[Entry]) -> None:
        log = self._state.log
        for entry in entries:
            if entry.index <= log.last.index:
                if log.has(entry.position):
                    continue
                self._truncate(entry.index)
            log.append(entry)

    def _truncate(self, first: LogIndex) -> None:
        state = self._state
        if first <= state.commit_index:
            raise InternalError(f"cannot truncate the log: entry {first} is committed")
        state.log.truncate(first)
        state.effects.record_truncation(first)
