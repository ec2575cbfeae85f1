"""What a replica does while it leads: appends, replies of followers, membership, transfer."""

from samphirespring.process.errors import InternalError
from samphirespring.process.ids import LogIndex, MemberId
from samphirespring.process.replication.entries import Entry, EntryKind, Membership
from samphirespring.process.replication.leadership import Leadership
from samphirespring.process.replication.messages import FollowerMessage, TransferRequest
from samphirespring.process.replication.replica_state import ReplicaState
from samphirespring.process.states import ReplicaRole


class LogLeader:
    """Starts a lead, appends to the log, commits, and gives the lead away.

    Args:
        state: The replica's state.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state

    def start(self, now_s: float) -> None:
        """Lead the current term.

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
            now_s=now_s,
        )
        # Entries of earlier terms commit together with this one.
        self._append(EntryKind.NOOP)

    def propose(self, payload: bytes) -> LogIndex:
        """Append a command and return its index.

        Args:
            payload: The encoded command.

        Raises:
            InternalError: This replica doesn't lead.
        """
        if self._state.leadership is None:
            raise InternalError("only a leader proposes")
        return self._append(EntryKind.COMMAND, payload=payload)

    def propose_membership(self, membership: Membership) -> LogIndex:
        """Append a new membership and return its index.

        Args:
            membership: It differs from the newest one by at most one voter.

        Raises:
            InternalError: Another change is pending, or this replica doesn't lead.
        """
        leadership = self._state.leadership
        if leadership is None or not self.may_change_membership():
            raise InternalError("the membership can't change now")
        index = self._append(EntryKind.MEMBERSHIP, membership=membership)
        leadership.refresh_followers()
        return index

    def may_change_membership(self) -> bool:
        """Return whether this replica leads, no change is pending, and its term has a commit."""
        state = self._state
        leadership = state.leadership
        if leadership is None or state.commit_index < leadership.first_index:
            return False
        return state.log.membership_index <= state.commit_index

    def transfer(self, to: MemberId, *, now_s: float) -> bool:
        """Give the lead to a voter that has caught up; return whether it was given up.

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
        # The lease ends first: the election that follows ignores it.
        state.step_down(now_s)
        state.effects.send(to, TransferRequest(term=state.term))
        return True

    def on_follower_message(self, sender: MemberId, message: FollowerMessage) -> None:
        """Take the reply of a follower, and commit what a quorum has synced.

        Args:
            sender: The follower.
            message: Its reply, of the own term.
        """
        leadership = self._state.leadership
        if leadership is not None and leadership.record_reply(sender, message):
            self.advance_commit()

    def advance_commit(self) -> None:
        """Commit what a quorum has synced."""
        leadership = self._state.leadership
        index = None if leadership is None else leadership.find_commit_index()
        if index is not None:
            self._state.commit(index)

    def send_to_followers(self, now_s: float) -> None:
        """Send the followers what they lack, and the heartbeats that are due.

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
