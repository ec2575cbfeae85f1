"""Status of a replica, and the operations on its group, as offered to operators."""

from abc import ABC, abstractmethod

import msgspec

from samphirespring.process.ids import GroupId, LogIndex, MemberId, ReplicaId, Term
from samphirespring.process.replication.entries import Member, Membership
from samphirespring.process.states import DiskHealth, MemberStanding, ReplicaRole
from samphirespring.process.tasks import StateDump


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one member, as far as this replica tracks it."""

    member: MemberId
    replica: ReplicaId
    link_address: str
    standing: MemberStanding
    match_index: LogIndex | None = None
    """Last index known to be synced at the member; set only at the leader."""

    contact_age_s: float | None = None
    """Time since the latest message to which the member replied, in seconds; only at the leader."""


class GroupStatus(StateDump, frozen=True, kw_only=True):
    """Status of one replica of one group."""

    group: GroupId
    replica: ReplicaId
    member: MemberId | None
    disk: DiskHealth
    disk_error: str | None = None
    role: ReplicaRole | None = None
    """None while the disk has failed."""

    term: Term = Term(0)
    leader: ReplicaId | None = None
    has_lease: bool = False
    leader_contact_age_s: float | None = None
    """Time since the last contact with a leader, or at the leader with a quorum, in seconds."""

    last_index: LogIndex = LogIndex(0)
    synced_index: LogIndex = LogIndex(0)
    commit_index: LogIndex = LogIndex(0)
    snapshot_index: LogIndex = LogIndex(0)
    members: tuple[MemberStatus, ...] = ()
    joiners: tuple[Member, ...] = ()
    """Replicas with empty folders that announced themselves recently; set only at the leader."""


class GroupOperations(ABC):
    """Reads and changes of a replicated group that an operator may request."""

    @abstractmethod
    async def read_status(self) -> GroupStatus:
        """Return the replica's status for operators."""

    @abstractmethod
    async def replace(self, lost: ReplicaId, *, replacement: ReplicaId) -> Membership:
        """Replace a lost replica by one that announced itself.

        Args:
            lost: The replica to remove.
            replacement: The replica that replaces it.

        Raises:
            SamphireError: The group can't replace it now; the error code gives the reason.
        """
