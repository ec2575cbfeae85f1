"""Services that shed as a whole, as a target table sees them."""

from collections.abc import Mapping, Sequence

from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.request.selection import Choice
from samphirespring.request.shedding_selection import view_shedding
from samphirespring.version.document import ServicePolicy
from samphirespring.version.ids import ServiceName
from samphirespring.version.states import RetryPlan

_log = EventLog()


class SheddingServices:
    """Tells which services shed as a whole, of those whose policies plan retries for that."""

    def __init__(self) -> None:
        self._planned: frozenset[ServiceName] = frozenset()
        self._whole: set[ServiceName] = set()

    def use_policies(self, policies: Mapping[ServiceName, ServicePolicy]) -> None:
        """Apply the policies of the services.

        Args:
            policies: Policies of all services.
        """
        self._planned = frozenset(
            service
            for service, policy in policies.items()
            if policy.retry_plan is RetryPlan.BY_SERVICE
        )
        self._whole &= self._planned

    def is_whole(self, service: ServiceName, tiers: Sequence[Sequence[Choice]]) -> bool:
        """Return whether most targets of a service shed.

        Args:
            service: The service.
            tiers: Its targets, as they are now.
        """
        if service not in self._planned:
            return False
        view = view_shedding(tiers)
        was_whole = service in self._whole
        is_whole = view.is_whole(was_whole=was_whole)
        if is_whole != was_whole:
            self._whole ^= {service}
            _log.info(
                LogEvent.SERVICE_SHEDDING,
                service=service,
                whole=is_whole,
                heard=view.heard,
                shedding=view.shedding,
            )
        return is_whole
