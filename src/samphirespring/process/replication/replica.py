"""One replica of one group: turns messages and ticks into effects."""

from samphirespring.process.ids import LogIndex, MemberId, PersistToken, Term
from samphirespring.process.replication.effects import Effect
from samphirespring.process.replication.election import Election
from samphirespring.process.replication.entries import Membership, SnapshotMark
from samphirespring.process.replication.leadership import Leadership
from samphirespring.process.replication.log_follower import LogFollower
from samphirespring.process.replication.log_leader import LogLeader
from samphirespring.process.replication.messages import (
    AppendRejection,
    AppendReply,
    AppendRequest,
    Heartbeat,
    HeartbeatReply,
    LeaderMessage,
    PreVoteReply,
    PreVoteRequest,
    ReplicaMessage,
    SnapshotChunk,
    SnapshotReply,
    TransferRequest,
    VoteReply,
    VoteRequest,
)
from samphirespring.process.replication.read_lease import (
    find_last_contact_at_s,
    has_read_lease,
    may_propose,
)
from samphirespring.process.replication.replica_state import ReplicaState
from samphirespring.process.replication.snapshot_follower import SnapshotFollower
from samphirespring.process.states import ReplicaRole


class Replica:
    """Runs the consensus protocol of one replica, without access to sockets, disks or clocks.

    After each call of a method, the owner performs the effects of `pop_effects`, in order.

    Args:
        state: The state loaded from disk; only the replica uses it.
    """

    def __init__(self, state: ReplicaState) -> None:
        self.member = state.member
        self.log = state.log
        self._state = state
        self._log_leader = LogLeader(state)
        self._election = Election(state, log_leader=self._log_leader)
        self._follower = LogFollower(state)
        self._snapshots = SnapshotFollower(state, follower=self._follower)

    @property
    def role(self) -> ReplicaRole:
        """Role in the current term."""
        if self._state.role is ReplicaRole.FOLLOWER and not self._state.is_voter:
            return ReplicaRole.LEARNER
        return self._state.role

    @property
    def term(self) -> Term:
        """Current term."""
        return self._state.term

    @property
    def leader(self) -> MemberId | None:
        """Leader of the current term, if known."""
        return self._state.leader

    @property
    def leadership(self) -> Leadership | None:
        """State of the leader; None in other roles."""
        return self._state.leadership

    @property
    def commit_index(self) -> LogIndex:
        """Last index known to be committed."""
        return self._state.commit_index

    @property
    def synced_index(self) -> LogIndex:
        """Last index that is synced here."""
        return self._state.synced_index

    def has_lease(self, now_s: float) -> bool:
        """Return whether this replica leads under a valid lease and has all committed entries.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return has_read_lease(self._state, now_s=now_s)

    def find_last_contact_at_s(self, now_s: float) -> float | None:
        """Return when this replica last had contact with the group, or None.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return find_last_contact_at_s(self._state, now_s=now_s)

    def may_propose(self, now_s: float) -> bool:
        """Return whether this replica leads and had recent contact with a quorum.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return may_propose(self._state, now_s=now_s)

    def tick(self, now_s: float) -> None:
        """Start an election that is due, or step down after the lease has expired.

        Args:
            now_s: Monotonic time, in seconds.
        """
        leadership = self._state.leadership
        if leadership is not None:
            if leadership.has_lost_quorum(now_s):
                self._state.step_down(now_s)
        elif now_s >= self._state.election_due_at_s:
            self._election.start_pre_vote(now_s)

    def receive(self, sender: MemberId, message: ReplicaMessage, *, now_s: float) -> None:
        """Handle a message.

        Args:
            sender: Member that sent it.
            message: The message.
            now_s: Monotonic time, in seconds.
        """
        if isinstance(message, PreVoteRequest):
            self._election.on_pre_vote_request(sender, message, now_s=now_s)
            return
        if isinstance(message, PreVoteReply) and message.term <= self.term:
            # A voter that grants a pre-vote may still be in an earlier term.
            self._election.on_pre_vote_reply(sender, message, now_s=now_s)
            return
        if isinstance(message, VoteRequest) and self._election.must_ignore_vote_request(
            message, now_s=now_s
        ):
            return
        if message.term > self.term:
            self._state.enter_term(message.term, now_s)
        if message.term < self.term:
            self._reply_to_stale(sender, message)
            return
        self._dispatch(sender, message, now_s)

    def propose(self, payload: bytes) -> LogIndex:
        """Append a command as leader and return its index.

        Args:
            payload: The encoded command.

        Raises:
            InternalError: This replica isn't the leader.
        """
        return self._log_leader.propose(payload)

    def propose_membership(self, membership: Membership) -> LogIndex:
        """Append a new membership as leader and return its index.

        Args:
            membership: The new membership; it differs from the newest one by at most one voter.

        Raises:
            InternalError: Another change is pending, or this replica isn't the leader.
        """
        return self._log_leader.propose_membership(membership)

    def may_change_membership(self) -> bool:
        """Return whether this is the leader, no change is pending, and its term has a commit."""
        return self._log_leader.may_change_membership()

    def transfer_leadership(self, to: MemberId, *, now_s: float) -> bool:
        """Transfer the leadership to a voter that has caught up; return whether it was given up.

        Args:
            to: The voter.
            now_s: Monotonic time, in seconds.
        """
        return self._log_leader.transfer(to, now_s=now_s)

    def mark_persisted(self, token: PersistToken, *, now_s: float) -> None:
        """Record that a write and all earlier ones are synced.

        Args:
            token: Number of the write.
            now_s: Monotonic time, in seconds.
        """
        before = self.synced_index
        self._state.effects.mark_synced(token)
        self._election.on_write_synced(token, now_s=now_s)
        if self.leadership is not None:
            self._log_leader.advance_commit()
        elif self.synced_index > before and self.leader is not None:
            self._follower.acknowledge(self.leader)

    def compact_log(self, mark: SnapshotMark, *, retained_entries: int) -> LogIndex:
        """Drop entries that a synced snapshot covers; return the last dropped index.

        Args:
            mark: Metadata of the snapshot.
            retained_entries: Covered entries to keep for followers that lag.
        """
        if self.log.snapshot is not None and self.log.snapshot.index >= mark.index:
            return self.log.base.index
        base = LogIndex(max(mark.index - retained_entries, self.log.base.index))
        self.log.compact(mark, base=base)
        return base

    def pop_effects(self, now_s: float) -> list[Effect]:
        """Return the effects to perform, in order, and clear them.

        Args:
            now_s: Monotonic time, in seconds.
        """
        effects = self._state.effects
        effects.persist_entries()
        self._log_leader.send_to_followers(now_s)
        effects.apply_committed(self.commit_index)
        return effects.pop_all()

    def _dispatch(self, sender: MemberId, message: ReplicaMessage, now_s: float) -> None:
        match message:
            case Heartbeat() | AppendRequest() | SnapshotChunk():
                self._on_leader_message(sender, message, now_s)
            case VoteRequest():
                self._election.on_vote_request(sender, message, now_s=now_s)
            case VoteReply():
                self._election.on_vote_reply(sender, message, now_s=now_s)
            case TransferRequest():
                self._election.on_transfer_request(now_s)
            case HeartbeatReply() | AppendReply() | AppendRejection() | SnapshotReply():
                self._log_leader.on_follower_message(sender, message)

    def _on_leader_message(self, sender: MemberId, message: LeaderMessage, now_s: float) -> None:
        self._follower.accept_leader(sender, message, now_s=now_s)
        match message:
            case Heartbeat():
                self._follower.on_heartbeat(sender, message, now_s=now_s)
            case AppendRequest():
                self._follower.on_append_request(sender, message)
            case SnapshotChunk():
                self._snapshots.on_chunk(sender, message)

    def _reply_to_stale(self, sender: MemberId, message: ReplicaMessage) -> None:
        # The newer term in the reply makes the sender step down or end its election.
        effects = self._state.effects
        if isinstance(message, LeaderMessage):
            reply = HeartbeatReply(
                term=self.term, sent_at_s=message.sent_at_s, match_index=LogIndex(0)
            )
            effects.send(sender, reply)
        elif isinstance(message, VoteRequest):
            effects.send(sender, VoteReply(term=self.term, granted=False))
