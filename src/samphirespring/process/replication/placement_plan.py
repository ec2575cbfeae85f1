"""Plans the move of a group to the hosts that it is placed on, one membership change at a time."""

from collections.abc import Collection, Mapping, Sequence

from samphirespring.process.ids import LogIndex, MemberId, ReplicaId
from samphirespring.process.replication.entries import Member, Membership
from samphirespring.process.replication.membership_plan import is_caught_up
from samphirespring.process.replication.progress import FollowerProgress
from samphirespring.process.states import MemberStanding


def plan_move(
    membership: Membership,
    *,
    placed: Collection[ReplicaId],
    leader: MemberId,
    joiners: Sequence[Member],
    followers: Mapping[MemberId, FollowerProgress],
    commit_index: LogIndex,
) -> Membership | None:
    """Return the next membership, or None if no change is due.

    New hosts become voters before old ones leave, so that the group never has fewer voters than
    before: an old host is removed only once all placed hosts are voters.

    Args:
        membership: The newest membership, which is committed.
        placed: Hosts that are to hold the group.
        leader: The leader.
        joiners: Members with empty data folders and a recent announcement.
        followers: Progress of the other members.
        commit_index: Last committed index.
    """
    for joiner in joiners:
        if joiner.replica in placed and membership.find_replica(joiner.replica) is None:
            return membership.add_learner(joiner)
    for record in membership.members:
        if _may_promote(record, placed) and is_caught_up(
            followers.get(record.member), commit_index
        ):
            return membership.promote(record.member)
    if not _has_all_voters(membership, placed):
        return None
    for record in membership.members:
        if record.replica not in placed and record.member != leader:
            return membership.remove(record.member)
    return None


def find_successors(
    membership: Membership, *, placed: Collection[ReplicaId], leader: MemberId
) -> tuple[ReplicaId, ...]:
    """Return the hosts to which a leader that is to leave the group may transfer the leadership.

    Args:
        membership: The newest membership.
        placed: Hosts that are to hold the group.
        leader: The leader.
    """
    record = membership.find(leader)
    if record is None or record.replica in placed or not _has_all_voters(membership, placed):
        return ()
    return tuple(placed)


def _may_promote(record: Member, placed: Collection[ReplicaId]) -> bool:
    is_learner = record.standing is MemberStanding.LEARNER and record.replaces is None
    return is_learner and record.replica in placed


def _has_all_voters(membership: Membership, placed: Collection[ReplicaId]) -> bool:
    voting = {m.replica for m in membership.members if m.standing is MemberStanding.VOTER}
    return voting.issuperset(placed)
