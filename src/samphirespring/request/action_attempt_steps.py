"""Decides the steps after an action's attempt ended or was lost."""

from samphirespring.process.errors import ErrorCode
from samphirespring.process.ledger.states import AttemptFate
from samphirespring.request.action_conclusions import (
    conclude_lost,
    conclude_ran,
    conclude_unknown,
)
from samphirespring.request.action_ledger_steps import LedgerSteps
from samphirespring.request.action_messages import (
    ActionStep,
    AttemptLost,
    FateReported,
    FenceAttempt,
    Pause,
)
from samphirespring.request.action_progress import ActionPhase, ActionProgress

FENCE_RETRY_DELAY_S = 0.1
"""Wait before the fate of an attempt is requested again, in seconds."""

FENCED_RETRY_DELAY_S = 0.02
"""Wait before another attempt after the previous one was fenced, in seconds."""


class AttemptSteps:
    """Determines the fate of an attempt, and starts another one if it did not run.

    Args:
        progress: The action.
        ledger: Decides the steps that use the ledger.
    """

    def __init__(self, progress: ActionProgress, ledger: LedgerSteps) -> None:
        self._progress = progress
        self._ledger = ledger

    def handle_not_started(self, retry_delay_s: float | None) -> ActionStep:
        """Continue after an attempt that provably never runs.

        Args:
            retry_delay_s: Wait before another attempt, in seconds; None if no retry is allowed.
        """
        progress = self._progress
        if progress.place is not None:
            progress.replaces = progress.place.attempt
        progress.failure = ErrorCode.REFUSED
        if retry_delay_s is None:
            return self._ledger.close()
        progress.phase = ActionPhase.CHOOSING
        if retry_delay_s <= 0.0:
            return progress.choose_target()
        return Pause(delay_s=retry_delay_s)

    def handle_lost(self, event: AttemptLost, *, now_s: float) -> ActionStep:
        """Continue after an attempt from which no response will arrive.

        Args:
            event: The event.
            now_s: Monotonic time, in seconds.
        """
        if event.ended:
            return conclude_lost(self._progress)
        return self.fence(now_s=now_s)

    def fence(self, *, now_s: float) -> ActionStep:
        """Request the fate of the attempt from its agent, and prevent it from starting.

        Args:
            now_s: Monotonic time, in seconds.
        """
        progress = self._progress
        if progress.place is None or progress.compute_remaining_s(now_s) <= 0:
            return _conclude_without_fate()
        progress.phase = ActionPhase.FENCING
        return FenceAttempt(assignment=progress.place)

    def wait_before_fence(self, *, now_s: float) -> ActionStep:
        """Wait before the fate of the attempt is requested again.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self._progress.compute_remaining_s(now_s) <= 0:
            return _conclude_without_fate()
        return Pause(delay_s=FENCE_RETRY_DELAY_S)

    def handle_fate(self, event: FateReported, *, now_s: float) -> ActionStep:
        """Continue after the agent reported the fate of the attempt.

        Args:
            event: Report of the agent.
            now_s: Monotonic time, in seconds.
        """
        match event.fate:
            case AttemptFate.NOT_STARTED:
                return self.handle_not_started(self._plan_retry_delay_s(now_s))
            case AttemptFate.RUNNING:
                return self.wait_before_fence(now_s=now_s)
            case AttemptFate.RAN:
                return conclude_ran(event, progress=self._progress)
            case AttemptFate.UNKNOWN | AttemptFate.FORGOTTEN | AttemptFate.OTHER_INCARNATION:
                return conclude_lost(self._progress)

    def _plan_retry_delay_s(self, now_s: float) -> float | None:
        progress = self._progress
        if progress.attempt_count >= progress.plan.max_attempts:
            return None
        if progress.compute_remaining_s(now_s) <= progress.plan.reserve_s:
            return None
        return FENCED_RETRY_DELAY_S


def _conclude_without_fate() -> ActionStep:
    return conclude_unknown("the fate of the attempt was not known before the deadline")
