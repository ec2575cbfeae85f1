"""The policies of the document in force that the agent applies."""

from collections.abc import Mapping

from samphirespring.process.agent.agent_messages import Announcement, UsePolicies
from samphirespring.process.detection.fault_risk import FaultModel
from samphirespring.process.detection.models import make_fault_model
from samphirespring.version.document import DetectionPolicy, ServicePolicy
from samphirespring.version.ids import DocumentVersion, ServiceName
from samphirespring.version.states import AdmissionMode, PlacementMode

DEFAULT_POLICY = ServicePolicy()


class LocalPolicies:
    """Policies of the services, from the newest version received."""

    def __init__(self) -> None:
        self.version: DocumentVersion | None = None
        """Version of the document; None before the first one is received."""

        self._services: Mapping[ServiceName, ServicePolicy] = {}

    def apply(self, message: UsePolicies) -> None:
        """Apply a version of the document; its sender never sends an older one.

        Args:
            message: The policies.
        """
        self.version = message.version
        self._services = message.services

    def has_policy_for(self, announcement: Announcement) -> bool:
        """Return whether the number of slots of a target can be determined.

        Args:
            announcement: The target's announcement.
        """
        if self.version is None:
            return announcement.slots is not None
        return announcement.service in self._services

    def find_slots(self, announcement: Announcement) -> int:
        """Return the limit of concurrent requests of a target.

        Args:
            announcement: The target's announcement.
        """
        if announcement.slots is not None:
            return announcement.slots
        return self._services.get(announcement.service, DEFAULT_POLICY).slots

    def find_fault_model(self, service: ServiceName) -> FaultModel | None:
        """Return the fault model of a service, or None if short faults aren't tracked.

        Args:
            service: The service.
        """
        return make_fault_model(self._services.get(service, DEFAULT_POLICY))

    def find_admission(self, service: ServiceName) -> AdmissionMode:
        """Return what happens to attempts that find no free slot at a service's targets.

        Args:
            service: The service.
        """
        return self._services.get(service, DEFAULT_POLICY).admission

    def places_by_work(self, service: ServiceName) -> bool:
        """Return whether fronts weigh the work that the targets of a service still have to do.

        Args:
            service: The service.
        """
        policy = self._services.get(service, DEFAULT_POLICY)
        return policy.placement is PlacementMode.WORK

    def find_detection(self, service: ServiceName) -> DetectionPolicy:
        """Return the policy by which a service's targets are evaluated and probed.

        Args:
            service: The service.
        """
        return self._services.get(service, DEFAULT_POLICY).detection
