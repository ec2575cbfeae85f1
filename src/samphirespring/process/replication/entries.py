"""Entries of a replicated log, and the membership that membership entries set."""

from enum import Enum

import msgspec

from samphirespring.process.errors import InternalError
from samphirespring.process.ids import (
    FailureDomainName,
    GroupLineage,
    LogIndex,
    MemberId,
    ReplicaId,
    Term,
)
from samphirespring.process.states import MemberStanding


class Member(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One data folder of one replica, as a member of a group."""

    member: MemberId
    replica: ReplicaId
    link_address: str
    standing: MemberStanding = MemberStanding.VOTER
    replaces: MemberId | None = None
    """Member that leaves the group once this learner has caught up."""

    failure_domain: FailureDomainName | None = None
    """Failure domain of the host; None if it isn't known."""

    succeeded_by: MemberId | None = None
    """Voter that took this learner's place; None for a learner that gave no vote up."""


class Membership(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The members of a group; a replica uses a membership as soon as it is appended."""

    members: tuple[Member, ...] = ()
    """In the order in which they joined; a voter that gave its vote up goes before all others."""

    @property
    def voters(self) -> tuple[MemberId, ...]:
        """Members with a vote."""
        return tuple(m.member for m in self.members if m.standing is MemberStanding.VOTER)

    @property
    def quorum_size(self) -> int:
        """Number of voters in a quorum."""
        return len(self.voters) // 2 + 1

    def find(self, member: MemberId) -> Member | None:
        """Return the record of a member, or None if the group has no such member.

        Args:
            member: The member.
        """
        return next((m for m in self.members if m.member == member), None)

    def find_replica(self, replica: ReplicaId) -> Member | None:
        """Return the first member of a replica, or None.

        Args:
            replica: The replica.
        """
        return next((m for m in self.members if m.replica == replica), None)

    def has_voter(self, member: MemberId) -> bool:
        """Return whether a member is a voter.

        Args:
            member: The member.
        """
        found = self.find(member)
        return found is not None and found.standing is MemberStanding.VOTER

    def add_learner(self, learner: Member) -> "Membership":
        """Return the membership with another learner.

        Args:
            learner: Record of the learner.
        """
        record = msgspec.structs.replace(learner, standing=MemberStanding.LEARNER)
        return Membership(members=(*self.members, record))

    def promote(self, member: MemberId) -> "Membership":
        """Return the membership with a learner as a voter.

        Args:
            member: The learner.
        """
        return Membership(
            members=tuple(
                (
                    msgspec.structs.replace(
                        m, standing=MemberStanding.VOTER, replaces=None, succeeded_by=None
                    )
                    if m.member == member
                    else m
                )
                for m in self.members
            )
        )

    def demote(self, member: MemberId, *, successor: MemberId) -> "Membership":
        """Return the membership with a voter as its first learner.

        Args:
            member: The voter.
            successor: Voter that takes its place.
        """
        demoted = tuple(
            msgspec.structs.replace(m, standing=MemberStanding.LEARNER, succeeded_by=successor)
            for m in self.members
            if m.member == member
        )
        return Membership(members=(*demoted, *self.remove(member).members))

    def remove(self, member: MemberId) -> "Membership":
        """Return the membership without a member.

        Args:
            member: The member.
        """
        return Membership(members=tuple(m for m in self.members if m.member != member))


class EntryKind(Enum):
    """Kind of content of an entry."""

    NOOP = "noop"
    COMMAND = "command"
    MEMBERSHIP = "membership"


class LogPosition(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Index and term of one entry; index 0 is the position before the first entry."""

    index: LogIndex
    term: Term


LOG_START = LogPosition(index=LogIndex(0), term=Term(0))
"""Position before the first entry of a log."""


class Entry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One entry of the log."""

    index: LogIndex
    term: Term
    kind: EntryKind
    payload: bytes = b""
    """An encoded command; empty for other kinds."""

    membership: Membership | None = None
    """Present for the kind MEMBERSHIP only."""

    @property
    def position(self) -> LogPosition:
        """Index and term."""
        return LogPosition(index=self.index, term=self.term)


class SnapshotMark(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Metadata of a snapshot, which covers all entries up to an index."""

    index: LogIndex
    term: Term
    membership: Membership
    size_bytes: int
    checksum: int
    """XXH3 checksum of the encoded state."""

    @property
    def position(self) -> LogPosition:
        """Index and term of the last entry covered."""
        return LogPosition(index=self.index, term=self.term)


class HardState(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Raft's persistent state of a replica besides its log."""

    term: Term = Term(0)
    vote: MemberId | None = None
    """Candidate that received this replica's vote in the term."""


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Identity of a data folder."""

    member: MemberId
    may_form: bool
    """Whether it may take part in forming a new group; false once its files were quarantined."""

    lineage: GroupLineage | None = None
    """The formed group that the folder belongs to."""


def require_membership(entry: Entry) -> Membership:
    """Return the membership that an entry sets.

    Args:
        entry: An entry of the kind MEMBERSHIP.

    Raises:
        InternalError: The entry has none.
    """
    if entry.membership is None:
        raise InternalError(f"entry {entry.index} sets no membership")
    return entry.membership
