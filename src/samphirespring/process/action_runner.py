"""Runs actions independently of their callers' connections, and records their ends."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio
import msgspec
from anyio.abc import TaskGroup

from samphirespring.process.ledger.action_ledger import ActionLedger, LedgerOutage
from samphirespring.process.ledger.commands import EndAttempt
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import Mailbox, ReplySlot, ask
from samphirespring.process.metrics.metric_names import Counter
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.request.action_exchange import ActionExchange, ActionResult

INBOX_CAPACITY = 10_000
RECORD_TRIES = 5
RECORD_RETRY_DELAY_S = 0.5
"""Delay before recording the end of an attempt is retried, in seconds."""

_log = EventLog()


class RunAction(msgspec.Struct, frozen=True, kw_only=True):
    """Requests that an action is run."""

    exchange: ActionExchange
    reply: ReplySlot[ActionResult]


class ActionRunnerDump(StateDump, frozen=True, kw_only=True):
    """State of the action runner."""

    running: int
    recording: int
    waiting_messages: int


class ActionRunner(OwnerTask):
    """Owns one child task per action, which continues when the caller disconnects.

    Args:
        ledger: Calls to the ledger.
        timers: The timer service.
        metrics: Receives counters.
    """

    def __init__(self, *, ledger: ActionLedger, timers: TimerService, metrics: Metrics) -> None:
        self.inbox: Mailbox[RunAction] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._ledger = ledger
        self._timers = timers
        self._metrics = metrics
        self._running = 0
        self._recording = 0

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "action_runner"

    async def run(self) -> None:
        """Start actions until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                message = await self.inbox.receive()
                group.start_soon(self._run_action, message, group)

    async def dump(self) -> ActionRunnerDump:
        """Return the runner's state at one moment."""
        return ActionRunnerDump(
            running=self._running,
            recording=self._recording,
            waiting_messages=self.inbox.waiting_count,
        )

    async def serve(self, exchange: ActionExchange) -> None:
        """Run an action and wait for its end; it continues if the caller disconnects.

        Args:
            exchange: The action.

        Raises:
            RequestError: The caller received no complete response.
        """
        try:
            result: ActionResult = await ask(
                self.inbox, lambda reply: RunAction(exchange=exchange, reply=reply)
            )
        except anyio.get_cancelled_exc_class():
            exchange.detach_caller()
            raise
        if result.error is not None:
            raise result.error

    async def _run_action(self, message: RunAction, group: TaskGroup) -> None:
        with self._count_running():
            try:
                result = await message.exchange.run()
            except Exception as error:
                _log.exception(LogEvent.ACTION_FAILED)
                message.reply.fail(error)
                return
        message.reply.send(result)
        if result.end_command is not None:
            group.start_soon(self._record_end, result.end_command)

    async def _record_end(self, end: EndAttempt) -> None:
        self._recording += 1
        try:
            for _ in range(RECORD_TRIES):
                if not isinstance(await self._ledger.propose(end), LedgerOutage):
                    return
                await self._timers.wait_for(RECORD_RETRY_DELAY_S)
        finally:
            self._recording -= 1
        # The group's leader queries the agent for the attempt's state later.
        self._metrics.count(Counter.ACTION_RECORD_FAILED)
        _log.warning(LogEvent.ACTION_END_NOT_RECORDED, attempt=end.attempt, state=end.state.value)

    @contextmanager
    def _count_running(self) -> Iterator[None]:
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1
