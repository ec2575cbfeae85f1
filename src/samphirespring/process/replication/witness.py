"""Speaks for a host that holds no replica of a group: it never did."""

from samphirespring.connection.replication_link import ReplicationEnvelope
from samphirespring.process.event_log import EventLog
from samphirespring.process.ids import GroupId, MemberId, ReplicaId
from samphirespring.process.log_events import LogEvent
from samphirespring.process.replication.context import ReplicationContext
from samphirespring.process.replication.entries import Member
from samphirespring.process.replication.group_inbox import GroupInbox
from samphirespring.process.replication.group_messages import Received
from samphirespring.process.replication.messages import Announcement, AnnouncementReply
from samphirespring.process.tasks import OwnerTask, StateDump

_log = EventLog()


class GroupWitnessDump(StateDump, frozen=True, kw_only=True):
    """State of a witness."""

    group: GroupId
    placed: tuple[ReplicaId, ...]


class GroupWitness(OwnerTask):
    """Answers the first replicas of a group that is to be formed on other hosts.

    It keeps silent towards hosts that place the group otherwise, so that two sets of hosts can't
    both form it.

    Args:
        context: What all groups of the process share.
        group: The group; the data folder has no files of it.
        placed: Hosts that are to hold the group.
    """

    def __init__(
        self, *, context: ReplicationContext, group: GroupId, placed: tuple[ReplicaId, ...]
    ) -> None:
        self._context = context
        self._group = group
        self._placed = tuple(sorted(placed))
        self._inbox = GroupInbox(name=self.name, question_batch=1)
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
        """Answer announcements until cancelled."""
        while True:
            for message in await self._inbox.receive_batch():
                if not isinstance(message, Received):
                    continue
                if isinstance(message.envelope.message, Announcement):
                    self._answer(message.envelope.message)

    async def dump(self) -> GroupWitnessDump:
        """Return the witness's state."""
        return GroupWitnessDump(group=self._group, placed=self._placed)

    def _answer(self, announcement: Announcement) -> None:
        asker = announcement.member
        if announcement.first_replicas != self._placed:
            _log.warning(
                LogEvent.GROUP_PLACEMENT_MISMATCH, group=self._group, replica=asker.replica
            )
            return
        reply = AnnouncementReply(asker=asker.member, member=self._own, formed=False)
        envelope = ReplicationEnvelope(
            group=self._group,
            lineage=None,
            sender=self._own.member,
            receiver=asker.member,
            message=reply,
        )
        address = self._context.peers.get(asker.replica, asker.link_address)
        self._context.transport.send(address, envelope)
