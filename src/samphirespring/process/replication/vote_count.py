"""Count of the votes for one candidate."""

from samphirespring.process.ids import MemberId
from samphirespring.process.replication.entries import Membership


class VoteCount:
    """Votes from the voters of one membership; others don't count.

    Args:
        membership: The candidate's newest membership.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._granted: set[MemberId] = set()

    @property
    def is_won(self) -> bool:
        """Whether a quorum has granted its vote."""
        return len(self._granted) >= self._membership.quorum_size

    def add_vote(self, voter: MemberId) -> None:
        """Count a vote; one voter counts once.

        Args:
            voter: The member that granted it.
        """
        if self._membership.has_voter(voter):
            self._granted.add(voter)
