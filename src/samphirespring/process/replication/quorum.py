"""Quorum calculations over the voters of a group."""

from collections.abc import Mapping, Sequence
from typing import TypeVar

from samphirespring.process.ids import LogIndex, MemberId
from samphirespring.process.replication.entries import Membership
from samphirespring.process.replication.progress import FollowerProgress

ValueT = TypeVar("ValueT", int, float)


def select_quorum_value(values: Sequence[ValueT]) -> ValueT:
    """Return the largest value that a quorum reaches or exceeds.

    Args:
        values: One value for each voter, at least one.
    """
    return sorted(values, reverse=True)[len(values) // 2]


def find_quorum_match(
    membership: Membership,
    followers: Mapping[MemberId, FollowerProgress],
    *,
    leader: MemberId,
    leader_synced: LogIndex,
) -> LogIndex:
    """Return the last index that is synced on a quorum of voters.

    Args:
        membership: The newest membership.
        followers: Progress of the other members.
        leader: The leader.
        leader_synced: Last index that is synced at the leader.
    """
    values = [
        leader_synced if voter == leader else followers[voter].match_index
        for voter in membership.voters
    ]
    return LogIndex(select_quorum_value([int(value) for value in values]))


def find_quorum_contact_at_s(
    membership: Membership,
    followers: Mapping[MemberId, FollowerProgress],
    *,
    leader: MemberId,
    now_s: float,
) -> float | None:
    """Return the latest send time that a quorum of voters has confirmed, or None.

    Args:
        membership: The newest membership.
        followers: Progress of the other members.
        leader: The leader, which counts as confirmed at `now_s`.
        now_s: Monotonic time, in seconds.
    """
    values = []
    for voter in membership.voters:
        contact_at_s = now_s if voter == leader else followers[voter].contact_s
        values.append(float("-inf") if contact_at_s is None else contact_at_s)
    contact_at_s = select_quorum_value(values)
    return None if contact_at_s == float("-inf") else contact_at_s
