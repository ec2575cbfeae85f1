"""What the coordinator of an action asks for, and what it is told."""

from dataclasses import dataclass

from samphirespring.process.errors import ErrorCode
from samphirespring.process.ids import TargetId
from samphirespring.process.ledger.claims import AttemptPlace, StoredAnswer
from samphirespring.process.ledger.commands import EndAttempt, LedgerCommand, LedgerResult
from samphirespring.process.ledger.states import AttemptFate, ClaimState
from samphirespring.request.states import Outcome, RefusalCode


@dataclass(frozen=True, slots=True, kw_only=True)
class ChooseTarget:
    """Choose a target and make a new attempt for it."""

    tried: frozenset[TargetId]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallLedger:
    """Have a command committed."""

    command: LedgerCommand


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadClaim:
    """Read the claim.

    Attributes:
        wait_s: Longest wait for it to become final, in seconds.
        any_replica: Whether any one replica will do, whose state may be old.
    """

    wait_s: float
    any_replica: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RunAttempt:
    """Dispatch the recorded attempt."""

    place: AttemptPlace


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceAttempt:
    """Ask the agent what became of the attempt, and keep it from starting."""

    place: AttemptPlace


@dataclass(frozen=True, slots=True, kw_only=True)
class Pause:
    """Wait."""

    delay_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Conclude:
    """The caller gets its result; the coordinator needs nothing more.

    Attributes:
        error: Code of the error; None if there is an answer.
        outcome: What the caller is told.
        detail: What happened, for the caller.
        stored: The answer to give; None if it was passed on while it came, or there is an error.
        record: What is still to be committed, without the caller waiting for it.
    """

    error: ErrorCode | None = None
    outcome: Outcome
    detail: str = ""
    stored: StoredAnswer | None = None
    record: EndAttempt | None = None


ActionStep = ChooseTarget | CallLedger | ReadClaim | RunAttempt | FenceAttempt | Pause | Conclude


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetChosen:
    """A target for the next attempt."""

    place: AttemptPlace


@dataclass(frozen=True, slots=True, kw_only=True)
class NoTarget:
    """No target can take the request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerReplied:
    """The command was applied, or the claim was read."""

    result: LedgerResult


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerFailed:
    """No reply of the ledger.

    Attributes:
        uncertain: Whether the command may be committed, now or later.
    """

    uncertain: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptCompleted:
    """The whole answer came and was passed on.

    Attributes:
        state: `DONE`, or `UNKNOWN` where the answer doesn't show whether the action ran.
        answer: The answer, if it is small enough to store.
    """

    state: ClaimState
    answer: StoredAnswer | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptNotStarted:
    """It is proven that the attempt didn't start and never will.

    Attributes:
        code: The agent's reason; None if it wasn't the agent that refused.
        retry_delay_s: Wait before another attempt, in seconds; None if there may be none.
    """

    code: RefusalCode | None
    retry_delay_s: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptLost:
    """The attempt may run or have run, and no answer will come.

    Attributes:
        ended: Whether the agent said that it started and failed.
    """

    ended: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class FateReported:
    """What the agent knows of the attempt."""

    fate: AttemptFate
    answer: StoredAnswer | None


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceFailed:
    """The agent gave no reply; the fence may be in force or not."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Resumed:
    """The pause is over."""


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
