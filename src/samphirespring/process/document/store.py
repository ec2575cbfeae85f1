"""Holds the newest sections of a process and serves them to its peers."""

from collections.abc import Callable
from functools import partial

import anyio
import msgspec

from samphirespring.connection.document_link import (
    DocumentNotice,
    FetchDelta,
    ReportReceipt,
    WatchDocument,
)
from samphirespring.process.document.in_force import (
    InForceReport,
    InForceTally,
)
from samphirespring.process.latest import LatestValue
from samphirespring.process.mailbox import Mailbox, ReplySlot, ask
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.version.section_set import DocumentDelta, SectionSet
from samphirespring.version.stamp import DocumentStamp

INBOX_CAPACITY = 10_000
MAX_WATCHERS = 10_000
MAX_WAIT_S = 60.0
EXPIRY_INTERVAL_S = 1.0
NO_CONTACT_AGE_S = 1e9
"""Age that a process reports if it had no contact with a leader since its start, in seconds."""


class RequestNotice(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a notice of a higher version."""

    request: WatchDocument
    reply: ReplySlot[DocumentNotice]


class RequestDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the changes since a version."""

    request: FetchDelta
    reply: ReplySlot[DocumentDelta]


class RecordInForceReport(msgspec.Struct, frozen=True, kw_only=True):
    """Delivers the report of a host below."""

    report: InForceReport


class RecordSourceContact(msgspec.Struct, frozen=True, kw_only=True):
    """Reports that a source replied.

    Attributes:
        age_s: Time since the source's last contact with a leader of the control hosts, in seconds.
    """

    age_s: float


class ReadReports(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the reports of the hosts below."""

    reply: ReplySlot[tuple[InForceReport, ...]]


class ReadStoreDump(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the store's state."""

    reply: ReplySlot["DocumentKeeperDump"]


StoreMessage = (
    RequestNotice
    | RequestDelta
    | RecordInForceReport
    | RecordSourceContact
    | ReadReports
    | ReadStoreDump
)


class DocumentKeeperDump(StateDump, frozen=True, kw_only=True):
    """State of the document store, whose task is named `document_keeper` in dumps."""

    stamp: DocumentStamp
    sections: int
    watchers: int
    reporting_hosts: int
    control_heard_age_s: float
    """Time since the last contact with a leader of the control hosts, direct or not, in seconds."""


class _Watcher(msgspec.Struct, frozen=True, kw_only=True):
    known: DocumentStamp
    reply: ReplySlot[DocumentNotice]
    due_at_s: float


class DocumentStore(OwnerTask):
    """Owns the newest sections of a process, their watchers, and the reports of the hosts below.

    Args:
        timers: The timer service.
    """

    def __init__(self, *, timers: TimerService) -> None:
        self.inbox: Mailbox[StoreMessage] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self.newest: LatestValue[SectionSet] = LatestValue()
        self._timers = timers
        self._sections = SectionSet()
        self._watchers: list[_Watcher] = []
        self._tally = InForceTally()
        self._last_contact_at_s: float | None = None

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "document_keeper"

    @property
    def stamp(self) -> DocumentStamp:
        """Version of the newest sections."""
        return self._sections.stamp

    async def run(self) -> None:
        """Serve messages, new versions and ticks until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._receive_versions)
            group.start_soon(self._expire)
            while True:
                self._handle(await self.inbox.receive())

    async def dump(self) -> DocumentKeeperDump:
        """Return the store's state."""
        return await ask(self.inbox, lambda reply: ReadStoreDump(reply=reply))

    async def watch(self, request: WatchDocument) -> DocumentNotice:
        """Return a notice once there is a version higher than the requester's, or after the wait.

        Args:
            request: The requester's version and the longest wait.
        """
        return await ask(self.inbox, lambda reply: RequestNotice(request=request, reply=reply))

    async def fetch(self, request: FetchDelta) -> DocumentDelta:
        """Return the changes since the requester's version.

        Args:
            request: The requester's version.
        """
        return await ask(self.inbox, lambda reply: RequestDelta(request=request, reply=reply))

    async def record_report(self, report: InForceReport) -> ReportReceipt:
        """Record the report of a host below.

        Args:
            report: The report.
        """
        self.inbox.post(RecordInForceReport(report=report))
        return ReportReceipt()

    async def read_reports(self) -> tuple[InForceReport, ...]:
        """Return the reports of the hosts below."""
        return await ask(self.inbox, lambda reply: ReadReports(reply=reply))

    def _handle(self, message: StoreMessage) -> None:
        match message:
            case RequestNotice():
                self._watch(message)
            case RequestDelta():
                message.reply.send(self._sections.make_delta(message.request.known))
            case RecordInForceReport():
                self._tally.record(message.report, now_s=self._timers.read_now_s())
            case RecordSourceContact():
                self._record_contact(self._timers.read_now_s() - message.age_s)
            case ReadReports():
                message.reply.send(self._tally.read_reports())
            case ReadStoreDump():
                message.reply.send(self._make_dump())

    def _record_contact(self, contact_at_s: float) -> None:
        # The most recent contact of all sources counts.
        if self._last_contact_at_s is None or contact_at_s > self._last_contact_at_s:
            self._last_contact_at_s = contact_at_s

    def _watch(self, message: RequestNotice) -> None:
        if self._sections.stamp > message.request.known:
            message.reply.send(self._make_notice())
            return
        if len(self._watchers) >= MAX_WATCHERS:
            self._watchers.pop(0).reply.send(self._make_notice())
        wait_s = min(max(message.request.wait_s, 0.0), MAX_WAIT_S)
        due_at_s = self._timers.read_now_s() + wait_s
        self._watchers.append(
            _Watcher(known=message.request.known, reply=message.reply, due_at_s=due_at_s)
        )

    async def _receive_versions(self) -> None:
        while True:
            sections = await self.newest.receive()
            if sections.stamp <= self._sections.stamp:
                continue
            self._sections = sections
            self._notify_watchers(partial(_is_behind, stamp=sections.stamp))

    async def _expire(self) -> None:
        async for tick in self._timers.subscribe(interval_s=EXPIRY_INTERVAL_S):
            self._tally.expire(now_s=tick.now_s)
            self._notify_watchers(partial(_is_due, now_s=tick.now_s))

    def _notify_watchers(self, is_due: Callable[[_Watcher], bool]) -> None:
        notice = self._make_notice()
        waiting: list[_Watcher] = []
        for watcher in self._watchers:
            if is_due(watcher):
                watcher.reply.send(notice)
            else:
                waiting.append(watcher)
        self._watchers = waiting

    def _make_notice(self) -> DocumentNotice:
        return DocumentNotice(stamp=self._sections.stamp, age_s=self._read_age_s())

    def _read_age_s(self) -> float:
        if self._last_contact_at_s is None:
            return NO_CONTACT_AGE_S
        return self._timers.read_now_s() - self._last_contact_at_s

    def _make_dump(self) -> DocumentKeeperDump:
        return DocumentKeeperDump(
            stamp=self._sections.stamp,
            sections=len(self._sections.sections),
            watchers=len(self._watchers),
            reporting_hosts=len(self._tally.read_reports()),
            control_heard_age_s=self._read_age_s(),
        )


def _is_due(watcher: _Watcher, *, now_s: float) -> bool:
    return watcher.due_at_s <= now_s


def _is_behind(watcher: _Watcher, *, stamp: DocumentStamp) -> bool:
    return watcher.known < stamp
