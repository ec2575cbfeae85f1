"""Membership at the leader: replicas that ask to join, and changes that operators ask for."""

from collections.abc import Collection

import msgspec

from samphirespring.process.ids import MemberId, ReplicaId
from samphirespring.process.replication.discovery import plan_growth
from samphirespring.process.replication.entries import Member, Membership
from samphirespring.process.replication.errors import (
    MembershipChangeInvalidError,
    MembershipChangePendingError,
    MemberUnknownError,
)
from samphirespring.process.replication.group_messages import ChangeKind, ChangeMembership
from samphirespring.process.replication.membership_plan import is_caught_up, plan_change
from samphirespring.process.replication.placement_plan import find_successors, plan_move
from samphirespring.process.replication.replica import Replica
from samphirespring.process.states import MemberStanding

JOINER_VALIDITY_S = 5.0
MEMBER_LOST_S = 5.0
"""Silence after which a member makes room for one that has caught up, in seconds."""


class MembershipDesk:
    """Decides on changes of the membership for one replica.

    Args:
        replica: The replica.
        placed: Hosts that are to hold the group; None leaves the group where it is.
        voter_goal: Number of voters that the group grows to by hosts that announce themselves;
            None takes no host that the settings don't name.
    """

    def __init__(
        self,
        replica: Replica,
        *,
        placed: Collection[ReplicaId] | None = None,
        voter_goal: int | None = None,
    ) -> None:
        self._replica = replica
        self._placed = placed
        self._voter_goal = voter_goal
        self._joiners: dict[MemberId, Member] = {}
        self._heard_s: dict[MemberId, float] = {}

    def note_joiner(self, joiner: Member, *, now_s: float) -> None:
        """Take that a replica with an empty folder announced itself.

        Args:
            joiner: Its record.
            now_s: Monotonic time, in seconds.
        """
        self._joiners[joiner.member] = joiner
        self._heard_s[joiner.member] = now_s

    def list_joiners(self, now_s: float) -> tuple[Member, ...]:
        """Return the replicas that announced themselves lately and aren't members.

        Args:
            now_s: Monotonic time, in seconds.
        """
        for member, heard_s in tuple(self._heard_s.items()):
            if now_s - heard_s > JOINER_VALIDITY_S:
                del self._heard_s[member]
                del self._joiners[member]
        membership = self._replica.log.membership
        return tuple(j for j in self._joiners.values() if membership.find(j.member) is None)

    def plan_next(self, now_s: float) -> Membership | None:
        """Return the next step of replacing or moving members, if one is due and possible now.

        Args:
            now_s: Monotonic time, in seconds.
        """
        leadership = self._replica.leadership
        if leadership is None or not self._replica.may_change_membership():
            return None
        membership = self._replica.log.membership
        joiners = self.list_joiners(now_s)
        repaired = plan_change(
            membership,
            leader=self._replica.member,
            joiners=joiners,
            followers=leadership.followers,
            commit_index=self._replica.commit_index,
        )
        if repaired is not None:
            return repaired
        if self._voter_goal is not None:
            return plan_growth(
                membership,
                voters=self._voter_goal,
                leader=self._replica.member,
                joiners=joiners,
                followers=leadership.followers,
                unresponsive=leadership.list_unresponsive(now_s, limit_s=MEMBER_LOST_S),
                commit_index=self._replica.commit_index,
            )
        if self._placed is None:
            return None
        return plan_move(
            membership,
            placed=self._placed,
            leader=self._replica.member,
            joiners=joiners,
            followers=leadership.followers,
            commit_index=self._replica.commit_index,
        )

    def hand_over(self, now_s: float) -> ReplicaId | None:
        """Give the lead away if the group is placed elsewhere; return who gets it, or None.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self._placed is None or self._replica.leadership is None:
            return None
        membership = self._replica.log.membership
        for replica in find_successors(
            membership, placed=self._placed, leader=self._replica.member
        ):
            if self.transfer_lead(replica, now_s=now_s) is not None:
                return replica
        return None

    def plan_asked(self, change: ChangeMembership, *, now_s: float) -> Membership:
        """Return the membership after a change that an operator asks for.

        Args:
            change: The change.
            now_s: Monotonic time, in seconds.

        Raises:
            MembershipChangePendingError: Another change isn't committed yet.
            MemberUnknownError: The replica isn't a member, or hasn't announced itself.
            MembershipChangeInvalidError: The change would weaken the group.
        """
        if not self._replica.may_change_membership():
            raise MembershipChangePendingError("another change isn't committed yet")
        match change.kind:
            case ChangeKind.ADD_LEARNER:
                return self._add(change.replica, replaces=None, now_s=now_s)
            case ChangeKind.REPLACE:
                lost = self._find_removable(change.lost or change.replica)
                return self._add(change.replica, replaces=lost.member, now_s=now_s)
            case ChangeKind.PROMOTE:
                return self._promote(change.replica)
            case ChangeKind.REMOVE:
                lost = self._find_removable(change.replica)
                return self._replica.log.membership.remove(lost.member)

    def transfer_lead(self, to: ReplicaId | None, *, now_s: float) -> ReplicaId | None:
        """Give the lead to a caught-up voter; return its replica, or None if there is none.

        Args:
            to: The voter's replica; None for the one that has most.
            now_s: Monotonic time, in seconds.
        """
        leadership = self._replica.leadership
        if leadership is None:
            return None
        others = [
            record
            for record in self._replica.log.membership.members
            if record.member in leadership.followers and to in (None, record.replica)
        ]
        followers = leadership.followers
        others.sort(key=lambda record: followers[record.member].match_index, reverse=True)
        for record in others:
            if self._replica.transfer_leadership(record.member, now_s=now_s):
                return record.replica
        return None

    def _add(self, replica: ReplicaId, *, replaces: MemberId | None, now_s: float) -> Membership:
        membership = self._replica.log.membership
        if membership.find_replica(replica) is not None:
            raise MembershipChangeInvalidError(f"{replica} is a member already")
        for joiner in self.list_joiners(now_s):
            if joiner.replica == replica:
                return membership.add_learner(msgspec.structs.replace(joiner, replaces=replaces))
        raise MemberUnknownError(f"{replica} has not announced itself; is it running?")

    def _promote(self, replica: ReplicaId) -> Membership:
        membership = self._replica.log.membership
        record = membership.find_replica(replica)
        if record is None or record.standing is not MemberStanding.LEARNER:
            raise MemberUnknownError(f"{replica} is no learner")
        leadership = self._replica.leadership
        progress = None if leadership is None else leadership.followers.get(record.member)
        if not is_caught_up(progress, self._replica.commit_index):
            raise MembershipChangeInvalidError(f"{replica} has not caught up")
        return membership.promote(record.member)

    def _find_removable(self, replica: ReplicaId) -> Member:
        membership = self._replica.log.membership
        record = membership.find_replica(replica)
        if record is None:
            raise MemberUnknownError(f"{replica} is no member")
        if record.member == self._replica.member:
            raise MembershipChangeInvalidError(f"{replica} leads; transfer the lead first")
        if membership.voters == (record.member,):
            raise MembershipChangeInvalidError(f"{replica} is the last voter")
        return record
