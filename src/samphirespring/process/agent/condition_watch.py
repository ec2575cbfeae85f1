"""Logs and counts changes in the condition of an agent's targets."""

from samphirespring.process.detection.observations import Observation, Stall
from samphirespring.process.detection.target_health import TargetHealth
from samphirespring.process.ids import TargetId
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.metrics.metric_names import Counter, Timing
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.states import TargetCondition
from samphirespring.version.ids import ServiceName

_log = EventLog()


class ConditionWatch:
    """Adds evidence to the health of targets, and logs and counts each change of condition.

    Args:
        metrics: Receives counters and durations.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def observe(
        self,
        health: TargetHealth,
        observation: Observation,
        *,
        target: TargetId,
        service: ServiceName,
    ) -> None:
        """Add the outcome of an attempt.

        Args:
            health: The target's health.
            observation: Outcome and latency of the attempt.
            target: The target.
            service: Its service.
        """
        previous = health.state
        health.observe(observation)
        self._metrics.count(Counter.AGENT_OBSERVATIONS, observation.outcome.value)
        self._report_change(
            health, previous, target=target, service=service, now_s=observation.at_s
        )

    def record_stall(
        self, health: TargetHealth, stall: Stall, *, target: TargetId, service: ServiceName
    ) -> None:
        """Add the stall of an attempt in flight.

        Args:
            health: The target's health.
            stall: The stall with its stage.
            target: The target.
            service: Its service.
        """
        previous = health.state
        health.record_stall(stall)
        if stall.first:
            self._metrics.count(Counter.AGENT_STALLS)
        self._report_change(health, previous, target=target, service=service, now_s=stall.at_s)

    def advance(
        self, health: TargetHealth, *, target: TargetId, service: ServiceName, now_s: float
    ) -> None:
        """Apply the transitions that are due.

        Args:
            health: The target's health.
            target: The target.
            service: Its service.
            now_s: Monotonic time, in seconds.
        """
        previous = health.state
        health.advance(now_s)
        self._report_change(health, previous, target=target, service=service, now_s=now_s)

    def _report_change(
        self,
        health: TargetHealth,
        previous: TargetCondition,
        *,
        target: TargetId,
        service: ServiceName,
        now_s: float,
    ) -> None:
        if health.state is previous:
            return
        if previous is TargetCondition.TRIAL:
            self._count_trial(health)
        dump = health.make_dump(now_s)
        cause = dump.cause
        _log.info(
            LogEvent.TARGET_CONDITION_CHANGED,
            target=target,
            service=service,
            condition=dump.condition.value,
            until_s=dump.until_s,
            evidence=None if cause is None else cause.kind.value,
            severity=dump.severity,
        )
        self._metrics.count(Counter.AGENT_CONDITIONS, dump.condition.value)
        if dump.condition is TargetCondition.UNHEALTHY and cause is not None:
            self._metrics.count(Counter.AGENT_EJECTIONS)
            if cause.since_s is not None:
                self._metrics.record_duration(Timing.AGENT_DETECTION_TIME, now_s - cause.since_s)

    def _count_trial(self, health: TargetHealth) -> None:
        if health.state is TargetCondition.UNHEALTHY:
            self._metrics.count(Counter.AGENT_TRIALS_FAILED)
        elif health.was_trial_clean:
            self._metrics.count(Counter.AGENT_TRIALS_CLEAN)
        else:
            self._metrics.count(Counter.AGENT_TRIALS_PASSED)
