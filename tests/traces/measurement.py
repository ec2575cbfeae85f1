"""Measures detection times and false ejections of detectors over scenarios and seeds."""

from dataclasses import dataclass

import numpy as np

from samphirespring.process.detection.sequential import SequentialDetector
from samphirespring.process.replay.report import replay_trace
from traces.generator import generate_trace


@dataclass(frozen=True, kw_only=True)
class Measurement:
    """Result of one detector on one scenario over some seeds."""

    delays_s: tuple[float, ...]
    missed_count: int
    false_count: int
    healthy_hours: float
    violation_count: int

    def read_quantile_s(self, share):
        """Return a quantile of the detection time, in seconds; missed faults count as infinite."""
        delays = [*self.delays_s, *([float("inf")] * self.missed_count)]
        return float(np.quantile(delays, share, method="higher"))


def measure_scenario(scenario, *, mode, seeds, make_detector=SequentialDetector):
    """Return the measurement of a scenario.

    Args:
        scenario: The scenario.
        mode: Detection mode.
        seeds: Seeds; one trace is generated for each.
        make_detector: Creates the detector of one target.
    """
    reports = [
        replay_trace(generate_trace(scenario, mode=mode, seed=seed), make_detector=make_detector)
        for seed in seeds
    ]
    return Measurement(
        delays_s=tuple(delay for report in reports for delay in report.detection_s.values()),
        missed_count=sum(len(report.missed) for report in reports),
        false_count=sum(report.false_ejections for report in reports),
        healthy_hours=sum(report.healthy_target_hours for report in reports),
        violation_count=sum(report.floor_violations for report in reports),
    )
