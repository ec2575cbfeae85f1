"""One member of a group: its replica, how it joined, and changes of the membership.

Like the replica it touches no socket, disk or clock.
"""

from collections.abc import Collection, Mapping
from random import Random

import msgspec

from samphirespring.connection.replication_link import ReplicationEnvelope
from samphirespring.process.event_log import EventLog
from samphirespring.process.ids import GroupId, GroupLineage, MemberId, ReplicaId
from samphirespring.process.log_events import LogEvent
from samphirespring.process.replication.discovery import Discovery
from samphirespring.process.replication.effects import (
    Effect,
    FormGroup,
    Post,
    Send,
    WriteIdentity,
)
from samphirespring.process.replication.entries import Identity, Member, Membership
from samphirespring.process.replication.formation import Formation
from samphirespring.process.replication.membership_desk import MembershipDesk
from samphirespring.process.replication.messages import (
    Announcement,
    AnnouncementReply,
    GroupMessage,
)
from samphirespring.process.replication.replica import Replica
from samphirespring.process.replication.replica_state import ReplicaState
from samphirespring.process.replication.storage import StoredState
from samphirespring.process.replication.timing import ReplicaTiming

ANNOUNCE_INTERVAL_S = 0.5

_log = EventLog()


class GroupMember:
    """Routes messages to the replica and knows the addresses of the others.

    Args:
        group: The group.
        own: Record of this member.
        identity: What its data folder belongs to.
        stored: What was loaded from the data folder.
        peers: Link addresses of the replicas that the settings name, this one included.
        placed: Replicas that are to hold the group; None for all peers, who are then never moved.
        discovery: How members are found where `peers` names only some; None if it names all.
        timing: The time spans.
        random: Source of random numbers.
        now_s: Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        group: GroupId,
        own: Member,
        identity: Identity,
        stored: StoredState,
        peers: Mapping[ReplicaId, str],
        placed: Collection[ReplicaId] | None = None,
        discovery: Discovery | None = None,
        timing: ReplicaTiming,
        random: Random,
        now_s: float,
    ) -> None:
        self.own = own
        self._group = group
        self._identity = identity
        self._peers = peers
        self._random = random
        state = ReplicaState(
            member=own.member,
            hard_state=stored.hard_state,
            log=stored.log,
            timing=timing,
            random=random,
            now_s=now_s,
        )
        self.replica = Replica(state)
        voter_goal = None if discovery is None else discovery.voters
        self.desk = MembershipDesk(self.replica, placed=placed, voter_goal=voter_goal)
        self._may_return = discovery is not None or (placed is not None and own.replica in placed)
        first_replicas = _list_first(peers, placed=placed, discovery=discovery)
        self._told_members: dict[ReplicaId, str] = {}
        self._formation = Formation(
            own=own,
            first_replicas=first_replicas,
            witnesses=(
                tuple(replica for replica in peers if replica not in first_replicas)
                if discovery is None
                else ()
            ),
            may_form=identity.may_form and identity.lineage is None,
        )
        self._heard_addresses: dict[MemberId, str] = {}
        self._announce_due_s = now_s
        self._is_forming = False
        self._effects: list[Effect] = []

    def tick(self, now_s: float) -> None:
        """Act on the time.

        Args:
            now_s: Monotonic time, in seconds.
        """
        self.replica.tick(now_s)
        planned = self.desk.plan_next(now_s)
        if planned is not None:
            _log.info(LogEvent.MEMBERSHIP_CHANGE_STARTED, group=self._group, voters=planned.voters)
            self.replica.propose_membership(planned)
        successor = self.desk.hand_over(now_s)
        if successor is not None:
            _log.info(LogEvent.LEADERSHIP_HANDED_OVER, group=self._group, replica=successor)
        if self._may_be_outside():
            self._announce(now_s)

    def receive(self, envelope: ReplicationEnvelope, *, address: str, now_s: float) -> None:
        """Take a message.

        Args:
            envelope: The message.
            address: Link address of the sending process.
            now_s: Monotonic time, in seconds.
        """
        self._heard_addresses[envelope.sender] = address
        message = envelope.message
        if isinstance(message, Announcement):
            self._on_announcement(message, now_s)
            return
        if envelope.receiver != self.own.member or self._is_forming:
            return
        if isinstance(message, AnnouncementReply):
            self._told_members = {m.replica: m.link_address for m in message.members}
            self._formation.take_reply(message, now_s=now_s)
            return
        if envelope.lineage is None:
            return
        if self._identity.lineage is None:
            self._join_lineage(envelope.lineage)
        if envelope.lineage == self._identity.lineage:
            self.replica.receive(envelope.sender, message, now_s=now_s)

    def take_effects(self, now_s: float) -> list[Effect]:
        """Return what is to be done, in order, and forget it.

        Args:
            now_s: Monotonic time, in seconds.
        """
        for effect in self.replica.take_effects(now_s):
            if isinstance(effect, Send):
                self.send(effect.to, effect.message)
            else:
                self._effects.append(effect)
        effects, self._effects = self._effects, []
        return effects

    def send(self, to: MemberId, message: GroupMessage) -> None:
        """Send a message, if the member's address is known.

        Args:
            to: The member.
            message: The message.
        """
        address = self._heard_addresses.get(to)
        if address is None:
            record = self.replica.log.membership.find(to)
            address = None if record is None else self.find_address(record)
        if address is not None:
            self._post(address, to, message)

    def find_address(self, record: Member) -> str:
        """Return the link address of a member.

        Args:
            record: Its record, whose address is from when it joined; the settings are newer.
        """
        return self._peers.get(record.replica, record.link_address)

    def use_seeds(self, seeds: Mapping[ReplicaId, str]) -> None:
        """Announce this member to other hosts from now on, if it has to.

        Args:
            seeds: Link addresses of control hosts that the settings name now.
        """
        self._peers = seeds

    def _list_addresses(self) -> dict[ReplicaId, str]:
        """Return the hosts that may know the group: those named, told of, and in the log."""
        members = self.replica.log.membership.members
        known = {member.replica: self.find_address(member) for member in members}
        return {**self._told_members, **known, **self._peers}

    def _may_be_outside(self) -> bool:
        if self.replica.log.membership.find(self.own.member) is None:
            return True
        # A member that was removed isn't told. One that is to hold the group asks to come back.
        return self._may_return and self.replica.leader is None

    def _announce(self, now_s: float) -> None:
        membership = self._formation.find_membership(now_s)
        if membership is not None and not self._is_forming:
            self._form(membership)
        if self._is_forming or now_s < self._announce_due_s:
            return
        self._announce_due_s = now_s + ANNOUNCE_INTERVAL_S
        announcement = Announcement(member=self.own, first_replicas=self._formation.first_replicas)
        for replica, address in self._list_addresses().items():
            if replica != self.own.replica:
                self._post(address, None, announcement)

    def _on_announcement(self, announcement: Announcement, now_s: float) -> None:
        asker = announcement.member
        formed = self._identity.lineage is not None or not self._identity.may_form
        if not formed and announcement.first_replicas != self._formation.first_replicas:
            _log.warning(
                LogEvent.GROUP_PLACEMENT_MISMATCH, group=self._group, replica=asker.replica
            )
            return
        members = self.replica.log.membership.members
        reply = AnnouncementReply(
            asker=asker.member, member=self.own, formed=formed, members=members
        )
        self._post(self.find_address(asker), asker.member, reply)
        if formed:
            self.desk.note_joiner(asker, now_s=now_s)

    def _form(self, membership: Membership) -> None:
        self._is_forming = True
        lineage = GroupLineage(f"{self._random.getrandbits(64):016x}")
        _log.info(LogEvent.GROUP_FORMED, group=self._group, voters=membership.voters)
        identity = self._make_identity(lineage)
        self._effects.append(FormGroup(identity=identity, membership=membership))

    def _join_lineage(self, lineage: GroupLineage) -> None:
        self._identity = self._make_identity(lineage)
        _log.info(LogEvent.GROUP_JOINED, group=self._group, member=self.own.member)
        self._effects.append(WriteIdentity(identity=self._identity))

    def _make_identity(self, lineage: GroupLineage) -> Identity:
        return msgspec.structs.replace(self._identity, may_form=False, lineage=lineage)

    def _post(self, address: str, receiver: MemberId | None, message: GroupMessage) -> None:
        envelope = ReplicationEnvelope(
            group=self._group,
            lineage=self._identity.lineage,
            sender=self.own.member,
            receiver=receiver,
            message=message,
        )
        self._effects.append(Post(address=address, envelope=envelope))


def _list_first(
    peers: Mapping[ReplicaId, str],
    *,
    placed: Collection[ReplicaId] | None,
    discovery: Discovery | None,
) -> tuple[ReplicaId, ...]:
    """Return the replicas of a new group."""
    if placed is not None:
        return tuple(placed)
    return tuple(peers) if discovery is None else discovery.seeds
