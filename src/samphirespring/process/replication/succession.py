"""Gives votes of earlier voters to hosts that joined a complete group after them.

A host that joins a group with enough voters is there to take over from one that is about to go, and
nobody says which. If it got a vote only once that one is gone, hosts that go within the time in
which a silent voter counts as lost would take the quorum along, although their successors are
ready. So a learner that has caught up takes the place of an earlier voter at once, and that voter
stays as a learner, which gets a vote again if another voter is lost.
"""

from samphirespring.process.replication.entries import Member, Membership
from samphirespring.process.states import MemberStanding


def find_predecessor(membership: Membership, successor: Member) -> Member | None:
    """Return the voter whose place a member takes, or None if it joined before all voters.

    The voter of the same failure domain is preferred, then one of the domain with most voters, then
    the one that joined first. A voter that took the place of another one is passed over while that
    one is still a member: each of several successors takes the place of another voter.

    Args:
        membership: The membership.
        successor: A member.
    """
    position = membership.members.index(successor)
    earlier = [m for m in membership.members[:position] if m.standing is MemberStanding.VOTER]
    established = [voter for voter in earlier if not _has_predecessor(membership, voter)]
    return min(
        established or earlier,
        key=lambda voter: (
            not _share_domain(voter, successor),
            -_count_voters_beside(membership, voter),
        ),
        default=None,
    )


def find_surplus_voter(membership: Membership) -> Member | None:
    """Return the voter to take the vote from if there is one voter too many.

    Args:
        membership: The membership, in which a learner has just been promoted.
    """
    return find_predecessor(membership, find_newcomer(membership))


def find_newcomer(membership: Membership) -> Member:
    """Return the voter that joined last of those that haven't taken a place yet.

    Args:
        membership: The membership, which has a voter.
    """
    voters = [m for m in membership.members if m.standing is MemberStanding.VOTER]
    newcomers = [voter for voter in voters if not _has_predecessor(membership, voter)]
    return (newcomers or voters)[-1]


def _has_predecessor(membership: Membership, voter: Member) -> bool:
    """Return whether the member whose place the voter took is still in the group."""
    return any(member.succeeded_by == voter.member for member in membership.members)


def _count_voters_beside(membership: Membership, voter: Member) -> int:
    return sum(
        member.standing is MemberStanding.VOTER and _share_domain(member, voter)
        for member in membership.members
    )


def _share_domain(member: Member, other: Member) -> bool:
    return member.failure_domain is not None and member.failure_domain == other.failure_domain
