"""Evaluates the health of one target in its agent."""

import math

import msgspec

from samphirespring.process.detection.parameters import get_parameters
from samphirespring.process.detection.reference import PoolReference
from samphirespring.process.detection.sequential import SequentialDetector
from samphirespring.process.detection.target_health import TargetHealth
from samphirespring.process.states import TargetCondition
from samphirespring.version.states import DetectionMode

DEFAULT_SLOW_START_S = 10.0


class DetectionTerms(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Detection policy and pool reference that a front sends to agents with its attempts."""

    mode: DetectionMode
    slow_start_s: float
    reference: PoolReference | None = None


class TargetEvaluator:
    """Evaluates a target under the terms that fronts send with their attempts.

    Args:
        now_s: Monotonic time, in seconds.
    """

    def __init__(self, *, now_s: float) -> None:
        self._mode = DetectionMode.CAREFUL
        self._slow_start_s = DEFAULT_SLOW_START_S
        self._terms: DetectionTerms | None = None
        self._fault_span_s = math.inf
        self._health = self._make_health(now_s)

    @property
    def health(self) -> TargetHealth:
        """Health of the target under the current policy."""
        return self._health

    @property
    def reference(self) -> PoolReference | None:
        """The latest reference of the target's pool; None before the first one."""
        return None if self._terms is None else self._terms.reference

    def use_terms(self, terms: DetectionTerms | None, *, now_s: float) -> None:
        """Apply new terms; another mode or slow start discards the evidence.

        Args:
            terms: The terms; None keeps the current ones.
            now_s: Monotonic time, in seconds.
        """
        if terms is None or terms == self._terms:
            return
        self._terms = terms
        if terms.mode is not self._mode or terms.slow_start_s != self._slow_start_s:
            self._mode = terms.mode
            self._slow_start_s = terms.slow_start_s
            self._replace_health(now_s)
        if terms.reference is not None:
            self._health.use_reference(terms.reference)

    def use_fault_span(self, span_s: float) -> None:
        """Set the mean length of the short faults of the target's service.

        Args:
            span_s: The length, in seconds; infinite if short faults aren't tracked.
        """
        self._fault_span_s = span_s
        self._health.use_fault_span(span_s)

    def _make_health(self, now_s: float) -> TargetHealth:
        parameters = get_parameters(self._mode)
        health = TargetHealth(
            SequentialDetector(parameters),
            parameters=parameters,
            slow_start_s=self._slow_start_s,
            now_s=now_s,
        )
        health.use_fault_span(self._fault_span_s)
        return health

    def _replace_health(self, now_s: float) -> None:
        was_cold = self._health.state is TargetCondition.SLOW_START
        self._health = self._make_health(now_s)
        if was_cold:
            self._health.start_cold(now_s)
