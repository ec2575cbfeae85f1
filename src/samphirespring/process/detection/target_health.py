"""State machine of one target's health: suspicion, ejection, trial and slow start."""

import math

import msgspec

from samphirespring.process.detection.detector import Detector, Evidence
from samphirespring.process.detection.observations import FAILURES, Observation, Stall
from samphirespring.process.detection.parameters import DetectionParameters
from samphirespring.process.detection.reference import PoolReference
from samphirespring.process.detection.states import EvidenceKind, ObservedOutcome
from samphirespring.process.detection.summaries import TargetSummary
from samphirespring.process.states import TargetCondition

SUSPECT_SEVERITY = 0.3
UNHEALTHY_SEVERITY = 1.0
TRIAL_PASS_SEVERITY = 0.15
TRIAL_FAIL_SEVERITY = 0.5
TRIAL_WEIGHT = 0.1
"""Share of its usual idempotent requests that a target in its trial receives."""

MIN_START_WEIGHT = 0.1
"""Weight of a target at the start of its slow start."""

FIRST_EJECTION_SPANS = 1.5
"""Duration of a first ejection for failures, in mean lengths of the short faults of a service. Most
of them are over by then."""

MAX_BACKOFF_LEVEL = 16


class HealthDump(msgspec.Struct, frozen=True, kw_only=True):
    """Condition of a target with its evidence and planned end."""

    condition: TargetCondition
    severity: float
    since_s: float
    """Monotonic time at which the condition began, in seconds."""

    until_s: float | None
    """Monotonic time at which the condition is planned to end, in seconds."""

    ejection_count: int
    """Number of recent ejections, which prolong the next one."""

    cause: Evidence | None
    """Evidence at the time of the latest ejection."""

    evidence: Evidence


class TargetHealth:
    """Evaluates one target from its observations.

    After an ejection, a target has to pass a trial and a slow start. An ejection for failures is
    short where the short faults of a service are tracked, and ends without them: requests avoid a
    target that still fails, by its risk. Such ejections grow only while no response after their end
    is a success, as each fault may well be a new one.

    Args:
        detector: Accumulates the evidence.
        parameters: Parameters of the detection mode.
        slow_start_s: Duration of a slow start, in seconds.
        now_s: Monotonic time, in seconds.
    """

    def __init__(
        self,
        detector: Detector,
        *,
        parameters: DetectionParameters,
        slow_start_s: float,
        now_s: float,
    ) -> None:
        self._detector = detector
        self._parameters = parameters
        self._slow_start_s = slow_start_s
        self._state = TargetCondition.HEALTHY
        self._entered_at_s = now_s
        self._ends_at_s: float | None = None
        self._in_cold_start = False
        self._fault_span_s = math.inf
        self._failed_returns = 0
        """Short ejections in a row with no success between them."""

        self._is_ejection_short = False
        self._backoff_level = 0
        self._backoff_drops_at_s = math.inf
        self._outcome_count = 0
        self._cause: Evidence | None = None
        self._trial_clean = True
        self._evidence_start_s = now_s
        """Start of the current evidence; stalls of earlier attempts belong to older evidence."""

    @property
    def state(self) -> TargetCondition:
        """The condition without regard to suspicion."""
        return self._state

    @property
    def was_trial_clean(self) -> bool:
        """Whether the current or latest trial has produced no evidence against the target."""
        return self._trial_clean

    def read_condition(self, now_s: float) -> TargetCondition:
        """Return the condition.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self._state is not TargetCondition.HEALTHY:
            return self._state
        if self._detector.measure_severity(now_s) >= SUSPECT_SEVERITY:
            return TargetCondition.SUSPECT
        return TargetCondition.HEALTHY

    def read_severity(self, now_s: float) -> float:
        """Return the strength of the evidence; at least 1 while unhealthy or in a trial.

        Args:
            now_s: Monotonic time, in seconds.
        """
        severity = self._detector.measure_severity(now_s)
        if self._state in (TargetCondition.UNHEALTHY, TargetCondition.TRIAL):
            return max(UNHEALTHY_SEVERITY, severity)
        return severity

    def read_weight(self, now_s: float) -> float:
        """Return the share of its usual requests that the target should receive.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self._state is TargetCondition.TRIAL:
            return TRIAL_WEIGHT
        if self._state is TargetCondition.SLOW_START:
            return max(
                MIN_START_WEIGHT, min(1.0, (now_s - self._entered_at_s) / self._slow_start_s)
            )
        return 1.0

    def start_cold(self, now_s: float, *, duration_s: float | None = None) -> None:
        """Begin a slow start during which responses are no evidence.

        Args:
            now_s: Monotonic time, in seconds.
            duration_s: Duration in seconds, or None for the duration of the policy.
        """
        self._detector.reset()
        self._in_cold_start = True
        until_s = now_s + (self._slow_start_s if duration_s is None else duration_s)
        self._enter(TargetCondition.SLOW_START, now_s, until_s=until_s)

    def use_fault_span(self, span_s: float) -> None:
        """Set the mean length of the short faults of the target's service.

        Args:
            span_s: The length, in seconds; infinite if short faults aren't tracked.
        """
        self._fault_span_s = span_s

    def use_reference(self, reference: PoolReference) -> None:
        """Replace the reference that observations are compared with.

        Args:
            reference: The pool's reference.
        """
        self._detector.use_reference(reference)

    def record_probe(self, *, succeeded: bool, now_s: float) -> None:
        """Add the result of a probe; successes and probes during a cold start have no effect.

        Args:
            succeeded: Whether the probe succeeded.
            now_s: Monotonic time, in seconds.
        """
        if self._in_cold_start:
            return
        self._detector.record_probe(succeeded=succeeded, now_s=now_s)

    def observe(self, observation: Observation) -> None:
        """Add the outcome of an attempt and update the condition.

        Args:
            observation: Outcome and latency of the attempt.
        """
        self.advance(observation.at_s)
        if self._in_cold_start:
            return
        self._detector.observe(observation)
        if observation.outcome is ObservedOutcome.OK and self._began_after_return(observation):
            self._failed_returns = 0
        if observation.stalled:
            return
        if observation.outcome is ObservedOutcome.OK or observation.outcome in FAILURES:
            self._outcome_count += 1
            self._record_trial_evidence(
                failed=observation.outcome in FAILURES, now_s=observation.at_s
            )
            self._update_state(observation.at_s)

    def record_stall(self, stall: Stall) -> None:
        """Add the stall of an attempt in flight and update the condition.

        Args:
            stall: The stall with its stage.
        """
        self.advance(stall.at_s)
        if self._in_cold_start or stall.started_at_s < self._evidence_start_s:
            return
        self._detector.record_stall(stall)
        if stall.first:
            self._outcome_count += 1
        self._record_trial_evidence(failed=True, now_s=stall.at_s)
        self._update_state(stall.at_s)

    def advance(self, now_s: float) -> None:
        """Apply the transitions that are due.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self._ends_at_s is not None and now_s >= self._ends_at_s:
            self._end_state(now_s)
        if self._backoff_level > 0 and now_s >= self._backoff_drops_at_s:
            self._backoff_level -= 1
            self._backoff_drops_at_s = now_s + self._parameters.backoff_decay_s

    def summarize(self, now_s: float) -> TargetSummary | None:
        """Return the target's contribution to the pool's reference.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return self._detector.summarize(now_s)

    def make_dump(self, now_s: float) -> HealthDump:
        """Return the state for an operator.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return HealthDump(
            condition=self.read_condition(now_s),
            severity=round(self.read_severity(now_s), 3),
            since_s=self._entered_at_s,
            until_s=self._ends_at_s,
            ejection_count=max(self._backoff_level, self._failed_returns),
            cause=self._cause,
            evidence=self._detector.explain(now_s),
        )

    def _began_after_return(self, observation: Observation) -> bool:
        """Return whether an attempt began since the latest ejection ended."""
        if self._state is TargetCondition.UNHEALTHY or observation.latency_s is None:
            return False
        return observation.at_s - observation.latency_s >= self._evidence_start_s

    def _record_trial_evidence(self, *, failed: bool, now_s: float) -> None:
        if self._state is not TargetCondition.TRIAL:
            return
        if failed or self._detector.measure_severity(now_s) > TRIAL_PASS_SEVERITY:
            self._trial_clean = False

    def _update_state(self, now_s: float) -> None:
        severity = self._detector.measure_severity(now_s)
        match self._state:
            case TargetCondition.TRIAL:
                self._update_trial(severity, now_s)
            case TargetCondition.UNHEALTHY:
                # Only a target that the floor or a common cause keeps in service still responds.
                if severity < TRIAL_PASS_SEVERITY and self._has_enough_outcomes():
                    self._enter(TargetCondition.HEALTHY, now_s, until_s=None)
            case _:
                if severity >= UNHEALTHY_SEVERITY:
                    self._eject(now_s)

    def _update_trial(self, severity: float, now_s: float) -> None:
        if severity >= TRIAL_FAIL_SEVERITY:
            self._eject(now_s)
        elif severity <= TRIAL_PASS_SEVERITY and self._has_enough_outcomes():
            until_s = now_s + self._slow_start_s
            self._enter(TargetCondition.SLOW_START, now_s, until_s=until_s)

    def _has_enough_outcomes(self) -> bool:
        return self._outcome_count >= self._parameters.trial_count

    def _eject(self, now_s: float) -> None:
        self._cause = self._detector.explain(now_s)
        has_short_faults = math.isfinite(self._fault_span_s)
        self._is_ejection_short = has_short_faults and self._cause.kind is EvidenceKind.FAILURES
        duration_s = self._count_short_ejection() if self._is_ejection_short else self._back_off()
        until_s = now_s + min(self._parameters.max_ejection_s, duration_s)
        self._enter(TargetCondition.UNHEALTHY, now_s, until_s=until_s)

    def _count_short_ejection(self) -> float:
        """Return the duration of a short ejection in seconds, and count it."""
        first_s = min(self._parameters.ejection_s, FIRST_EJECTION_SPANS * self._fault_span_s)
        duration_s = first_s * 2.0**self._failed_returns
        self._failed_returns = min(MAX_BACKOFF_LEVEL, self._failed_returns + 1)
        return duration_s

    def _back_off(self) -> float:
        """Return the duration of another ejection in seconds, and prolong the next one."""
        duration_s = self._parameters.ejection_s * 2.0**self._backoff_level
        self._backoff_level = min(MAX_BACKOFF_LEVEL, self._backoff_level + 1)
        return duration_s

    def _end_state(self, now_s: float) -> None:
        if self._state is TargetCondition.UNHEALTHY:
            self._detector.reset()
            self._evidence_start_s = now_s
            self._trial_clean = True
            next_state = (
                TargetCondition.HEALTHY if self._is_ejection_short else TargetCondition.TRIAL
            )
            self._enter(next_state, now_s, until_s=None)
        else:
            if self._in_cold_start:
                self._evidence_start_s = now_s
            self._in_cold_start = False
            self._enter(TargetCondition.HEALTHY, now_s, until_s=None)

    def _enter(self, state: TargetCondition, now_s: float, *, until_s: float | None) -> None:
        self._state = state
        self._entered_at_s = now_s
        self._ends_at_s = until_s
        self._outcome_count = 0
        self._backoff_drops_at_s = now_s + self._parameters.backoff_decay_s
        if state in (TargetCondition.UNHEALTHY, TargetCondition.TRIAL):
            self._backoff_drops_at_s = math.inf
