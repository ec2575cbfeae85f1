"""Probes paths to hosts that may be unreachable, independently of the targets on them."""

import anyio
import msgspec

from samphirespring.connection.link_pool import LinkPool
from samphirespring.connection.path_link import PING, Ping
from samphirespring.process.errors import SamphireError
from samphirespring.process.ids import HostId
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import Mailbox
from samphirespring.process.metrics.metric_names import Counter
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.paging import (
    DumpList,
    DumpPage,
    EntryKey,
    PagedList,
    PageRequest,
    make_single_part_list,
)
from samphirespring.process.target_table_messages import ProbePath, TableMessage, UpdatePath
from samphirespring.process.tasks import OwnerTask, PagedDump
from samphirespring.process.timers import TimerService

PING_TIMEOUT_S = 0.5
REPROBE_INTERVAL_S = 0.5
MAX_FAILURES = 240
"""Number of failed probes after which live requests may try the path again."""

_log = EventLog()


class _Probe(msgspec.Struct, kw_only=True):
    failure_count: int = 0


class ProbeDump(msgspec.Struct, frozen=True, kw_only=True):
    """Probes of one host that may be unreachable."""

    host: HostId
    failure_count: int
    """Number of probes without a reply."""


class PathProberDump(PagedDump, frozen=True, kw_only=True):
    """State of the path prober."""

    probing: tuple[ProbeDump, ...]


class PathProber(OwnerTask):
    """Pings hosts that may be unreachable over the link until one ping succeeds.

    A ping fails if either direction of the path is cut. The results are used by this front only.

    Args:
        inbox: Requests for probes from the target table.
        table: Inbox of the target table.
        links: Links to the hosts.
        timers: The timer service.
        metrics: Receives counters and durations.
    """

    def __init__(
        self,
        *,
        inbox: Mailbox[ProbePath],
        table: Mailbox[TableMessage],
        links: LinkPool,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self._inbox = inbox
        self._table = table
        self._links = links
        self._timers = timers
        self._metrics = metrics
        self._probes: dict[HostId, _Probe] = {}

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "path_prober"

    async def run(self) -> None:
        """Probe until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                message = await self._inbox.receive()
                if message.host not in self._probes:
                    self._probes[message.host] = _Probe()
                    group.start_soon(self._probe, message)

    async def dump(self) -> PathProberDump:
        """Return the prober's state."""
        probing = self._list_probing().read_page()
        return PathProberDump(probing=probing.items, pages=(probing.info,))

    async def dump_page(self, request: PageRequest) -> DumpPage[object]:
        """Return one page of the hosts that are being probed."""
        if request.list is DumpList.PROBING:
            return self._list_probing().read_page(request.cursor)
        return await super().dump_page(request)

    def _list_probing(self) -> PagedList[ProbeDump]:
        keys = [EntryKey(host) for host in self._probes]
        return make_single_part_list(
            DumpList.PROBING, keys, lambda key: self._make_probe_dump(HostId(key))
        )

    def _make_probe_dump(self, host: HostId) -> ProbeDump:
        return ProbeDump(host=host, failure_count=self._probes[host].failure_count)

    async def _probe(self, message: ProbePath) -> None:
        probe = self._probes[message.host]
        while not await self._ping(message.link_address):
            probe.failure_count += 1
            if probe.failure_count == 1:
                _log.info(LogEvent.PATH_LOST, host=message.host)
                self._metrics.count(Counter.FRONT_PATHS_LOST)
                self._table.post_always(UpdatePath(host=message.host, reached=False))
            if probe.failure_count >= MAX_FAILURES:
                break
            await self._timers.wait_for(REPROBE_INTERVAL_S)
        if probe.failure_count:
            _log.info(LogEvent.PATH_FOUND, host=message.host, failures=probe.failure_count)
            self._table.post_always(UpdatePath(host=message.host, reached=True))
        del self._probes[message.host]

    async def _ping(self, address: str) -> bool:
        try:
            with self._links.use(address) as link:
                await link.call(PING, Ping(), timeout_s=PING_TIMEOUT_S)
        except SamphireError:
            return False
        return True
