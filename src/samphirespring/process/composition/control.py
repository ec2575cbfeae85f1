"""Composes the tasks of one control host: its replicas of the document and the registry."""

import random
from collections.abc import Mapping, Sequence
from functools import partial
from typing import Any

from starlette.applications import Starlette

from samphirespring.connection.confirmation_link import CONFIRM_DOCUMENT
from samphirespring.connection.document_link import (
    FETCH_DELTA,
    REPORT_IN_FORCE,
    WATCH_DOCUMENT,
)
from samphirespring.connection.fence_link import LinkAttemptFencer
from samphirespring.connection.http_server import serve_http
from samphirespring.connection.link_pool import LinkPool
from samphirespring.connection.link_server import LinkHandler, UnaryHandler, serve_link
from samphirespring.connection.metrics_http import serve_metrics
from samphirespring.connection.operator_http import OperatorApp
from samphirespring.connection.quota_link import ASK_QUOTA
from samphirespring.connection.registry_link import (
    READ_DEPARTURES,
    RECORD_DEPARTURE,
    REPORT_HOSTS,
)
from samphirespring.process.client_guard import ClientGuard, ClientKind
from samphirespring.process.composition.client_budgets import make_client_budget
from samphirespring.process.composition.control_adapter import ControlAdapter, ControlComponents
from samphirespring.process.control_groups import ControlGroups
from samphirespring.process.document.confirmer import DocumentConfirmer
from samphirespring.process.document.initializer import DocumentInitializer
from samphirespring.process.document.leader_contact import LeaderContactWatch
from samphirespring.process.document.service import DocumentService
from samphirespring.process.document.state_machine import DocumentStateMachine
from samphirespring.process.document.store import DocumentStore
from samphirespring.process.ids import GroupId, ReplicaId
from samphirespring.process.ledger.service import LedgerService
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.metrics.metrics_setup import make_metrics
from samphirespring.process.node_operations_client import NodeOperationsClient
from samphirespring.process.quota.server import QuotaServer
from samphirespring.process.registry.state_machine import RegistryStateMachine
from samphirespring.process.registry_service import RegistryService
from samphirespring.process.replication.group_status import GroupOperations
from samphirespring.process.runtime import (
    run_tasks,
    watch_stop_signals,
)
from samphirespring.process.settings import (
    ControlSettings,
)
from samphirespring.process.settings_watch import (
    SeedConsumer,
    WatchedFile,
    make_settings_watch,
)
from samphirespring.process.tasks import OwnerTask
from samphirespring.process.timers import MonotonicTimerService
from samphirespring.process.tls_reloader import TlsContextStore, TlsReloader
from samphirespring.version.ids import SectionName

LINK_CAPACITY = 4_000
OPERATOR_DRAIN_TIMEOUT_S = 2.0
"""Longest wait for operators' requests in flight at a planned stop, after the handover of votes, in
seconds."""

DOCUMENT_GROUP = GroupId("document")
REGISTRY_GROUP = GroupId("registry")

_log = EventLog()


class ControlHost(SeedConsumer):
    """Composes the tasks of one control host.

    Args:
        settings: The settings.
        initial: Sections that a new, empty replica group starts with.
        adapter: Protocol towards operators; None uses the project's own.
        file: Settings file to watch for changed seeds; None watches none.
    """

    def __init__(
        self,
        settings: ControlSettings,
        initial: Mapping[SectionName, bytes],
        adapter: ControlAdapter | None = None,
        *,
        file: WatchedFile | None = None,
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        timers = MonotonicTimerService()
        self._metrics = metrics = make_metrics(
            settings.statsd,
            as_text=settings.metrics_listen is not None,
            timers=timers,
            generator=random.Random(),
        )
        tls_store = TlsContextStore()
        tls = tls_store.make_client(settings.link_tls)
        self._link_tls = tls_store.make_server(settings.link_tls, mutual=True)
        self._operator_tls = tls_store.make_server(settings.operator_tls, mutual=False)
        self._link_pool = LinkPool(capacity=LINK_CAPACITY, tls=tls, metrics=metrics)
        self._document_store = DocumentStore(timers=timers)
        self._groups = ControlGroups(settings, timers=timers, metrics=metrics, tls=tls)
        document_machine = DocumentStateMachine(on_version=self._document_store.newest.post)
        self._document_group = self._groups.add(DOCUMENT_GROUP, document_machine)
        self._documents = DocumentService(
            state_machine=document_machine, proposer=self._document_group, timers=timers
        )
        self._document_confirmer = DocumentConfirmer(
            documents=self._documents,
            find_link=partial(_find_link, self._document_group),
            timers=timers,
        )
        self._quotas = QuotaServer(
            state_machine=document_machine,
            proposer=self._document_group,
            group=self._document_group,
            find_link=partial(_find_link, self._document_group),
            timers=timers,
            metrics=metrics,
        )
        self._ledger = LedgerService(
            self._groups,
            own_replica=settings.replica,
            peers=settings.peers,
            read_layout=self._documents.read_ledger_layout,
            fencer=LinkAttemptFencer(self._link_pool),
            timers=timers,
            metrics=metrics,
        )
        registry_machine = RegistryStateMachine()
        # Stale reads are acceptable: the nodes' tables lag by a second anyway, and a leader can't
        # change the registry without a quorum.
        registry_group = self._groups.add(REGISTRY_GROUP, registry_machine, allow_stale_reads=True)
        self._registry = RegistryService(
            state_machine=registry_machine,
            proposer=registry_group,
            lease_s=settings.host_lease_s,
            timers=timers,
            metrics=metrics,
            read_control_links=partial(_read_control_links, registry_group),
            read_document=lambda: self._document_store.stamp,
            find_link=partial(_find_link, registry_group),
        )
        self._management_budget = make_client_budget(settings.management_limits, timers=timers)
        initializer = DocumentInitializer(documents=self._documents, initial=initial, timers=timers)
        self._tasks: tuple[OwnerTask, ...] = (
            metrics,
            self._document_store,
            LeaderContactWatch(
                group=self._document_group, store=self._document_store, timers=timers
            ),
            self._registry,
            self._document_confirmer,
            self._quotas,
            initializer,
            ClientGuard(
                self._management_budget,
                kind=ClientKind.MANAGEMENT,
                timers=timers,
                metrics=metrics,
            ),
            TlsReloader(contexts=tls_store.contexts, timers=timers, metrics=metrics),
            *self._groups.tasks,
            self._ledger,
            *make_settings_watch(file, consumer=self, timers=timers),
        )

    def use_seeds(self, seeds: Sequence[str]) -> None:
        """Announce this host to these addresses while it isn't a member of the groups."""
        self._groups.use_seeds(seeds)

    async def run(self) -> None:
        """Serve until a stop is requested, then hand over leadership and votes."""
        async with (
            watch_stop_signals() as stop,
            run_tasks(self._tasks),
            serve_metrics(
                self._metrics,
                address=self._settings.metrics_listen,
                budget=self._management_budget,
            ),
            serve_link(
                self._make_handlers(),
                address=self._settings.link_listen,
                tls=self._link_tls,
                metrics=self._metrics,
            ),
            serve_http(
                self._make_app(),
                address=self._settings.operator_listen,
                drain_timeout_s=OPERATOR_DRAIN_TIMEOUT_S,
                tls=self._operator_tls,
                budget=self._management_budget,
            ),
        ):
            _log.info(LogEvent.CONTROL_STARTED, replica=self._settings.replica)
            await stop.wait()
            await self._groups.transfer_leadership()
            await self._groups.hand_over_votes()
        self._link_pool.close()
        _log.info(LogEvent.CONTROL_STOPPED, replica=self._settings.replica)

    def _make_handlers(self) -> list[LinkHandler]:
        return [
            UnaryHandler(WATCH_DOCUMENT, self._document_store.watch),
            UnaryHandler(FETCH_DELTA, self._document_store.fetch),
            UnaryHandler(REPORT_IN_FORCE, self._document_store.record_report),
            UnaryHandler(CONFIRM_DOCUMENT, self._document_confirmer.confirm),
            UnaryHandler(REPORT_HOSTS, self._registry.report),
            UnaryHandler(RECORD_DEPARTURE, self._registry.record_departure),
            UnaryHandler(READ_DEPARTURES, self._registry.read_departures),
            UnaryHandler(ASK_QUOTA, self._quotas.ask),
            *self._groups.make_handlers(),
            *self._ledger.make_handlers(),
        ]

    def _make_app(self) -> Any:
        if self._adapter is not None:
            components = ControlComponents(documents=self._documents, tasks=self._tasks)
            return self._adapter.make_operator_app(components)
        return self._make_operator_app()

    def _make_operator_app(self) -> Starlette:
        addresses = {
            peer.replica: peer.operator_address
            for peer in self._settings.peers
            if peer.operator_address is not None
        }
        return OperatorApp(
            replica=self._settings.replica,
            documents=self._documents,
            store=self._document_store,
            groups=self._groups.groups,
            hosts=NodeOperationsClient(registry=self._registry, links=self._link_pool),
            tasks=self._tasks,
            operator_addresses=addresses,
        ).make_app()


async def _read_control_links(group: GroupOperations) -> tuple[str, ...]:
    """Return the link addresses of all members of a group."""
    status = await group.read_status()
    return tuple(member.link_address for member in status.members)


async def _find_link(group: GroupOperations, replica: ReplicaId) -> str | None:
    """Return the link address of one member of a group, or None if it isn't a member."""
    status = await group.read_status()
    links = (m.link_address for m in status.members if m.replica == replica)
    return next(links, None)
