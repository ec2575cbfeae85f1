"""What a front knows of one action while it is under way."""

from dataclasses import dataclass, field
from enum import Enum

from samphirespring.process.errors import ErrorCode, InternalError
from samphirespring.process.ids import TargetId
from samphirespring.process.ledger.claims import AttemptPlace, ClaimKey, StoredAnswer
from samphirespring.process.ledger.commands import EndAttempt
from samphirespring.process.ledger.states import ClaimState
from samphirespring.request.action_messages import ChooseTarget
from samphirespring.request.ids import AttemptId, RequestId


@dataclass(frozen=True, slots=True, kw_only=True)
class ActionPlan:
    """What is known of an action from its start.

    Attributes:
        key: Identifies the action.
        key_from_caller: Whether other requests may have the key; False if the front made it up.
        digest: Hash of method, path and body.
        request: The caller's request.
        deadline_s: Moment by which the caller wants its result, in seconds of monotonic time.
        reserve_s: Part of the deadline that a further attempt must leave for execution, in seconds.
        max_attempts: Largest number of attempts.
        retention_ms: How long the outcome is kept, in milliseconds.
    """

    key: ClaimKey
    key_from_caller: bool
    digest: bytes
    request: RequestId
    deadline_s: float
    reserve_s: float
    max_attempts: int
    retention_ms: int


class ActionPhase(Enum):
    """What the action waits for."""

    CHOOSING = "choosing"
    CLAIMING = "claiming"
    RUNNING = "running"
    FENCING = "fencing"
    READING = "reading"
    AWAITING = "awaiting"
    CLOSING = "closing"
    READING_ANY_REPLICA = "last_reading"


@dataclass(slots=True, kw_only=True)
class ActionProgress:
    """State of one action at its front.

    Attributes:
        plan: What is known from the start.
        phase: What the action waits for.
        place: The latest attempt; None before the first.
        replaces: Attempt that is proven never to run, and that the next claim replaces.
        recorded: Whether the ledger may have a claim of this request.
        tried: Targets of the attempts so far.
        failure: What the caller is told if nothing ran.
        attempt_count: Attempts dispatched so far.
        joined: Whether another request's attempt was waited for.
    """

    plan: ActionPlan
    phase: ActionPhase = ActionPhase.CHOOSING
    place: AttemptPlace | None = None
    replaces: AttemptId | None = None
    recorded: bool = False
    tried: set[TargetId] = field(default_factory=set)
    failure: ErrorCode = ErrorCode.NO_TARGET
    attempt_count: int = 0
    joined: bool = False

    def choose(self) -> ChooseTarget:
        """Begin another attempt."""
        self.phase = ActionPhase.CHOOSING
        return ChooseTarget(tried=frozenset(self.tried))

    def compute_remaining_s(self, now_s: float) -> float:
        """Return the time left until the deadline, in seconds.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return self.plan.deadline_s - now_s

    def make_end_command(self, state: ClaimState, answer: StoredAnswer | None) -> EndAttempt:
        """Return the command that records the end of the latest attempt.

        Args:
            state: The claim's final state.
            answer: The answer, if it is to be stored.
        """
        if self.place is None:
            raise InternalError("an attempt ended that was never made")
        return EndAttempt(key=self.plan.key, attempt=self.place.attempt, state=state, answer=answer)
