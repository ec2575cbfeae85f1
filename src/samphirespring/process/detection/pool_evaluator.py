"""Evaluates one service's pool in a front: its reference and its ejections over time."""

import math
from collections.abc import Sequence

import msgspec

from samphirespring.process.detection.ejections import (
    EJECTABLE,
    EjectionDecision,
    TargetStatus,
    select_ejections,
)
from samphirespring.process.detection.reference import PoolReference, merge_summaries
from samphirespring.process.detection.states import AdmissionLevel
from samphirespring.process.detection.summaries import TargetSummary
from samphirespring.process.ids import TargetId
from samphirespring.process.states import TargetCondition

REFERENCE_INTERVAL_S = 0.5
"""Minimum time between two references of one pool, in seconds."""

SUMMARY_MAX_AGE_S = 900.0
"""Age from which a target's summary is dropped, in seconds."""

MIN_HOLD_S = 1.0
MAX_HOLD_S = 5.0
"""Bounds of the time without new ejections after a common cause, in seconds. The time grows with
the duration of the common cause."""

MIN_EXEMPTING_CAUSE_S = 1.0
"""Minimum duration of a common cause that exempts the targets it made unhealthy, in seconds."""

EXEMPTION_S = 30.0
"""Time that an exempt target has to recover after the common cause, in seconds."""


class PoolEvaluator:
    """Merges summaries into a reference and selects ejections; performs no I/O."""

    def __init__(self) -> None:
        self._summaries: dict[TargetId, TargetSummary] = {}
        self._summary_at_s: dict[TargetId, float] = {}
        self._reference: PoolReference | None = None
        self._reference_due_s = -math.inf
        self._decision = EjectionDecision()
        self._common_cause_since_s: float | None = None
        self._hold_until_s = -math.inf
        self._exempt_until_s: dict[TargetId, float] = {}
        """End of the exemption of each target that a common cause made unhealthy."""

    @property
    def decision(self) -> EjectionDecision:
        """The latest decision on ejections."""
        return self._decision

    def record_summary(self, target: TargetId, summary: TargetSummary, *, now_s: float) -> None:
        """Store a target's latest summary.

        Args:
            target: The target.
            summary: Its summary.
            now_s: Monotonic time, in seconds.
        """
        self._summaries[target] = summary
        self._summary_at_s[target] = now_s

    def remove_target(self, target: TargetId) -> None:
        """Drop a target's summary.

        Args:
            target: The target.
        """
        self._summaries.pop(target, None)
        self._summary_at_s.pop(target, None)

    def read_summary(self, target: TargetId) -> TargetSummary | None:
        """Return a target's latest summary.

        Args:
            target: The target.
        """
        return self._summaries.get(target)

    def read_reference(self, now_s: float) -> PoolReference | None:
        """Return the pool's reference, recomputed at most every `REFERENCE_INTERVAL_S`.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if now_s >= self._reference_due_s:
            self._drop_expired(now_s)
            self._reference = merge_summaries(self._summaries.values())
            self._reference_due_s = now_s + REFERENCE_INTERVAL_S
        return self._reference

    def decide(
        self, statuses: Sequence[TargetStatus], *, floor: float, now_s: float
    ) -> EjectionDecision:
        """Decide on ejections and return the decision.

        Args:
            statuses: All targets of the service, including those that count as missing.
            floor: Minimum share of the total capacity that ejections must leave.
            now_s: Monotonic time, in seconds.
        """
        self._end_exemptions(statuses, now_s)
        decision = select_ejections(
            [self._apply_exemption(status) for status in statuses],
            floor,
            ejected=self._decision.ejected,
            hold=now_s < self._hold_until_s,
        )
        self._update_hold(decision, now_s)
        self._exempt_targets(statuses, decision, now_s)
        self._decision = decision
        return decision

    def read_admission(self, target: TargetId, condition: TargetCondition) -> AdmissionLevel:
        """Return which requests the front sends to a target.

        Args:
            target: The target.
            condition: Its condition.
        """
        if target not in self._decision.ejected:
            return AdmissionLevel.FULL
        return (
            AdmissionLevel.TRIAL if condition is TargetCondition.TRIAL else AdmissionLevel.EJECTED
        )

    def _update_hold(self, decision: EjectionDecision, now_s: float) -> None:
        if decision.common_cause:
            if self._common_cause_since_s is None:
                self._common_cause_since_s = now_s
            duration_s = now_s - self._common_cause_since_s
            self._hold_until_s = now_s + min(MAX_HOLD_S, MIN_HOLD_S + duration_s)
        elif now_s >= self._hold_until_s:
            self._common_cause_since_s = None

    def _exempt_targets(
        self, statuses: Sequence[TargetStatus], decision: EjectionDecision, now_s: float
    ) -> None:
        since_s = self._common_cause_since_s
        if not decision.common_cause or since_s is None or now_s - since_s < MIN_EXEMPTING_CAUSE_S:
            return
        for status in statuses:
            if status.condition in EJECTABLE and status.target not in decision.ejected:
                self._exempt_until_s[status.target] = now_s + EXEMPTION_S

    def _end_exemptions(self, statuses: Sequence[TargetStatus], now_s: float) -> None:
        unhealthy = {status.target for status in statuses if status.condition in EJECTABLE}
        self._exempt_until_s = {
            target: until_s
            for target, until_s in self._exempt_until_s.items()
            if target in unhealthy and now_s < until_s
        }

    def _apply_exemption(self, status: TargetStatus) -> TargetStatus:
        if status.target not in self._exempt_until_s:
            return status
        # The evidence comes from the common cause and only needs time to decay.
        return msgspec.structs.replace(status, condition=TargetCondition.SUSPECT)

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - SUMMARY_MAX_AGE_S
        for target in [
            t for t, recorded_at_s in self._summary_at_s.items() if recorded_at_s < oldest_s
        ]:
            self.remove_target(target)
