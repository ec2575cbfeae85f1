"""What a detector of sick targets does."""

from abc import ABC, abstractmethod

import msgspec

from samphirespring.process.detection.observations import Observation, Stall
from samphirespring.process.detection.reference import PoolReference
from samphirespring.process.detection.states import EvidenceKind
from samphirespring.process.detection.summaries import TargetSummary


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """Why a target is judged as it is, for an operator."""

    kind: EvidenceKind
    severity: float
    since_s: float | None
    """Start of the evidence, in seconds of monotonic time."""

    observation_count: int
    """Observations since then."""

    latency: float = 0.0
    """Evidence by latency, as a share of its threshold."""

    failures: float = 0.0
    failure_trend: float = 0.0
    probe: float = 0.0
    failure_share: float = 0.0
    pool_failure_share: float = 0.0
    pool_median_ms: float | None = None


class Detector(ABC):
    """Gathers the evidence about one target."""

    @abstractmethod
    def observe(self, observation: Observation) -> None:
        """Take one attempt's outcome.

        Args:
            observation: The attempt.
        """

    @abstractmethod
    def record_stall(self, stall: Stall) -> None:
        """Take what a wait says of an attempt that has not ended.

        Args:
            stall: The wait.
        """

    @abstractmethod
    def use_reference(self, reference: PoolReference) -> None:
        """Compare with this reference from now on.

        Args:
            reference: The pool's reference.
        """

    @abstractmethod
    def record_probe(self, *, succeeded: bool, now_s: float) -> None:
        """Take the result of a probe; a success clears no evidence.

        Args:
            succeeded: Whether the probe was answered well.
            now_s: Monotonic time, in seconds.
        """

    @abstractmethod
    def measure_severity(self, now_s: float) -> float:
        """Return the strength of the evidence; at 1 the target is sick.

        Args:
            now_s: Monotonic time, in seconds.
        """

    @abstractmethod
    def explain(self, now_s: float) -> Evidence:
        """Return the evidence.

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
        """Forget the evidence, for a trial."""
