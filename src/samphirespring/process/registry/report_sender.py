"""Sending of reports: to a relay in the tree of the failure domain, or to the control hosts."""

from abc import ABC, abstractmethod

import msgspec

from samphirespring.connection.link_pool import LinkPool
from samphirespring.connection.registry_link import REPORT_HOSTS, BatchReply, ReportBatch
from samphirespring.process.control_client import ControlClient
from samphirespring.process.document.relay_tree import Peer
from samphirespring.process.document.sources import SourceChooser, SourceKind
from samphirespring.process.errors import SamphireError
from samphirespring.process.ids import FailureDomainName, HostId, RegistryVersion
from samphirespring.process.mailbox import Mailbox, ask_always
from samphirespring.process.registry.initial_table import InitialTableSearch
from samphirespring.process.target_table_messages import ReadPeers, TableMessage
from samphirespring.process.timers import TimerService

NO_TABLE = RegistryVersion(0)
RELAY_TIMEOUT_S = 1.0
TABLE_TIMEOUT_S = 5.0
"""Timeout of a request for the whole table, in seconds; busy peers need longer than for a delta."""

MAX_REPLY_AGE_S = 3.0
"""Age of a relay's last contact with the registry above which it is avoided, in seconds."""

MAX_BEHIND_S = 3.0
"""Longest time for which a relay may have an older version than its reader, in seconds.

After it, the reader avoids the relay for a while.
"""


class ReportSender(ABC):
    """Sends reports toward the registry."""

    @abstractmethod
    async def send(self, batch: ReportBatch) -> BatchReply:
        """Send reports and return the reply.

        Args:
            batch: The reports.

        Raises:
            SamphireError: No relay and no control host accepted the reports.
        """


class TreeReportSender(ReportSender):
    """Sends to the parent relay in the failure domain's tree or, without one, to the control hosts.

    Until it has its first table, it requests the table from the peers in the settings and from
    those that the control hosts suggest.

    Args:
        domain: Failure domain of the own host.
        own_host: The own host.
        search: Order of the peers for the first table.
        chooser: Chooses the relay.
        control: Client for the control hosts.
        links: Links to the relays.
        table: Inbox of the target table, which holds the failure domain's hosts.
        timers: The timer service.
    """

    def __init__(
        self,
        *,
        domain: FailureDomainName,
        own_host: HostId,
        search: InitialTableSearch,
        chooser: SourceChooser,
        control: ControlClient,
        links: LinkPool,
        table: Mailbox[TableMessage],
        timers: TimerService,
    ) -> None:
        self._domain = domain
        self._own_host = own_host
        self._search = search
        self._chooser = chooser
        self._control_client = control
        self._links = links
        self._table = table
        self._timers = timers
        self._fell_behind_at_s: float | None = None

    async def send(self, batch: ReportBatch) -> BatchReply:
        """Send reports and return the reply."""
        if batch.known_version == NO_TABLE:
            return await self._send_first(batch)
        peers: tuple[Peer, ...] = await ask_always(
            self._table, lambda reply: ReadPeers(domain=self._domain, reply=reply)
        )
        sources = self._chooser.choose(peers, now_s=self._timers.read_now_s())
        if sources.kind is SourceKind.RELAY:
            reply = await self._send_to_relay(sources.addresses[0], batch)
            if reply is not None:
                return reply
        return await self._control_client.call_leader(REPORT_HOSTS, batch)

    async def _send_first(self, batch: ReportBatch) -> BatchReply:
        reply = await self._request_table(self._search.list_peers(), batch)
        if reply is not None:
            return reply
        accepts_suggestions = self._search.accepts_suggestions(self._timers.read_now_s())
        first_batch = msgspec.structs.replace(
            batch,
            initial_table_host=self._own_host if accepts_suggestions else None,
            unreachable_sources=self._search.unreachable_sources,
        )
        reply = await self._control_client.call_leader(REPORT_HOSTS, first_batch)
        new_peers = self._search.record_suggested_peers(reply.table_sources)
        # The control hosts have received the reports, so the suggested peers are only requested to
        # send the table.
        table_reply = await self._request_table(
            new_peers, msgspec.structs.replace(batch, reports=())
        )
        if table_reply is None:
            return reply
        return msgspec.structs.replace(table_reply, hosts_without_record=reply.hosts_without_record)

    async def _request_table(self, peers: tuple[str, ...], batch: ReportBatch) -> BatchReply | None:
        request = msgspec.structs.replace(batch, initial_table_host=self._own_host)
        for address in peers:
            reply = await self._call_relay(address, request, timeout_s=TABLE_TIMEOUT_S)
            self._search.record_call(address, replied=reply is not None)
            if reply is not None and reply.delta.complete:
                return reply
        return None

    async def _call_relay(
        self, address: str, batch: ReportBatch, *, timeout_s: float
    ) -> BatchReply | None:
        try:
            with self._links.use(address) as link:
                return await link.call(REPORT_HOSTS, batch, timeout_s=timeout_s)
        except SamphireError:
            return None

    async def _send_to_relay(self, address: str, batch: ReportBatch) -> BatchReply | None:
        reply = await self._call_relay(address, batch, timeout_s=RELAY_TIMEOUT_S)
        if reply is None or self._is_outdated(reply, batch):
            self._chooser.record_failure(address, now_s=self._timers.read_now_s())
            self._fell_behind_at_s = None
            return None
        return reply

    def _is_outdated(self, reply: BatchReply, batch: ReportBatch) -> bool:
        if reply.age_s > MAX_REPLY_AGE_S:
            return True
        if reply.delta.version >= batch.known_version:
            self._fell_behind_at_s = None
            return False
        now_s = self._timers.read_now_s()
        if self._fell_behind_at_s is None:
            self._fell_behind_at_s = now_s
        return now_s - self._fell_behind_at_s > MAX_BEHIND_S
