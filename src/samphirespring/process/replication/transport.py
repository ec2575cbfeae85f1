"""Transports the messages of all replicated groups of a process over one link to each peer."""

import ssl
from collections.abc import AsyncIterator

import anyio
import msgspec
from anyio.abc import TaskGroup

from samphirespring.connection.link_server import LinkHandler, UploadHandler
from samphirespring.connection.replication_link import (
    SEND_REPLICATION,
    ReplicationBatch,
    ReplicationEnd,
    ReplicationEnvelope,
)
from samphirespring.process.ids import GroupId
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import InboxFullError, Mailbox
from samphirespring.process.metrics.metric_names import Counter
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.replication.group_inbox import GroupInbox
from samphirespring.process.replication.group_messages import PeerMessage
from samphirespring.process.replication.peer_sender import PeerSender
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService

INBOX_CAPACITY = 20_000

_log = EventLog()


class OutgoingMessage(msgspec.Struct, frozen=True, kw_only=True):
    """A message to send to a peer.

    Attributes:
        address: Link address of the peer.
        envelope: The message.
    """

    address: str
    envelope: ReplicationEnvelope


class TransportDump(StateDump, frozen=True, kw_only=True):
    """State of the transport."""

    peers: tuple[str, ...]
    groups: tuple[GroupId, ...]


class ReplicationTransport(OwnerTask):
    """Owns the outgoing links to the peers and routes incoming messages to the groups.

    Delivery is not guaranteed, and messages are dropped when a queue is full: the consensus
    protocol sends them again.

    Args:
        own_address: Link address by which peers reach this process.
        timers: The timer service.
        metrics: Records batches and dropped messages.
        tls: Context for mutual TLS; None uses plain TCP.
    """

    def __init__(
        self,
        *,
        own_address: str,
        timers: TimerService,
        metrics: Metrics,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._inbox: Mailbox[OutgoingMessage] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._own_address = own_address
        self._timers = timers
        self._metrics = metrics
        self._tls = tls
        self._groups: dict[GroupId, GroupInbox] = {}
        self._peers: dict[str, PeerSender] = {}

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "replication_transport"

    def attach(self, group: GroupId, inbox: GroupInbox) -> None:
        """Route a group's messages to its inbox.

        Args:
            group: The group.
            inbox: Inbox of its task.
        """
        self._groups[group] = inbox

    def make_handlers(self) -> list[LinkHandler]:
        """Return the handlers to register on the process's link server."""
        return [UploadHandler(SEND_REPLICATION, self._receive)]

    def send(self, address: str, envelope: ReplicationEnvelope) -> None:
        """Queue a message for a peer, or drop it if the queue is full.

        Args:
            address: Link address of the peer.
            envelope: The message.
        """
        try:
            self._inbox.post(OutgoingMessage(address=address, envelope=envelope))
        except InboxFullError:
            self._metrics.count(Counter.REPLICATION_DROPPED)

    async def run(self) -> None:
        """Pass queued messages to the peers' senders until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for outgoing in await self._inbox.receive_all():
                    self._find_peer(outgoing.address, tasks).post(outgoing.envelope)

    async def dump(self) -> TransportDump:
        """Return the transport's state."""
        return TransportDump(peers=tuple(self._peers), groups=tuple(self._groups))

    def _find_peer(self, address: str, tasks: TaskGroup) -> PeerSender:
        peer = self._peers.get(address)
        if peer is None:
            peer = PeerSender(
                address=address,
                own_address=self._own_address,
                timers=self._timers,
                metrics=self._metrics,
                tls=self._tls,
            )
            self._peers[address] = peer
            tasks.start_soon(peer.run, name=f"replication_peer {address}")
        return peer

    async def _receive(self, batches: AsyncIterator[ReplicationBatch]) -> ReplicationEnd:
        async for batch in batches:
            peer = self._peers.get(batch.sender_address)
            if peer is not None:
                peer.record_contact()
            for envelope in batch.envelopes:
                self._route(envelope, batch.sender_address)
        return ReplicationEnd()

    def _route(self, envelope: ReplicationEnvelope, sender_address: str) -> None:
        inbox = self._groups.get(envelope.group)
        if inbox is None:
            _log.debug(LogEvent.REPLICATION_GROUP_UNKNOWN, group=envelope.group)
            return
        if not inbox.has_room_for_peers:
            self._metrics.count(Counter.REPLICATION_DROPPED)
            return
        inbox.post(PeerMessage(envelope=envelope, sender_address=sender_address))
