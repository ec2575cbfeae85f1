"""Observations of attempts, the input of detectors."""

import msgspec

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


class Observation(msgspec.Struct, frozen=True, kw_only=True):
    """End of one attempt as evidence.

    Attributes:
        at_s: Monotonic time of its end, in seconds.
        outcome: Outcome of the attempt.
        latency_s: Time that the target took, without queues and links, in seconds; None if there
            was no response.
        stalled: Whether the attempt has already counted against the target as stalled.
    """

    at_s: float
    outcome: ObservedOutcome
    latency_s: float | None
    stalled: bool = False


class Stall(msgspec.Struct, frozen=True, kw_only=True):
    """Attempt in flight that has waited far longer than usual, as evidence.

    Attributes:
        at_s: Monotonic time, in seconds.
        started_at_s: Monotonic time of the attempt's start, in seconds.
        stage: Stage of the stall; see `compute_stall_stage`.
        counted_stage: Stage that has been counted before, or 0.
    """

    at_s: float
    started_at_s: float
    stage: int
    counted_stage: int

    @property
    def first(self) -> bool:
        """Whether this is the first stage of the attempt that is counted."""
        return self.counted_stage == 0
