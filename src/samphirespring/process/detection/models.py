"""Builds fault models from the policies of services."""

from samphirespring.process.detection.fault_risk import FaultModel
from samphirespring.version.document import ServicePolicy


def make_fault_model(policy: ServicePolicy) -> FaultModel | None:
    """Return the fault model of a service, or None if its policy tracks no short faults.

    Args:
        policy: The service's policy.
    """
    suspicion = policy.suspicion
    if suspicion is None:
        return None
    return FaultModel(share=suspicion.share, span_s=suspicion.span_s)
