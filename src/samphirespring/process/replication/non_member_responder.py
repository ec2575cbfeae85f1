"""Replies to announcements of a group of which this host never held a replica."""

from samphirespring.connection.replication_link import ReplicationEnvelope
from samphirespring.process.ids import GroupId, MemberId, ReplicaId
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.replication.context import ReplicationContext
from samphirespring.process.replication.entries import Member
from samphirespring.process.replication.group_inbox import GroupInbox
from samphirespring.process.replication.group_messages import PeerMessage
from samphirespring.process.replication.messages import Announcement, AnnouncementReply
from samphirespring.process.tasks import OwnerTask, StateDump

_log = EventLog()


class NonMemberResponderDump(StateDump, frozen=True, kw_only=True):
    """State of a non-member responder."""

    group: GroupId
    placed: tuple[ReplicaId, ...]


class NonMemberResponder(OwnerTask):
    """Confirms to the initial replicas of a group that this host never belonged to it.

    Announcements with another placement of the group get no reply, so that two sets of hosts can't
    both form it.

    Args:
        context: Resources and settings that all groups of the process share.
        group: The group; the data folder has no files of this group.
        placed: Hosts that are to hold the group.
    """

    def __init__(
        self, *, context: ReplicationContext, group: GroupId, placed: tuple[ReplicaId, ...]
    ) -> None:
        self._context = context
        self._group = group
        self._placed = tuple(sorted(placed))
        self._inbox = GroupInbox(name=self.name, request_batch_size=1)
        self._own = Member(
            member=MemberId(f"{context.replica}/witness"),
            replica=context.replica,
            link_address=context.link_address,
        )
        context.transport.attach(group, self._inbox)

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return f"witness_{self._group}"

    async def run(self) -> None:
        """Reply to announcements until cancelled."""
        while True:
            for message in await self._inbox.receive_batch():
                if not isinstance(message, PeerMessage):
                    continue
                if isinstance(message.envelope.message, Announcement):
                    self._reply(message.envelope.message)

    async def dump(self) -> NonMemberResponderDump:
        """Return the state for a dump."""
        return NonMemberResponderDump(group=self._group, placed=self._placed)

    def _reply(self, announcement: Announcement) -> None:
        requester = announcement.member
        if announcement.initial_replicas != self._placed:
            _log.warning(
                LogEvent.GROUP_PLACEMENT_MISMATCH, group=self._group, replica=requester.replica
            )
            return
        reply = AnnouncementReply(requester=requester.member, member=self._own, formed=False)
        envelope = ReplicationEnvelope(
            group=self._group,
            lineage=None,
            sender=self._own.member,
            receiver=requester.member,
            message=reply,
        )
        address = self._context.peers.get(requester.replica, requester.link_address)
        self._context.transport.send(address, envelope)
