"""State of an action at its front."""

from enum import Enum

import msgspec

from samphirespring.process.errors import ErrorCode, InternalError
from samphirespring.process.ids import TargetId
from samphirespring.process.ledger.claims import AttemptAssignment, ClaimKey, StoredResponse
from samphirespring.process.ledger.commands import EndAttempt
from samphirespring.process.ledger.states import ClaimState
from samphirespring.request.action_messages import ChooseTarget
from samphirespring.request.ids import AttemptId, RequestId


class ActionPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of an action, which are fixed when it starts.

    Attributes:
        key: Identifies the action.
        key_from_caller: Whether other requests may have the key; False if the front generated it.
        digest: Hash of the method, path and body.
        request: ID of the caller's request.
        deadline_at_s: Monotonic time by which the caller needs its result, in seconds.
        reserve_s: Time that must remain until the deadline for another attempt, in seconds.
        max_attempts: Maximum number of attempts.
        retention_ms: How long the ledger keeps the outcome, in milliseconds.
    """

    key: ClaimKey
    key_from_caller: bool
    digest: bytes
    request: RequestId
    deadline_at_s: float
    reserve_s: float
    max_attempts: int
    retention_ms: int


class ActionPhase(Enum):
    """Operation that the action waits for."""

    CHOOSING = "choosing"
    CLAIMING = "claiming"
    RUNNING = "running"
    FENCING = "fencing"
    READING = "reading"
    AWAITING = "awaiting"
    CLOSING = "closing"
    READING_ANY_REPLICA = "last_reading"


class ActionProgress(msgspec.Struct, kw_only=True):
    """State of one action at its front.

    Attributes:
        plan: Parameters of the action.
        phase: Operation that the action waits for.
        place: The latest attempt and its target; None before the first one.
        replaces: Attempt that provably never runs, which the next claim replaces.
        recorded: Whether the ledger may contain a claim of this request.
        tried: Targets of the attempts so far.
        failure: Error code for the caller if nothing ran.
        attempt_count: Number of attempts dispatched so far.
        joined: Whether the action waited for another request's attempt.
    """

    plan: ActionPlan
    phase: ActionPhase = ActionPhase.CHOOSING
    place: AttemptAssignment | None = None
    replaces: AttemptId | None = None
    recorded: bool = False
    tried: set[TargetId] = msgspec.field(default_factory=set)
    failure: ErrorCode = ErrorCode.NO_TARGET
    attempt_count: int = 0
    joined: bool = False

    def choose_target(self) -> ChooseTarget:
        """Start another attempt by selecting a target."""
        self.phase = ActionPhase.CHOOSING
        return ChooseTarget(tried=frozenset(self.tried))

    def compute_remaining_s(self, now_s: float) -> float:
        """Return the time remaining until the deadline, in seconds.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        return self.plan.deadline_at_s - now_s

    def make_end_command(self, state: ClaimState, response: StoredResponse | None) -> EndAttempt:
        """Return the command that records the result of the latest attempt.

        Args:
            state: Final state of the claim.
            response: Response to store; None to store none.
        """
        if self.place is None:
            raise InternalError("the action has no attempt to end")
        return EndAttempt(
            key=self.plan.key, attempt=self.place.attempt, state=state, answer=response
        )
