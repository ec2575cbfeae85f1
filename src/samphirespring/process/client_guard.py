"""Task that sweeps the budget for clients of one kind, and reports what the budget did."""

from collections.abc import Mapping
from enum import Enum

from samphirespring.process.caller_budget import CallerBudget, EndReason
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.metrics.metric_names import Counter, Gauge
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService

SWEEP_INTERVAL_S = 0.5

_log = EventLog()


class ClientKind(Enum):
    """Whom a budget is for: callers, or clients of the ports for managing the process."""

    CALLERS = "callers"
    MANAGEMENT = "management"


TASK_NAMES = {ClientKind.CALLERS: "caller_guard", ClientKind.MANAGEMENT: "management_guard"}


class ClientGuardDump(StateDump, frozen=True, kw_only=True):
    """State of a budget."""

    held_bytes: int
    connections: int
    paused: int
    """How often a connection was paused since the start."""

    ended: dict[str, int]
    """Connections that were ended since the start, by reason."""


class ClientGuard(OwnerTask):
    """Sweeps the budget, and writes one log line at most for each sweep.

    Args:
        budget: The budget.
        kind: Whom it is for.
        timers: The timer service.
        metrics: Receives the metrics of callers.
    """

    def __init__(
        self, budget: CallerBudget, *, kind: ClientKind, timers: TimerService, metrics: Metrics
    ) -> None:
        self._budget = budget
        self._kind = kind
        self._timers = timers
        self._metrics = metrics
        self._reported: dict[EndReason, int] = {}
        self._reported_paused = 0

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return TASK_NAMES[self._kind]

    async def run(self) -> None:
        """Sweep until cancelled."""
        async for _ in self._timers.subscribe(interval_s=SWEEP_INTERVAL_S):
            self._budget.sweep()
            self._report()

    async def dump(self) -> ClientGuardDump:
        """Return the state of the budget."""
        return ClientGuardDump(
            held_bytes=self._budget.held_bytes,
            connections=self._budget.connection_count,
            paused=self._budget.paused_count,
            ended={reason.value: count for reason, count in self._budget.ended.items()},
        )

    def _report(self) -> None:
        if self._kind is ClientKind.CALLERS:
            self._metrics.set_gauge(Gauge.CALLERS_HELD_BYTES, value=self._budget.held_bytes)
            self._metrics.set_gauge(Gauge.CALLERS_CONNECTIONS, value=self._budget.connection_count)
        paused = self._budget.paused_count - self._reported_paused
        ended = {
            reason: count - self._reported.get(reason, 0)
            for reason, count in self._budget.ended.items()
            if count > self._reported.get(reason, 0)
        }
        if not paused and not ended:
            return
        self._reported = dict(self._budget.ended)
        self._reported_paused = self._budget.paused_count
        if self._kind is ClientKind.CALLERS:
            self._count(paused, ended)
        _log.warning(
            LogEvent.CALLERS_LIMITED,
            clients=self._kind.value,
            held_bytes=self._budget.held_bytes,
            connections=self._budget.connection_count,
            paused=paused,
            ended={reason.value: count for reason, count in ended.items()},
        )

    def _count(self, paused: int, ended: Mapping[EndReason, int]) -> None:
        if paused:
            self._metrics.count(Counter.CALLERS_PAUSED, amount=paused)
        for reason, count in ended.items():
            self._metrics.count(Counter.CALLERS_ENDED, reason.value, amount=count)
