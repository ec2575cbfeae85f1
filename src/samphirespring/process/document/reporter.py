"""Reports the versions in force to the sources, summed over the hosts below."""

from samphirespring.connection.document_link import REPORT_IN_FORCE
from samphirespring.connection.link_pool import LinkPool
from samphirespring.process.document.follower import DocumentFollower
from samphirespring.process.document.in_force import InForceReport, VersionCount, sum_counts
from samphirespring.process.document.sources import SourceKind
from samphirespring.process.document.store import DocumentStore
from samphirespring.process.errors import SamphireError
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.targets import Locality
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService

CHECK_INTERVAL_S = 1.0
"""Time between two checks for changes, in seconds."""

RELAY_INTERVAL_S = 4.0
"""Shortest time between two reports to the control hosts, in seconds: hosts put a version in force
one after the other, and each control host receives each report."""

RENEW_INTERVAL_S = 10.0
"""Time between two reports while nothing changes, in seconds."""

CALL_TIMEOUT_S = 2.0

_log = EventLog()


class InForceReporterDump(StateDump, frozen=True, kw_only=True):
    """State of the reporter."""

    reported_to: tuple[str, ...]
    counts: tuple[VersionCount, ...]


class InForceReporter(OwnerTask):
    """Sends a report when it changes, and periodically to renew it.

    Args:
        locality: Region and failure domain of the own host.
        store: Holds the reports of the hosts below.
        follower: Has the own version and its sources.
        links: Links to control hosts and peers.
        timers: The timer service.
    """

    def __init__(
        self,
        *,
        locality: Locality,
        store: DocumentStore,
        follower: DocumentFollower,
        links: LinkPool,
        timers: TimerService,
    ) -> None:
        self._locality = locality
        self._store = store
        self._follower = follower
        self._links = links
        self._timers = timers
        self._reported_to: tuple[str, ...] = ()
        self._reported: tuple[VersionCount, ...] = ()
        self._due_at_s = 0.0
        self._relay_due_at_s = 0.0

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "in_force_reporter"

    async def run(self) -> None:
        """Check at each tick until cancelled."""
        async for tick in self._timers.subscribe(interval_s=CHECK_INTERVAL_S):
            await self._report_if_due(tick.now_s)

    async def dump(self) -> InForceReporterDump:
        """Return the reporter's state."""
        return InForceReporterDump(reported_to=self._reported_to, counts=self._reported)

    async def _report_if_due(self, now_s: float) -> None:
        state = await self._follower.dump()
        if state.source_kind is None:
            return
        # Control hosts don't share reports, so that each relay reports to all of them.
        is_relay = state.source_kind is SourceKind.CONTROL
        addresses = state.sources if is_relay else state.sources[:1]
        below = await self._store.read_reports()
        own = VersionCount(stamp=state.stamp, hosts=1)
        counts = sum_counts((own, *(count for report in below for count in report.counts)))
        if (addresses, counts) == (self._reported_to, self._reported) and now_s < self._due_at_s:
            return
        if is_relay and now_s < self._relay_due_at_s:
            return
        for address in self._reported_to:
            if address not in addresses:
                await self._send(address, ())
        for address in addresses:
            await self._send(address, counts)
        self._reported_to = addresses
        self._reported = counts
        self._due_at_s = now_s + RENEW_INTERVAL_S
        self._relay_due_at_s = now_s + RELAY_INTERVAL_S

    async def _send(self, address: str, counts: tuple[VersionCount, ...]) -> None:
        report = InForceReport(
            region=self._locality.region,
            failure_domain=self._locality.failure_domain,
            host=self._locality.host,
            counts=counts,
        )
        try:
            with self._links.use(address) as link:
                await link.call(REPORT_IN_FORCE, report, timeout_s=CALL_TIMEOUT_S)
        except SamphireError as error:
            _log.debug(LogEvent.IN_FORCE_REPORT_FAILED, peer=address, code=error.code.value)
