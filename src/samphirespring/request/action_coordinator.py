"""Decides the steps of one action at its front, from the claim to the result."""

from samphirespring.request.action_attempt_steps import AttemptSteps
from samphirespring.request.action_conclusions import conclude_completed
from samphirespring.request.action_ledger_steps import LedgerSteps
from samphirespring.request.action_messages import (
    ActionEvent,
    ActionStep,
    AttemptCompleted,
    AttemptLost,
    AttemptNotStarted,
    FateReported,
    FenceFailed,
    LedgerFailed,
    LedgerReplied,
    NoTarget,
    Resumed,
    TargetChosen,
)
from samphirespring.request.action_progress import ActionPhase, ActionPlan, ActionProgress


class ActionCoordinator:
    """Decides the steps that run an action at most once and determine its outcome.

    Each event leads to exactly one next step. An attempt is dispatched only by a step of the
    coordinator, and only after the ledger replied with `ClaimGranted` for it. The outcome "not run"
    is a statement about the key: it is reported only after a quorum of the ledger confirmed it, or
    for a key that no other request can have.

    Args:
        plan: Parameters of the action.
    """

    def __init__(self, plan: ActionPlan) -> None:
        self._progress = ActionProgress(plan=plan)
        self._ledger = LedgerSteps(self._progress)
        self._attempt = AttemptSteps(self._progress, self._ledger)

    @property
    def attempt_count(self) -> int:
        """Number of attempts dispatched so far."""
        return self._progress.attempt_count

    @property
    def joined(self) -> bool:
        """Whether the action waited for another request's attempt."""
        return self._progress.joined

    def start(self) -> ActionStep:
        """Return the first step."""
        return self._progress.choose_target()

    def handle(self, event: ActionEvent, *, now_s: float) -> ActionStep:
        """Return the step that follows an event.

        Args:
            event: Result of the latest step.
            now_s: Monotonic time, in seconds.
        """
        match event:
            case TargetChosen():
                return self._ledger.claim(event.assignment, now_s=now_s)
            case NoTarget():
                return self._ledger.handle_no_target()
            case LedgerReplied():
                return self._ledger.handle_result(event.result, now_s=now_s)
            case LedgerFailed():
                return self._ledger.handle_failure(event, now_s=now_s)
            case AttemptCompleted():
                return conclude_completed(event, progress=self._progress)
            case AttemptNotStarted():
                return self._attempt.handle_not_started(event.retry_delay_s)
            case AttemptLost():
                return self._attempt.handle_lost(event, now_s=now_s)
            case FateReported():
                return self._attempt.handle_fate(event, now_s=now_s)
            case FenceFailed():
                return self._attempt.wait_before_fence(now_s=now_s)
            case Resumed():
                return self._resume(now_s)

    def _resume(self, now_s: float) -> ActionStep:
        assignment = self._progress.place
        match self._progress.phase:
            case ActionPhase.FENCING:
                return self._attempt.fence(now_s=now_s)
            case ActionPhase.AWAITING:
                return self._ledger.await_end(now_s=now_s)
            case ActionPhase.CLOSING:
                return self._ledger.close()
            case ActionPhase.READING:
                return self._ledger.handle_no_target()
            case ActionPhase.CLAIMING if assignment is not None:
                return self._ledger.claim(assignment, now_s=now_s)
            case _:
                return self._progress.choose_target()
