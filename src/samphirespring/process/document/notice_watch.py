"""Watches control hosts directly for new versions, in addition to the node's sources."""

from collections.abc import Sequence

import anyio

from samphirespring.connection.document_link import WATCH_DOCUMENT, DocumentNotice, WatchDocument
from samphirespring.connection.link_pool import LinkPool
from samphirespring.process.document.version_hint import VersionHint
from samphirespring.process.errors import SamphireError
from samphirespring.process.ids import HostId
from samphirespring.process.latest import HighestValue
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.rendezvous import hash_pair
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.version.stamp import NO_STAMP, DocumentStamp

WATCHED_HOSTS = 2
"""Control hosts that are watched at the same time: one may hang or lag without being noticed."""

WAIT_S = 30.0
"""Longest wait for a notice, in seconds; a broken connection is detected sooner."""

REPLY_MARGIN_S = 1.0
"""Additional time for a control host to reply after the requested wait, in seconds."""

FAILURE_PENALTY_S = 3.0
"""Time for which a failed control host is watched only if no other is free, in seconds."""

RETRY_DELAY_S = 0.25
"""Delay after a failure, or a notice of no newer version, before the next request, in seconds."""

_log = EventLog()


class NoticeWatchDump(StateDump, frozen=True, kw_only=True):
    """State of the notice watch."""

    stamp: DocumentStamp
    watched: tuple[str, ...]


class NoticeWatch(OwnerTask):
    """Keeps a request for a notice of a newer version open at a few control hosts.

    The relays above a node may be cut off from the control hosts while the node isn't. Notices are
    small; the version itself still comes from the sources, unless they don't deliver it in time.

    Args:
        own_host: The own host; its name sets the order of the control hosts, so that the nodes
            spread over them.
        control: Link addresses of the control hosts; read at each choice.
        links: Links to the control hosts.
        hints: Receives the new versions.
        timers: The timer service.
    """

    def __init__(
        self,
        *,
        own_host: HostId,
        control: Sequence[str],
        links: LinkPool,
        hints: HighestValue[VersionHint],
        timers: TimerService,
    ) -> None:
        self._own_host = own_host
        self._control_addresses = control
        self._links = links
        self._hints = hints
        self._timers = timers
        self._stamp = NO_STAMP
        self._watched: set[str] = set()
        self._penalized_until_s: dict[str, float] = {}

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "notice_watch"

    async def run(self) -> None:
        """Watch until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(WATCHED_HOSTS):
                group.start_soon(self._watch_repeatedly)

    async def dump(self) -> NoticeWatchDump:
        """Return the watch's state."""
        return NoticeWatchDump(stamp=self._stamp, watched=tuple(sorted(self._watched)))

    async def _watch_repeatedly(self) -> None:
        while True:
            address = self._choose()
            notice = None if address is None else await self._watch(address)
            if address is None or notice is None or notice.stamp <= self._stamp:
                await self._timers.wait_for(RETRY_DELAY_S)
            else:
                self._stamp = notice.stamp
                self._hints.post(VersionHint(notice.stamp, address))

    def _choose(self) -> str | None:
        """Return the preferred control host that isn't watched yet; failed ones come last."""
        now_s = self._timers.read_now_s()
        free = [address for address in self._control_addresses if address not in self._watched]
        return min(free, key=lambda address: self._rank(address, now_s=now_s), default=None)

    def _rank(self, address: str, *, now_s: float) -> tuple[float, int]:
        penalty_s = max(0.0, self._penalized_until_s.get(address, 0.0) - now_s)
        return (penalty_s, hash_pair(self._own_host, address))

    async def _watch(self, address: str) -> DocumentNotice | None:
        request = WatchDocument(known=self._stamp, wait_s=WAIT_S)
        timeout_s = WAIT_S + REPLY_MARGIN_S
        self._watched.add(address)
        try:
            with self._links.use(address) as link:
                return await link.call(WATCH_DOCUMENT, request, timeout_s=timeout_s)
        except SamphireError as error:
            _log.debug(LogEvent.CONTROL_CALL_FAILED, address=address, code=error.code.value)
            self._penalized_until_s[address] = self._timers.read_now_s() + FAILURE_PENALTY_S
            return None
        finally:
            self._watched.remove(address)
