"""A front's advice on which targets to use, by ejections, trials, slow starts and paths."""

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
    PagedList,
    PageInfo,
    make_key_list,
    make_single_part_list,
)
from samphirespring.process.targets import TargetLoad
from samphirespring.request.selection import Candidate, Choice
from samphirespring.version.document import ServicePolicy
from samphirespring.version.ids import ServiceName

RECENT_CONTACT_S = 0.1
"""Time since the last contact with an agent beyond which the path to it is probed, in seconds.

It is checked at the end of each attempt; a report of the agent counts as contact.
"""

Tiers = Sequence[Sequence[Choice]]


class TargetAdviceDump(msgspec.Struct, frozen=True, kw_only=True):
    """Targets and hosts that a front avoids, with the reasons."""

    services: tuple[ServiceViewDump, ...]
    """Services with ejected, spared or missing targets."""

    avoided_hosts: tuple[EntryKey, ...]
    """Hosts that this front can't reach."""


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
        self._last_contact_at_s: dict[HostId, float] = {}
        self._unreachable_hosts: set[HostId] = set()

    def use_policies(self, policies: Mapping[ServiceName, ServicePolicy]) -> None:
        """Apply the policies of the services.

        Args:
            policies: Policies of all services.
        """
        self._policies = policies
        for service, view in self._views.items():
            view.use_policy(policies.get(service, ServicePolicy()))

    def put(self, candidate: Candidate, *, service: ServiceName) -> None:
        """Add or replace a target reported by the registry.

        Args:
            candidate: The target.
            service: Its service.
        """
        view = self._find_view(service)
        host = candidate.locality.host
        self._hosts[candidate.target] = host
        self._services[candidate.target] = service
        view.update_target(candidate.target, candidate.load)
        view.set_reachable(candidate.target, reachable=host not in self._unreachable_hosts)

    def remove(self, target: TargetId, *, service: ServiceName, now_s: float) -> None:
        """Remove a target.

        Args:
            target: The target.
            service: Its service.
            now_s: Monotonic time, in seconds.
        """
        self._hosts.pop(target, None)
        self._services.pop(target, None)
        self._find_view(service).remove(target, now_s=now_s)

    def update_load(
        self, target: TargetId, load: TargetLoad, *, service: ServiceName, now_s: float
    ) -> None:
        """Update a target's load from an agent's report.

        Args:
            target: The target.
            load: Its load.
            service: Its service.
            now_s: Monotonic time, in seconds.
        """
        host = self._hosts.get(target)
        if host is not None:
            self._last_contact_at_s[host] = now_s
        self._find_view(service).update_load(target, load, now_s=now_s)

    def update_path(self, host: HostId, *, reached: bool) -> None:
        """Update the reachability of a host from a probe of the path to it.

        Args:
            host: The host.
            reached: Whether its agent replied.
        """
        if reached:
            self._unreachable_hosts.discard(host)
        else:
            self._unreachable_hosts.add(host)
        for target, target_host in self._hosts.items():
            if target_host == host:
                view = self._find_view(self._services[target])
                view.set_reachable(target, reachable=reached)

    def find_host_to_probe(self, target: TargetId, *, now_s: float) -> HostId | None:
        """Return the host whose path must be probed at the end of an attempt, or None.

        Args:
            target: The attempt's target.
            now_s: Monotonic time, in seconds.
        """
        host = self._hosts.get(target)
        if (
            host is None
            or now_s - self._last_contact_at_s.get(host, float("-inf")) <= RECENT_CONTACT_S
        ):
            return None
        return host

    def list_excluded(self, service: ServiceName, *, now_s: float) -> frozenset[TargetId]:
        """Return the targets of a service that receive no requests, not even trials.

        Args:
            service: The service.
            now_s: Monotonic time, in seconds.
        """
        view = self._find_view(service)
        view.decide(now_s)
        return frozenset(target for target in view.decision.ejected if view.is_excluded(target))

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

        If no target remains, paths and slow starts are ignored. If still none remains, an
        idempotent request may go to any target, and any other request to none.

        Args:
            tiers: The targets by distance.
            service: The service.
            idempotent: Whether the request is idempotent; only such requests are used as trials.
            is_retry: Whether the request has tried a target; slow starts are then ignored, so that
                it finds another host.
            now_s: Monotonic time, in seconds.
        """
        view = self._find_view(service)
        advised = _filter_choices(
            tiers, lambda c: self._is_advised(view, c, idempotent, is_retry, now_s)
        )
        if any(advised):
            return advised
        admitted = _filter_choices(tiers, lambda c: not view.is_ejected(c.target))
        return admitted if any(admitted) or not idempotent else tiers

    def is_reachable(self, host: HostId) -> bool:
        """Return whether this front can reach a host, as far as it knows.

        Args:
            host: The host.
        """
        return host not in self._unreachable_hosts

    def record_selection(self, target: TargetId, *, service: ServiceName, now_s: float) -> None:
        """Record that a target was selected for a request.

        Args:
            target: The target.
            service: Its service.
            now_s: Monotonic time, in seconds.
        """
        self._find_view(service).record_sent(target, now_s=now_s)

    def read_terms(self, service: ServiceName, *, now_s: float) -> DetectionTerms:
        """Return the terms by which agents should evaluate a service's targets.

        Args:
            service: The service.
            now_s: Monotonic time, in seconds.
        """
        return self._find_view(service).read_terms(now_s)

    def make_dump(self) -> tuple[TargetAdviceDump, tuple[PageInfo, ...]]:
        """Return the first page of each list of the state, and the page infos to read the rest."""
        services = self._list_services().read_page()
        avoided = self._list_avoided().read_page()
        dump = TargetAdviceDump(services=services.items, avoided_hosts=avoided.items)
        return dump, (services.info, avoided.info)

    def find_list(self, wanted: DumpList) -> PagedList[object]:
        """Return a long list of the state, for paging.

        Args:
            wanted: The list.

        Raises:
            ListUnknownError: The state has no such list.
        """
        match wanted:
            case DumpList.SERVICES:
                return self._list_services()
            case DumpList.AVOIDED_HOSTS:
                return self._list_avoided()
        raise ListUnknownError(f"target_table has no long list {wanted.value}")

    def _list_services(self) -> PagedList[ServiceViewDump]:
        keys = [EntryKey(service) for service, view in self._views.items() if view.is_degraded]
        return make_single_part_list(
            DumpList.SERVICES, keys, lambda key: self._make_service_dump(ServiceName(key))
        )

    def _make_service_dump(self, service: ServiceName) -> ServiceViewDump:
        return self._views[service].make_dump(service)

    def _list_avoided(self) -> PagedList[EntryKey]:
        return make_key_list(
            DumpList.AVOIDED_HOSTS, [EntryKey(host) for host in self._unreachable_hosts]
        )

    def _is_advised(
        self,
        view: ServiceView,
        candidate: Candidate,
        idempotent: bool,
        is_retry: bool,
        now_s: float,
    ) -> bool:
        if candidate.locality.host in self._unreachable_hosts:
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


def _filter_choices(tiers: Tiers, is_kept: Callable[[Candidate], bool]) -> Tiers:
    return [[choice for choice in tier if is_kept(choice.candidate)] for tier in tiers]
