"""Parameter sets of the detector, one for each detection mode."""

import msgspec

from samphirespring.version.states import DetectionMode


class DetectionParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters that differ between detection modes; the algorithm is the same.

    Attributes:
        latency_threshold: Log likelihood ratio at which latency alone makes a target unhealthy. The
            rate of false alarms falls exponentially with it.
        failure_threshold: The same for failures.
        tolerated_ratio: Ratio of a target's latency to the pool's that still counts as healthy.
        unhealthy_ratio: Ratio of latencies that the test is most sensitive to.
        failure_share_floor: Minimum share of failures that a healthy pool is assumed to have.
        min_duration_s: Minimum duration of the evidence, in seconds, so that a single pause does
            not make a target unhealthy.
        ejection_s: Duration of a first ejection, in seconds; each repetition doubles it.
        max_ejection_s: Maximum duration of an ejection, in seconds.
        trial_count: Minimum number of responses in a trial.
        backoff_decay_s: Time outside of ejections and trials after which the number of recent
            ejections drops by one, in seconds.
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
        mode: Detection mode in the service's policy.
    """
    return FAST if mode is DetectionMode.FAST else CAREFUL
