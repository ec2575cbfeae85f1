"""Owns a front's quota accounts, and asks the leader of the control hosts for credit."""

import math
from collections.abc import Sequence

import anyio
import msgspec
from anyio.abc import TaskGroup

from samphirespring.connection.quota_link import ASK_QUOTA, AskQuota, QuotaReply
from samphirespring.process.control_client import ControlClient
from samphirespring.process.errors import SamphireError
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import Mailbox, ReplySlot
from samphirespring.process.metrics.metric_names import Counter
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.quota.accounts import RETRY_DELAY_S, QuotaAccounts
from samphirespring.process.quota.asks import WorkspaceAsk
from samphirespring.process.quota.credit import (
    CreditDecision,
    CreditRefusal,
    CreditRequest,
    QuotaCredit,
    SettledTicket,
)
from samphirespring.process.quota.offline_allowance import OfflineAllowance
from samphirespring.process.quota.terms import LONGEST_CREDIT_S, QuotaTerms
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.process.traffic_limiter import UseFrontCount
from samphirespring.version.ids import WorkspaceId

INBOX_CAPACITY = 10_000
HOST_TIMEOUT_S = 0.4
"""Timeout of one control host, in seconds; leaves time to ask another one."""

CONCURRENT_CALLS = 4


class AcquireCredit(msgspec.Struct, frozen=True, kw_only=True):
    """Requests credit for one request.

    Attributes:
        workspace: The request's workspace.
        terms: Its quota.
        wait_s: Longest wait while the leader answers, in seconds.
        lost_wait_s: Longest wait for a leader that answers, in seconds.
        reply: Receives the decision.
    """

    workspace: WorkspaceId
    terms: QuotaTerms
    wait_s: float
    lost_wait_s: float
    reply: ReplySlot[CreditDecision]


class ReturnCredit(msgspec.Struct, frozen=True, kw_only=True):
    """Gives back the credit of a request that reached no backend server."""

    credit: QuotaCredit


class CallEnded(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a call to the leader.

    Attributes:
        asks: What this front asked for.
        asked_at_s: When it asked, in seconds since the host booted.
        reply: The reply; None if there is none.
    """

    asks: tuple[WorkspaceAsk, ...]
    asked_at_s: float
    reply: QuotaReply | None


QuotaMessage = AcquireCredit | ReturnCredit | CallEnded | UseFrontCount

_log = EventLog()


class QuotaClientDump(StateDump, frozen=True, kw_only=True):
    """State of the quotas at this front."""

    control_lost: bool
    """Whether no leader of the control hosts grants credit."""

    workspaces: int
    limited: tuple[WorkspaceId, ...]
    """Workspaces that were refused lately because they are at their quota."""

    waiting: int
    front_count: int | None
    offline_passed: int
    """Requests that passed without credit since the start."""

    calls: int
    waiting_messages: int


class QuotaClient(OwnerTask):
    """Decides about each request of a workspace with a quota, and calls the leader on demand.

    Args:
        control: Client of the control hosts; no other task uses it.
        offline: What passes while no leader answers.
        timers: The timer service.
        metrics: The metrics to update.
    """

    def __init__(
        self,
        *,
        control: ControlClient,
        offline: OfflineAllowance,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self.inbox: Mailbox[QuotaMessage] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._control = control
        self._offline = offline
        self._accounts: QuotaAccounts[ReplySlot[CreditDecision]] = QuotaAccounts(offline)
        self._timers = timers
        self._metrics = metrics
        self._calls = 0
        self._was_lost = False

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "quota_client"

    async def run(self) -> None:
        """Serve messages until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                message = await self._receive()
                now_s = self._timers.read_boottime_s()
                if message is not None:
                    self._handle(message, now_s)
                self._settle(self._accounts.settle_due(now_s), now_s)
                self._log_changes(now_s)
                self._start_call(tasks, now_s)

    async def dump(self) -> QuotaClientDump:
        """Return the state of the quotas at this front."""
        return QuotaClientDump(
            control_lost=self._accounts.is_lost,
            workspaces=self._accounts.account_count,
            limited=self._accounts.limited,
            waiting=self._accounts.waiting_count,
            front_count=self._offline.front_count,
            offline_passed=self._accounts.offline_passed,
            calls=self._calls,
            waiting_messages=self.inbox.waiting_count,
        )

    async def _receive(self) -> QuotaMessage | None:
        """Return the next message, or None once something is due without one."""
        now_s = self._timers.read_boottime_s()
        may_ask = self._calls < CONCURRENT_CALLS
        due_s = self._accounts.find_next_due(now_s, may_ask=may_ask)
        if math.isinf(due_s):
            return await self.inbox.receive()
        with self._timers.move_on_at(self._timers.read_now_s() + due_s - now_s):
            return await self.inbox.receive()
        return None

    def _handle(self, message: QuotaMessage, now_s: float) -> None:
        match message:
            case AcquireCredit():
                self._admit(message, now_s)
            case ReturnCredit():
                self._accounts.give_back(message.credit, now_s=now_s)
            case CallEnded():
                self._calls -= 1
                self._settle(self._apply_end(message, now_s), now_s)
            case UseFrontCount():
                self._offline.use_front_count(message.count)

    def _admit(self, message: AcquireCredit, now_s: float) -> None:
        request = CreditRequest(
            ticket=message.reply,
            workspace=message.workspace,
            terms=message.terms,
            give_up_at_s=now_s + message.wait_s,
            give_up_lost_at_s=now_s + message.lost_wait_s,
        )
        decision = self._accounts.admit(request, now_s=now_s)
        if decision is not None:
            self._settle([SettledTicket(ticket=message.reply, decision=decision)], now_s)

    def _apply_end(
        self, end: CallEnded, now_s: float
    ) -> list[SettledTicket[ReplySlot[CreditDecision]]]:
        if end.reply is None or len(end.reply.grants) != len(end.asks):
            starts_in_s = 0.0 if end.reply is None else end.reply.starts_in_ms / 1_000
            return self._accounts.apply_failure(
                end.asks, now_s=now_s, retry_in_s=starts_in_s or RETRY_DELAY_S
            )
        return self._accounts.apply_grants(
            end.asks, end.reply.grants, asked_at_s=end.asked_at_s, now_s=now_s
        )

    def _settle(
        self, settled: Sequence[SettledTicket[ReplySlot[CreditDecision]]], now_s: float
    ) -> None:
        for one in settled:
            match one.decision:
                case QuotaCredit() if one.ticket.abandoned:
                    self._accounts.give_back(one.decision, now_s=now_s)
                case QuotaCredit():
                    offline = one.decision.is_offline
                    self._metrics.count(Counter.QUOTA_OFFLINE if offline else Counter.QUOTA_GRANTED)
                case CreditRefusal():
                    self._metrics.count(Counter.QUOTA_REFUSED, one.decision.cause.value)
            one.ticket.send(one.decision)

    def _start_call(self, tasks: TaskGroup, now_s: float) -> None:
        if self._calls >= CONCURRENT_CALLS:
            return
        asks = self._accounts.take_asks(now_s)
        if asks:
            self._calls += 1
            tasks.start_soon(self._call, asks, now_s)

    async def _call(self, asks: tuple[WorkspaceAsk, ...], asked_at_s: float) -> None:
        reply: QuotaReply | None = None
        try:
            with self._timers.move_on_at(self._timers.read_now_s() + LONGEST_CREDIT_S):
                reply = await self._control.call_leader(
                    ASK_QUOTA, AskQuota(asks=asks), timeout_s=HOST_TIMEOUT_S
                )
        except SamphireError as error:
            _log.debug(LogEvent.CONTROL_CALL_FAILED, code=error.code.value)
        self.inbox.post_always(CallEnded(asks=asks, asked_at_s=asked_at_s, reply=reply))

    def _log_changes(self, now_s: float) -> None:
        if self._accounts.is_lost is not self._was_lost:
            self._was_lost = self._accounts.is_lost
            lost = self._was_lost
            _log.info(LogEvent.QUOTA_CONTROL_LOST if lost else LogEvent.QUOTA_CONTROL_REACHABLE)
        for change in self._accounts.pop_limit_changes(now_s):
            event = LogEvent.QUOTA_SPENT if change.limited else LogEvent.QUOTA_AVAILABLE
            _log.info(event, workspace=change.workspace, refused=change.refused)
