"""Life of one target's health: suspicion, ejection, trial, slow start."""

import math

import msgspec

from samphirespring.process.detection.detector import Detector, Evidence
from samphirespring.process.detection.observations import FAILURES, Observation, Stall
from samphirespring.process.detection.parameters import DetectionParameters
from samphirespring.process.detection.reference import PoolReference
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.detection.summaries import TargetSummary
from samphirespring.process.states import TargetCondition

SUSPECT_SEVERITY = 0.3
UNHEALTHY_SEVERITY = 1.0
TRIAL_PASS_SEVERITY = 0.15
TRIAL_FAIL_SEVERITY = 0.5
TRIAL_WEIGHT = 0.1
"""Share of its usual idempotent requests that a target on trial gets."""

MIN_START_WEIGHT = 0.1
"""Weight of a target at the beginning of its slow start."""

MAX_BACKOFF_LEVEL = 16


class HealthDump(msgspec.Struct, frozen=True, kw_only=True):
    """Why a target is in its condition, and until when."""

    condition: TargetCondition
    severity: float
    since_s: float
    """Start of the condition, in seconds of monotonic time."""

    until_s: float | None
    """Planned end of the condition, in seconds of monotonic time."""

    ejection_count: int
    """Recent ejections, which lengthen the next one."""

    cause: Evidence | None
    """Evidence at the moment of the latest ejection."""

    evidence: Evidence


class TargetHealth:
    """Judges one target from its observations.

    Args:
        detector: Gathers the evidence.
        parameters: The policy's parameters.
        slow_start_s: Length of a slow start, in seconds.
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
        self._since_s = now_s
        self._until_s: float | None = None
        self._cold = False
        self._level = 0
        self._forget_s = math.inf
        self._state_count = 0
        self._cause: Evidence | None = None
        self._trial_clean = True
        self._judged_from_s = now_s
        """Start of the present evidence; what an older attempt shows was judged before."""

    @property
    def state(self) -> TargetCondition:
        """The condition apart from suspicion."""
        return self._state

    @property
    def was_trial_clean(self) -> bool:
        """Whether nothing in the present or latest trial spoke against the target."""
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
        """Return how strong the evidence of sickness is; at least 1 while sick.

        Args:
            now_s: Monotonic time, in seconds.
        """
        severity = self._detector.measure_severity(now_s)
        if self._state in (TargetCondition.UNHEALTHY, TargetCondition.TRIAL):
            return max(UNHEALTHY_SEVERITY, severity)
        return severity

    def read_weight(self, now_s: float) -> float:
        """Return the share of its usual requests that the target should get.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self._state is TargetCondition.TRIAL:
            return TRIAL_WEIGHT
        if self._state is TargetCondition.SLOW_START:
            return max(MIN_START_WEIGHT, min(1.0, (now_s - self._since_s) / self._slow_start_s))
        return 1.0

    def start_cold(self, now_s: float, *, duration_s: float | None = None) -> None:
        """Begin a slow start whose answers are no evidence.

        Args:
            now_s: Monotonic time, in seconds.
            duration_s: Its length, in seconds; None takes the policy's.
        """
        self._detector.reset()
        self._cold = True
        until_s = now_s + (self._slow_start_s if duration_s is None else duration_s)
        self._enter(TargetCondition.SLOW_START, now_s, until_s=until_s)

    def use_reference(self, reference: PoolReference) -> None:
        """Compare with this reference from now on.

        Args:
            reference: The pool's reference.
        """
        self._detector.use_reference(reference)

    def record_probe(self, *, succeeded: bool, now_s: float) -> None:
        """Take the result of a probe; a success clears nothing, a cold start fails none.

        Args:
            succeeded: Whether the probe was answered well.
            now_s: Monotonic time, in seconds.
        """
        if self._cold:
            return
        self._detector.record_probe(succeeded=succeeded, now_s=now_s)

    def observe(self, observation: Observation) -> None:
        """Take one attempt's outcome and change the condition where it decides.

        Args:
            observation: The attempt.
        """
        self.advance(observation.at_s)
        if self._cold:
            return
        self._detector.observe(observation)
        if observation.stalled:
            return
        if observation.outcome is ObservedOutcome.OK or observation.outcome in FAILURES:
            self._state_count += 1
            self._note_trial(failed=observation.outcome in FAILURES, now_s=observation.at_s)
            self._decide(observation.at_s)

    def record_stall(self, stall: Stall) -> None:
        """Take the wait of an attempt in flight and change the condition where it decides.

        Args:
            stall: The wait.
        """
        self.advance(stall.at_s)
        if self._cold or stall.started_s < self._judged_from_s:
            return
        self._detector.record_stall(stall)
        if stall.first:
            self._state_count += 1
        self._note_trial(failed=True, now_s=stall.at_s)
        self._decide(stall.at_s)

    def advance(self, now_s: float) -> None:
        """End what has lasted long enough.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self._until_s is not None and now_s >= self._until_s:
            self._end_state(now_s)
        if self._level > 0 and now_s >= self._forget_s:
            self._level -= 1
            self._forget_s = now_s + self._parameters.backoff_decay_s

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
            since_s=self._since_s,
            until_s=self._until_s,
            ejection_count=self._level,
            cause=self._cause,
            evidence=self._detector.explain(now_s),
        )

    def _note_trial(self, *, failed: bool, now_s: float) -> None:
        if self._state is not TargetCondition.TRIAL:
            return
        if failed or self._detector.measure_severity(now_s) > TRIAL_PASS_SEVERITY:
            self._trial_clean = False

    def _decide(self, now_s: float) -> None:
        severity = self._detector.measure_severity(now_s)
        match self._state:
            case TargetCondition.TRIAL:
                self._decide_trial(severity, now_s)
            case TargetCondition.UNHEALTHY:
                # Answers keep coming only where the floor or a common cause kept the target in.
                if severity < TRIAL_PASS_SEVERITY and self._has_enough():
                    self._enter(TargetCondition.HEALTHY, now_s, until_s=None)
            case _:
                if severity >= UNHEALTHY_SEVERITY:
                    self._eject(now_s)

    def _decide_trial(self, severity: float, now_s: float) -> None:
        if severity >= TRIAL_FAIL_SEVERITY:
            self._eject(now_s)
        elif severity <= TRIAL_PASS_SEVERITY and self._has_enough():
            until_s = now_s + self._slow_start_s
            self._enter(TargetCondition.SLOW_START, now_s, until_s=until_s)

    def _has_enough(self) -> bool:
        return self._state_count >= self._parameters.trial_count

    def _eject(self, now_s: float) -> None:
        self._cause = self._detector.explain(now_s)
        duration_s = self._parameters.ejection_s * 2**self._level
        self._level = min(MAX_BACKOFF_LEVEL, self._level + 1)
        until_s = now_s + min(self._parameters.max_ejection_s, duration_s)
        self._enter(TargetCondition.UNHEALTHY, now_s, until_s=until_s)

    def _end_state(self, now_s: float) -> None:
        if self._state is TargetCondition.UNHEALTHY:
            self._detector.reset()
            self._judged_from_s = now_s
            self._trial_clean = True
            self._enter(TargetCondition.TRIAL, now_s, until_s=None)
        else:
            if self._cold:
                self._judged_from_s = now_s
            self._cold = False
            self._enter(TargetCondition.HEALTHY, now_s, until_s=None)

    def _enter(self, state: TargetCondition, now_s: float, *, until_s: float | None) -> None:
        self._state = state
        self._since_s = now_s
        self._until_s = until_s
        self._state_count = 0
        self._forget_s = now_s + self._parameters.backoff_decay_s
        if state in (TargetCondition.UNHEALTHY, TargetCondition.TRIAL):
            self._forget_s = math.inf
