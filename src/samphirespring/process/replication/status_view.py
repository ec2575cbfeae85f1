"""Builds the status of one member for operators."""

from samphirespring.process.ids import GroupId, LogIndex, ReplicaId
from samphirespring.process.replication.entries import Member
from samphirespring.process.replication.group_member import GroupMember
from samphirespring.process.replication.group_status import GroupStatus, MemberStatus
from samphirespring.process.replication.replica import Replica
from samphirespring.process.states import DiskHealth


def describe_member(member: GroupMember, *, group: GroupId, now_s: float) -> GroupStatus:
    """Return the status of a member whose disk works.

    Args:
        member: The member.
        group: Its group.
        now_s: Monotonic time, in seconds.
    """
    replica = member.replica
    log = replica.log
    contact_at_s = replica.find_last_contact_at_s(now_s)
    return GroupStatus(
        group=group,
        replica=member.own.replica,
        member=replica.member,
        disk=DiskHealth.HEALTHY,
        role=replica.role,
        term=replica.term,
        leader=find_leader(replica),
        has_lease=replica.has_lease(now_s),
        leader_contact_age_s=None if contact_at_s is None else now_s - contact_at_s,
        last_index=log.last.index,
        synced_index=replica.synced_index,
        commit_index=replica.commit_index,
        snapshot_index=LogIndex(0) if log.snapshot is None else log.snapshot.index,
        members=tuple(_describe_other(member, r, now_s) for r in log.membership.members),
        joiners=(
            () if replica.leadership is None else member.membership_coordinator.list_joiners(now_s)
        ),
    )


def find_leader(replica: Replica) -> ReplicaId | None:
    """Return the leader of the current term, if known.

    Args:
        replica: The replica whose leader is looked up.
    """
    if replica.leader is None:
        return None
    record = replica.log.membership.find(replica.leader)
    return None if record is None else record.replica


def _describe_other(member: GroupMember, record: Member, now_s: float) -> MemberStatus:
    leadership = member.replica.leadership
    progress = None if leadership is None else leadership.followers.get(record.member)
    contact_at_s = None if progress is None else progress.contact_s
    return MemberStatus(
        member=record.member,
        replica=record.replica,
        link_address=member.find_address(record),
        standing=record.standing,
        match_index=None if progress is None else progress.match_index,
        contact_age_s=None if contact_at_s is None else now_s - contact_at_s,
    )
