"""One member of a group: its replica, how it joins the group, and changes of the membership.

Like the replica, it uses no socket, disk or clock: it receives inputs and returns effects.
"""

from collections.abc import Collection, Mapping
from random import Random

import msgspec

from samphirespring.connection.replication_link import ReplicationEnvelope
from samphirespring.process.ids import GroupId, GroupLineage, MemberId, ReplicaId
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
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
from samphirespring.process.replication.membership_coordinator import MembershipCoordinator
from samphirespring.process.replication.messages import (
    Announcement,
    AnnouncementReply,
    Departure,
    DepartureReply,
    GroupMessage,
)
from samphirespring.process.replication.replica import Replica
from samphirespring.process.replication.replica_state import ReplicaState
from samphirespring.process.replication.storage import StoredState
from samphirespring.process.replication.timing import ReplicaTiming

ANNOUNCE_INTERVAL_S = 0.5
DEPARTURE_INTERVAL_S = 0.2
"""Time between two notices of a member that is about to stop, in seconds."""

_log = EventLog()


class GroupMember:
    """Routes messages to the replica and tracks the addresses of the other members.

    Args:
        group: The group.
        own: Record of this member.
        identity: Member identity stored in the data folder.
        stored: State loaded from the data folder.
        peers: Link addresses of the replicas in the settings, this one included.
        placed: Replicas that are to hold the group; None for all peers, and the group is then never
            moved.
        discovery: How members are discovered if `peers` lists only some of them; None if it lists
            all.
        timing: Timeouts and intervals of the replica.
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
        voter_goal = None if discovery is None else discovery.voter_goal
        self.membership_coordinator = MembershipCoordinator(
            self.replica, placed=placed, voter_goal=voter_goal
        )
        self._may_rejoin = discovery is not None or (placed is not None and own.replica in placed)
        initial_replicas = _list_initial_replicas(peers, placed=placed, discovery=discovery)
        self._reported_addresses: dict[ReplicaId, str] = {}
        self._formation = Formation(
            own=own,
            initial_replicas=initial_replicas,
            other_hosts=(
                tuple(replica for replica in peers if replica not in initial_replicas)
                if discovery is None
                else ()
            ),
            may_form=identity.may_form and identity.lineage is None,
            knows_first_start=discovery is not None,
        )
        self._sender_addresses: dict[MemberId, str] = {}
        self._announce_due_at_s = now_s
        self._is_forming = False
        self._is_departing = False
        self._departure_due_at_s = now_s
        self._may_stop = discovery is None
        """Whether the group doesn't need this member's vote, or can't replace it."""

        self._effects: list[Effect] = []

    def tick(self, now_s: float) -> None:
        """Perform the actions that are due: elections, membership changes and announcements.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self.replica.leadership is not None or not self._is_departing:
            self.replica.tick(now_s)
        planned = self.membership_coordinator.plan_next(now_s)
        if planned is not None:
            _log.info(LogEvent.MEMBERSHIP_CHANGE_STARTED, group=self._group, voters=planned.voters)
            self.replica.propose_membership(planned)
        successor = self.membership_coordinator.hand_over_leadership(now_s)
        if successor is not None:
            _log.info(LogEvent.LEADERSHIP_HANDED_OVER, group=self._group, replica=successor)
        if self._is_departing:
            self._send_departure(now_s)
        elif self._may_need_to_join():
            self._announce(now_s)

    def depart(self, now_s: float) -> bool:
        """Hand over the vote before a planned stop, and return whether this member may stop now.

        Further calls return how far it is. A member that departs starts no election.

        Args:
            now_s: Monotonic time, in seconds.
        """
        self._is_departing = True
        voters = self.replica.log.membership.voters
        if self._may_stop or self.own.member not in voters or len(voters) == 1:
            return True
        if self.replica.leadership is not None:
            self.membership_coordinator.transfer_leadership(None, now_s=now_s)
        return False

    def receive(self, envelope: ReplicationEnvelope, *, address: str, now_s: float) -> None:
        """Handle a message.

        Args:
            envelope: The message.
            address: Link address of the sending process.
            now_s: Monotonic time, in seconds.
        """
        self._sender_addresses[envelope.sender] = address
        message = envelope.message
        if isinstance(message, Announcement):
            self._on_announcement(message, now_s)
            return
        if envelope.receiver != self.own.member or self._is_forming:
            return
        if isinstance(message, AnnouncementReply):
            self._reported_addresses = {m.replica: m.link_address for m in message.members}
            self._formation.record_reply(message, now_s=now_s)
            return
        if envelope.lineage is None:
            return
        if self._identity.lineage is None:
            self._adopt_lineage(envelope.lineage)
        if envelope.lineage != self._identity.lineage:
            return
        match message:
            case Departure():
                self._on_departure(envelope.sender, now_s)
            case DepartureReply():
                self._may_stop = self._may_stop or message.may_stop
            case _:
                self.replica.receive(envelope.sender, message, now_s=now_s)

    def pop_effects(self, now_s: float) -> list[Effect]:
        """Return the pending effects in order, and clear them.

        Args:
            now_s: Monotonic time, in seconds.
        """
        for effect in self.replica.pop_effects(now_s):
            if isinstance(effect, Send):
                self.send(effect.to, effect.message)
            else:
                self._effects.append(effect)
        effects, self._effects = self._effects, []
        return effects

    def send(self, to: MemberId, message: GroupMessage) -> None:
        """Send a message, or drop it if the member's address is unknown.

        Args:
            to: The member.
            message: The message.
        """
        address = self._sender_addresses.get(to)
        if address is None:
            record = self.replica.log.membership.find(to)
            address = None if record is None else self.find_address(record)
        if address is not None:
            self._post(address, to, message)

    def find_address(self, record: Member) -> str:
        """Return the link address of a member.

        Args:
            record: The member's record. Its address dates from when the member joined, so an
                address in the settings takes precedence.
        """
        return self._peers.get(record.replica, record.link_address)

    def use_seeds(self, seeds: Mapping[ReplicaId, str]) -> None:
        """Replace the hosts to which this member announces itself while outside the group.

        Args:
            seeds: Link addresses of the control hosts in the current settings.
        """
        self._peers = seeds

    def _list_addresses(self) -> list[str]:
        """Return addresses of hosts that may hold the group, without this one.

        They come from the settings, peers' replies, the log, and senders of messages: a group whose
        hosts in the settings are all gone still sends to the member that this host was before it
        lost its disk.
        """
        members = self.replica.log.membership.members
        member_addresses = {member.replica: self.find_address(member) for member in members}
        known = {**self._reported_addresses, **member_addresses, **self._peers}
        known.pop(self.own.replica, None)
        addresses = dict.fromkeys((*known.values(), *self._sender_addresses.values()))
        addresses.pop(self.own.link_address, None)
        return list(addresses)

    def _may_need_to_join(self) -> bool:
        if self.replica.log.membership.find(self.own.member) is None:
            return True
        # A removed member isn't notified of its removal. If it is to hold the group, it announces
        # itself while it has no leader, to be added again.
        return self._may_rejoin and self.replica.leader is None

    def _announce(self, now_s: float) -> None:
        membership = self._formation.find_membership(now_s)
        if membership is not None and not self._is_forming:
            self._form(membership)
        if self._is_forming or now_s < self._announce_due_at_s:
            return
        self._announce_due_at_s = now_s + ANNOUNCE_INTERVAL_S
        announcement = Announcement(
            member=self.own, initial_replicas=self._formation.initial_replicas
        )
        for address in self._list_addresses():
            self._post(address, None, announcement)

    def _on_announcement(self, announcement: Announcement, now_s: float) -> None:
        announced = announcement.member
        formed = self._identity.lineage is not None or not self._identity.may_form
        if not formed and announcement.initial_replicas != self._formation.initial_replicas:
            _log.warning(
                LogEvent.GROUP_PLACEMENT_MISMATCH, group=self._group, replica=announced.replica
            )
            return
        members = self.replica.log.membership.members
        reply = AnnouncementReply(
            requester=announced.member,
            member=self.own,
            formed=formed,
            members=members,
            has_group=self._identity.lineage is not None,
        )
        self._post(self.find_address(announced), announced.member, reply)
        if formed:
            self.membership_coordinator.record_joiner(announced, now_s=now_s)

    def _send_departure(self, now_s: float) -> None:
        if self._may_stop or now_s < self._departure_due_at_s:
            return
        self._departure_due_at_s = now_s + DEPARTURE_INTERVAL_S
        for record in self.replica.log.membership.members:
            if record.member != self.own.member:
                self.send(record.member, Departure())

    def _on_departure(self, sender: MemberId, now_s: float) -> None:
        if self.replica.leadership is None:
            return
        may_stop = self.membership_coordinator.record_departure(sender, now_s=now_s)
        self.send(sender, DepartureReply(may_stop=may_stop))

    def _form(self, membership: Membership) -> None:
        self._is_forming = True
        lineage = GroupLineage(f"{self._random.getrandbits(64):016x}")
        _log.info(LogEvent.GROUP_FORMED, group=self._group, voters=membership.voters)
        identity = self._make_identity(lineage)
        self._effects.append(FormGroup(identity=identity, membership=membership))

    def _adopt_lineage(self, lineage: GroupLineage) -> None:
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


def _list_initial_replicas(
    peers: Mapping[ReplicaId, str],
    *,
    placed: Collection[ReplicaId] | None,
    discovery: Discovery | None,
) -> tuple[ReplicaId, ...]:
    """Return the replicas of a new group."""
    if placed is not None:
        return tuple(placed)
    return tuple(peers) if discovery is None else discovery.seeds
