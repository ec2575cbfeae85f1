"""Parameters of detection; a service's policy chooses one set."""

from dataclasses import dataclass

from samphirespring.version.states import DetectionMode


@dataclass(frozen=True, slots=True, kw_only=True)
class DetectionParameters:
    """What differs between policies; the mechanism is the same.

    Attributes:
        latency_threshold: Log likelihood ratio at which latency alone makes a target sick. The
            rate of false alarms falls exponentially with it.
        failure_threshold: The same for failures.
        tolerated_ratio: Latency over the pool's that is not sickness.
        unhealthy_ratio: Latency over the pool's that the test is most sensitive to.
        failure_share_floor: Least share of failures that a healthy pool is assumed to have.
        min_duration_s: Least time that the evidence spans, in seconds, so that one pause is no
            sickness.
        ejection_s: Length of a first ejection, in seconds; each repetition doubles it.
        max_ejection_s: Longest ejection, in seconds.
        trial_count: Answers that a trial takes at least.
        backoff_decay_s: Time in health after which one earlier ejection is forgotten, in seconds.
    """

    latency_threshold: float
    failure_threshold: float
    tolerated_ratio: float
    unhealthy_ratio: float = 2.0
    failure_share_floor: float
    min_duration_s: float
    ejection_s: float
    max_ejection_s: float = 600.0
    trial_count: int
    backoff_decay_s: float = 600.0


FAST = DetectionParameters(
    latency_threshold=14.0,
    failure_threshold=15.0,
    tolerated_ratio=1.2,
    failure_share_floor=0.003,
    min_duration_s=0.5,
    ejection_s=10.0,
    trial_count=10,
)

CAREFUL = DetectionParameters(
    latency_threshold=24.0,
    failure_threshold=30.0,
    tolerated_ratio=1.3,
    failure_share_floor=0.005,
    min_duration_s=2.0,
    ejection_s=20.0,
    trial_count=16,
)


def get_parameters(mode: DetectionMode) -> DetectionParameters:
    """Return the parameters of a detection mode.

    Args:
        mode: The mode that the service's policy names.
    """
    return FAST if mode is DetectionMode.FAST else CAREFUL
