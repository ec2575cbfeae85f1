"""Admission of attempts to a target that may be in a short fault."""

from samphirespring.process.detection.fault_risk import FaultModel, FaultRisk
from samphirespring.process.detection.observations import FAILURES
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.shedding.shed_rate import ShedRate
from samphirespring.process.targets import TargetSheds
from samphirespring.request.ids import AttemptId
from samphirespring.request.messages import AttemptRequest

SUSPECT_RISK = 0.5
"""Risk from which reads are only admitted occasionally, to find out whether the fault is over."""

TRIAL_INTERVAL_S = 1.0
"""Minimum time between two reads that try a suspect target, in seconds."""

_FAILED_BY_OUTCOME = {
    ObservedOutcome.OK: False,
    ObservedOutcome.SHED: True,
    **dict.fromkeys(FAILURES, True),
}


class Suspicion:
    """Tracks the risk of one target and rejects attempts that another target would serve better.

    Args:
        model: Fault model of its service.
        now_s: Monotonic time, in seconds.
    """

    def __init__(self, model: FaultModel, *, now_s: float) -> None:
        self._risk = FaultRisk(model, now_s=now_s)
        self._fault_risk = FaultRisk(model, now_s=now_s)
        """Risk by everything but what the target sheds."""

        self._sheds = ShedRate(now_s=now_s)
        self._last_trial_at_s = float("-inf")

    def use_model(self, model: FaultModel, *, now_s: float) -> None:
        """Replace the model; a different one resets the risk.

        Args:
            model: Fault model of the service.
            now_s: Monotonic time, in seconds.
        """
        if model != self._risk.model:
            self._risk = FaultRisk(model, now_s=now_s)
            self._fault_risk = FaultRisk(model, now_s=now_s)

    def begin(self, attempt: AttemptId, *, now_s: float) -> None:
        """Record the start of an attempt.

        Args:
            attempt: The attempt.
            now_s: Monotonic time, in seconds.
        """
        self._risk.begin(attempt, now_s=now_s)
        self._fault_risk.begin(attempt, now_s=now_s)

    def end(
        self,
        attempt: AttemptId,
        outcome: ObservedOutcome | None,
        *,
        now_s: float,
        as_slow_as_usual: bool = False,
    ) -> None:
        """Update the risk with the end of an attempt; errors of callers say nothing.

        Shedding counts as a failure: the agent admits attempts only into free slots, so a target
        that sheds them serves as little as one that fails. It doesn't where most targets of the
        service shed, as fronts then know and say (`AttemptRequest.sheds_are_load`).

        Args:
            attempt: The attempt.
            outcome: Its outcome; None if it is no evidence.
            now_s: Monotonic time, in seconds.
            as_slow_as_usual: Whether the response took as long as successful ones do.
        """
        failed = None if outcome is None else _FAILED_BY_OUTCOME.get(outcome)
        # Only a complete response shows by its time what failed the request.
        slow = as_slow_as_usual and outcome is ObservedOutcome.WRONG
        self._risk.end(attempt, failed=failed, as_slow_as_usual=slow, now_s=now_s)
        shed = outcome is ObservedOutcome.SHED
        self._fault_risk.end(
            attempt, failed=None if shed else failed, as_slow_as_usual=slow, now_s=now_s
        )
        self._sheds.count(outcome, now_s=now_s)

    def read(self, now_s: float) -> float:
        """Return the current risk.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return self._risk.read(now_s)

    def read_sheds(self, now_s: float) -> TargetSheds | None:
        """Return what the target sheds, or None if that is next to nothing.

        Args:
            now_s: Monotonic time, in seconds.
        """
        share = self._sheds.read(now_s)
        if share == 0.0:
            return None
        return TargetSheds(share=round(share, 3), fault_risk=round(self._fault_risk.read(now_s), 4))

    def is_suspect(self, now_s: float) -> bool:
        """Return whether the target is rather in a fault than not.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return self.read(now_s) >= SUSPECT_RISK

    def admits(self, request: AttemptRequest, *, now_s: float) -> bool:
        """Return whether an attempt may run on the target at its current risk.

        Args:
            request: The attempt.
            now_s: Monotonic time, in seconds.
        """
        risk = self._fault_risk.read(now_s) if request.sheds_are_load else self.read(now_s)
        if risk <= request.max_risk:
            return True
        if not request.may_try:
            return False
        if risk < SUSPECT_RISK:
            return True
        if now_s - self._last_trial_at_s < TRIAL_INTERVAL_S:
            return False
        self._last_trial_at_s = now_s
        return True
