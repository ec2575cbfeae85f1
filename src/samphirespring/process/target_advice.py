"""A front's advice on targets: ejections, trials, slow starts and paths, for the target table."""

import random
from collections.abc import Callable, Mapping, Sequence

import msgspec

from samphirespring.process.detection.service_view import ServiceView, ServiceViewDump
from samphirespring.process.detection.target_evaluator import DetectionTerms
from samphirespring.process.ids import HostId, TargetId
from samphirespring.process.paging import (
    DumpList,
    EntryKey,
    ListUnknownError,
    PageInfo,
    PartedList,
    list_keys,
    list_whole,
)
from samphirespring.process.targets import TargetLoad
from samphirespring.request.selection import Candidate, Choice
from samphirespring.version.document import ServicePolicy
from samphirespring.version.ids import ServiceName

HEARD_S = 0.1
"""Time since an agent's last word after which the end of an attempt without one is a doubt."""

Tiers = Sequence[Sequence[Choice]]


class TargetAdviceDump(msgspec.Struct, frozen=True, kw_only=True):
    """What a front avoids, and why."""

    services: tuple[ServiceViewDump, ...]
    """Services with anything left out, spared or missing."""

    avoided_hosts: tuple[EntryKey, ...]
    """Hosts that this front doesn't reach."""


class TargetAdvice:
    """Decides which targets of a service the next request may go to.

    Args:
        generator: Source of random numbers.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._policies: Mapping[ServiceName, ServicePolicy] = {}
        self._views: dict[ServiceName, ServiceView] = {}
        self._hosts: dict[TargetId, HostId] = {}
        self._services: dict[TargetId, ServiceName] = {}
        self._heard_s: dict[HostId, float] = {}
        self._avoided: set[HostId] = set()

    def use_policies(self, policies: Mapping[ServiceName, ServicePolicy]) -> None:
        """Decide by these policies from now on.

        Args:
            policies: Policies of all services.
        """
        self._policies = policies
        for service, view in self._views.items():
            view.use_policy(policies.get(service, ServicePolicy()))

    def put(self, candidate: Candidate, *, service: ServiceName) -> None:
        """Take a target as the registry tells it.

        Args:
            candidate: The target.
            service: Its service.
        """
        view = self._find_view(service)
        host = candidate.locality.host
        self._hosts[candidate.target] = host
        self._services[candidate.target] = service
        view.update_target(candidate.target, candidate.load)
        view.set_reachable(candidate.target, reachable=host not in self._avoided)

    def remove(self, target: TargetId, *, service: ServiceName, now_s: float) -> None:
        """Take a target out.

        Args:
            target: The target.
            service: Its service.
            now_s: Monotonic time, in seconds.
        """
        self._hosts.pop(target, None)
        self._services.pop(target, None)
        self._find_view(service).remove(target, now_s=now_s)

    def note_load(
        self, target: TargetId, load: TargetLoad, *, service: ServiceName, now_s: float
    ) -> None:
        """Take what an agent said of a target.

        Args:
            target: The target.
            load: Its load.
            service: Its service.
            now_s: Monotonic time, in seconds.
        """
        host = self._hosts.get(target)
        if host is not None:
            self._heard_s[host] = now_s
        self._find_view(service).record_load(target, load, now_s=now_s)

    def note_path(self, host: HostId, *, reached: bool) -> None:
        """Take the result of a probe of the path to a host.

        Args:
            host: The host.
            reached: Whether its agent answered.
        """
        if reached:
            self._avoided.discard(host)
        else:
            self._avoided.add(host)
        for target, target_host in self._hosts.items():
            if target_host == host:
                view = self._find_view(self._services[target])
                view.set_reachable(target, reachable=reached)

    def find_doubt(self, target: TargetId, *, now_s: float) -> HostId | None:
        """Return the host whose path is in doubt at the end of an attempt, if it is.

        Args:
            target: The attempt's target.
            now_s: Monotonic time, in seconds.
        """
        host = self._hosts.get(target)
        if host is None or now_s - self._heard_s.get(host, float("-inf")) <= HEARD_S:
            return None
        return host

    def list_shut_out(self, service: ServiceName, *, now_s: float) -> frozenset[TargetId]:
        """Return the targets of a service that get nothing, not even trials.

        Args:
            service: The service.
            now_s: Monotonic time, in seconds.
        """
        view = self._find_view(service)
        view.decide(now_s)
        return frozenset(
            target for target in view.decision.ejected if view.is_fully_ejected(target)
        )

    def filter_tiers(
        self,
        tiers: Tiers,
        *,
        service: ServiceName,
        idempotent: bool,
        is_retry: bool,
        now_s: float,
    ) -> Tiers:
        """Return the targets that the next request may go to.

        Where advice leaves none, paths and slow starts count for nothing; then an idempotent
        request may go anywhere, and any other one nowhere.

        Args:
            tiers: The targets by distance.
            service: The service.
            idempotent: Whether the request is; others are never trials.
            is_retry: Whether the request has tried a target; slow starts then count for nothing,
                so that it finds another host.
            now_s: Monotonic time, in seconds.
        """
        view = self._find_view(service)
        advised = _keep(tiers, lambda c: self._is_advised(view, c, idempotent, is_retry, now_s))
        if any(advised):
            return advised
        admitted = _keep(tiers, lambda c: not view.is_ejected(c.target))
        return admitted if any(admitted) or not idempotent else tiers

    def note_chosen(self, target: TargetId, *, service: ServiceName, now_s: float) -> None:
        """Count a request to a target.

        Args:
            target: The target.
            service: Its service.
            now_s: Monotonic time, in seconds.
        """
        self._find_view(service).record_sent(target, now_s=now_s)

    def read_terms(self, service: ServiceName, *, now_s: float) -> DetectionTerms:
        """Return what agents should judge a service's targets by.

        Args:
            service: The service.
            now_s: Monotonic time, in seconds.
        """
        return self._find_view(service).read_terms(now_s)

    def make_dump(self) -> tuple[TargetAdviceDump, tuple[PageInfo, ...]]:
        """Return the first pages of the state, and where the rest starts."""
        services = self._list_services().cut()
        avoided = self._list_avoided().cut()
        dump = TargetAdviceDump(services=services.items, avoided_hosts=avoided.items)
        return dump, (services.info, avoided.info)

    def list_long(self, wanted: DumpList) -> PartedList[object]:
        """Return one of the long lists of the state.

        Args:
            wanted: Which one.

        Raises:
            ListUnknownError: There is no such list here.
        """
        match wanted:
            case DumpList.SERVICES:
                return self._list_services()
            case DumpList.AVOIDED_HOSTS:
                return self._list_avoided()
        raise ListUnknownError(f"the target table has no long list {wanted.value}")

    def _list_services(self) -> PartedList[ServiceViewDump]:
        keys = [EntryKey(service) for service, view in self._views.items() if view.is_degraded]
        return list_whole(DumpList.SERVICES, keys, lambda key: self._show(ServiceName(key)))

    def _show(self, service: ServiceName) -> ServiceViewDump:
        return self._views[service].make_dump(service)

    def _list_avoided(self) -> PartedList[EntryKey]:
        return list_keys(DumpList.AVOIDED_HOSTS, [EntryKey(host) for host in self._avoided])

    def _is_advised(
        self,
        view: ServiceView,
        candidate: Candidate,
        idempotent: bool,
        is_retry: bool,
        now_s: float,
    ) -> bool:
        if candidate.locality.host in self._avoided:
            return False
        return view.may_send(
            candidate.target, idempotent=idempotent, is_retry=is_retry, now_s=now_s
        )

    def _find_view(self, service: ServiceName) -> ServiceView:
        view = self._views.get(service)
        if view is None:
            view = ServiceView(self._generator)
            view.use_policy(self._policies.get(service, ServicePolicy()))
            self._views[service] = view
        return view


def _keep(tiers: Tiers, keeps: Callable[[Candidate], bool]) -> Tiers:
    return [[choice for choice in tier if keeps(choice.candidate)] for tier in tiers]
