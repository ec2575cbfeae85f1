"""Service for the registry on a control host."""

from collections.abc import Awaitable, Callable, Iterable, Sequence

import anyio
import msgspec

from samphirespring.connection.registry_link import (
    BatchReply,
    DeparturesReply,
    HostReport,
    ReadDepartures,
    RecordDeparture,
    ReportBatch,
)
from samphirespring.process.bounds import MAX_NAME_LENGTH
from samphirespring.process.control_directory import compute_digest
from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.process.ids import HostId, RegistryVersion
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import Mailbox, ReplySlot, ask
from samphirespring.process.metrics.metric_names import Counter, Gauge
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.paging import (
    DumpList,
    DumpPage,
    EntryKey,
    PagedList,
    PageRequest,
    make_key_list,
)
from samphirespring.process.registry.commands import (
    ChangeHosts,
    HostDeparture,
    HostDrain,
    HostEntry,
    HostRemoval,
    HostsChanged,
)
from samphirespring.process.registry.leases import HostLeases
from samphirespring.process.registry.record_check import find_departure_problem, find_problem
from samphirespring.process.registry.state_machine import RegistryStateMachine
from samphirespring.process.registry.table_distribution import TableDistribution
from samphirespring.process.replication.errors import BusyError
from samphirespring.process.replication.leader_link import FindLink, find_leader_link
from samphirespring.process.replication.state_machine import NotLeaderError, Proposer
from samphirespring.process.targets import NO_DELTA, HostRecord, RegistryDelta
from samphirespring.process.tasks import OwnerTask, PagedDump
from samphirespring.process.timers import TimerService
from samphirespring.version.stamp import NO_STAMP, DocumentStamp

INBOX_CAPACITY = 10_000
EXPIRY_INTERVAL_S = 0.5
LEADERSHIP_VALIDITY_S = 0.5
"""Time for which a confirmed leadership is assumed to last, in seconds."""

_log = EventLog()


class HostRecordInvalidError(SamphireError):
    """A record that a host sent has invalid fields."""

    code = ErrorCode.ANNOUNCEMENT_INVALID


class ReceiveReport(msgspec.Struct, frozen=True, kw_only=True):
    """Delivers the reports of some hosts."""

    batch: ReportBatch
    reply: ReplySlot[BatchReply]


class ReadTable(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the whole table."""

    reply: ReplySlot[RegistryDelta]


class RegistryServiceDump(PagedDump, frozen=True, kw_only=True):
    """State of the registry service."""

    version: RegistryVersion
    leads: bool
    hosts: tuple[EntryKey, ...]
    held: tuple[EntryKey, ...]
    """Hosts whose leases ended but which stay, because too many ended at once."""

    pending: tuple[EntryKey, ...]


class RegistryService(OwnerTask):
    """Owns the leases of the hosts; renewals stay in memory and only changes go through the log.

    Args:
        state_machine: The registry's state machine; it is only read through the proposer.
        proposer: The replicated log.
        lease_s: Time for which a host stays in the registry without a report, in seconds.
        timers: The timer service.
        metrics: The metrics to update.
        read_control_links: Returns the link addresses of all control hosts; with None, replies
            contain no addresses.
        read_document: Returns the newest document version on this host; with None, replies contain
            no version.
        find_link: Returns the link address of a control host; with None, replies don't redirect to
            the leader.
    """

    def __init__(
        self,
        *,
        state_machine: RegistryStateMachine,
        proposer: Proposer[ChangeHosts, HostsChanged],
        lease_s: float,
        timers: TimerService,
        metrics: Metrics,
        read_control_links: Callable[[], Awaitable[tuple[str, ...]]] | None = None,
        read_document: Callable[[], DocumentStamp] | None = None,
        find_link: FindLink | None = None,
    ) -> None:
        self._find_link = find_link
        self._read_document = read_document
        self._read_control_links = read_control_links
        self._control_links: tuple[str, ...] = ()
        self.inbox: Mailbox[ReceiveReport | ReadTable] = Mailbox(
            name=self.name, capacity=INBOX_CAPACITY
        )
        self._state_machine = state_machine
        self._proposer = proposer
        self._leases = HostLeases(lease_s=lease_s)
        self._timers = timers
        self._metrics = metrics
        self._pending: dict[HostId, HostRecord] = {}
        self._pending_changed = anyio.Event()
        self._table_distribution = TableDistribution()
        self._held: tuple[HostId, ...] = ()
        self._leader_until_s = 0.0
        self._is_leader = False

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "registry_keeper"

    async def run(self) -> None:
        """Serve reports, commit changes and expire leases until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._expire)
            tasks.start_soon(self._commit)
            while True:
                message = await self.inbox.receive()
                match message:
                    case ReceiveReport():
                        tasks.start_soon(self._serve_report, message)
                    case ReadTable():
                        tasks.start_soon(self._serve_table, message)

    async def dump(self) -> RegistryServiceDump:
        """Return the service's state."""
        version, present = await self._proposer.read(
            lambda: (self._state_machine.version, self._list_hosts())
        )
        hosts = present.read_page()
        held = self._list_held().read_page()
        pending = self._list_pending().read_page()
        return RegistryServiceDump(
            version=version,
            leads=self._is_leader,
            hosts=hosts.items,
            held=held.items,
            pending=pending.items,
            pages=(hosts.info, held.info, pending.info),
        )

    async def dump_page(self, request: PageRequest) -> DumpPage[object]:
        """Return one page of the present, held or pending hosts."""
        match request.list:
            case DumpList.HOSTS:
                hosts = await self._proposer.read(self._list_hosts)
                return hosts.read_page(request.cursor)
            case DumpList.HELD:
                return self._list_held().read_page(request.cursor)
            case DumpList.PENDING:
                return self._list_pending().read_page(request.cursor)
        return await super().dump_page(request)

    def _list_hosts(self) -> PagedList[EntryKey]:
        keys = [EntryKey(entry.host) for entry in self._state_machine.list_present()]
        return make_key_list(DumpList.HOSTS, keys)

    def _list_held(self) -> PagedList[EntryKey]:
        return make_key_list(DumpList.HELD, [EntryKey(host) for host in self._held])

    def _list_pending(self) -> PagedList[EntryKey]:
        return make_key_list(DumpList.PENDING, [EntryKey(host) for host in self._pending])

    async def report(self, batch: ReportBatch) -> BatchReply:
        """Process the reports of some hosts and return the changes of the registry.

        Args:
            batch: The reports.

        Raises:
            NotLeaderError: Another control host is the registry's leader.
        """
        return await ask(self.inbox, lambda reply: ReceiveReport(batch=batch, reply=reply))

    async def record_departure(self, request: RecordDeparture) -> DeparturesReply:
        """Commit the departure of a target.

        Args:
            request: The host and the departure.

        Raises:
            SamphireError: It isn't known to be committed.
        """
        problem = find_departure_problem(request.host, request.departure)
        if problem is not None:
            raise HostRecordInvalidError(problem)
        entry = HostDeparture(host=request.host, departure=request.departure)
        try:
            await self._proposer.propose(ChangeHosts(departures=(entry,)))
        except NotLeaderError as error:
            return await self._redirect_to_leader(error)
        return DeparturesReply()

    async def record_drain(self, drain: HostDrain) -> None:
        """Commit the start or the end of a drain that an operator requested.

        Args:
            drain: The start or the end.

        Raises:
            NotLeaderError: Another control host is the registry's leader.
            SamphireError: It isn't known to be committed.
        """
        await self._proposer.propose(ChangeHosts(drains=(drain,)))

    async def read_departures(self, request: ReadDepartures) -> DeparturesReply:
        """Return the departures and drains of a host's targets, as committed by a quorum.

        Args:
            request: The host.

        Raises:
            SamphireError: No quorum confirms that this control host leads.
        """
        try:
            await self._proposer.confirm_leadership(by_heartbeat_round=True)
        except NotLeaderError as error:
            return await self._redirect_to_leader(error)
        departures, drained = await self._proposer.read(
            lambda: (
                self._state_machine.list_departures(request.host),
                self._state_machine.list_drained(request.host),
            )
        )
        return DeparturesReply(departures=departures, drained=drained)

    async def _redirect_to_leader(self, error: NotLeaderError) -> DeparturesReply:
        link = await find_leader_link(error, self._find_link)
        if link is None:
            raise error
        return DeparturesReply(leader_link=link)

    async def read_table(self) -> RegistryDelta:
        """Return the whole table."""
        return await ask(self.inbox, lambda reply: ReadTable(reply=reply))

    async def _read_table(self) -> RegistryDelta:
        return await self._proposer.read(self._state_machine.read_table)

    async def _serve_table(self, message: ReadTable) -> None:
        try:
            message.reply.send(await self._read_table())
        except SamphireError as error:
            message.reply.fail(error)

    async def _serve_report(self, message: ReceiveReport) -> None:
        try:
            message.reply.send(await self._process_reports(message.batch))
        except NotLeaderError as error:
            # The reporter may only have addresses of control hosts that aren't the leader.
            link = await find_leader_link(error, self._find_link)
            if link is None:
                message.reply.fail(error)
            else:
                message.reply.send(BatchReply(delta=NO_DELTA, leader_link=link))
        except SamphireError as error:
            message.reply.fail(error)

    async def _process_reports(self, batch: ReportBatch) -> BatchReply:
        await self._confirm_leadership()
        now_s = self._timers.read_now_s()
        for report in batch.reports:
            self._leases.renew(report.host, now_s=now_s)
        entries = await self._proposer.read(
            lambda: [self._state_machine.read_entry(report.host) for report in batch.reports]
        )
        sources = self._choose_table_sources(batch, entries, now_s)
        delta = NO_DELTA
        if not sources:
            delta = await self._proposer.read(
                lambda: self._state_machine.read_delta(batch.known_version)
            )
        self._metrics.count(Counter.REGISTRY_REPORTS, amount=len(batch.reports))
        hosts_without_record: list[HostId] = []
        for report, entry in zip(batch.reports, entries, strict=True):
            if _is_recorded(report, entry):
                continue
            if report.record is None:
                hosts_without_record.append(report.host)
            else:
                self._accept_record(report.record)
        has_control_links = batch.known_control_digest == compute_digest(self._control_links)
        return BatchReply(
            delta=delta,
            hosts_without_record=tuple(hosts_without_record),
            table_sources=sources,
            control_links=() if has_control_links else self._control_links,
            document=NO_STAMP if self._read_document is None else self._read_document(),
        )

    def _accept_record(self, record: HostRecord) -> None:
        problem = find_problem(record)
        if problem is None:
            self._pending[record.locality.host] = record
            self._pending_changed.set()
            return
        host = record.locality.host[:MAX_NAME_LENGTH]
        _log.warning(LogEvent.HOST_RECORDS_SKIPPED, records=[f"{host}: {problem}"])
        self._metrics.count(Counter.REGISTRY_RECORDS_SKIPPED)

    def _choose_table_sources(
        self, batch: ReportBatch, entries: Sequence[HostEntry | None], now_s: float
    ) -> tuple[str, ...]:
        starting = None
        for report, entry in zip(batch.reports, entries, strict=True):
            if report.host == batch.initial_table_host:
                starting = report.record or (None if entry is None else entry.record)
        if starting is None:
            return ()
        decision = self._table_distribution.decide(
            starting.locality.host,
            domain=starting.locality.failure_domain,
            link_address=starting.link_address,
            unreachable_sources=batch.unreachable_sources,
            now_s=now_s,
        )
        return decision.sources

    async def _confirm_leadership(self) -> None:
        now_s = self._timers.read_now_s()
        if now_s < self._leader_until_s:
            return
        try:
            await self._proposer.confirm_leadership()
        except BusyError:
            # A busy log doesn't mean that leadership is lost, so the leases stay.
            raise
        except SamphireError:
            self._update_leadership(False)
            raise
        self._update_leadership(True)
        if self._read_control_links is not None:
            self._control_links = await self._read_control_links()
        self._leader_until_s = now_s + LEADERSHIP_VALIDITY_S

    def _update_leadership(self, is_leader: bool) -> None:
        if is_leader is not self._is_leader:
            _log.info(
                LogEvent.REGISTRY_LEADERSHIP_GAINED
                if is_leader
                else LogEvent.REGISTRY_LEADERSHIP_LOST
            )
        self._is_leader = is_leader
        if not is_leader:
            # The hosts report to another leader now, so the state on this host is incomplete.
            self._leases.clear()
            self._pending.clear()
            self._table_distribution.clear()
            self._leader_until_s = 0.0

    async def _commit(self) -> None:
        while True:
            await self._pending_changed.wait()
            self._pending_changed = anyio.Event()
            records = tuple(self._pending.values())
            self._pending.clear()
            # Records that arrive during this proposal are combined in the next command.
            await self._propose(ChangeHosts(records=records))

    async def _expire(self) -> None:
        async for _ in self._timers.subscribe(interval_s=EXPIRY_INTERVAL_S):
            try:
                await self._confirm_leadership()
                entries = await self._proposer.read(self._state_machine.list_present)
            except SamphireError:
                continue
            await self._expire_hosts(entries)

    async def _expire_hosts(self, entries: Iterable[HostEntry]) -> None:
        entries_by_host = {entry.host: entry for entry in entries}
        decision = self._leases.decide(entries_by_host, now_s=self._timers.read_now_s())
        self._update_held(decision.held)
        if decision.expired:
            _log.info(LogEvent.HOSTS_EXPIRED, hosts=decision.expired)
            self._metrics.count(Counter.REGISTRY_EXPIRED, amount=len(decision.expired))
            removals = tuple(_make_removal(entries_by_host[host]) for host in decision.expired)
            await self._propose(ChangeHosts(removals=removals))

    def _update_held(self, held: tuple[HostId, ...]) -> None:
        if bool(held) is not bool(self._held):
            _log.warning(LogEvent.EXPIRY_HELD if held else LogEvent.EXPIRY_RESUMED, hosts=len(held))
        self._held = held
        self._metrics.set_gauge(Gauge.REGISTRY_HELD, value=len(held))

    async def _propose(self, command: ChangeHosts) -> None:
        try:
            await self._proposer.propose(command)
        except SamphireError as error:
            # The hosts will send their records again, since the reply to their next report requests
            # them.
            _log.info(LogEvent.REGISTRY_CHANGE_LOST, code=error.code.value, detail=error.detail)


def _is_recorded(report: HostReport, entry: HostEntry | None) -> bool:
    if entry is None or entry.record is None:
        return False
    return (entry.incarnation, entry.sequence) >= (report.incarnation, report.sequence)


def _make_removal(entry: HostEntry) -> HostRemoval:
    return HostRemoval(host=entry.host, incarnation=entry.incarnation, sequence=entry.sequence)
