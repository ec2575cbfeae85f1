"""A front's table of all targets, owned by one task."""

import math
import random
from collections.abc import Mapping

import msgspec

from samphirespring.connection.registry_link import RecordReceipt
from samphirespring.process.detection.fault_risk import FaultModel
from samphirespring.process.detection.models import make_fault_model
from samphirespring.process.document.relay_tree import Peer
from samphirespring.process.host_dump import HostDump, dump_host
from samphirespring.process.ids import FailureDomainName, HostId, RegistryVersion, TargetId
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import InboxFullError, Mailbox, ask
from samphirespring.process.paging import (
    DumpList,
    DumpPage,
    EntryKey,
    ListUnknownError,
    PagedList,
    PageRequest,
    make_key_list,
    make_single_part_list,
)
from samphirespring.process.quota.client import QuotaMessage
from samphirespring.process.registry.held_hosts import HeldHosts
from samphirespring.process.registry.record_check import find_problem, select_valid
from samphirespring.process.service_pool import ServicePool
from samphirespring.process.shedding.shedding_services import SheddingServices
from samphirespring.process.target_advice import TargetAdvice
from samphirespring.process.target_table_messages import (
    ApplyDelta,
    FindScheduler,
    ProbePath,
    ReadPeers,
    ReadTableDump,
    ReadTablePage,
    ReleaseTarget,
    SelectTarget,
    TableMessage,
    TargetTableDump,
    UpdateLoad,
    UpdatePath,
    UsePresentedHost,
    UseServicePolicies,
    UseSubsetSize,
)
from samphirespring.process.targets import (
    HostRecord,
    Locality,
    RegistryDelta,
    TargetRecord,
)
from samphirespring.process.tasks import OwnerTask
from samphirespring.process.timers import TimerService
from samphirespring.process.traffic_limiter import TrafficMessage, UseFrontCount
from samphirespring.process.work.service_costs import ServiceCosts
from samphirespring.process.work.work_estimator import ServiceWorkDump
from samphirespring.request.risk_selection import RiskSelector
from samphirespring.request.scheduler_choice import choose_scheduler
from samphirespring.request.selection import Candidate, Selector, group_by_distance
from samphirespring.request.shedding_selection import count_sheds_as_load
from samphirespring.version.document import FleetSection, ServicePolicy
from samphirespring.version.ids import ServiceName
from samphirespring.version.states import AdmissionMode

INBOX_CAPACITY = 10_000
PROBE_CAPACITY = 1_000

_log = EventLog()


class TargetTable(OwnerTask):
    """Owns the front's view of all targets, and selects targets for attempts.

    Args:
        selector: Chooses among a service's targets.
        locality: Locality of the front.
        timers: The timer service.
        generator: Source of random numbers.
        traffic_limiter: Receives the number of fronts; None if unused.
        quotas: Receives the number of fronts, too; None if unused.
    """

    def __init__(
        self,
        selector: Selector,
        *,
        locality: Locality,
        timers: TimerService,
        generator: random.Random | None = None,
        traffic_limiter: Mailbox[TrafficMessage] | None = None,
        quotas: Mailbox[QuotaMessage] | None = None,
    ) -> None:
        self.inbox: Mailbox[TableMessage] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._selector = selector
        self._version = RegistryVersion(0)
        self._hosts: dict[HostId, HostRecord] = {}
        self._pools: dict[ServiceName, ServicePool] = {}
        self._services: dict[TargetId, ServiceName] = {}
        self._held = HeldHosts()
        self._locality = locality
        self._region_hosts: set[HostId] = {locality.host}
        self._timers = timers
        self._traffic_limiter = traffic_limiter
        self._quotas = quotas
        self._subset_size = FleetSection().subset_size
        self._queueing: frozenset[ServiceName] = frozenset()
        """Services whose attempts wait at full targets in an order."""

        self._advice = TargetAdvice(generator or random.Random())
        self._risk_selector = RiskSelector(generator or random.Random())
        self._shedding = SheddingServices()
        self._models: dict[ServiceName, FaultModel] = {}
        self._costs = ServiceCosts()
        self._excluded: dict[ServiceName, frozenset[TargetId]] = {}
        self.path_prober_inbox: Mailbox[ProbePath] = Mailbox(
            name="path_prober", capacity=PROBE_CAPACITY
        )
        """Inbox of the path prober."""

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "target_table"

    async def run(self) -> None:
        """Serve messages until cancelled."""
        while True:
            message = await self.inbox.receive()
            match message:
                case SelectTarget():
                    message.reply.send(self._select(message))
                case ReleaseTarget():
                    self._release(message.target)
                case UpdateLoad():
                    self._update_load(message)
                case UpdatePath():
                    self._advice.update_path(message.host, reached=message.reached)
                case UseServicePolicies():
                    self._use_policies(message.policies)
                case UseSubsetSize():
                    self._use_subset_size(message.size)
                case ApplyDelta():
                    self._apply_delta(message.delta)
                case ReadTableDump():
                    message.reply.send(self._make_dump())
                case ReadTablePage():
                    self._reply_with_page(message)
                case FindScheduler():
                    message.reply.send(
                        self._find_scheduler(message.service, excluded=message.excluded)
                    )
                case UsePresentedHost():
                    self._use_presented(message.record)
                case ReadPeers():
                    message.reply.send(self._list_peers(message.domain))

    async def accept_presented(self, record: HostRecord) -> RecordReceipt:
        """Accept the record of a host that has usable targets again.

        Args:
            record: The record, as its host sent it.
        """
        self.inbox.post_always(UsePresentedHost(record=record))
        return RecordReceipt()

    async def dump(self) -> TargetTableDump:
        """Return the table's state at one moment."""
        return await ask(self.inbox, lambda reply: ReadTableDump(reply=reply))

    async def dump_page(self, request: PageRequest) -> DumpPage[object]:
        """Return one page of the hosts, the held hosts, the services or the avoided hosts."""
        return await ask(self.inbox, lambda reply: ReadTablePage(request=request, reply=reply))

    def _reply_with_page(self, message: ReadTablePage) -> None:
        wanted = message.request.list
        if wanted is DumpList.HOSTS:
            message.reply.send(self._list_hosts().read_page(message.request.cursor))
            return
        if wanted is DumpList.HELD:
            message.reply.send(self._list_held().read_page(message.request.cursor))
            return
        if wanted is DumpList.COSTS:
            message.reply.send(self._list_costs().read_page(message.request.cursor))
            return
        try:
            message.reply.send(self._advice.find_list(wanted).read_page(message.request.cursor))
        except ListUnknownError as error:
            message.reply.fail(error)

    def _list_hosts(self) -> PagedList[HostDump]:
        keys = [EntryKey(host) for host in self._hosts]
        return make_single_part_list(
            DumpList.HOSTS, keys, lambda key: dump_host(self._hosts[HostId(key)])
        )

    def _list_held(self) -> PagedList[EntryKey]:
        return make_key_list(DumpList.HELD, [EntryKey(host) for host in self._held.hosts])

    def _list_costs(self) -> PagedList[ServiceWorkDump]:
        return self._costs.list_services(self._timers.read_now_s())

    def _make_dump(self) -> TargetTableDump:
        hosts = self._list_hosts().read_page()
        held = self._list_held().read_page()
        costs = self._list_costs().read_page()
        advice, infos = self._advice.make_dump()
        return TargetTableDump(
            registry_version=self._version,
            hosts=hosts.items,
            advice=advice,
            costs=costs.items,
            held=held.items,
            pages=(hosts.info, held.info, costs.info, *infos),
            waiting_messages=self.inbox.waiting_count,
        )

    def _list_peers(self, domain: FailureDomainName) -> tuple[Peer, ...]:
        return tuple(
            Peer(host=record.locality.host, link_address=record.link_address)
            for record in self._hosts.values()
            if record.locality.failure_domain == domain
        )

    def _find_scheduler(self, service: ServiceName, *, excluded: HostId | None) -> Peer | None:
        pool = self._pools.get(service)
        # Without a fault model, what one front knows of a target is as good as what all know.
        if pool is None or service not in self._models:
            return None
        return choose_scheduler(
            service,
            (
                candidate
                for candidate in pool.list_candidates()
                if self._advice.is_reachable(candidate.locality.host)
                and candidate.locality.host != excluded
            ),
            locality=self._locality,
        )

    def _select(self, message: SelectTarget) -> Candidate | None:
        if message.reply.abandoned:
            # Under load this keeps the table from working for fronts that have stopped waiting.
            return None
        self._remove_expired_hosts()
        terms = message.terms
        service = terms.service
        pool = self._pools.get(service)
        if pool is None:
            return None
        now_s = self._timers.read_now_s()
        self._apply_ejections(pool, service, now_s)
        model = self._models.get(service)
        work_s = self._costs.estimate(service, terms.kind, now_s=now_s)
        tiers = self._advice.filter_tiers(
            pool.list_choices(
                region_hosts=self._region_hosts,
                subset_size=self._subset_size,
                now_s=now_s,
                model=model,
                is_shared=message.is_shared,
                counts_waiting=service in self._queueing,
                work_s=work_s,
            ),
            service=service,
            idempotent=terms.idempotent,
            is_retry=bool(terms.tried),
            now_s=now_s,
        )
        if model is not None and self._shedding.is_whole(service, tiers):
            tiers = count_sheds_as_load(tiers, model)
        if message.locality is not None:
            tiers = group_by_distance(tiers, message.locality)
        if model is None:
            candidate = self._selector.choose(tiers, tried=terms.tried)
        else:
            candidate = self._risk_selector.choose(
                tiers,
                tried=terms.tried,
                idempotent=terms.idempotent,
                suspected=terms.suspected,
                is_shared=message.is_shared,
                body_bytes=terms.body_bytes,
                aim_s=terms.aim_ms / 1_000 or math.inf,
            )
        if candidate is None:
            return None
        pool.acquire(candidate.target, now_s=now_s, work_s=work_s or 0.0)
        self._advice.record_selection(candidate.target, service=service, now_s=now_s)
        detection = self._advice.read_terms(service, now_s=now_s)
        return msgspec.structs.replace(candidate, terms=detection)

    def _apply_ejections(self, pool: ServicePool, service: ServiceName, now_s: float) -> None:
        excluded = self._advice.list_excluded(service, now_s=now_s)
        for target in excluded ^ self._excluded.get(service, frozenset()):
            pool.set_admissible(target, admissible=target not in excluded)
        self._excluded[service] = excluded

    def _find_pool(self, target: TargetId) -> ServicePool | None:
        service = self._services.get(target)
        return None if service is None else self._pools[service]

    def _release(self, target: TargetId) -> None:
        pool = self._find_pool(target)
        if pool is not None:
            pool.release(target)
        host = self._advice.find_host_to_probe(target, now_s=self._timers.read_now_s())
        if host is not None and host != self._locality.host:
            self._request_path_probe(host)

    def _request_path_probe(self, host: HostId) -> None:
        record = self._hosts.get(host)
        if record is None:
            return
        try:
            self.path_prober_inbox.post(ProbePath(host=host, link_address=record.link_address))
        except InboxFullError:
            # Many path probes are pending already; the end of a later attempt requests it again.
            return

    def _update_load(self, message: UpdateLoad) -> None:
        pool = self._find_pool(message.target)
        if pool is not None:
            now_s = self._timers.read_now_s()
            service = self._services[message.target]
            self._costs.learn(service, message.kind, message.load.work, now_s=now_s)
            pool.update_load(message.target, message.load, now_s=now_s)
            self._advice.update_load(
                message.target,
                message.load,
                service=service,
                now_s=now_s,
            )

    def _use_policies(self, policies: Mapping[ServiceName, ServicePolicy]) -> None:
        self._advice.use_policies(policies)
        self._costs.use_policies(policies)
        self._shedding.use_policies(policies)
        self._queueing = frozenset(
            service
            for service, policy in policies.items()
            if policy.admission is AdmissionMode.QUEUE
        )
        models = {service: make_fault_model(policy) for service, policy in policies.items()}
        self._models = {service: model for service, model in models.items() if model is not None}

    def _use_subset_size(self, size: int) -> None:
        if size != self._subset_size:
            self._subset_size = size
            self._reset_subsets()

    def _reset_subsets(self) -> None:
        for pool in self._pools.values():
            pool.reset_subset()

    def _apply_delta(self, delta: RegistryDelta) -> None:
        hosts_before = set(self._region_hosts)
        count_before = len(self._hosts)
        if delta.complete:
            self._apply_complete_table(delta)
        records, problems = select_valid(delta.hosts)
        if problems:
            _log.warning(LogEvent.HOST_RECORDS_SKIPPED, records=problems)
        for record in records:
            self._put_host(record)
        for host in delta.gone:
            self._remove_host(host)
        self._version = delta.version
        if self._region_hosts != hosts_before:
            self._reset_subsets()
        if len(self._hosts) != count_before:
            self._report_front_count()

    def _report_front_count(self) -> None:
        # Each host runs a front.
        count = UseFrontCount(count=len(self._hosts))
        if self._traffic_limiter is not None:
            self._traffic_limiter.post_always(count)
        if self._quotas is not None:
            self._quotas.post_always(count)

    def _use_presented(self, record: HostRecord) -> None:
        """Apply a newer record of a host that the registry has; only it adds and removes hosts."""
        known = self._hosts.get(record.locality.host)
        if known is None or find_problem(record) is not None:
            return
        if (record.incarnation, record.sequence) <= (known.incarnation, known.sequence):
            return
        _log.info(LogEvent.HOST_PRESENTED, host=record.locality.host)
        self._put_host(record)

    def _apply_complete_table(self, delta: RegistryDelta) -> None:
        reported = {record.locality.host for record in delta.hosts}
        gone = self._held.update_missing(
            self._hosts.keys() - reported,
            host_count=len(self._hosts),
            now_s=self._timers.read_now_s(),
        )
        for host in gone:
            self._remove_host(host)
        if self._held.hosts:
            _log.warning(LogEvent.REGISTRY_TABLE_HELD, hosts=len(self._held.hosts))

    def _remove_expired_hosts(self) -> None:
        if not self._held.hosts:
            return
        now_s = self._timers.read_now_s()
        for host in self._held.remove_due(host_count=len(self._hosts), now_s=now_s):
            self._remove_host(host)

    def _put_host(self, record: HostRecord) -> None:
        host = record.locality.host
        self._held.drop(host)
        old = self._hosts.get(host)
        kept = {target.target for target in record.targets}
        for target in old.targets if old is not None else ():
            if target.target not in kept:
                self._remove_target(target.target)
        self._hosts[host] = record
        if record.locality.region == self._locality.region:
            self._region_hosts.add(host)
        for target in record.targets:
            self._put_target(record, target)

    def _put_target(self, record: HostRecord, target: TargetRecord) -> None:
        previous_service = self._services.get(target.target)
        if previous_service is not None and previous_service != target.service:
            self._remove_target(target.target)
        self._services[target.target] = target.service
        pool = self._pools.setdefault(target.service, ServicePool(self._locality))
        candidate = Candidate(
            target=target.target,
            locality=record.locality,
            link_address=record.link_address,
            incarnation=record.incarnation,
            load=target.load,
            admissible=target.target not in self._excluded.get(target.service, frozenset()),
        )
        pool.put(candidate, now_s=self._timers.read_now_s())
        self._advice.put(candidate, service=target.service)

    def _remove_host(self, host: HostId) -> None:
        self._held.drop(host)
        record = self._hosts.pop(host, None)
        if record is None:
            return
        if host != self._locality.host:
            self._region_hosts.discard(host)
        for target in record.targets:
            self._remove_target(target.target)

    def _remove_target(self, target: TargetId) -> None:
        service = self._services.pop(target, None)
        if service is None:
            return
        self._advice.remove(target, service=service, now_s=self._timers.read_now_s())
        pool = self._pools[service]
        pool.remove(target)
        if pool.size == 0:
            del self._pools[service]
