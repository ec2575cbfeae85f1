"""What is observed of one attempt on a target."""

from dataclasses import dataclass

from samphirespring.process.detection.states import ObservedOutcome

FAILURES = frozenset(
    {
        ObservedOutcome.WRONG,
        ObservedOutcome.RESET,
        ObservedOutcome.TIMEOUT,
        ObservedOutcome.CUT,
    }
)
"""Outcomes that count against a target."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """One attempt as evidence.

    Attributes:
        at_s: Monotonic time of its end, in seconds.
        outcome: How it ended.
        latency_s: Time that the target took, without queues and links, in seconds; None where no
            answer came.
        stalled: Whether the attempt's stall has counted against the target before its end.
    """

    at_s: float
    outcome: ObservedOutcome
    latency_s: float | None
    stalled: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Stall:
    """An attempt in flight that has waited far longer than usual, as evidence.

    Attributes:
        at_s: Monotonic time, in seconds.
        started_s: Monotonic time of the attempt's start, in seconds.
        stage: How far it has stalled; see `compute_stall_stage`.
        counted_stage: How far it had stalled when it counted last, or 0.
    """

    at_s: float
    started_s: float
    stage: int
    counted_stage: int

    @property
    def first(self) -> bool:
        """Whether the attempt counts for the first time."""
        return self.counted_stage == 0
