"""Leader elections: pre-votes, votes, and the period in which no vote is granted."""

from samphirespring.process.errors import InternalError
from samphirespring.process.ids import MemberId, PersistToken, Term
from samphirespring.process.replication.log_leader import LogLeader
from samphirespring.process.replication.messages import (
    PreVoteReply,
    PreVoteRequest,
    VoteReply,
    VoteRequest,
)
from samphirespring.process.replication.replica_state import ReplicaState
from samphirespring.process.replication.vote_count import VoteCount
from samphirespring.process.states import ReplicaRole


class Election:
    """Requests votes, grants votes, and starts the leadership once a quorum has granted its votes.

    Args:
        state: The replica's state.
        log_leader: Started once a quorum has granted its votes.
    """

    def __init__(self, state: ReplicaState, *, log_leader: LogLeader) -> None:
        self._state = state
        self._log_leader = log_leader
        self._votes: VoteCount | None = None
        self._campaign_token = PersistToken(0)

    def start_pre_vote(self, now_s: float) -> None:
        """Request pre-votes, which change no state at the other voters.

        Args:
            now_s: Monotonic time, in seconds.
        """
        state = self._state
        state.reset_election_timeout(now_s)
        if not state.is_voter:
            return
        state.leader = None
        state.role = ReplicaRole.PRE_CANDIDATE
        self._votes = VoteCount(state.log.membership)
        self._votes.add_vote(state.member)
        if self._votes.is_won:
            self.start(now_s, transfer=False)
            return
        request = PreVoteRequest(term=state.term, last=state.log.last)
        for voter in state.list_other_voters():
            state.effects.send(voter, request)

    def start(self, now_s: float, *, transfer: bool) -> None:
        """Request votes in the next term; this replica's own vote counts once it is synced.

        Args:
            now_s: Monotonic time, in seconds.
            transfer: Whether the leader requested the election and gave up its lease.
        """
        state = self._state
        state.reset_election_timeout(now_s)
        state.leader = None
        state.role = ReplicaRole.CANDIDATE
        self._votes = VoteCount(state.log.membership)
        state.reset_term_state()
        state.term = Term(state.term + 1)
        state.vote = state.member
        self._campaign_token = state.persist_hard_state()
        request = VoteRequest(term=state.term, last=state.log.last, transfer=transfer)
        for voter in state.list_other_voters():
            state.effects.send_after_sync(voter, request)

    def on_write_synced(self, token: PersistToken, *, now_s: float) -> None:
        """Count this replica's own vote once it is synced.

        Args:
            token: Number of the last synced write.
            now_s: Monotonic time, in seconds.
        """
        if self._state.role is ReplicaRole.CANDIDATE and token >= self._campaign_token:
            self._count_vote(self._state.member, now_s=now_s)

    def must_ignore_vote_request(self, request: VoteRequest, *, now_s: float) -> bool:
        """Return whether a request must be ignored because a leader may still hold its lease.

        Args:
            request: The request.
            now_s: Monotonic time, in seconds.
        """
        state = self._state
        if request.transfer or request.term <= state.term:
            return False
        if state.leadership is not None:
            return not state.leadership.has_lost_quorum(now_s)
        return now_s < state.votes_withheld_until_s

    def on_pre_vote_request(
        self, sender: MemberId, request: PreVoteRequest, *, now_s: float
    ) -> None:
        """Reply whether a vote would be granted.

        Args:
            sender: Member that sent the request.
            request: The request.
            now_s: Monotonic time, in seconds.
        """
        state = self._state
        granted = (
            request.term >= state.term
            and state.leadership is None
            and now_s >= state.votes_withheld_until_s
            and state.is_up_to_date(request.last)
        )
        reply = PreVoteReply(term=state.term, request_term=request.term, granted=granted)
        state.effects.send(sender, reply)

    def on_pre_vote_reply(self, sender: MemberId, reply: PreVoteReply, *, now_s: float) -> None:
        """Count a pre-vote, and start the election once a quorum would grant it.

        Args:
            sender: Member that sent the reply.
            reply: The reply.
            now_s: Monotonic time, in seconds.
        """
        if self._state.role is not ReplicaRole.PRE_CANDIDATE or self._votes is None:
            return
        if reply.granted and reply.request_term == self._state.term:
            self._votes.add_vote(sender)
            if self._votes.is_won:
                self.start(now_s, transfer=False)

    def on_vote_request(self, sender: MemberId, request: VoteRequest, *, now_s: float) -> None:
        """Reply to a vote request: grant one vote in a term, and send it only once it is synced.

        Args:
            sender: Member that sent the request.
            request: The request; its term is the current one.
            now_s: Monotonic time, in seconds.
        """
        state = self._state
        granted = state.vote in (None, sender) and state.is_up_to_date(request.last)
        if not granted:
            state.effects.send(sender, VoteReply(term=state.term, granted=False))
            return
        if state.vote is None:
            state.vote = sender
            state.persist_hard_state()
        state.role = ReplicaRole.FOLLOWER
        state.reset_election_timeout(now_s)
        state.effects.send_after_sync(sender, VoteReply(term=state.term, granted=True))

    def on_vote_reply(self, sender: MemberId, reply: VoteReply, *, now_s: float) -> None:
        """Count a vote.

        Args:
            sender: Member that sent the reply.
            reply: The reply; its term is the current one.
            now_s: Monotonic time, in seconds.
        """
        if self._state.role is ReplicaRole.CANDIDATE and reply.granted:
            self._count_vote(sender, now_s=now_s)

    def on_transfer_request(self, now_s: float) -> None:
        """Start the election that the leader requested.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self._state.is_voter:
            self.start(now_s, transfer=True)

    def _count_vote(self, voter: MemberId, *, now_s: float) -> None:
        if self._votes is None:
            raise InternalError("a candidate has no vote count")
        self._votes.add_vote(voter)
        if self._votes.is_won:
            self._votes = None
            self._log_leader.start(now_s)
