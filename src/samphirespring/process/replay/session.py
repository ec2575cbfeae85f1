"""Feeds a trace to detection and ejection, as one front and the agents of its targets do."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec

from samphirespring.process.detection.detector import Detector
from samphirespring.process.detection.ejections import TargetStatus
from samphirespring.process.detection.observations import Observation
from samphirespring.process.detection.parameters import DetectionParameters, get_parameters
from samphirespring.process.detection.pool_evaluator import PoolEvaluator
from samphirespring.process.detection.sequential import SequentialDetector
from samphirespring.process.detection.states import AdmissionLevel
from samphirespring.process.detection.target_health import TargetHealth
from samphirespring.process.ids import TargetId
from samphirespring.process.replay.trace import (
    EventLine,
    ObservationLine,
    ProbeLine,
    ProbeResult,
    TargetEvent,
    Trace,
    TraceLine,
)
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.timers import ManualTimerService

TICK_S = 0.25
SLOW_START_S = 10.0

DetectorFactory = Callable[[DetectionParameters], Detector]


class Ejection(msgspec.Struct, frozen=True, kw_only=True):
    """Interval in which a target was ejected."""

    target: TargetId
    at_s: float
    until_s: float


class SessionObserver(ABC):
    """Observer of a replay's decisions."""

    @abstractmethod
    def record_decision(
        self, statuses: tuple[TargetStatus, ...], ejected: frozenset[TargetId]
    ) -> None:
        """Record one decision on ejections.

        Args:
            statuses: The statuses that the decision is based on.
            ejected: The ejected targets.
        """


class _ReplayedTarget(msgspec.Struct, kw_only=True):
    health: TargetHealth
    phase: TargetPhase = TargetPhase.SERVING
    present: bool = True
    accumulated_weight: float = 0.0
    """Sum of the target's weights; at 1.0, one observation is used and 1.0 is subtracted."""

    ejected_at_s: float | None = None


class ReplaySession:
    """State of one replay.

    Args:
        trace: The trace.
        observer: Receives each decision.
        make_detector: Creates the detector of one target.
    """

    def __init__(
        self,
        trace: Trace,
        *,
        observer: SessionObserver,
        make_detector: DetectorFactory = SequentialDetector,
    ) -> None:
        self._header = trace.header
        self._lines = trace.lines
        self._observer = observer
        self._timers = ManualTimerService()
        self._evaluator = PoolEvaluator()
        self._ejections: list[Ejection] = []
        self._tick_s = 0.0
        self._needs_ticks = False
        parameters = get_parameters(trace.header.policy)
        self._targets = {
            target: _ReplayedTarget(
                health=TargetHealth(
                    make_detector(parameters),
                    parameters=parameters,
                    slow_start_s=SLOW_START_S,
                    now_s=0.0,
                )
            )
            for target in trace.header.targets
        }

    def run(self) -> tuple[Ejection, ...]:
        """Replay the whole trace and return the ejections, ordered by start."""
        for line in self._lines:
            self._advance_to(line.at_s)
            self._apply_line(line)
        now_s = self._timers.read_now_s()
        for target in self._targets:
            self._end_ejection(target, now_s)
        return tuple(sorted(self._ejections, key=lambda e: (e.at_s, e.target)))

    def _advance_to(self, at_s: float) -> None:
        while self._needs_ticks and self._tick_s + TICK_S <= at_s:
            self._tick_s += TICK_S
            self._advance_clock(self._tick_s)
            self._tick()
        self._tick_s = max(self._tick_s, at_s // TICK_S * TICK_S)
        self._advance_clock(at_s)

    def _advance_clock(self, at_s: float) -> None:
        self._timers.advance(max(0.0, at_s - self._timers.read_now_s()))

    def _tick(self) -> None:
        now_s = self._timers.read_now_s()
        for replayed in self._targets.values():
            replayed.health.advance(now_s)
        self._decide(now_s)

    def _apply_line(self, line: TraceLine) -> None:
        replayed = self._targets[line.target]
        match line:
            case ObservationLine():
                self._apply_observation(line, replayed)
            case ProbeLine():
                replayed.health.record_probe(
                    succeeded=line.result is ProbeResult.OK, now_s=line.at_s
                )
            case EventLine():
                self._apply_event(line, replayed)

    def _apply_event(self, line: EventLine, replayed: _ReplayedTarget) -> None:
        match line.event:
            case TargetEvent.DRAINING:
                replayed.phase = TargetPhase.DRAINING
            case TargetEvent.GONE:
                replayed.present = False
                self._evaluator.remove_target(line.target)
            case TargetEvent.STARTED:
                replayed.phase = TargetPhase.SERVING
                replayed.present = True
                replayed.health.start_cold(line.at_s)
        self._decide(line.at_s)

    def _apply_observation(self, line: ObservationLine, replayed: _ReplayedTarget) -> None:
        if not self._would_send(line, replayed):
            return
        health = replayed.health
        before = health.state
        reference = self._evaluator.read_reference(line.at_s)
        if reference is not None:
            health.use_reference(reference)
        health.observe(Observation(at_s=line.at_s, outcome=line.outcome, latency_s=line.latency_s))
        summary = health.summarize(line.at_s)
        if summary is not None:
            self._evaluator.record_summary(line.target, summary, now_s=line.at_s)
        if health.state is not before:
            self._decide(line.at_s)

    def _would_send(self, line: ObservationLine, replayed: _ReplayedTarget) -> bool:
        if not replayed.present or replayed.phase is not TargetPhase.SERVING:
            return False
        condition = replayed.health.state
        admission = self._evaluator.read_admission(line.target, condition)
        if admission is AdmissionLevel.EJECTED:
            return False
        if admission is AdmissionLevel.FULL and condition is not TargetCondition.SLOW_START:
            return True
        replayed.accumulated_weight += replayed.health.read_weight(line.at_s)
        if replayed.accumulated_weight < 1.0:
            return False
        replayed.accumulated_weight -= 1.0
        return True

    def _decide(self, now_s: float) -> None:
        statuses = tuple(
            self._make_status(target, replayed, now_s) for target, replayed in self._targets.items()
        )
        decision = self._evaluator.decide(statuses, floor=self._header.floor, now_s=now_s)
        self._observer.record_decision(statuses, decision.ejected)
        self._needs_ticks = any(
            replayed.health.state is not TargetCondition.HEALTHY
            for replayed in self._targets.values()
        )
        for target, replayed in self._targets.items():
            if target not in decision.ejected:
                self._end_ejection(target, now_s)
            elif replayed.ejected_at_s is None:
                replayed.ejected_at_s = now_s

    def _end_ejection(self, target: TargetId, now_s: float) -> None:
        replayed = self._targets[target]
        if replayed.ejected_at_s is not None:
            ejection = Ejection(target=target, at_s=replayed.ejected_at_s, until_s=now_s)
            self._ejections.append(ejection)
            replayed.ejected_at_s = None

    def _make_status(
        self, target: TargetId, replayed: _ReplayedTarget, now_s: float
    ) -> TargetStatus:
        summary = self._evaluator.read_summary(target)
        return TargetStatus(
            target=target,
            slots=self._header.slots,
            phase=replayed.phase,
            condition=replayed.health.read_condition(now_s),
            severity=replayed.health.read_severity(now_s),
            present=replayed.present,
            rate_step=None if summary is None else summary.rate_step,
        )
