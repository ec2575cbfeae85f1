"""The leader's part of log replication: appends, replies, membership and transfer."""

from samphirespring.process.errors import InternalError
from samphirespring.process.ids import LogIndex, MemberId
from samphirespring.process.replication.entries import Entry, EntryKind, Membership
from samphirespring.process.replication.leadership import Leadership
from samphirespring.process.replication.messages import FollowerMessage, TransferRequest
from samphirespring.process.replication.replica_state import ReplicaState
from samphirespring.process.states import ReplicaRole


class LogLeader:
    """Starts the leadership, appends to the log, commits, and transfers the leadership.

    Args:
        state: The replica's state.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state

    def start(self, now_s: float) -> None:
        """Become the leader of the current term.

        Args:
            now_s: Monotonic time, in seconds.
        """
        state = self._state
        state.role = ReplicaRole.LEADER
        state.leader = state.member
        state.leadership = Leadership(
            member=state.member,
            term=state.term,
            log=state.log,
            persistence=state.effects.persistence,
            timing=state.timing,
            silent_since_s=state.silent_since_s,
            now_s=now_s,
        )
        # Entries of earlier terms commit together with this one.
        self._append(EntryKind.NOOP)

    def propose(self, payload: bytes) -> LogIndex:
        """Append a command and return its index.

        Args:
            payload: The encoded command.

        Raises:
            InternalError: This replica isn't the leader.
        """
        if self._state.leadership is None:
            raise InternalError("only the leader can propose")
        return self._append(EntryKind.COMMAND, payload=payload)

    def propose_membership(self, membership: Membership) -> LogIndex:
        """Append a new membership and return its index.

        Args:
            membership: The new membership; it differs from the newest one by at most one voter.

        Raises:
            InternalError: Another change is pending, or this replica isn't the leader.
        """
        leadership = self._state.leadership
        if leadership is None or not self.may_change_membership():
            raise InternalError("the membership can't change now")
        index = self._append(EntryKind.MEMBERSHIP, membership=membership)
        leadership.refresh_followers()
        return index

    def may_change_membership(self) -> bool:
        """Return whether this is the leader, no change is pending, and its term has a commit."""
        state = self._state
        leadership = state.leadership
        if leadership is None or state.commit_index < leadership.first_index:
            return False
        return state.log.membership_index <= state.commit_index

    def transfer(self, to: MemberId, *, now_s: float) -> bool:
        """Transfer the leadership to a voter that has caught up; return whether it was given up.

        Args:
            to: The voter.
            now_s: Monotonic time, in seconds.
        """
        state = self._state
        if state.leadership is None or not state.log.membership.has_voter(to):
            return False
        progress = state.leadership.followers.get(to)
        if progress is None or progress.match_index < state.log.last.index:
            return False
        # Steps down first, which ends the lease: the requested election doesn't wait for its end.
        state.step_down(now_s)
        state.effects.send(to, TransferRequest(term=state.term))
        return True

    def on_follower_message(self, sender: MemberId, message: FollowerMessage) -> None:
        """Record the reply of a follower, and commit what a quorum has synced.

        Args:
            sender: The follower.
            message: Its reply; its term is the current one.
        """
        leadership = self._state.leadership
        if leadership is not None and leadership.record_reply(sender, message):
            self.advance_commit()

    def advance_commit(self) -> None:
        """Commit the entries that a quorum has synced."""
        leadership = self._state.leadership
        index = None if leadership is None else leadership.find_commit_index()
        if index is not None:
            self._state.commit(index)

    def send_to_followers(self, now_s: float) -> None:
        """Send missing entries or snapshots to the followers, and the heartbeats that are due.

        Args:
            now_s: Monotonic time, in seconds.
        """
        state = self._state
        if state.leadership is None:
            return
        commit = state.commit_index
        state.effects.add(state.leadership.make_appends(commit_index=commit, now_s=now_s))
        state.effects.add(state.leadership.make_due_heartbeats(commit_index=commit, now_s=now_s))

    def _append(
        self, kind: EntryKind, *, payload: bytes = b"", membership: Membership | None = None
    ) -> LogIndex:
        state = self._state
        entry = Entry(
            index=LogIndex(state.log.last.index + 1),
            term=state.term,
            kind=kind,
            payload=payload,
            membership=membership,
        )
        state.log.append(entry)
        return entry.index
