"""Counts the votes that one candidate has received."""

from samphirespring.process.ids import MemberId
from samphirespring.process.replication.entries import Membership


class VoteCount:
    """Counts votes of the voters of one membership; votes of other members are ignored.

    Args:
        membership: The candidate's newest membership.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._granted: set[MemberId] = set()

    @property
    def is_won(self) -> bool:
        """Whether a quorum of voters granted the vote."""
        return len(self._granted) >= self._membership.quorum_size

    def add_vote(self, voter: MemberId) -> None:
        """Count a vote; repeated votes of one voter count once.

        Args:
            voter: The member that granted the vote.
        """
        if self._membership.has_voter(voter):
            self._granted.add(voter)
