"""State that the parts of one replica share: term, vote, role and commit index."""

from random import Random

from samphirespring.process.ids import LogIndex, MemberId, PersistToken, Term
from samphirespring.process.replication.effect_queue import EffectQueue
from samphirespring.process.replication.entries import HardState, LogPosition
from samphirespring.process.replication.leadership import Leadership
from samphirespring.process.replication.replica_log import ReplicaLog
from samphirespring.process.replication.snapshot_receiver import SnapshotReceiver
from samphirespring.process.replication.timing import ReplicaTiming
from samphirespring.process.states import ReplicaRole


class ReplicaState:
    """State of one replica, and the transitions that all its parts use.

    Args:
        member: This member.
        hard_state: Term and vote as loaded from disk.
        log: The log as loaded from disk.
        timing: Intervals and timeouts.
        random: Source of random numbers.
        now_s: Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        member: MemberId,
        hard_state: HardState,
        log: ReplicaLog,
        timing: ReplicaTiming,
        random: Random,
        now_s: float,
    ) -> None:
        self.member = member
        self.log = log
        self.timing = timing
        self._random = random
        self.term = max(hard_state.term, log.last.term)
        self.vote = hard_state.vote if self.term == hard_state.term else None
        self.role = ReplicaRole.FOLLOWER
        self.leader: MemberId | None = None
        self.leadership: Leadership | None = None
        """State of the leader; None in other roles."""

        snapshot = log.snapshot
        self.commit_index = LogIndex(0) if snapshot is None else snapshot.index
        self.verified_index = LogIndex(0)
        """Last index known to match the log of the term's leader."""

        self.leader_contact_at_s: float | None = None
        """Time of the last message of a leader, in any term since the start, in seconds."""

        self.leader_sent_at_s = 0.0
        """Latest send time received from the leader in this term, in seconds of its clock."""

        self.silent_since_s: dict[MemberId, float] = {}
        """When the members that the latest leader missed were heard last, in seconds."""

        # The disk doesn't record until when votes are withheld, so a restarted replica withholds
        # them again. A replica without a term has never confirmed a leader.
        is_new = hard_state.term == 0
        self.votes_withheld_until_s = now_s if is_new else now_s + timing.restart_vote_delay_s
        """Time until which no vote is granted, in seconds."""

        self.reset_election_timeout(now_s)
        self.receiver = SnapshotReceiver()
        """Parts of a snapshot from the leader of the current term."""

        self.effects = EffectQueue(log=log, applied_index=self.commit_index)

    @property
    def synced_index(self) -> LogIndex:
        """Last index that is synced here."""
        return self.effects.persistence.synced_index

    @property
    def match_index(self) -> LogIndex:
        """Last index that is synced here and known to match the leader's log."""
        return min(self.verified_index, self.synced_index)

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter of its newest membership."""
        return self.log.membership.has_voter(self.member)

    def list_other_voters(self) -> tuple[MemberId, ...]:
        """Return the voters of the newest membership, without this member."""
        return tuple(v for v in self.log.membership.voters if v != self.member)

    def is_up_to_date(self, last: LogPosition) -> bool:
        """Return whether another log is at least as up to date as this one (Raft, 5.4.1).

        Args:
            last: Last position of the other log.
        """
        own = self.log.last
        return (last.term, last.index) >= (own.term, own.index)

    def enter_term(self, term: Term, now_s: float) -> None:
        """Become a follower in a higher term, with no vote and no known leader.

        Args:
            term: The term.
            now_s: Monotonic time, in seconds.
        """
        self.reset_term_state()
        self.term = term
        self.vote = None
        self.persist_hard_state()
        self.step_down(now_s)

    def reset_term_state(self) -> None:
        """Clear the state that is valid only in the term that ends."""
        self.verified_index = LogIndex(0)
        # The clock of this leader may be ahead of the next leader's: its send times must not extend
        # the next leader's lease.
        self.leader_sent_at_s = 0.0
        self.receiver.clear()
        self.effects.persistence.drop_held()

    def step_down(self, now_s: float) -> None:
        """Become a follower without a known leader.

        Args:
            now_s: Monotonic time, in seconds.
        """
        self.role = ReplicaRole.FOLLOWER
        self.leader = None
        self.leadership = None
        self.reset_election_timeout(now_s)

    def reset_election_timeout(self, now_s: float) -> None:
        """Restart the election timeout with a random duration.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self.leader_contact_at_s is None:
            delay_s = self.timing.draw_first_election_delay_s(self._random)
        else:
            delay_s = self.timing.draw_election_delay_s(self._random)
        self.election_due_at_s = now_s + delay_s

    def persist_hard_state(self) -> PersistToken:
        """Persist term and vote; return the number of the write."""
        return self.effects.persist_hard_state(HardState(term=self.term, vote=self.vote))

    def commit(self, index: LogIndex) -> None:
        """Advance the commit index; it never moves back.

        Args:
            index: Last committed index.
        """
        self.commit_index = max(self.commit_index, index)
