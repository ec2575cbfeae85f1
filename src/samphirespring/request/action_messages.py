"""Steps that the coordinator of an action requests, and the events that report their results."""

import msgspec

from samphirespring.process.errors import ErrorCode
from samphirespring.process.ids import TargetId
from samphirespring.process.ledger.claims import AttemptAssignment, StoredResponse
from samphirespring.process.ledger.commands import EndAttempt, LedgerCommand, LedgerResult
from samphirespring.process.ledger.states import AttemptFate, ClaimState
from samphirespring.request.states import Outcome, RefusalCode


class ChooseTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Select a target and create a new attempt for it."""

    tried: frozenset[TargetId]


class CallLedger(msgspec.Struct, frozen=True, kw_only=True):
    """Commit a command to the ledger."""

    command: LedgerCommand


class ReadClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Read the claim of the action.

    Attributes:
        wait_s: Maximum wait for the claim to become final, in seconds.
        any_replica: Whether to read from any single replica, whose state may be outdated.
    """

    wait_s: float
    any_replica: bool = False


class RunAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Dispatch the attempt that the ledger granted."""

    assignment: AttemptAssignment


class FenceAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Request the fate of the attempt from its agent, and prevent it from starting."""

    assignment: AttemptAssignment


class Pause(msgspec.Struct, frozen=True, kw_only=True):
    """Wait before the next step."""

    delay_s: float


class Conclude(msgspec.Struct, frozen=True, kw_only=True):
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


class TargetChosen(msgspec.Struct, frozen=True, kw_only=True):
    """A target was selected for the next attempt."""

    assignment: AttemptAssignment


class NoTarget(msgspec.Struct, frozen=True, kw_only=True):
    """No target can accept the request."""


class LedgerReplied(msgspec.Struct, frozen=True, kw_only=True):
    """The command was applied, or the claim was read."""

    result: LedgerResult


class LedgerFailed(msgspec.Struct, frozen=True, kw_only=True):
    """The ledger did not reply.

    Attributes:
        uncertain: Whether the command may have been committed, or may still be.
    """

    uncertain: bool


class AttemptCompleted(msgspec.Struct, frozen=True, kw_only=True):
    """The complete response was forwarded.

    Attributes:
        state: `DONE`, or `UNKNOWN` if the response doesn't show whether the action ran.
        response: The response, if it is small enough to store.
    """

    state: ClaimState
    response: StoredResponse | None


class AttemptNotStarted(msgspec.Struct, frozen=True, kw_only=True):
    """The attempt provably didn't start and never will.

    Attributes:
        code: Reason of the agent's refusal; None if the agent didn't refuse.
        retry_delay_s: Wait before another attempt, in seconds; None if no retry is allowed.
    """

    code: RefusalCode | None
    retry_delay_s: float | None


class AttemptLost(msgspec.Struct, frozen=True, kw_only=True):
    """The attempt may be running or may have run, and no response will arrive.

    Attributes:
        ended: Whether the attempt is known to have started and failed.
    """

    ended: bool


class FateReported(msgspec.Struct, frozen=True, kw_only=True):
    """The agent reported the fate of the attempt."""

    fate: AttemptFate
    response: StoredResponse | None


class FenceFailed(msgspec.Struct, frozen=True, kw_only=True):
    """The agent did not reply, so the attempt may or may not be fenced."""


class Resumed(msgspec.Struct, frozen=True, kw_only=True):
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
