"""Decides the steps after the ledger replied, or failed to reply."""

from samphirespring.process.errors import ErrorCode, InternalError
from samphirespring.process.ledger.claims import AttemptAssignment
from samphirespring.process.ledger.commands import (
    AttemptSpent,
    ClaimAbsent,
    ClaimAction,
    ClaimDone,
    ClaimGranted,
    ClaimNotRun,
    ClaimRunning,
    ClaimUnknown,
    CloseRequest,
    KeyReused,
    LedgerResult,
    RequestClosed,
)
from samphirespring.request.action_conclusions import (
    conclude_from_claim,
    conclude_not_run,
    conclude_unknown,
    conclude_without_ledger,
)
from samphirespring.request.action_messages import (
    ActionStep,
    CallLedger,
    LedgerFailed,
    Pause,
    ReadClaim,
    RunAttempt,
)
from samphirespring.request.action_progress import ActionPhase, ActionProgress

LEDGER_RETRY_DELAY_S = 0.05
"""Wait before a failed call to the ledger is retried, in seconds."""

AWAIT_READ_S = 1.0
"""Maximum time that one read waits for another request's attempt, in seconds."""

CLAIM_TIMEOUT_S = 3.0
"""How long a claim is retried while calls to the ledger fail, in seconds."""

CLOSE_TIMEOUT_S = 1.0
"""How long closing a request is retried while calls to the ledger fail, in seconds."""


class LedgerSteps:
    """Claims attempts, closes the request and reads its claim.

    Args:
        progress: The action.
    """

    def __init__(self, progress: ActionProgress) -> None:
        self._progress = progress
        self._first_failure_at_s: float | None = None

    def claim(self, assignment: AttemptAssignment, *, now_s: float) -> ActionStep:
        """Claim the right to dispatch an attempt.

        Args:
            assignment: The attempt and its target.
            now_s: Monotonic time, in seconds.
        """
        progress = self._progress
        progress.place = assignment
        progress.phase = ActionPhase.CLAIMING
        command = ClaimAction(
            key=progress.plan.key,
            digest=progress.plan.digest,
            request=progress.plan.request,
            place=assignment,
            replaces=progress.replaces,
            run_limit_ms=int(progress.compute_remaining_s(now_s) * 1_000),
            retention_ms=progress.plan.retention_ms,
        )
        return CallLedger(command=command)

    def close(self) -> ActionStep:
        """Record in the ledger that no attempt of the request has started or ever will."""
        plan = self._progress.plan
        self._progress.phase = ActionPhase.CLOSING
        return CallLedger(
            command=CloseRequest(
                key=plan.key,
                digest=plan.digest,
                request=plan.request,
                retention_ms=plan.retention_ms,
            )
        )

    def handle_no_target(self) -> ActionStep:
        """End the request: close it, or read what happened to earlier requests with its key."""
        if self._progress.recorded:
            return self.close()
        # An earlier request with the key may have run.
        self._progress.phase = ActionPhase.READING
        return ReadClaim(wait_s=0.0)

    def await_end(self, *, now_s: float) -> ActionStep:
        """Wait for the attempt of another request with the same key.

        Args:
            now_s: Monotonic time, in seconds.
        """
        remaining_s = self._progress.compute_remaining_s(now_s)
        if remaining_s <= 0:
            return conclude_unknown("another request with this key has not ended yet")
        self._progress.phase = ActionPhase.AWAITING
        self._progress.joined = True
        return ReadClaim(wait_s=min(AWAIT_READ_S, remaining_s))

    def handle_result(self, result: LedgerResult, *, now_s: float) -> ActionStep:
        """Continue after a reply of the ledger.

        Args:
            result: Reply of the ledger.
            now_s: Monotonic time, in seconds.
        """
        self._first_failure_at_s = None
        match result:
            case ClaimGranted():
                return self._dispatch(result, now_s)
            case ClaimDone() | ClaimUnknown() | KeyReused():
                return conclude_from_claim(result)
            case ClaimRunning():
                return self._handle_running(result, now_s)
            case RequestClosed():
                return conclude_not_run(self._progress)
            case ClaimNotRun() | ClaimAbsent() | AttemptSpent():
                return self._claim_again(now_s)

    def handle_failure(self, event: LedgerFailed, *, now_s: float) -> ActionStep:
        """Retry a failed call to the ledger, or stop retrying after the timeout.

        Args:
            event: The failure.
            now_s: Monotonic time, in seconds.
        """
        if self._first_failure_at_s is None:
            self._first_failure_at_s = now_s
        if event.uncertain and self._progress.phase is ActionPhase.CLAIMING:
            self._progress.recorded = True
        if self._compute_remaining_timeout_s(now_s) <= 0:
            return self._stop_retrying()
        return Pause(delay_s=LEDGER_RETRY_DELAY_S)

    def _dispatch(self, result: ClaimGranted, now_s: float) -> ActionStep:
        progress = self._progress
        if progress.place is None or result.attempt != progress.place.attempt:
            raise InternalError("the ledger granted another attempt than the claimed one")
        progress.recorded = True
        if progress.compute_remaining_s(now_s) <= 0:
            progress.failure = ErrorCode.DEADLINE_EXPIRED
            return self.close()
        progress.phase = ActionPhase.RUNNING
        progress.tried.add(progress.place.target)
        progress.attempt_count += 1
        return RunAttempt(assignment=progress.place)

    def _handle_running(self, result: ClaimRunning, now_s: float) -> ActionStep:
        progress = self._progress
        if progress.phase is not ActionPhase.READING_ANY_REPLICA:
            return self.await_end(now_s=now_s)
        if progress.place is not None and result.attempt == progress.place.attempt:
            return conclude_without_ledger(progress)
        return conclude_unknown("an earlier attempt with this key may run or have run")

    def _claim_again(self, now_s: float) -> ActionStep:
        progress = self._progress
        if progress.phase is ActionPhase.READING_ANY_REPLICA:
            # A single replica may lag behind the entries that the others have committed.
            return conclude_without_ledger(progress)
        if progress.phase in (ActionPhase.READING, ActionPhase.CLOSING):
            return conclude_not_run(progress)
        progress.replaces = None
        if progress.compute_remaining_s(now_s) <= progress.plan.reserve_s:
            progress.failure = ErrorCode.DEADLINE_EXPIRED
            return conclude_not_run(progress)
        return progress.choose_target()

    def _compute_remaining_timeout_s(self, now_s: float) -> float:
        remaining_s = self._progress.compute_remaining_s(now_s)
        failing_s = 0.0 if self._first_failure_at_s is None else now_s - self._first_failure_at_s
        match self._progress.phase:
            case ActionPhase.AWAITING:
                return remaining_s
            case ActionPhase.CLAIMING | ActionPhase.READING:
                return min(remaining_s, CLAIM_TIMEOUT_S - failing_s)
            case ActionPhase.CLOSING:
                return min(remaining_s, CLOSE_TIMEOUT_S - failing_s)
            case _:
                return 0.0

    def _stop_retrying(self) -> ActionStep:
        self._first_failure_at_s = None
        match self._progress.phase:
            case ActionPhase.AWAITING:
                return conclude_unknown(
                    "another request with this key ran; its result can't be read"
                )
            case ActionPhase.READING_ANY_REPLICA:
                return conclude_without_ledger(self._progress)
            case ActionPhase.CLAIMING if self._progress.recorded:
                self._progress.failure = ErrorCode.LEDGER_UNAVAILABLE
                return self.close()
            case _:
                return self._read_any_replica()

    def _read_any_replica(self) -> ActionStep:
        # An earlier request with the key may have run, so the state of any replica is useful.
        self._progress.failure = ErrorCode.LEDGER_UNAVAILABLE
        self._progress.phase = ActionPhase.READING_ANY_REPLICA
        return ReadClaim(wait_s=0.0, any_replica=True)
