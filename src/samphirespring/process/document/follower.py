"""Follows the newest version of the document on a node."""

import random

import anyio

from samphirespring.connection.document_link import (
    FETCH_DELTA,
    WATCH_DOCUMENT,
    DocumentNotice,
    FetchDelta,
    WatchDocument,
)
from samphirespring.connection.link_pool import LinkPool
from samphirespring.process.agent.agent_messages import AgentMessage, UsePolicies
from samphirespring.process.control_client import ControlClient
from samphirespring.process.document.compiler import DocumentCompiler
from samphirespring.process.document.relay_tree import Peer
from samphirespring.process.document.saver import DocumentSaver
from samphirespring.process.document.sources import (
    ReceivedNotice,
    SourceChooser,
    SourceKind,
    Sources,
    choose_notice,
)
from samphirespring.process.document.steps import run_steps
from samphirespring.process.document.store import DocumentStore, RecordSourceContact
from samphirespring.process.document.version_hint import VersionHint
from samphirespring.process.errors import SamphireError
from samphirespring.process.front import FrontMessage, UseDocument
from samphirespring.process.ids import FailureDomainName
from samphirespring.process.keys.keeper import UseKeys
from samphirespring.process.latest import HighestValue
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import Mailbox, ask_always
from samphirespring.process.metrics.metric_names import Counter, Gauge
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.target_table_messages import ReadPeers, TableMessage
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.version.section_set import DocumentDelta, SectionSet
from samphirespring.version.stamp import DocumentStamp

REPLY_MARGIN_S = 2.0
"""Additional time for a source to reply after the requested wait, in seconds."""

PEER_WAIT_S = 1.0
"""Longest wait for a notice from peers, in seconds; they may be as outdated as the own host."""

FETCH_TIMEOUT_S = 10.0
HINT_DELAY_S = 0.25
"""Delay before a hinted version that the sources don't deliver is fetched directly, in seconds."""

HINT_FETCH_TIMEOUT_S = 1.0
"""Timeout of a fetch from the control host that a hint names, in seconds."""

RETRY_DELAY_S = 1.0
"""Delay before the next try after a failure, in seconds.

The delay after a failure of all sources is jittered by up to half.
"""

NO_PROGRESS_DELAY_S = 0.2
"""Delay after a round that brought no version, in seconds: sources may answer at once."""

_log = EventLog()


class DocumentFollowerDump(StateDump, frozen=True, kw_only=True):
    """State of the document follower."""

    stamp: DocumentStamp
    source_kind: SourceKind | None
    sources: tuple[str, ...]


class DocumentFollower(OwnerTask):
    """Watches its sources and passes each higher version to the front and the agent.

    Args:
        store: Serves the fetched versions to peers.
        saver: Saves the last document on disk.
        compiler: Compiles the changed sections.
        chooser: Chooses the sources to watch.
        domain: Failure domain of the own host.
        links: Links to control hosts and peers.
        front: Inbox of the front.
        agent: Inbox of the agent.
        table: Inbox of the target table, which holds the peers.
        timers: The timer service.
        metrics: Receives counters and gauges.
        wait_s: Longest wait for a notice, in seconds.
        source_random: Jitters retries.
        control: Client of the control hosts, used if the sources don't deliver a hinted version;
            None ignores hints.
        keys: Inbox of the key keeper; None on hosts that run no requests.
    """

    def __init__(
        self,
        *,
        store: DocumentStore,
        saver: DocumentSaver,
        compiler: DocumentCompiler,
        chooser: SourceChooser,
        domain: FailureDomainName,
        links: LinkPool,
        front: Mailbox[FrontMessage],
        agent: Mailbox[AgentMessage],
        table: Mailbox[TableMessage],
        timers: TimerService,
        metrics: Metrics,
        wait_s: float,
        source_random: random.Random,
        control: ControlClient | None = None,
        keys: Mailbox[UseKeys] | None = None,
    ) -> None:
        self.hints: HighestValue[VersionHint] = HighestValue()
        """Versions that exist according to control hosts and peers."""

        self._control_client = control
        self._keys = keys
        self._apply_lock = anyio.Lock()
        self._store = store
        self._saver = saver
        self._compiler = compiler
        self._chooser = chooser
        self._domain = domain
        self._links = links
        self._front = front
        self._agent = agent
        self._table = table
        self._timers = timers
        self._metrics = metrics
        self._wait_s = wait_s
        self._random = source_random
        self._sections = SectionSet()
        self._sources: Sources | None = None

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "document_follower"

    async def run(self) -> None:
        """Put the saved document in force, then follow the sources until cancelled."""
        await self._apply_saved()
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_hints)
            while True:
                await self._follow_once()

    async def dump(self) -> DocumentFollowerDump:
        """Return the follower's state."""
        sources = self._sources
        return DocumentFollowerDump(
            stamp=self._sections.stamp,
            source_kind=None if sources is None else sources.kind,
            sources=() if sources is None else sources.addresses,
        )

    async def _apply_saved(self) -> None:
        saved = await self._saver.load()
        if saved is None:
            return
        try:
            await self._put_in_force(saved)
        except SamphireError as error:
            _log.error(LogEvent.DOCUMENT_FILE_INVALID, detail=error.detail)

    async def _follow_once(self) -> None:
        stamp_before = self._sections.stamp
        peers: tuple[Peer, ...] = await ask_always(
            self._table, lambda reply: ReadPeers(domain=self._domain, reply=reply)
        )
        self._sources = self._chooser.choose(peers, now_s=self._timers.read_now_s())
        received = await self._wait_for_notice(self._sources)
        if received is None:
            self._metrics.count(Counter.DOCUMENT_SOURCES_FAILED)
            await self._timers.wait_for(RETRY_DELAY_S * (0.5 + self._random.random()))
            return
        if received.notice.stamp > self._sections.stamp:
            await self._fetch(received.address)
        if self._sections.stamp == stamp_before:
            await self._timers.wait_for(NO_PROGRESS_DELAY_S)

    async def _follow_hints(self) -> None:
        """Fetch hinted versions from the control hosts if the sources don't deliver them."""
        if self._control_client is None:
            return
        while True:
            hint = await self.hints.receive()
            await self._timers.wait_for(HINT_DELAY_S)
            while hint.stamp > self._sections.stamp:
                try:
                    await self._apply_delta(await self._fetch_hinted(hint, self._control_client))
                except SamphireError as error:
                    _log.info(LogEvent.DOCUMENT_HINT_NOT_FOLLOWED, code=error.code.value)
                if hint.stamp > self._sections.stamp:
                    await self._timers.wait_for(RETRY_DELAY_S)
                    hint = self.hints.receive_nowait(hint)

    async def _fetch_hinted(self, hint: VersionHint, control: ControlClient) -> DocumentDelta:
        if hint.address:
            try:
                return await self._fetch_from(hint.address, timeout_s=HINT_FETCH_TIMEOUT_S)
            except SamphireError as error:
                self._record_failure(hint.address, error)
                control.record_failure(hint.address)
        return await control.call(FETCH_DELTA, self._make_fetch_request())

    async def _fetch_from(self, address: str, *, timeout_s: float) -> DocumentDelta:
        with self._links.use(address) as link:
            return await link.call(FETCH_DELTA, self._make_fetch_request(), timeout_s=timeout_s)

    def _make_fetch_request(self) -> FetchDelta:
        return FetchDelta(known=self._sections.stamp)

    async def _apply_delta(self, delta: DocumentDelta) -> None:
        async with self._apply_lock:
            await self._put_in_force(await run_steps(self._sections.apply_delta_steps(delta)))

    async def _wait_for_notice(self, sources: Sources) -> ReceivedNotice | None:
        """Watch all sources until one has a higher version or all replied; None if all failed."""
        received: list[ReceivedNotice] = []
        async with anyio.create_task_group() as group:

            async def watch(address: str) -> None:
                notice = await self._watch(address, kind=sources.kind)
                if notice is None:
                    return
                received.append(ReceivedNotice(address=address, notice=notice))
                if notice.stamp > self._sections.stamp:
                    group.cancel_scope.cancel()

            for address in sources.addresses:
                group.start_soon(watch, address)
        return choose_notice(received)

    async def _watch(self, address: str, *, kind: SourceKind) -> DocumentNotice | None:
        wait_s = PEER_WAIT_S if kind is SourceKind.PEER else self._wait_s
        request = WatchDocument(known=self._sections.stamp, wait_s=wait_s)
        try:
            with self._links.use(address) as link:
                notice = await link.call(WATCH_DOCUMENT, request, timeout_s=wait_s + REPLY_MARGIN_S)
        except SamphireError as error:
            self._record_failure(address, error)
            return None
        now_s = self._timers.read_now_s()
        self._chooser.record_notice(address, kind=kind, age_s=notice.age_s, now_s=now_s)
        self._store.inbox.post_always(RecordSourceContact(age_s=notice.age_s))
        return notice

    async def _fetch(self, address: str) -> None:
        try:
            await self._apply_delta(await self._fetch_from(address, timeout_s=FETCH_TIMEOUT_S))
        except SamphireError as error:
            self._record_failure(address, error)

    async def _put_in_force(self, sections: SectionSet) -> None:
        if sections.stamp <= self._sections.stamp:
            return
        # Peers can fetch the version while this node is still compiling it.
        self._store.newest.post(sections)
        compiled = await self._compiler.compile(sections)
        if self._keys is not None:
            # First, so that the host never refuses a key that its front already takes.
            self._keys.post_always(UseKeys(compiled=compiled))
        self._front.post_always(UseDocument(compiled=compiled))
        self._agent.post_always(UsePolicies(version=compiled.version, services=compiled.services))
        self._sections = sections
        self._saver.newest.post(sections)
        self._metrics.set_gauge(Gauge.DOCUMENT_VERSION, value=sections.stamp.version)
        _log.info(LogEvent.DOCUMENT_IN_FORCE, version=sections.stamp.version)

    def _record_failure(self, address: str, error: SamphireError) -> None:
        _log.info(LogEvent.DOCUMENT_SOURCE_FAILED, source=address, code=error.code.value)
        self._metrics.count(Counter.DOCUMENT_SOURCE_FAILED)
        self._chooser.record_failure(address, now_s=self._timers.read_now_s())
