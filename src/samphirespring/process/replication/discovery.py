"""Finds the members of a group if the settings name only some of the control hosts."""

from collections.abc import Collection, Mapping, Sequence

import msgspec

from samphirespring.process.ids import LogIndex, MemberId, ReplicaId
from samphirespring.process.replication.entries import Member, Membership
from samphirespring.process.replication.membership_plan import is_caught_up
from samphirespring.process.replication.progress import FollowerProgress
from samphirespring.process.replication.succession import (
    find_newcomer,
    find_predecessor,
    find_surplus_voter,
)
from samphirespring.process.states import MemberStanding


class Discovery(msgspec.Struct, frozen=True, kw_only=True):
    """How members are found: the hosts that form a new group, and the number of voters it grows to.

    Attributes:
        seeds: Control hosts that the settings name; they form a new group.
        may_form: Whether the fleet starts for the first time, so that replicas with empty data
            folders may form the group.
        voter_goal: Number of voters that the group grows to.
    """

    seeds: tuple[ReplicaId, ...]
    may_form: bool
    voter_goal: int


def plan_growth(
    membership: Membership,
    *,
    voter_goal: int,
    leader: MemberId,
    joiners: Sequence[Member],
    followers: Mapping[MemberId, FollowerProgress],
    unresponsive: Collection[MemberId],
    departing: Collection[MemberId],
    commit_index: LogIndex,
) -> Membership | None:
    """Return the next membership, or None if no change is due.

    Control hosts that announce themselves become learners, as many as there are to be voters, and
    are promoted until the group has enough voters. A voter that is unresponsive or about to stop is
    removed only once a learner has caught up. A learner that joined after a voter takes its place;
    the group has one voter too many in between.

    Args:
        membership: The newest membership, which is committed.
        voter_goal: Number of voters to grow to.
        leader: The leader.
        joiners: Hosts with a recent announcement.
        followers: Progress of the other members.
        unresponsive: Members without a recent reply to the leader.
        departing: Members that are about to stop or have stopped as planned.
        commit_index: Last committed index.
    """
    learners = [m for m in membership.members if m.standing is MemberStanding.LEARNER]
    leaving = {*unresponsive, *departing}
    for joiner in joiners:
        if membership.find_replica(joiner.replica) is None and len(learners) < voter_goal:
            return membership.add_learner(joiner)
    ready = [
        m
        for m in learners
        if m.replaces is None
        and m.member not in leaving
        and is_caught_up(followers.get(m.member), commit_index)
    ]
    lost = [v for v in membership.voters if v in leaving and v != leader]
    if len(membership.voters) > voter_goal:
        return membership.remove(lost[0]) if lost else _plan_demotion(membership, leader=leader)
    if ready and len(membership.voters) < voter_goal:
        return membership.promote(ready[-1].member)
    if ready and lost:
        return membership.remove(lost[0])
    for learner in ready:
        if find_predecessor(membership, learner) is not None:
            return membership.promote(learner.member)
    for learner in learners:
        if learner.member in leaving:
            return membership.remove(learner.member)
    return None


def _plan_demotion(membership: Membership, *, leader: MemberId) -> Membership | None:
    """Return the membership without the surplus vote, or None while the leader holds it."""
    surplus = find_surplus_voter(membership)
    if surplus is None or surplus.member == leader:
        return None
    return membership.demote(surplus.member, successor=find_newcomer(membership).member)
