"""Sends batches of replication messages to one peer."""

import ssl

from samphirespring.connection.link_client import Link, Upload
from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.connection.replication_link import (
    SEND_REPLICATION,
    ReplicationBatch,
    ReplicationEnvelope,
)
from samphirespring.process.errors import SamphireError
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import InboxFullError, Mailbox
from samphirespring.process.metrics.metric_names import Counter
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.replication.messages import AnsweredMessage, Heartbeat, HeartbeatReply
from samphirespring.process.timers import TimerService

INBOX_CAPACITY = 5_000
SEND_TIMEOUT_S = 2.0
REPLY_TIMEOUT_S = 3.0
"""Time without a message from the peer after which the link reconnects, in seconds.

It runs only while messages that need a reply are unanswered.
"""

RECONNECT_DELAY_S = 0.25
LINGER_S = 0.01
"""Delay of a heartbeat, in seconds, so that heartbeats of several groups share one batch."""

_log = EventLog()


class PeerSender:
    """Owns the outgoing link to one peer.

    Args:
        address: Link address of the peer.
        own_address: Link address of this process.
        timers: The timer service.
        metrics: Records batches and dropped messages.
        tls: Context for mutual TLS; None uses plain TCP.
    """

    def __init__(
        self,
        *,
        address: str,
        own_address: str,
        timers: TimerService,
        metrics: Metrics,
        tls: ssl.SSLContext | None,
    ) -> None:
        self._inbox: Mailbox[ReplicationEnvelope] = Mailbox(name=address, capacity=INBOX_CAPACITY)
        self._address = address
        self._own_address = own_address
        self._timers = timers
        self._metrics = metrics
        self._tls = tls
        self._is_up = True
        self._oldest_unanswered_at_s: float | None = None

    def post(self, envelope: ReplicationEnvelope) -> None:
        """Queue a message, or drop it if the queue is full.

        Args:
            envelope: The message.
        """
        try:
            self._inbox.post(envelope)
        except InboxFullError:
            self._metrics.count(Counter.REPLICATION_DROPPED)

    def record_contact(self) -> None:
        """Record that a batch arrived from the peer."""
        self._oldest_unanswered_at_s = None

    async def run(self) -> None:
        """Send batches until cancelled; reconnect after each failure of the link."""
        while True:
            first = await self._inbox.receive()
            link = Link(self._address, tls=self._tls, metrics=self._metrics)
            try:
                await self._send_batches(link, first)
            except SamphireError as error:
                self._log_link_down(error)
            finally:
                link.close()
            await self._timers.wait_for(RECONNECT_DELAY_S)

    async def _send_batches(self, link: Link, first: ReplicationEnvelope) -> None:
        self._oldest_unanswered_at_s = None
        async with link.open_upload(SEND_REPLICATION, timeout_s=SEND_TIMEOUT_S) as upload:
            envelopes = [first]
            while True:
                await self._send(upload, envelopes)
                envelopes = await self._receive_batch()

    async def _receive_batch(self) -> list[ReplicationEnvelope]:
        envelopes = await self._inbox.receive_all()
        if all(isinstance(e.message, Heartbeat | HeartbeatReply) for e in envelopes):
            await self._timers.wait_for(LINGER_S)
            if self._inbox.waiting_count:
                envelopes += await self._inbox.receive_all()
        return envelopes

    async def _send(
        self, upload: "Upload[ReplicationBatch]", envelopes: list[ReplicationEnvelope]
    ) -> None:
        now_s = self._timers.read_now_s()
        unanswered_at_s = self._oldest_unanswered_at_s
        if unanswered_at_s is not None and now_s - unanswered_at_s > REPLY_TIMEOUT_S:
            # A connection that broke without a reset would otherwise last until TCP's
            # retransmissions time out.
            raise LinkUnavailableError(f"{self._address}: no message from the peer", sent=True)
        batch = ReplicationBatch(sender_address=self._own_address, envelopes=tuple(envelopes))
        await upload.send(batch, timeout_s=SEND_TIMEOUT_S)
        expects_reply = any(isinstance(e.message, AnsweredMessage) for e in envelopes)
        if expects_reply and self._oldest_unanswered_at_s is None:
            self._oldest_unanswered_at_s = now_s
        self._metrics.count(Counter.REPLICATION_BATCHES)
        if not self._is_up:
            self._is_up = True
            _log.info(LogEvent.REPLICATION_LINK_UP, address=self._address)

    def _log_link_down(self, error: SamphireError) -> None:
        if self._is_up:
            self._is_up = False
            _log.warning(LogEvent.REPLICATION_LINK_DOWN, address=self._address, detail=error.detail)
