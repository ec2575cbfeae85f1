"""Composes the tasks of one node: the front and the agent of a host."""

import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

from samphirespring.connection.attempt_channel import RUN_ATTEMPTS
from samphirespring.connection.attempt_link import RUN_ATTEMPT
from samphirespring.connection.backend_dialect import BackendDialect, SamphireDialect
from samphirespring.connection.caller_http import CallerApp
from samphirespring.connection.channel_server import AttemptChannelServer
from samphirespring.connection.confirmation_link import CONFIRM_DOCUMENT
from samphirespring.connection.document_link import (
    FETCH_DELTA,
    REPORT_IN_FORCE,
    WATCH_DOCUMENT,
)
from samphirespring.connection.fence_link import LinkAttemptFencer
from samphirespring.connection.health_probe import HttpHealthProbe
from samphirespring.connection.http_protocol import ConnectionBounds
from samphirespring.connection.http_server import HttpServer, serve_http
from samphirespring.connection.ledger_link import FENCE_ATTEMPT
from samphirespring.connection.link_pool import LinkPool
from samphirespring.connection.link_server import (
    DuplexHandler,
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
from samphirespring.connection.registry_link import PRESENT_HOST, REPORT_HOSTS
from samphirespring.process.action_guard import ActionGuard
from samphirespring.process.action_runner import ActionRunner
from samphirespring.process.agent.agent import Agent
from samphirespring.process.agent.agent_messages import DrainHost
from samphirespring.process.attempt_channels import AttemptChannels
from samphirespring.process.attempt_runner import AttemptRunner
from samphirespring.process.client_guard import ClientGuard, ClientKind
from samphirespring.process.composition.client_budgets import make_client_budget
from samphirespring.process.composition.node_adapter import NodeAdapter, NodeComponents
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
from samphirespring.process.front import EndRequests, Front
from samphirespring.process.keys.confirmers import ConfirmerChooser
from samphirespring.process.keys.keeper import KeyKeeper
from samphirespring.process.ledger.client import LedgerClient
from samphirespring.process.local_targets import LocalTargetSource
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.metrics.metrics_setup import make_metrics
from samphirespring.process.node_operations import NodeOperations
from samphirespring.process.node_readiness import NodeReadiness
from samphirespring.process.path_prober import PathProber
from samphirespring.process.quota.client import QuotaClient
from samphirespring.process.quota.offline_allowance import OfflineAllowance
from samphirespring.process.registry.departure_client import RegistryDepartures
from samphirespring.process.registry.host_presenter import HostPresenter
from samphirespring.process.registry.initial_table import InitialTableSearch
from samphirespring.process.registry.report_sender import TreeReportSender
from samphirespring.process.registry_client import RegistryClient
from samphirespring.process.runtime import (
    run_tasks,
    watch_stop_signals,
)
from samphirespring.process.scheduled_targets import ScheduledTargetSource
from samphirespring.process.settings import (
    CallerLimits,
    NodeSettings,
)
from samphirespring.process.settings_watch import (
    SeedConsumer,
    WatchedFile,
    make_settings_watch,
)
from samphirespring.process.shedding.retry_pools import RetryPools
from samphirespring.process.shedding.scheduled_retries import ScheduledRetrySource
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
RESERVED_DESCRIPTOR_SHARE = 1 / 8
"""Share of the descriptors that callers' connections leave to those that serve them, and to local
and operators' connections."""

DRAIN_POLL_S = 0.05
END_RESPONSE_TIME_S = 0.1
"""Time before the end of a drain at which the requests left are ended with an error, in seconds."""

_log = EventLog()


class SamphireNodeAdapter(NodeAdapter):
    """Serves the project's own protocols.

    Args:
        settings: The node's settings.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings

    def make_dialect(self) -> BackendDialect:
        """Return the project's own header names and forms of refusal."""
        return SamphireDialect()

    def make_caller_app(self, components: NodeComponents) -> CallerApp:
        """Return the ASGI application for callers."""
        return CallerApp(components.front, self._settings.limits, budget=components.caller_budget)

    @asynccontextmanager
    async def serve_local(self, components: NodeComponents) -> AsyncIterator[None]:
        """Serve announcements, readiness and the dump."""
        app = LocalApp(components.agent, components.tasks, components.front).make_app()
        async with serve_http(
            app,
            address=self._settings.local_listen,
            accepted_timeout_s=0.0,
            budget=components.management_budget,
        ):
            yield


class Node(SeedConsumer):
    """Composes the tasks of one node.

    Args:
        settings: The node's settings.
        adapter: Protocols of the node; None uses the project's own.
        file: Settings file to watch for changed seeds; None watches none.
    """

    def __init__(
        self,
        settings: NodeSettings,
        adapter: NodeAdapter | None = None,
        *,
        file: WatchedFile | None = None,
    ) -> None:
        self._settings = settings
        self._adapter = adapter or SamphireNodeAdapter(settings)
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
        tls_store = TlsContextStore()
        self._link_tls = tls_store.make_server(settings.link_tls, mutual=True)
        self._caller_tls = tls_store.make_server(settings.caller_tls, mutual=False)
        self._link_pool = LinkPool(
            capacity=LINK_CAPACITY, tls=tls_store.make_client(settings.link_tls), metrics=metrics
        )
        self._control_directory = control_directory = ControlDirectory(settings.control_links)
        control_client = ControlClient(self._link_pool, control_directory)
        link_address = settings.link_advertised or settings.link_listen
        quota_client = QuotaClient(
            control=ControlClient(self._link_pool, control_directory),
            offline=OfflineAllowance(generator),
            timers=self._timers,
            metrics=metrics,
        )
        traffic_limiter = TrafficLimiter(timers=self._timers, generator=generator)
        self._target_table = target_table = TargetTable(
            NearestOfTwoSelector(generator),
            locality=locality,
            timers=self._timers,
            generator=generator,
            traffic_limiter=traffic_limiter.inbox,
            quotas=quota_client.inbox,
        )
        self._key_keeper = key_keeper = KeyKeeper(
            chooser=ConfirmerChooser(domain=locality.failure_domain, own_host=locality.host),
            domain=locality.failure_domain,
            control=ControlClient(self._link_pool, control_directory),
            links=self._link_pool,
            table=target_table.inbox,
            timers=self._timers,
            metrics=metrics,
        )
        self._agent = Agent(
            locality=locality,
            link_address=link_address,
            lease_s=settings.announcement_lease_s,
            timers=self._timers,
            metrics=metrics,
            departures=RegistryDepartures(host=locality.host, control=control_client),
            keys=key_keeper,
        )
        self._action_guard = ActionGuard(incarnation=self._agent.incarnation, timers=self._timers)
        self._attempt_runner = AttemptRunner(
            agent=self._agent.inbox,
            guard=self._action_guard.inbox,
            timers=self._timers,
            dialect=self._adapter.make_dialect(),
            keys=key_keeper,
        )
        target_prober = TargetProber(
            HttpHealthProbe(),
            agent=self._agent.inbox,
            timers=self._timers,
            metrics=metrics,
            generator=generator,
        )
        retry_pools = RetryPools(timers=self._timers)
        self._attempt_channel_server = AttemptChannelServer(
            self._attempt_runner,
            table=target_table.inbox,
            pools=retry_pools.inbox,
            metrics=metrics,
        )
        path_prober = PathProber(
            inbox=target_table.path_prober_inbox,
            table=target_table.inbox,
            links=self._link_pool,
            timers=self._timers,
            metrics=metrics,
        )
        attempt_channels = AttemptChannels(self._link_pool, timers=self._timers)
        targets = ScheduledTargetSource(
            LocalTargetSource(target_table.inbox),
            table=target_table.inbox,
            find_channel=attempt_channels.find_channel,
            locality=locality,
            timers=self._timers,
        )
        exchange_context = ExchangeContext(
            sender=LocalFirstSender(
                own_address=link_address,
                starter=self._attempt_runner,
                remote=attempt_channels,
            ),
            table=target_table.inbox,
            targets=targets,
            traffic_limiter=traffic_limiter.inbox,
            timers=self._timers,
            metrics=metrics,
            generator=generator,
            replay_buffer_bytes=settings.limits.replay_buffer_bytes,
            retries=ScheduledRetrySource(
                retry_pools.inbox,
                traffic_limiter=traffic_limiter.inbox,
                table=target_table.inbox,
                find_channel=attempt_channels.find_channel,
                host=locality.host,
            ),
        )
        ledger_client = LedgerClient(self._link_pool, control_directory)
        action_runner = ActionRunner(ledger=ledger_client, timers=self._timers, metrics=metrics)
        self._front = Front(
            exchange_context,
            actions=ActionContext(
                exchange=exchange_context,
                ledger=ledger_client,
                fencer=LinkAttemptFencer(self._link_pool),
            ),
            runner=action_runner,
            keys=key_keeper,
            quotas=quota_client.inbox,
        )
        self._caller_budget = make_client_budget(settings.limits, timers=self._timers)
        self._management_budget = make_client_budget(
            settings.management_limits, timers=self._timers
        )
        self._document_store = DocumentStore(timers=self._timers)
        document_saver = DocumentSaver(
            file=_make_document_file(settings.data_folder), timers=self._timers, metrics=metrics
        )
        document_follower = DocumentFollower(
            store=self._document_store,
            saver=document_saver,
            compiler=DocumentCompiler(),
            chooser=SourceChooser(
                domain=locality.failure_domain,
                own_host=locality.host,
                control=control_directory,
                seeds=settings.peer_links,
            ),
            domain=locality.failure_domain,
            links=self._link_pool,
            front=self._front.inbox,
            agent=self._agent.inbox,
            table=target_table.inbox,
            timers=self._timers,
            metrics=metrics,
            wait_s=settings.document_wait_s,
            source_random=generator,
            control=control_client,
            keys=key_keeper.inbox,
        )
        self._registry_client = RegistryClient(
            sender=TreeReportSender(
                domain=locality.failure_domain,
                own_host=locality.host,
                search=InitialTableSearch(own_address=link_address, seeds=settings.peer_links),
                chooser=SourceChooser(
                    domain=locality.failure_domain,
                    own_host=locality.host,
                    control=control_directory,
                    seeds=(),
                    chained=True,
                ),
                control=control_client,
                links=self._link_pool,
                table=target_table.inbox,
                timers=self._timers,
            ),
            agent=self._agent.inbox,
            table=target_table.inbox,
            timers=self._timers,
            interval_s=settings.report_interval_s,
            presenter=HostPresenter(table=target_table.inbox, links=self._link_pool),
            directory=control_directory,
            hints=document_follower.hints,
        )
        notice_watch = NoticeWatch(
            own_host=locality.host,
            control=control_directory,
            links=self._link_pool,
            hints=document_follower.hints,
            timers=self._timers,
        )
        in_force_reporter = InForceReporter(
            locality=locality,
            store=self._document_store,
            follower=document_follower,
            links=self._link_pool,
            timers=self._timers,
        )
        self._tasks: tuple[OwnerTask, ...] = (
            metrics,
            self._agent,
            self._attempt_runner,
            attempt_channels,
            self._action_guard,
            key_keeper,
            target_prober,
            target_table,
            path_prober,
            traffic_limiter,
            quota_client,
            retry_pools,
            self._front,
            ClientGuard(
                self._caller_budget,
                kind=ClientKind.CALLERS,
                timers=self._timers,
                metrics=metrics,
            ),
            ClientGuard(
                self._management_budget,
                kind=ClientKind.MANAGEMENT,
                timers=self._timers,
                metrics=metrics,
            ),
            action_runner,
            self._registry_client,
            self._document_store,
            document_saver,
            document_follower,
            notice_watch,
            in_force_reporter,
            TlsReloader(contexts=tls_store.contexts, timers=self._timers, metrics=metrics),
            *make_settings_watch(file, consumer=self, timers=self._timers),
        )
        self._operations = NodeOperations(agent=self._agent.inbox, tasks=self._tasks)
        self._components = NodeComponents(
            front=self._front,
            agent=self._agent.inbox,
            tasks=self._tasks,
            caller_budget=self._caller_budget,
            management_budget=self._management_budget,
            readiness=NodeReadiness(
                has_document=self._has_usable_document,
                has_table=lambda: self._registry_client.has_table,
            ),
        )

    def _has_usable_document(self) -> bool:
        """Return whether the node has had a document whose API keys it could rely on."""
        return self._front.read_document() is not None and self._key_keeper.has_been_usable

    def use_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the seed addresses at which this node looks for control hosts."""
        self._control_directory.use_seeds(seeds)

    async def run(self) -> None:
        """Serve until a stop is requested, then drain."""
        try:
            async with (
                watch_stop_signals() as stop,
                run_tasks(self._tasks),
                serve_metrics(
                    self._metrics,
                    address=self._settings.metrics_listen,
                    budget=self._management_budget,
                ),
                self._serve_links(),
                self._adapter.serve_local(self._components),
            ):
                async with self._serve_callers() as callers:
                    _log.info(LogEvent.NODE_STARTED, host=self._settings.locality.host)
                    await stop.wait()
                    self._components.readiness.mark_stopping()
                    callers.begin_drain()
                    drain_ends_at_s = await self._start_host_drain()
                    self._front.inbox.post_always(
                        EndRequests(at_s=drain_ends_at_s - END_RESPONSE_TIME_S)
                    )
                _log.info(LogEvent.CALLERS_DRAINED, cancelled=callers.cancelled_count)
                await self._wait_until_idle(drain_ends_at_s)
        finally:
            self._link_pool.close()
        _log.info(LogEvent.NODE_STOPPED, host=self._settings.locality.host)

    async def _start_host_drain(self) -> float:
        """Drain the agent, serve callers for the grace, and return the end of the drain.

        Returns:
            The end, in seconds of monotonic time.
        """
        callers_end_at_s = self._timers.read_now_s() + self._settings.drain_grace_s
        ends_at_s = callers_end_at_s + self._settings.drain_timeout_s
        self._agent.inbox.post_always(
            DrainHost(callers_end_at_s=callers_end_at_s, ends_at_s=ends_at_s)
        )
        await self._timers.wait_until(callers_end_at_s)
        return ends_at_s

    async def _wait_until_idle(self, ends_at_s: float) -> None:
        """Wait until no attempt runs at the targets of this host.

        Args:
            ends_at_s: End of the wait, in seconds of monotonic time.
        """
        running = 0
        with self._timers.move_on_at(ends_at_s):
            while (running := (await self._agent.dump()).running) > 0:
                await self._timers.wait_for(DRAIN_POLL_S)
        _log.info(LogEvent.HOST_DRAINED, running=running)

    @asynccontextmanager
    async def _serve_links(self) -> AsyncIterator[None]:
        handlers: list[LinkHandler] = [
            StreamHandler(RUN_ATTEMPT, self._attempt_runner.handle_attempt),
            DuplexHandler(RUN_ATTEMPTS, self._attempt_channel_server.serve),
            UnaryHandler(PING, handle_ping),
            UnaryHandler(FENCE_ATTEMPT, self._action_guard.fence),
            UnaryHandler(WATCH_DOCUMENT, self._document_store.watch),
            UnaryHandler(FETCH_DELTA, self._document_store.fetch),
            UnaryHandler(REPORT_IN_FORCE, self._document_store.record_report),
            UnaryHandler(CONFIRM_DOCUMENT, self._key_keeper.confirm),
            UnaryHandler(REPORT_HOSTS, self._registry_client.relay),
            UnaryHandler(PRESENT_HOST, self._target_table.accept_presented),
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
            self._adapter.make_caller_app(self._components),
            address=self._settings.caller_listen,
            read_bounds=self._read_connection_bounds,
            drain_timeout_s=self._settings.drain_timeout_s,
            tls=self._caller_tls,
            reserved_share=RESERVED_DESCRIPTOR_SHARE,
            budget=self._caller_budget,
        ) as server:
            yield server


def make_connection_bounds(
    limits: CallerLimits, compiled: CompiledDocument | None
) -> ConnectionBounds:
    """Return the limits of a caller's connection from the settings and the document in force.

    Args:
        limits: Limits from the settings.
        compiled: The document in force; None before the first one.
    """
    if compiled is None:
        return ConnectionBounds(header_bytes=limits.header_bytes)
    policy = compiled.fleet.caller_connections
    return ConnectionBounds(
        header_bytes=min(limits.header_bytes, policy.header_bytes),
        header_timeout_s=policy.header_timeout_ms / 1_000,
        idle_timeout_s=policy.idle_timeout_ms / 1_000,
    )


def _make_document_file(data_folder: str | None) -> DocumentFile | None:
    return None if data_folder is None else DocumentFile(Path(data_folder))
