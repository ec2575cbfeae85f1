"""Learned costs of the services whose requests are placed by work."""

from collections.abc import Mapping

from samphirespring.process.ids import WorkKind
from samphirespring.process.paging import DumpList, EntryKey, PagedList, make_single_part_list
from samphirespring.process.targets import TargetWork
from samphirespring.process.work.work_estimator import ServiceWorkDump, WorkEstimator
from samphirespring.version.document import ServicePolicy
from samphirespring.version.ids import ServiceName
from samphirespring.version.states import PlacementMode

DUMPED_KINDS = 20
"""Largest number of kinds of one service in a dump; the latest are shown."""


class ServiceCosts:
    """Estimators of the services, which a change of the document adds and removes."""

    def __init__(self) -> None:
        self._estimators: dict[ServiceName, WorkEstimator] = {}

    def use_policies(self, policies: Mapping[ServiceName, ServicePolicy]) -> None:
        """Apply the policies of all services; what was learned of services that stay is kept.

        Args:
            policies: The policies.
        """
        self._estimators = {
            service: self._estimators.get(service) or WorkEstimator()
            for service, policy in policies.items()
            if policy.placement is PlacementMode.WORK
        }

    def estimate(
        self, service: ServiceName, kind: WorkKind | None, *, now_s: float
    ) -> float | None:
        """Return the expected work of a request, in seconds; None to place it by slots.

        Args:
            service: The service.
            kind: Kind of the request; None if it isn't known.
            now_s: Monotonic time, in seconds.
        """
        estimator = self._estimators.get(service)
        return None if estimator is None else estimator.estimate(kind, now_s=now_s)

    def learn(
        self, service: ServiceName, kind: WorkKind | None, work: TargetWork | None, *, now_s: float
    ) -> None:
        """Learn from the end of an attempt.

        Args:
            service: The service.
            kind: Kind of the request; None if it isn't known.
            work: What the target's agent reported; None if it reported nothing.
            now_s: Monotonic time, in seconds.
        """
        estimator = self._estimators.get(service)
        if estimator is None or kind is None or work is None or work.run_s is None:
            return
        estimator.learn(kind, run_s=work.run_s, pace=work.pace, now_s=now_s)

    def list_services(self, now_s: float) -> PagedList[ServiceWorkDump]:
        """Return the learned costs for an operator, by service.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return make_single_part_list(
            DumpList.COSTS,
            [EntryKey(service) for service in self._estimators],
            lambda key: self._make_dump(ServiceName(key), now_s),
        )

    def _make_dump(self, service: ServiceName, now_s: float) -> ServiceWorkDump:
        return self._estimators[service].make_dump(service, now_s=now_s, limit=DUMPED_KINDS)
