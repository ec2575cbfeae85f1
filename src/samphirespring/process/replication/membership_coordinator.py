"""Decides on membership changes at the leader: joining replicas and requests of operators."""

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
from samphirespring.process.replication.membership_plan import is_caught_up, plan_replacement
from samphirespring.process.replication.placement_plan import find_successors, plan_move
from samphirespring.process.replication.replica import Replica
from samphirespring.process.replication.succession import find_newcomer, find_surplus_voter
from samphirespring.process.states import MemberStanding

ANNOUNCEMENT_VALIDITY_S = 5.0
"""Time after which a joiner that hasn't announced itself again is dropped, in seconds."""

MEMBER_LOST_TIMEOUT_S = 3.0
"""Time without contact after which a member counts as lost, in seconds.

A lost voter is removed once a learner has caught up. With a successor that starts at once this is
done within 4 s, after which two further hosts may be lost.
"""

DEPARTURE_VALIDITY_S = 1.0
"""Time after its last notice from which a departing member that still replies has come back, in
seconds."""


class MembershipCoordinator:
    """Decides on membership changes for one replica.

    Args:
        replica: The replica.
        placed: Hosts that are to hold the group; None leaves the group where it is.
        voter_goal: Number of voters up to which hosts that announce themselves are added; None
            adds no host that is not in the settings.
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
        self._announced_at_s: dict[MemberId, float] = {}
        self._departure_at_s: dict[MemberId, float] = {}
        """Time of the latest notice of each member that is about to stop or has stopped."""

    def record_joiner(self, joiner: Member, *, now_s: float) -> None:
        """Record the announcement of a replica with an empty folder.

        It replaces the announcement of an earlier member of the replica, which has lost its disk.

        Args:
            joiner: Member record of the replica.
            now_s: Monotonic time, in seconds.
        """
        for earlier in tuple(self._joiners.values()):
            if earlier.replica == joiner.replica and earlier.member != joiner.member:
                del self._joiners[earlier.member]
                del self._announced_at_s[earlier.member]
        self._joiners[joiner.member] = joiner
        self._announced_at_s[joiner.member] = now_s

    def list_joiners(self, now_s: float) -> tuple[Member, ...]:
        """Return the replicas that announced themselves recently and aren't members.

        Args:
            now_s: Monotonic time, in seconds.
        """
        for member, announced_at_s in tuple(self._announced_at_s.items()):
            if now_s - announced_at_s > ANNOUNCEMENT_VALIDITY_S:
                del self._announced_at_s[member]
                del self._joiners[member]
        membership = self._replica.log.membership
        return tuple(j for j in self._joiners.values() if membership.find(j.member) is None)

    def record_departure(self, member: MemberId, *, now_s: float) -> bool:
        """Record at the leader that a member is about to stop, and return whether it may stop now.

        Args:
            member: The member.
            now_s: Monotonic time, in seconds.
        """
        self._departure_at_s[member] = now_s
        if not self._replica.may_change_membership():
            return False
        membership = self._replica.log.membership
        return not membership.has_voter(member) or not self._has_successor(membership, now_s)

    def list_departing(self) -> frozenset[MemberId]:
        """Return the members that are about to stop, or have stopped and aren't back."""
        leadership = self._replica.leadership
        followers = {} if leadership is None else leadership.followers
        for member, notice_at_s in tuple(self._departure_at_s.items()):
            progress = followers.get(member)
            contact_s = None if progress is None else progress.contact_s
            is_back = contact_s is not None and contact_s > notice_at_s + DEPARTURE_VALIDITY_S
            if progress is None or is_back:
                del self._departure_at_s[member]
        return frozenset(self._departure_at_s)

    def _has_successor(self, membership: Membership, now_s: float) -> bool:
        """Return whether another host may soon take over a vote."""
        if self._voter_goal is None:
            return False
        departing = self.list_departing()
        learners = (m for m in membership.members if m.standing is MemberStanding.LEARNER)
        candidates = (*learners, *self.list_joiners(now_s))
        return any(candidate.member not in departing for candidate in candidates)

    def plan_next(self, now_s: float) -> Membership | None:
        """Return the next membership for replacing, adding or moving members, or None.

        Args:
            now_s: Monotonic time, in seconds.
        """
        leadership = self._replica.leadership
        if leadership is None or not self._replica.may_change_membership():
            return None
        membership = self._replica.log.membership
        joiners = self.list_joiners(now_s)
        replacement = plan_replacement(
            membership,
            leader=self._replica.member,
            joiners=joiners,
            followers=leadership.followers,
            commit_index=self._replica.commit_index,
        )
        if replacement is not None:
            return replacement
        if self._voter_goal is not None:
            return plan_growth(
                membership,
                voter_goal=self._voter_goal,
                leader=self._replica.member,
                joiners=joiners,
                followers=leadership.followers,
                unresponsive=leadership.list_unresponsive(now_s, limit_s=MEMBER_LOST_TIMEOUT_S),
                departing=self.list_departing(),
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

    def hand_over_leadership(self, now_s: float) -> ReplicaId | None:
        """Transfer leadership if this host is to give it or its vote up.

        Args:
            now_s: Monotonic time, in seconds.

        Returns:
            The successor; None if the leadership wasn't transferred.
        """
        if self._replica.leadership is None:
            return None
        if self._placed is not None:
            return self._transfer_to_placed_replica(self._placed, now_s=now_s)
        if not self._is_surplus():
            return None
        successor = find_newcomer(self._replica.log.membership).replica
        return self.transfer_leadership(successor, now_s=now_s) or self.transfer_leadership(
            None, now_s=now_s
        )

    def _is_surplus(self) -> bool:
        """Return whether this leader's own vote is the one that its group has too many."""
        membership = self._replica.log.membership
        if self._voter_goal is None or len(membership.voters) <= self._voter_goal:
            return False
        surplus = find_surplus_voter(membership)
        is_own = surplus is not None and surplus.member == self._replica.member
        return is_own and self._replica.may_change_membership()

    def _transfer_to_placed_replica(
        self, placed: Collection[ReplicaId], *, now_s: float
    ) -> ReplicaId | None:
        membership = self._replica.log.membership
        for replica in find_successors(membership, placed=placed, leader=self._replica.member):
            if self.transfer_leadership(replica, now_s=now_s) is not None:
                return replica
        return None

    def plan_requested(self, change: ChangeMembership, *, now_s: float) -> Membership:
        """Return the membership after a change that an operator requests.

        Args:
            change: The change.
            now_s: Monotonic time, in seconds.

        Raises:
            MembershipChangePendingError: Another change isn't committed yet.
            MemberUnknownError: The replica isn't a member, or hasn't announced itself.
            MembershipChangeInvalidError: The change isn't possible, or is unsafe for the group.
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

    def transfer_leadership(self, to: ReplicaId | None, *, now_s: float) -> ReplicaId | None:
        """Transfer leadership to a caught-up voter; return its replica, or None if there is none.

        A voter that is about to stop isn't chosen.

        Args:
            to: The voter's replica; None for the one with the longest log.
            now_s: Monotonic time, in seconds.
        """
        leadership = self._replica.leadership
        if leadership is None:
            return None
        departing = self.list_departing()
        others = [
            record
            for record in self._replica.log.membership.members
            if record.member in leadership.followers
            and record.member not in departing
            and to in (None, record.replica)
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
            raise MembershipChangeInvalidError(f"{replica} is already a member")
        for joiner in self.list_joiners(now_s):
            if joiner.replica == replica:
                return membership.add_learner(msgspec.structs.replace(joiner, replaces=replaces))
        raise MemberUnknownError(f"{replica} has not announced itself; is it running?")

    def _promote(self, replica: ReplicaId) -> Membership:
        membership = self._replica.log.membership
        record = membership.find_replica(replica)
        if record is None or record.standing is not MemberStanding.LEARNER:
            raise MemberUnknownError(f"{replica} is not a learner")
        leadership = self._replica.leadership
        progress = None if leadership is None else leadership.followers.get(record.member)
        if not is_caught_up(progress, self._replica.commit_index):
            raise MembershipChangeInvalidError(f"{replica} has not caught up")
        return membership.promote(record.member)

    def _find_removable(self, replica: ReplicaId) -> Member:
        membership = self._replica.log.membership
        record = membership.find_replica(replica)
        if record is None:
            raise MemberUnknownError(f"{replica} is not a member")
        if record.member == self._replica.member:
            raise MembershipChangeInvalidError(
                f"{replica} is the leader; transfer leadership first"
            )
        if membership.voters == (record.member,):
            raise MembershipChangeInvalidError(f"{replica} is the last voter")
        return record
