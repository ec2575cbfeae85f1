"""Comparison of a replay's ejections with the labelled intervals of its trace."""

from collections.abc import Sequence

import msgspec

from samphirespring.process.detection.ejections import TargetStatus
from samphirespring.process.detection.sequential import SequentialDetector
from samphirespring.process.ids import TargetId
from samphirespring.process.replay.session import (
    DetectorFactory,
    Ejection,
    ReplaySession,
    SessionObserver,
)
from samphirespring.process.replay.trace import (
    EventLine,
    TargetEvent,
    Trace,
    UnhealthyInterval,
)
from samphirespring.process.states import TargetCondition, TargetPhase

SECONDS_PER_HOUR = 3_600
DECIMAL_PLACES = 6


class EjectionEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One ejection in the report; moments are seconds in the time of the trace."""

    target: TargetId
    at: float
    until: float


class ReplayReport(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a replay."""

    detection_s: dict[TargetId, float]
    """Longest detection time of each unhealthy target that was ejected, in seconds."""

    missed: tuple[TargetId, ...]
    """Targets with a labelled interval during which they were never ejected."""

    ejections: tuple[EjectionEntry, ...]
    false_ejections: int
    """Ejections that began outside all labelled intervals of their target."""

    healthy_target_hours: float
    floor_violations: int
    """Decisions that ejected a target and left less capacity than the floor."""


class FloorViolationCounter(SessionObserver):
    """Counts decisions that violate the floor, independently of the code that enforces it.

    Args:
        floor: Least share of the total capacity that must remain after ejections.
    """

    def __init__(self, floor: float) -> None:
        self._floor = floor
        self.violation_count = 0

    def record_decision(
        self, statuses: tuple[TargetStatus, ...], ejected: frozenset[TargetId]
    ) -> None:
        """Count a decision if it violates the floor."""
        total = sum(status.slots for status in statuses)
        remaining = sum(status.slots for status in statuses if _has_capacity(status, ejected))
        if ejected and remaining < self._floor * total - 1e-9:
            self.violation_count += 1


def replay_trace(
    trace: Trace, *, make_detector: DetectorFactory = SequentialDetector
) -> ReplayReport:
    """Replay a trace and compare the ejections with its labelled intervals.

    Args:
        trace: The trace.
        make_detector: Creates the detector of one target.
    """
    counter = FloorViolationCounter(trace.header.floor)
    ejections = ReplaySession(trace, observer=counter, make_detector=make_detector).run()
    detection_s: dict[TargetId, float] = {}
    missed: list[TargetId] = []
    for interval in trace.intervals:
        delay_s = _measure_delay_s(interval, ejections)
        if delay_s is not None:
            delay_s = round(delay_s, DECIMAL_PLACES)
            detection_s[interval.target] = max(delay_s, detection_s.get(interval.target, 0.0))
        elif interval.target not in missed:
            missed.append(interval.target)
    return ReplayReport(
        detection_s=detection_s,
        missed=tuple(missed),
        ejections=tuple(_make_entry(ejection) for ejection in ejections),
        false_ejections=sum(1 for e in ejections if not _is_expected(e, trace.intervals)),
        healthy_target_hours=round(_measure_healthy_hours(trace), DECIMAL_PLACES),
        floor_violations=counter.violation_count,
    )


def _has_capacity(status: TargetStatus, ejected: frozenset[TargetId]) -> bool:
    return (
        status.present
        and status.phase is TargetPhase.SERVING
        and status.condition is not TargetCondition.SLOW_START
        and status.target not in ejected
    )


def _make_entry(ejection: Ejection) -> EjectionEntry:
    return EjectionEntry(
        target=ejection.target,
        at=round(ejection.at_s, DECIMAL_PLACES),
        until=round(ejection.until_s, DECIMAL_PLACES),
    )


def _measure_delay_s(interval: UnhealthyInterval, ejections: Sequence[Ejection]) -> float | None:
    for ejection in ejections:
        if ejection.target != interval.target or ejection.until_s <= interval.from_s:
            continue
        if ejection.at_s < interval.until_s:
            return max(0.0, ejection.at_s - interval.from_s)
    return None


def _is_expected(ejection: Ejection, intervals: Sequence[UnhealthyInterval]) -> bool:
    return any(
        interval.target == ejection.target and interval.from_s <= ejection.at_s < interval.until_s
        for interval in intervals
    )


def _measure_healthy_hours(trace: Trace) -> float:
    if not trace.lines:
        return 0.0
    end_s = trace.lines[-1].at_s
    total_s = sum(
        _measure_present_s(target, trace, end_s=end_s)
        - _measure_unhealthy_s(target, trace, end_s=end_s)
        for target in trace.header.targets
    )
    return max(0.0, total_s) / SECONDS_PER_HOUR


def _measure_present_s(target: TargetId, trace: Trace, *, end_s: float) -> float:
    present_s = 0.0
    start_s: float | None = trace.lines[0].at_s
    for line in trace.lines:
        if not isinstance(line, EventLine) or line.target != target:
            continue
        if line.event is TargetEvent.GONE and start_s is not None:
            present_s += line.at_s - start_s
            start_s = None
        elif line.event is TargetEvent.STARTED and start_s is None:
            start_s = line.at_s
    return present_s if start_s is None else present_s + end_s - start_s


def _measure_unhealthy_s(target: TargetId, trace: Trace, *, end_s: float) -> float:
    unhealthy_s = 0.0
    covered_s = trace.lines[0].at_s
    intervals = [interval for interval in trace.intervals if interval.target == target]
    for interval in sorted(intervals, key=lambda i: i.from_s):
        from_s = max(covered_s, interval.from_s)
        until_s = min(end_s, interval.until_s)
        unhealthy_s += max(0.0, until_s - from_s)
        covered_s = max(covered_s, until_s)
    return unhealthy_s
