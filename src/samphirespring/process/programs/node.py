"""`samphire-node`: front and agent of one host."""

import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Annotated

import anyio
import typer

from samphirespring.connection.attempt_link import RUN_ATTEMPT, LinkAttemptSender
from samphirespring.connection.backend_dialect import BackendDialect, SamphireDialect
from samphirespring.connection.caller_http import CallerApp
from samphirespring.connection.document_link import (
    FETCH_DELTA,
    REPORT_IN_FORCE,
    WATCH_DOCUMENT,
)
from samphirespring.connection.fence_link import LinkAttemptFencer
from samphirespring.connection.health_probe import HttpHealthProbe
from samphirespring.connection.http_server import ConnectionBounds, HttpServer, serve_http
from samphirespring.connection.ledger_link import FENCE_ATTEMPT
from samphirespring.connection.link_pool import LinkPool
from samphirespring.connection.link_server import (
    LinkHandler,
    StreamHandler,
    UnaryHandler,
    serve_link,
)
from samphirespring.connection.local_attempts import LocalFirstSender
from samphirespring.connection.local_http import LocalApp
from samphirespring.connection.metrics_http import serve_metrics
from samphirespring.connection.operation_link import DRAIN, DUMP
from samphirespring.connection.path_link import PING, handle_ping
from samphirespring.connection.registry_link import REPORT_HOSTS
from samphirespring.process.action_guard import ActionGuard
from samphirespring.process.action_runner import ActionRunner
from samphirespring.process.agent import Agent
from samphirespring.process.agent_messages import DrainHost
from samphirespring.process.attempt_runner import AttemptRunner
from samphirespring.process.control_client import ControlClient
from samphirespring.process.control_directory import ControlDirectory
from samphirespring.process.document.compiler import DocumentCompiler
from samphirespring.process.document.file import DocumentFile
from samphirespring.process.document.follower import DocumentFollower
from samphirespring.process.document.notice_watch import NoticeWatch
from samphirespring.process.document.reporter import InForceReporter
from samphirespring.process.document.saver import DocumentSaver
from samphirespring.process.document.sources import SourceChooser
from samphirespring.process.document.store import DocumentStore
from samphirespring.process.event_log import EventLog
from samphirespring.process.front import Front
from samphirespring.process.ledger.client import LedgerClient
from samphirespring.process.log_events import LogEvent
from samphirespring.process.logs import configure_logs
from samphirespring.process.metrics import make_metrics
from samphirespring.process.node_operations import NodeOperations
from samphirespring.process.node_readiness import NodeReadiness
from samphirespring.process.path_prober import PathProber
from samphirespring.process.programs.edges import NodeEdge, NodeParts
from samphirespring.process.registry.initial_table import InitialTableSearch
from samphirespring.process.registry.report_sender import TreeReportSender
from samphirespring.process.registry_client import RegistryClient
from samphirespring.process.runtime import (
    load_settings_or_exit,
    run_program,
    run_tasks,
    watch_stop_signals,
)
from samphirespring.process.settings import (
    CallerLimits,
    NodeSettings,
    SettingsInvalidError,
    exit_on_invalid_settings,
    load_settings,
)
from samphirespring.process.settings_watch import (
    SeedConsumer,
    SeedReader,
    WatchedFile,
    make_settings_watch,
)
from samphirespring.process.target_prober import TargetProber
from samphirespring.process.target_table import TargetTable
from samphirespring.process.targets import Locality
from samphirespring.process.tasks import OwnerTask
from samphirespring.process.timers import MonotonicTimerService
from samphirespring.process.tls_reloader import TlsContextStore, TlsReloader
from samphirespring.process.traffic_limiter import TrafficLimiter
from samphirespring.request.action_exchange import ActionContext
from samphirespring.request.context import ExchangeContext
from samphirespring.request.selection import NearestOfTwoSelector
from samphirespring.version.routes import CompiledDocument

LINK_CAPACITY = 4_000
DRAIN_POLL_S = 0.05

_log = EventLog()


class SamphireNodeEdge(NodeEdge):
    """The project's own protocols.

    Args:
        settings: The node's settings.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings

    def make_dialect(self) -> BackendDialect:
        """Return the project's own headers and refusals."""
        return SamphireDialect()

    def make_caller_app(self, parts: NodeParts) -> CallerApp:
        """Return the ASGI application for callers."""
        return CallerApp(parts.front, self._settings.limits)

    @asynccontextmanager
    async def serve_local(self, parts: NodeParts) -> AsyncIterator[None]:
        """Serve announcements, readiness and the dump."""
        app = LocalApp(parts.agent, parts.tasks, parts.front).make_app()
        async with serve_http(app, address=self._settings.local_listen):
            yield


class Node(SeedConsumer):
    """Composes the tasks of one node.

    Args:
        settings: The node's settings.
        edge: The protocols around it; None takes the project's own.
        file: The settings file, whose seeds are followed; None follows none.
    """

    def __init__(
        self,
        settings: NodeSettings,
        edge: NodeEdge | None = None,
        *,
        file: WatchedFile | None = None,
    ) -> None:
        self._settings = settings
        self._edge = edge or SamphireNodeEdge(settings)
        self._timers = MonotonicTimerService()
        locality = Locality(
            region=settings.locality.region,
            failure_domain=settings.locality.failure_domain,
            host=settings.locality.host,
        )
        generator = random.Random()
        self._metrics = metrics = make_metrics(
            settings.statsd,
            as_text=settings.metrics_listen is not None,
            timers=self._timers,
            generator=generator,
        )
        store = TlsContextStore()
        self._link_tls = store.make_server(settings.link_tls, mutual=True)
        self._caller_tls = store.make_server(settings.caller_tls, mutual=False)
        self._links = LinkPool(
            capacity=LINK_CAPACITY, tls=store.make_client(settings.link_tls), metrics=metrics
        )
        self._directory = directory = ControlDirectory(settings.control_links)
        control = ControlClient(self._links, directory)
        link_address = settings.link_advertised or settings.link_listen
        self._agent = Agent(
            locality=locality,
            link_address=link_address,
            lease_s=settings.announcement_lease_s,
            timers=self._timers,
            metrics=metrics,
        )
        self._guard = ActionGuard(incarnation=self._agent.incarnation, timers=self._timers)
        self._runner = AttemptRunner(
            agent=self._agent.inbox,
            guard=self._guard.inbox,
            timers=self._timers,
            dialect=self._edge.make_dialect(),
        )
        target_prober = TargetProber(
            HttpHealthProbe(),
            agent=self._agent.inbox,
            timers=self._timers,
            metrics=metrics,
            generator=generator,
        )
        traffic = TrafficLimiter(timers=self._timers, generator=generator)
        table = TargetTable(
            NearestOfTwoSelector(generator),
            here=locality,
            timers=self._timers,
            generator=generator,
            traffic=traffic.inbox,
        )
        prober = PathProber(
            inbox=table.probes,
            table=table.inbox,
            links=self._links,
            timers=self._timers,
            metrics=metrics,
        )
        exchanges = ExchangeContext(
            sender=LocalFirstSender(
                own_address=link_address,
                handle=self._runner.handle_attempt,
                remote=LinkAttemptSender(self._links),
            ),
            table=table.inbox,
            traffic=traffic.inbox,
            timers=self._timers,
            metrics=metrics,
            generator=generator,
            replay_buffer_bytes=settings.limits.replay_buffer_bytes,
        )
        ledger = LedgerClient(self._links, directory)
        actions = ActionRunner(ledger=ledger, timers=self._timers, metrics=metrics)
        self._front = Front(
            exchanges,
            actions=ActionContext(
                exchange=exchanges, ledger=ledger, fencer=LinkAttemptFencer(self._links)
            ),
            runner=actions,
        )
        self._store = DocumentStore(timers=self._timers)
        saver = DocumentSaver(
            file=_make_file(settings.data_folder), timers=self._timers, metrics=metrics
        )
        follower = DocumentFollower(
            store=self._store,
            saver=saver,
            compiler=DocumentCompiler(),
            chooser=SourceChooser(
                domain=locality.failure_domain,
                own=locality.host,
                control=directory,
                seeds=settings.peer_links,
            ),
            domain=locality.failure_domain,
            links=self._links,
            front=self._front.inbox,
            agent=self._agent.inbox,
            table=table.inbox,
            timers=self._timers,
            metrics=metrics,
            wait_s=settings.document_wait_s,
            source_random=generator,
            control=control,
        )
        self._registry = RegistryClient(
            sender=TreeReportSender(
                domain=locality.failure_domain,
                own=locality.host,
                search=InitialTableSearch(own_address=link_address, seeds=settings.peer_links),
                chooser=SourceChooser(
                    domain=locality.failure_domain,
                    own=locality.host,
                    control=directory,
                    seeds=(),
                    chained=True,
                ),
                control=control,
                links=self._links,
                table=table.inbox,
                timers=self._timers,
            ),
            agent=self._agent.inbox,
            table=table.inbox,
            timers=self._timers,
            interval_s=settings.report_interval_s,
            directory=directory,
            hints=follower.hints,
        )
        notices = NoticeWatch(
            own=locality.host,
            control=directory,
            links=self._links,
            hints=follower.hints,
            timers=self._timers,
        )
        reporter = InForceReporter(
            locality=locality,
            store=self._store,
            follower=follower,
            links=self._links,
            timers=self._timers,
        )
        self._tasks: tuple[OwnerTask, ...] = (
            metrics,
            self._agent,
            self._runner,
            self._guard,
            target_prober,
            table,
            prober,
            traffic,
            self._front,
            actions,
            self._registry,
            self._store,
            saver,
            follower,
            notices,
            reporter,
            TlsReloader(contexts=store.contexts, timers=self._timers, metrics=metrics),
            *make_settings_watch(file, consumer=self, timers=self._timers),
        )
        self._operations = NodeOperations(agent=self._agent.inbox, tasks=self._tasks)
        self._parts = NodeParts(
            front=self._front,
            agent=self._agent.inbox,
            tasks=self._tasks,
            readiness=NodeReadiness(
                has_document=lambda: self._front.read_document() is not None,
                has_table=lambda: self._registry.has_table,
            ),
        )

    def use_seeds(self, seeds: Sequence[str]) -> None:
        """Look for the control hosts at these addresses from now on, too."""
        self._directory.use_seeds(seeds)

    async def run(self) -> None:
        """Serve until a stop is asked for, then drain."""
        try:
            async with (
                watch_stop_signals() as stop,
                run_tasks(self._tasks),
                serve_metrics(self._metrics, address=self._settings.metrics_listen),
                self._serve_links(),
                self._edge.serve_local(self._parts),
            ):
                async with self._serve_callers() as callers:
                    _log.info(LogEvent.NODE_STARTED, host=self._settings.locality.host)
                    await stop.wait()
                    self._parts.readiness.mark_stopping()
                    callers.begin_drain()
                    await self._refuse_new_work()
                await self._wait_until_idle()
        finally:
            self._links.close()
        _log.info(LogEvent.NODE_STOPPED, host=self._settings.locality.host)

    async def _refuse_new_work(self) -> None:
        self._agent.inbox.post(DrainHost())
        await self._timers.wait_for(self._settings.drain_grace_s)

    async def _wait_until_idle(self) -> None:
        with anyio.move_on_after(self._settings.drain_timeout_s):
            while (await self._agent.dump()).running > 0:
                await self._timers.wait_for(DRAIN_POLL_S)

    @asynccontextmanager
    async def _serve_links(self) -> AsyncIterator[None]:
        handlers: list[LinkHandler] = [
            StreamHandler(RUN_ATTEMPT, self._runner.handle_attempt),
            UnaryHandler(PING, handle_ping),
            UnaryHandler(FENCE_ATTEMPT, self._guard.fence),
            UnaryHandler(WATCH_DOCUMENT, self._store.watch),
            UnaryHandler(FETCH_DELTA, self._store.fetch),
            UnaryHandler(REPORT_IN_FORCE, self._store.record_report),
            UnaryHandler(REPORT_HOSTS, self._registry.relay),
            UnaryHandler(DRAIN, self._operations.set_drain),
            UnaryHandler(DUMP, self._operations.read_dump),
        ]
        async with serve_link(
            handlers,
            address=self._settings.link_listen,
            tls=self._link_tls,
            metrics=self._metrics,
        ):
            yield

    def _read_connection_bounds(self) -> ConnectionBounds:
        return make_connection_bounds(self._settings.limits, self._front.read_document())

    @asynccontextmanager
    async def _serve_callers(self) -> AsyncIterator[HttpServer]:
        async with serve_http(
            self._edge.make_caller_app(self._parts),
            address=self._settings.caller_listen,
            read_bounds=self._read_connection_bounds,
            drain_timeout_s=self._settings.drain_timeout_s,
            tls=self._caller_tls,
        ) as server:
            yield server


def make_connection_bounds(
    limits: CallerLimits, compiled: CompiledDocument | None
) -> ConnectionBounds:
    """Return the bounds of a caller's connection, by the settings and the document in force.

    Args:
        limits: The settings' bounds.
        compiled: The document; None before the first one.
    """
    if compiled is None:
        return ConnectionBounds(header_bytes=limits.header_bytes)
    policy = compiled.fleet.caller_connections
    return ConnectionBounds(
        header_bytes=min(limits.header_bytes, policy.header_bytes),
        header_timeout_s=policy.header_timeout_ms / 1_000,
        idle_timeout_s=policy.idle_timeout_ms / 1_000,
    )


class _ControlLinksReader(SeedReader):
    """Reads the project's own settings file."""

    def read_seeds(self, path: Path) -> tuple[str, ...]:
        """Return the link addresses of the control hosts."""
        return load_settings(path, NodeSettings).control_links


def _make_file(data_folder: str | None) -> DocumentFile | None:
    return None if data_folder is None else DocumentFile(Path(data_folder))


def run_node(
    settings: Annotated[Path, typer.Option(help="JSON file with the node's settings.")],
) -> None:
    """Run the front and the agent of one host."""
    checked = load_settings_or_exit(settings, NodeSettings)
    configure_logs(checked.log.level)
    try:
        node = Node(checked, file=WatchedFile(path=settings, reader=_ControlLinksReader()))
    except SettingsInvalidError as error:
        exit_on_invalid_settings(error)
    run_program(node.run)


def main() -> None:
    """Run the program."""
    typer.run(run_node)
