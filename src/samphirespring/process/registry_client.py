"""Sends the reports of this host and its children in the tree, and receives the changes."""

import anyio
import msgspec
from anyio.abc import TaskGroup

from samphirespring.connection.registry_link import BatchReply, HostReport, ReportBatch
from samphirespring.process.agent.agent_messages import AgentMessage, ReadHostRecord
from samphirespring.process.control_directory import ControlDirectory
from samphirespring.process.document.version_hint import VersionHint
from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.process.ids import HostId, Incarnation, RegistryVersion
from samphirespring.process.latest import HighestValue
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import Mailbox, ReplySlot, ask, ask_always
from samphirespring.process.registry.cache import RegistryCache
from samphirespring.process.registry.host_presenter import HostPresenter
from samphirespring.process.registry.pending_reports import PendingReports
from samphirespring.process.registry.report_sender import ReportSender
from samphirespring.process.target_table_messages import ApplyDelta, TableMessage
from samphirespring.process.targets import NO_DELTA, HostRecord, RegistryDelta
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.version.stamp import NO_STAMP

INBOX_CAPACITY = 1_000
FIRST_CHECK_INTERVAL_S = 0.1
"""Interval between checks for the own host's first record, in seconds."""

FORWARD_INTERVAL_S = 0.4
"""Interval between batches toward the registry while reports are pending, in seconds."""

_log = EventLog()


class RegistryUnavailableError(SamphireError):
    """This node has received no table yet, so it can't relay for the registry."""

    code = ErrorCode.LINK_UNAVAILABLE


class RelayReports(msgspec.Struct, frozen=True, kw_only=True):
    """Delivers reports of hosts below this one in the relay tree."""

    batch: ReportBatch
    reply: ReplySlot[BatchReply]


class RegistryClientDump(StateDump, frozen=True, kw_only=True):
    """State of the registry client."""

    known_version: RegistryVersion
    reachable: bool
    acknowledged_sequence: int | None
    """Sequence number of the host's record that the registry has, or None."""

    age_s: float
    """Time since the last contact with the registry's leader, also through relays, in seconds."""

    relayed_reports: int
    """Number of reports received from other hosts."""

    pending_reports: int


class RegistryClient(OwnerTask):
    """Renews the host's lease and keeps the target table up to date.

    While the registry is unreachable, the target table stays as it is. Reports of hosts below this
    one in the relay tree are queued, get their reply from the cache, and are forwarded in the next
    batch: the registry's leader gets a few batches per failure domain, not a call per host.

    Args:
        sender: Sends reports toward the registry.
        agent: Inbox of the agent.
        table: Inbox of the target table.
        timers: The timer service.
        interval_s: Interval between reports of this host, in seconds.
        presenter: Presents the host where targets are selected; None leaves it to the registry.
        directory: Addresses of the control hosts; this task updates them.
        hints: Receives the newest document version that the registry reports; None to ignore it.
    """

    def __init__(
        self,
        *,
        sender: ReportSender,
        agent: Mailbox[AgentMessage],
        table: Mailbox[TableMessage],
        timers: TimerService,
        interval_s: float,
        presenter: HostPresenter | None = None,
        directory: ControlDirectory | None = None,
        hints: HighestValue[VersionHint] | None = None,
    ) -> None:
        self._hints = hints
        self._presentations: TaskGroup
        self._document = NO_STAMP
        self._presenter = presenter
        self._directory = directory or ControlDirectory(())
        self.inbox: Mailbox[RelayReports] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._sender = sender
        self._agent = agent
        self._table = table
        self._timers = timers
        self._interval_s = interval_s
        self._cache = RegistryCache()
        self._pending = PendingReports()
        self._reachable = False
        self._last_contact_at_s = timers.read_now_s()
        self._relayed_count = 0
        self._acknowledged: tuple[Incarnation, int] | None = None
        self._own_host: HostId | None = None

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "registry_client"

    async def run(self) -> None:
        """Report, relay and forward until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._presentations = tasks
            tasks.start_soon(self._serve_relayed)
            await self._report_own()
            await self._forward()
            tasks.start_soon(self._report_repeatedly)
            async for _ in self._timers.subscribe(interval_s=FORWARD_INTERVAL_S):
                # Before the host has a report of its own, it still needs the registry's changes.
                if self._pending.count or self._own_host is None:
                    await self._forward()

    async def dump(self) -> RegistryClientDump:
        """Return the client's state."""
        return RegistryClientDump(
            known_version=self._cache.version,
            reachable=self._reachable,
            acknowledged_sequence=None if self._acknowledged is None else self._acknowledged[1],
            age_s=self._read_age_s(),
            relayed_reports=self._relayed_count,
            pending_reports=self._pending.count,
        )

    @property
    def has_table(self) -> bool:
        """Whether this node has received the registry's table, or a peer's copy of it."""
        return self._cache.version > RegistryVersion(0)

    async def relay(self, batch: ReportBatch) -> BatchReply:
        """Accept reports of hosts below this one, and return the changes in this node's cache.

        Args:
            batch: The reports.

        Raises:
            RegistryUnavailableError: This node has received no table yet.
        """
        return await ask(self.inbox, lambda reply: RelayReports(batch=batch, reply=reply))

    async def _serve_relayed(self) -> None:
        while True:
            message = await self.inbox.receive()
            delta = self._cache.read_delta(message.batch.known_version)
            if delta is None and message.batch.initial_table_host is not None:
                message.reply.send(BatchReply(delta=NO_DELTA))
                continue
            if delta is None:
                message.reply.fail(
                    RegistryUnavailableError("no reply of the registry has arrived yet")
                )
                continue
            message.reply.send(self._reply_from_cache(message.batch, delta))

    def _reply_from_cache(self, batch: ReportBatch, delta: RegistryDelta) -> BatchReply:
        self._relayed_count += len(batch.reports)
        hosts_without_record = tuple(
            report.host for report in batch.reports if self._pending.add(report)
        )
        control_links = self._directory.reported
        has_control_links = batch.known_control_digest == self._directory.digest
        return BatchReply(
            delta=delta,
            hosts_without_record=hosts_without_record,
            control_links=() if has_control_links else control_links,
            document=self._document,
            age_s=self._read_age_s(),
        )

    async def _report_repeatedly(self) -> None:
        while True:
            is_first = self._own_host is None
            await self._timers.wait_for(FIRST_CHECK_INTERVAL_S if is_first else self._interval_s)
            await self._report_own()

    async def _report_own(self) -> None:
        record: HostRecord | None = await ask_always(
            self._agent, lambda reply: ReadHostRecord(reply=reply)
        )
        if record is None:
            return
        if self._presenter is not None and self._presenter.has_news(record):
            self._presentations.start_soon(self._presenter.present, record)
        order = (record.incarnation, record.sequence)
        self._own_host = record.locality.host
        self._pending.add(
            HostReport(
                host=record.locality.host,
                incarnation=record.incarnation,
                sequence=record.sequence,
                record=None if self._acknowledged == order else record,
            )
        )

    async def _forward(self) -> None:
        reports = self._pending.pop_all()
        batch = ReportBatch(
            known_version=self._cache.version,
            reports=reports,
            known_control_digest=self._directory.digest,
        )
        try:
            reply = await self._sender.send(batch)
        except SamphireError as error:
            # The reports are dropped: the hosts report again, and late renewals are useless.
            self._update_reachable(False, detail=error.detail)
            return
        self._update_reachable(True)
        self._last_contact_at_s = self._timers.read_now_s() - reply.age_s
        self._update_acknowledged(reports, reply)
        if reply.document > self._document:
            self._document = reply.document
            if self._hints is not None:
                self._hints.post(VersionHint(reply.document))
        if reply.control_links:
            self._directory.use_reported(reply.control_links)
        self._apply_delta(reply.delta)

    def _update_acknowledged(self, reports: tuple[HostReport, ...], reply: BatchReply) -> None:
        own = next((report for report in reports if report.host == self._own_host), None)
        if self._own_host in reply.hosts_without_record:
            self._acknowledged = None
        elif own is not None:
            self._acknowledged = (own.incarnation, own.sequence)
        self._pending.add_hosts_without_record(
            tuple(host for host in reply.hosts_without_record if host != self._own_host)
        )

    def _apply_delta(self, delta: RegistryDelta) -> None:
        if delta.version <= self._cache.version and not delta.complete:
            # The relay has an older version, so its delta contains nothing new.
            return
        self._cache.apply(delta)
        self._table.post_always(ApplyDelta(delta=delta))

    def _read_age_s(self) -> float:
        return max(0.0, self._timers.read_now_s() - self._last_contact_at_s)

    def _update_reachable(self, reachable: bool, *, detail: str = "") -> None:
        if reachable != self._reachable:
            _log.info(
                LogEvent.REGISTRY_REACHABLE if reachable else LogEvent.REGISTRY_LOST, detail=detail
            )
        self._reachable = reachable
