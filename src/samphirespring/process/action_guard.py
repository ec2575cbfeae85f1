"""Ensures that an action's attempt starts at most once on this host, and never after a fence."""

import msgspec

from samphirespring.process.attempt_table import AttemptTable, FenceReply
from samphirespring.process.ids import Incarnation
from samphirespring.process.ledger.claims import AttemptAssignment, StoredResponse
from samphirespring.process.ledger.states import AttemptFate
from samphirespring.process.mailbox import Mailbox, ReplySlot, ask
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.request.ids import AttemptId
from samphirespring.request.messages import AttemptFailed, AttemptRefused, AttemptRequest
from samphirespring.request.states import FailureKind

INBOX_CAPACITY = 10_000


class StartAction(msgspec.Struct, frozen=True, kw_only=True):
    """Requests permission to start an attempt; the reply is None if it is granted.

    Attributes:
        request: The attempt.
        refusal: The agent's refusal, if any; it is recorded, and later copies are refused, too.
        reply: Receives None, or the reason why the attempt must not start.
    """

    request: AttemptRequest
    refusal: AttemptRefused | None
    reply: ReplySlot[AttemptRefused | AttemptFailed | None]


class EndAction(msgspec.Struct, frozen=True, kw_only=True):
    """Reports the end of a started attempt."""

    attempt: AttemptId
    fate: AttemptFate
    response: StoredResponse | None


class FenceAction(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the state of an attempt; one that didn't start never will."""

    assignment: AttemptAssignment
    reply: ReplySlot[FenceReply]


GuardMessage = StartAction | EndAction | FenceAction


class ActionGuardDump(StateDump, frozen=True, kw_only=True):
    """State of the action guard."""

    remembered_attempts: int
    waiting_messages: int


class ActionGuard(OwnerTask):
    """Owns the table of actions' attempts on this host.

    Args:
        incarnation: The agent's incarnation.
        timers: The timer service.
    """

    def __init__(self, *, incarnation: Incarnation, timers: TimerService) -> None:
        self.inbox: Mailbox[GuardMessage] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._incarnation = incarnation
        self._timers = timers
        self._started_at_s = timers.read_now_s()
        self._attempts = AttemptTable(incarnation=incarnation)

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "action_guard"

    async def run(self) -> None:
        """Serve messages until cancelled."""
        while True:
            message = await self.inbox.receive()
            match message:
                case StartAction():
                    message.reply.send(self._start(message))
                case EndAction():
                    self._attempts.end(message.attempt, message.fate, message.response)
                case FenceAction():
                    reply = self._attempts.fence(
                        message.assignment, now_ms=self._read_steady_wall_ms()
                    )
                    message.reply.send(reply)

    async def dump(self) -> ActionGuardDump:
        """Return the guard's state."""
        return ActionGuardDump(
            remembered_attempts=self._attempts.attempt_count,
            waiting_messages=self.inbox.waiting_count,
        )

    async def fence(self, assignment: AttemptAssignment) -> FenceReply:
        """Return the state of an attempt; one that didn't start never will.

        Args:
            assignment: The attempt.
        """
        return await ask(self.inbox, lambda reply: FenceAction(assignment=assignment, reply=reply))

    def _start(self, message: StartAction) -> AttemptRefused | AttemptFailed | None:
        request = message.request
        if self._attempts.may_have_started(request):
            return AttemptFailed(attempt=request.attempt, kind=FailureKind.DUPLICATE, started=True)
        refusal = message.refusal
        code = self._attempts.admit(
            request,
            refusal=None if refusal is None else refusal.code,
            now_ms=self._read_steady_wall_ms(),
        )
        if refusal is not None or code is None:
            return refusal
        return AttemptRefused(attempt=request.attempt, code=code)

    def _read_steady_wall_ms(self) -> int:
        """Return wall time at the start plus monotonic time since; it never steps back."""
        elapsed_s = self._timers.read_now_s() - self._started_at_s
        return self._incarnation // 1_000_000 + int(elapsed_s * 1_000)
