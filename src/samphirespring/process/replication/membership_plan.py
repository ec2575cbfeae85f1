"""Plans the replacement of a lost member, one membership change at a time."""

from collections.abc import Mapping, Sequence

import msgspec

from samphirespring.process.ids import LogIndex, MemberId
from samphirespring.process.replication.entries import Member, Membership
from samphirespring.process.replication.progress import FollowerProgress
from samphirespring.process.states import MemberStanding


def plan_replacement(
    membership: Membership,
    *,
    leader: MemberId,
    joiners: Sequence[Member],
    followers: Mapping[MemberId, FollowerProgress],
    commit_index: LogIndex,
) -> Membership | None:
    """Return the next membership, or None if no change is due.

    Once a learner has caught up, the lost member is removed and then the learner promoted, so that
    the votes of the lost member and of its replacement never count at the same time.

    Args:
        membership: The newest membership, which is committed.
        leader: The leader.
        joiners: Members with empty data folders and a recent announcement.
        followers: Progress of the other members.
        commit_index: Last committed index.
    """
    for joiner in joiners:
        changed = _add_joiner(membership, joiner, leader=leader)
        if changed is not None:
            return changed
    for record in membership.members:
        if record.standing is not MemberStanding.LEARNER or record.replaces is None:
            continue
        if not is_caught_up(followers.get(record.member), commit_index):
            continue
        if membership.find(record.replaces) is None:
            return membership.promote(record.member)
        if record.replaces != leader:
            return membership.remove(record.replaces)
    return None


def is_caught_up(progress: FollowerProgress | None, commit_index: LogIndex) -> bool:
    """Return whether a follower has synced all committed entries.

    Args:
        progress: Progress of the follower; None if the leader tracks none.
        commit_index: Last committed index.
    """
    return progress is not None and progress.match_index >= commit_index


def _add_joiner(membership: Membership, joiner: Member, *, leader: MemberId) -> Membership | None:
    if membership.find(joiner.member) is not None:
        return None
    earlier = [m for m in membership.members if m.replica == joiner.replica]
    if not earlier or any(m.member == leader for m in earlier):
        return None
    for lost in earlier:
        if lost.standing is MemberStanding.LEARNER:
            # The learner lost its disk before its promotion. Without a vote it may be replaced by
            # one membership change.
            record = msgspec.structs.replace(joiner, replaces=lost.replaces)
            return membership.remove(lost.member).add_learner(record)
    return membership.add_learner(msgspec.structs.replace(joiner, replaces=earlier[0].member))
