"""Interface of detectors of unhealthy targets."""

from abc import ABC, abstractmethod

import msgspec

from samphirespring.process.detection.observations import Observation, Stall
from samphirespring.process.detection.reference import PoolReference
from samphirespring.process.detection.states import EvidenceKind
from samphirespring.process.detection.summaries import TargetSummary


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence behind the condition of a target, shown to operators."""

    kind: EvidenceKind
    severity: float
    since_s: float | None
    """Monotonic time at which the evidence began, in seconds."""

    observation_count: int
    """Number of observations since then."""

    latency: float = 0.0
    """Evidence from latency, as a share of its threshold."""

    failures: float = 0.0
    failure_trend: float = 0.0
    probe: float = 0.0
    failure_share: float = 0.0
    pool_failure_share: float = 0.0
    pool_median_ms: float | None = None


class Detector(ABC):
    """Accumulates evidence about one target."""

    @abstractmethod
    def observe(self, observation: Observation) -> None:
        """Add the outcome of an attempt.

        Args:
            observation: Outcome and latency of the attempt.
        """

    @abstractmethod
    def record_stall(self, stall: Stall) -> None:
        """Add the evidence of an attempt in flight that has stalled.

        Args:
            stall: The stall with its stage.
        """

    @abstractmethod
    def use_reference(self, reference: PoolReference) -> None:
        """Replace the reference that observations are compared with.

        Args:
            reference: The pool's reference.
        """

    @abstractmethod
    def record_probe(self, *, succeeded: bool, now_s: float) -> None:
        """Add the result of a probe; a success clears no evidence.

        Args:
            succeeded: Whether the probe succeeded.
            now_s: Monotonic time, in seconds.
        """

    @abstractmethod
    def measure_severity(self, now_s: float) -> float:
        """Return the strength of the evidence; from 1 on the target is unhealthy.

        Args:
            now_s: Monotonic time, in seconds.
        """

    @abstractmethod
    def explain(self, now_s: float) -> Evidence:
        """Return the evidence, for operators.

        Args:
            now_s: Monotonic time, in seconds.
        """

    @abstractmethod
    def summarize(self, now_s: float) -> TargetSummary | None:
        """Return the target's contribution to the pool's reference.

        Args:
            now_s: Monotonic time, in seconds.
        """

    @abstractmethod
    def reset(self) -> None:
        """Discard the evidence, so that a trial starts without any."""
