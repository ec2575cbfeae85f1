"""Generates traces of a pool with known faults from a seed."""

import math
from dataclasses import dataclass
from enum import Enum

import msgspec
import numpy as np

from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.replay.trace import (
    EventLine,
    ObservationLine,
    ProbeLine,
    ProbeResult,
    TargetEvent,
    Trace,
    TraceHeader,
    UnhealthyInterval,
)
from samphirespring.version.states import DetectionMode

BASE_LATENCY_S = 0.04
HEALTHY_FAILURE_SHARE = 0.001
TAIL_EXPONENT = 1.5


class LatencyShape(Enum):
    """Distribution of a healthy target's latency."""

    LOGNORMAL = "lognormal"
    BIMODAL = "bimodal"
    HEAVY_TAIL = "heavy_tail"


@dataclass(frozen=True, kw_only=True)
class Fault:
    """Fault of some targets during an interval.

    Faults that are `labelled` are listed in the trace as unhealthy intervals of their targets. No
    target may be ejected for any other fault.
    """

    targets: tuple[int, ...]
    from_s: float
    until_s: float
    slowdown: float = 1.0
    failure_share: float = 0.0
    outcome: ObservedOutcome = ObservedOutcome.WRONG
    period_s: float | None = None
    """Period of a flapping fault, in seconds: the fault is active in the first half of each."""

    labelled: bool = True


@dataclass(frozen=True, kw_only=True)
class Probes:
    """Probes of all targets, and the targets whose probes fail although they serve normally."""

    interval_s: float = 1.0
    failing: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Event:
    """Change in the life cycle of one target."""

    at_s: float
    target: int
    event: TargetEvent


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A pool, its traffic and its faults."""

    name: str
    duration_s: float = 60.0
    target_count: int = 12
    slots: int = 5
    floor: float = 0.7
    rate_per_s: float = 10.0
    shape: LatencyShape = LatencyShape.LOGNORMAL
    sigma: float = 0.6
    spread: float = 0.05
    """Standard deviation of the mean log latency of healthy targets."""

    load_period_s: float | None = None
    """Period of the load, in seconds; the peak doubles the rate and multiplies latency by 2.5."""

    shed_share: float = 0.0
    client_error_share: float = 0.02
    faults: tuple[Fault, ...] = ()
    probes: Probes | None = None
    events: tuple[Event, ...] = ()


def generate_trace(scenario: Scenario, *, mode: DetectionMode, seed: int) -> Trace:
    """Return the trace of a scenario.

    Args:
        scenario: The scenario.
        mode: Detection mode in the trace's header.
        seed: Seed of all random numbers.
    """
    generator = np.random.default_rng(seed)
    lines = []
    for index in range(scenario.target_count):
        lines.extend(_generate_target(scenario, index, generator))
    lines.extend(_list_events(scenario))
    lines.extend(_list_probes(scenario))
    lines.sort(key=lambda line: line.at_s)
    header = TraceHeader(
        service="recipes",
        policy=mode,
        floor=scenario.floor,
        targets=tuple(f"t{index}" for index in range(scenario.target_count)),
        slots=scenario.slots,
    )
    return Trace(header=header, lines=tuple(lines), intervals=_list_intervals(scenario))


def encode_trace(trace: Trace) -> bytes:
    """Return a trace as JSON Lines.

    Args:
        trace: The trace.
    """
    records = [msgspec.to_builtins(trace.header)]
    records += [
        {"sick": interval.target, "from": interval.from_s, "until": interval.until_s}
        for interval in trace.intervals
    ]
    records += [_encode_line(line) for line in trace.lines]
    return b"".join(msgspec.json.encode(record) + b"\n" for record in records)


def _encode_line(line):
    record = {"t": line.at_s, "target": line.target}
    match line:
        case ObservationLine():
            latency_ms = None if line.latency_s is None else line.latency_s * 1000
            return {**record, "latency_ms": latency_ms, "outcome": line.outcome.value}
        case ProbeLine():
            return {**record, "probe": line.result.value}
        case EventLine():
            return {**record, "event": line.event.value}


def _generate_target(scenario, index, generator):
    starts = _draw_starts(scenario, generator)
    latencies = _draw_latencies(scenario, len(starts), generator)
    latencies *= math.exp(generator.normal(0.0, scenario.spread))
    latencies *= _compute_load(scenario, starts) ** (math.log(2.5) / math.log(2.0))
    failure_share = np.full(len(starts), HEALTHY_FAILURE_SHARE)
    outcomes = np.full(len(starts), ObservedOutcome.WRONG, dtype=object)
    for fault in scenario.faults:
        if index in fault.targets:
            active = _find_active(fault, starts)
            latencies[active] *= fault.slowdown
            failure_share[active] += fault.failure_share
            outcomes[active] = fault.outcome
    failure_draws = generator.random(len(starts))
    ok = failure_draws >= failure_share
    neutral_draws = generator.random(len(starts))
    outcomes[ok] = ObservedOutcome.OK
    outcomes[ok & (neutral_draws < scenario.client_error_share)] = ObservedOutcome.CLIENT_ERROR
    outcomes[ok & (neutral_draws > 1.0 - scenario.shed_share)] = ObservedOutcome.SHED
    target = f"t{index}"
    times = starts + latencies
    return [
        ObservationLine(at_s=float(at_s), target=target, latency_s=float(latency), outcome=outcome)
        for at_s, latency, outcome in zip(times, latencies, outcomes, strict=True)
    ]


def _draw_starts(scenario, generator):
    peak_rate_per_s = scenario.rate_per_s * (2.0 if scenario.load_period_s else 1.0)
    count = generator.poisson(peak_rate_per_s * scenario.duration_s)
    starts = np.sort(generator.random(count) * scenario.duration_s)
    if scenario.load_period_s is None:
        return starts
    return starts[generator.random(count) < _compute_load(scenario, starts) / 2.0]


def _compute_load(scenario, starts):
    if scenario.load_period_s is None:
        return np.ones(len(starts))
    return 1.5 - 0.5 * np.cos(2 * np.pi * starts / scenario.load_period_s)


def _draw_latencies(scenario, count, generator):
    if scenario.shape is LatencyShape.HEAVY_TAIL:
        return BASE_LATENCY_S * (1.0 + generator.pareto(TAIL_EXPONENT, count))
    latencies = BASE_LATENCY_S * generator.lognormal(0.0, scenario.sigma, count)
    if scenario.shape is LatencyShape.BIMODAL:
        latencies[generator.random(count) < 0.2] *= 10.0
    return latencies


def _find_active(fault, starts):
    active = (starts >= fault.from_s) & (starts < fault.until_s)
    if fault.period_s is not None:
        active &= ((starts - fault.from_s) % fault.period_s) < fault.period_s / 2
    return active


def _list_intervals(scenario):
    intervals = []
    for fault in scenario.faults:
        if fault.labelled:
            for start_s, end_s in _list_active_intervals(fault):
                intervals += [
                    UnhealthyInterval(target=f"t{index}", from_s=start_s, until_s=end_s)
                    for index in fault.targets
                ]
    return tuple(intervals)


def _list_active_intervals(fault):
    if fault.period_s is None:
        return [(fault.from_s, fault.until_s)]
    count = math.ceil((fault.until_s - fault.from_s) / fault.period_s)
    starts = [fault.from_s + number * fault.period_s for number in range(count)]
    return [(start, min(fault.until_s, start + fault.period_s / 2)) for start in starts]


def _list_events(scenario):
    return [
        EventLine(at_s=event.at_s, target=f"t{event.target}", event=event.event)
        for event in scenario.events
    ]


def _list_probes(scenario):
    if scenario.probes is None:
        return []
    times = np.arange(0.0, scenario.duration_s, scenario.probes.interval_s)
    return [
        ProbeLine(
            at_s=float(at_s),
            target=f"t{index}",
            result=ProbeResult.FAIL if index in scenario.probes.failing else ProbeResult.OK,
        )
        for index in range(scenario.target_count)
        for at_s in times
    ]
