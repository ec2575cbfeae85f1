"""Steps that the coordinator of an action requests, and the events that report their results."""

from dataclasses import dataclass

from samphirespring.process.errors import ErrorCode
from samphirespring.process.ids import TargetId
from samphirespring.process.ledger.claims import AttemptAssignment, StoredResponse
from samphirespring.process.ledger.commands import EndAttempt, LedgerCommand, LedgerResult
from samphirespring.process.ledger.states import AttemptFate, ClaimState
from samphirespring.request.states import Outcome, RefusalCode


@dataclass(frozen=True, slots=True, kw_only=True)
class ChooseTarget:
    """Select a target and create a new attempt for it."""

    tried: frozenset[TargetId]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallLedger:
    """Commit a command to the ledger."""

    command: LedgerCommand


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadClaim:
    """Read the claim of the action.

    Attributes:
        wait_s: Maximum wait for the claim to become final, in seconds.
        any_replica: Whether to read from any single replica, whose state may be outdated.
    """

    wait_s: float
    any_replica: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RunAttempt:
    """Dispatch the attempt that the ledger granted."""

    assignment: AttemptAssignment


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceAttempt:
    """Request the fate of the attempt from its agent, and prevent it from starting."""

    assignment: AttemptAssignment


@dataclass(frozen=True, slots=True, kw_only=True)
class Pause:
    """Wait before the next step."""

    delay_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Conclude:
    """Report the result to the caller and end the action.

    Attributes:
        error: Error code; None if there is a response.
        outcome: Outcome for the caller.
        detail: Description for the caller.
        stored: Stored response to send; None if it was already forwarded, or for an error.
        end_command: Command to commit afterwards; the caller does not wait for it.
    """

    error: ErrorCode | None = None
    outcome: Outcome
    detail: str = ""
    stored: StoredResponse | None = None
    end_command: EndAttempt | None = None


ActionStep = ChooseTarget | CallLedger | ReadClaim | RunAttempt | FenceAttempt | Pause | Conclude


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetChosen:
    """A target was selected for the next attempt."""

    assignment: AttemptAssignment


@dataclass(frozen=True, slots=True, kw_only=True)
class NoTarget:
    """No target can accept the request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerReplied:
    """The command was applied, or the claim was read."""

    result: LedgerResult


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerFailed:
    """The ledger did not reply.

    Attributes:
        uncertain: Whether the command may have been committed, or may still be.
    """

    uncertain: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptCompleted:
    """The complete response was forwarded.

    Attributes:
        state: `DONE`, or `UNKNOWN` if the response doesn't show whether the action ran.
        response: The response, if it is small enough to store.
    """

    state: ClaimState
    response: StoredResponse | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptNotStarted:
    """The attempt provably didn't start and never will.

    Attributes:
        code: Reason of the agent's refusal; None if the agent didn't refuse.
        retry_delay_s: Wait before another attempt, in seconds; None if no retry is allowed.
    """

    code: RefusalCode | None
    retry_delay_s: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptLost:
    """The attempt may be running or may have run, and no response will arrive.

    Attributes:
        ended: Whether the attempt is known to have started and failed.
    """

    ended: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class FateReported:
    """The agent reported the fate of the attempt."""

    fate: AttemptFate
    response: StoredResponse | None


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceFailed:
    """The agent did not reply, so the attempt may or may not be fenced."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Resumed:
    """The pause ended."""


ActionEvent = (
    TargetChosen
    | NoTarget
    | LedgerReplied
    | LedgerFailed
    | AttemptCompleted
    | AttemptNotStarted
    | AttemptLost
    | FateReported
    | FenceFailed
    | Resumed
)
