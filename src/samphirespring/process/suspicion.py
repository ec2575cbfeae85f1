"""Decision of an agent whether an attempt may run on a target that may be in a fault."""

from samphirespring.process.detection.fault_risk import FaultModel, FaultRisk
from samphirespring.process.detection.observations import FAILURES
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.request.messages import AttemptRequest

SUSPECT_RISK = 0.5
"""Risk from which reads are sent now and then only, to see whether the fault is over."""

TRIAL_INTERVAL_S = 1.0
"""Time between two reads that try a suspect target, in seconds."""


class Suspicion:
    """Knows the risk of one target, and refuses what is better served elsewhere.

    Args:
        model: How targets of its service fail.
        now_s: Monotonic time, in seconds.
    """

    def __init__(self, model: FaultModel, *, now_s: float) -> None:
        self._risk = FaultRisk(model, now_s=now_s)
        self._trial_s = float("-inf")

    def use_model(self, model: FaultModel, *, now_s: float) -> None:
        """Judge by another model from now on; a new one forgets what was seen.

        Args:
            model: How targets of the service fail.
            now_s: Monotonic time, in seconds.
        """
        if model != self._risk.model:
            self._risk = FaultRisk(model, now_s=now_s)

    def observe(self, outcome: ObservedOutcome, *, now_s: float) -> None:
        """Take the outcome of an attempt; what isn't the target's doing says nothing.

        A target that sheds what its agent admitted into a free slot serves as little as one that
        fails.

        Args:
            outcome: The outcome.
            now_s: Monotonic time, in seconds.
        """
        failed = outcome in FAILURES or outcome is ObservedOutcome.SHED
        if failed or outcome is ObservedOutcome.OK:
            self._risk.observe(failed=failed, now_s=now_s)

    def read(self, now_s: float) -> float:
        """Return the risk now.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return self._risk.read(now_s)

    def admits(self, request: AttemptRequest, *, now_s: float) -> bool:
        """Return whether an attempt may run here although the target may be in a fault.

        Args:
            request: The attempt.
            now_s: Monotonic time, in seconds.
        """
        risk = self.read(now_s)
        if risk <= request.max_risk:
            return True
        if not request.may_try:
            return False
        if risk < SUSPECT_RISK:
            return True
        if now_s - self._trial_s < TRIAL_INTERVAL_S:
            return False
        self._trial_s = now_s
        return True
