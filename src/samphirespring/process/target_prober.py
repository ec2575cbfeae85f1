"""Probes the health endpoints of the host's targets, as evidence in addition to live responses."""

import random

import anyio
import msgspec
from anyio.abc import TaskGroup

from samphirespring.process.agent.agent_messages import AgentMessage, ListProbePlans, RecordProbe
from samphirespring.process.detection.probe_schedule import ProbePlan, ProbeSchedule
from samphirespring.process.health_probe import HealthProbe
from samphirespring.process.ids import TargetId
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import InboxFullError, Mailbox, ask
from samphirespring.process.metrics.metric_names import Counter, Timing
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService

TICK_INTERVAL_S = 0.25
IDLE_INTERVAL_S = 2.0
"""Time between two requests for probe plans while there are none, in seconds."""

_log = EventLog()


class ProbedTargetDump(msgspec.Struct, frozen=True, kw_only=True):
    """Latest probe of one target."""

    target: TargetId
    succeeded: bool
    at_s: float
    """Monotonic time at which it ended, in seconds."""

    duration_s: float
    failures_in_row: int


class TargetProberDump(StateDump, frozen=True, kw_only=True):
    """State of the target prober."""

    scheduled: tuple[TargetId, ...]
    """Targets that are serving and announce a health path."""

    running: int
    """Probes in flight."""

    latest: tuple[ProbedTargetDump, ...]


class _ProbeResult(msgspec.Struct, frozen=True, kw_only=True):
    plan: ProbePlan
    succeeded: bool
    duration_s: float


class TargetProber(OwnerTask):
    """Runs the probes of the host's targets; the agent evaluates the results.

    Args:
        probe: Probes one target.
        agent: Inbox of the agent, which supplies the plans and receives the results.
        timers: The timer service.
        metrics: Receives counters and durations.
        generator: Source of random numbers.
    """

    def __init__(
        self,
        probe: HealthProbe,
        *,
        agent: Mailbox[AgentMessage],
        timers: TimerService,
        metrics: Metrics,
        generator: random.Random,
    ) -> None:
        self._probe = probe
        self._agent = agent
        self._timers = timers
        self._metrics = metrics
        self._schedule = ProbeSchedule(generator)
        self._latest: dict[TargetId, ProbedTargetDump] = {}

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "target_prober"

    async def run(self) -> None:
        """Probe until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                has_plans = await self._start_due(group, self._timers.read_now_s())
                await self._timers.wait_for(TICK_INTERVAL_S if has_plans else IDLE_INTERVAL_S)

    async def dump(self) -> TargetProberDump:
        """Return the prober's state."""
        return TargetProberDump(
            scheduled=self._schedule.list_targets(),
            running=self._schedule.running_count,
            latest=tuple(self._latest.values()),
        )

    async def _start_due(self, group: TaskGroup, now_s: float) -> bool:
        """Start the probes that are due, and return whether there are targets to probe."""
        try:
            plans: tuple[ProbePlan, ...] = await ask(
                self._agent, lambda reply: ListProbePlans(reply=reply)
            )
        except InboxFullError:
            # The agent is overloaded; the probes wait for the next tick.
            return True
        self._use_plans(plans, now_s)
        for plan in self._schedule.start_due(now_s):
            group.start_soon(self._run_probe, plan)
        return bool(plans)

    def _use_plans(self, plans: tuple[ProbePlan, ...], now_s: float) -> None:
        self._schedule.use_plans(plans, now_s=now_s)
        for target in self._latest.keys() - set(self._schedule.list_targets()):
            del self._latest[target]

    async def _run_probe(self, plan: ProbePlan) -> None:
        started_at_s = self._timers.read_now_s()
        succeeded = False
        with self._timers.move_on_at(started_at_s + plan.timeout_s):
            succeeded = await self._probe.check(address=plan.address, path=plan.path)
        duration_s = self._timers.read_now_s() - started_at_s
        self._handle_result(_ProbeResult(plan=plan, succeeded=succeeded, duration_s=duration_s))

    def _handle_result(self, result: _ProbeResult) -> None:
        target = result.plan.target
        self._metrics.count(
            Counter.AGENT_PROBES_OK if result.succeeded else Counter.AGENT_PROBES_FAILED
        )
        self._metrics.record_duration(Timing.AGENT_PROBE_DURATION, result.duration_s)
        if not self._schedule.record_end(target):
            return
        self._record_latest(result)
        try:
            self._agent.post(RecordProbe(target=target, succeeded=result.succeeded))
        except InboxFullError:
            # Dropped: the result of a single probe doesn't change any decision.
            self._metrics.count(Counter.AGENT_PROBES_DROPPED)

    def _record_latest(self, result: _ProbeResult) -> None:
        target = result.plan.target
        previous = self._latest.get(target)
        failures = 0 if previous is None else previous.failures_in_row
        if previous is None or previous.succeeded is not result.succeeded:
            _log.info(LogEvent.TARGET_PROBE_CHANGED, target=target, succeeded=result.succeeded)
        self._latest[target] = ProbedTargetDump(
            target=target,
            succeeded=result.succeeded,
            at_s=self._timers.read_now_s(),
            duration_s=round(result.duration_s, 6),
            failures_in_row=0 if result.succeeded else failures + 1,
        )
