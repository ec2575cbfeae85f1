"""Plots detection time against false ejections for scaled thresholds of both policies.

Run with `./scripts/plot`; it writes docs/detection.svg and prints the points.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from itertools import product
from pathlib import Path

import matplotlib
from matplotlib.figure import Figure

from samphirespring.process.detection.sequential import SequentialDetector
from samphirespring.version.states import DetectionMode
from traces.measurement import measure_scenario
from traces.scenarios import SCENARIOS

PLOT_PATH = Path(__file__).resolve().parents[2] / "docs" / "detection.svg"
FACTORS = (0.1, 0.2, 0.35, 0.5, 0.7, 1.0, 1.4)
UNHEALTHY_SCENARIOS = ("slow x4", "30% wrong")
HEALTHY_SCENARIOS = ("healthy", "heavy tail, healthy")
FIRST_SEED = 1_000
WORKERS = 3
MARKERS = {DetectionMode.FAST: "o", DetectionMode.CAREFUL: "s"}
HOURS = 1_000


@dataclass(frozen=True, kw_only=True)
class Point:
    """One policy with its thresholds scaled by a factor."""

    mode: DetectionMode
    factor: float
    medians_s: dict[str, float]
    missed: int
    false_count: int
    healthy_hours: float

    @property
    def false_rate(self):
        """False ejections in 1,000 target hours."""
        return self.false_count / self.healthy_hours * HOURS


def measure_point(mode, factor, seed_count):
    """Return the measurements of a policy with its thresholds scaled by a factor."""

    def make_detector(parameters):
        scaled = replace(
            parameters,
            latency_threshold=parameters.latency_threshold * factor,
            failure_threshold=parameters.failure_threshold * factor,
        )
        return SequentialDetector(scaled)

    seeds = range(FIRST_SEED, FIRST_SEED + seed_count)
    results = {
        scenario.name: measure_scenario(
            scenario, mode=mode, seeds=seeds, make_detector=make_detector
        )
        for scenario in SCENARIOS
        if scenario.name in UNHEALTHY_SCENARIOS + HEALTHY_SCENARIOS
    }
    return Point(
        mode=mode,
        factor=factor,
        medians_s={name: results[name].read_quantile_s(0.5) for name in UNHEALTHY_SCENARIOS},
        missed=sum(results[name].missed_count for name in UNHEALTHY_SCENARIOS),
        false_count=sum(results[name].false_count for name in HEALTHY_SCENARIOS),
        healthy_hours=sum(results[name].healthy_hours for name in HEALTHY_SCENARIOS),
    )


def measure_points(seed_count):
    """Return the points of both policies for all factors."""
    jobs = list(product(DetectionMode, FACTORS))
    with ProcessPoolExecutor(max_workers=WORKERS) as pool:
        return list(
            pool.map(
                measure_point,
                [mode for mode, _ in jobs],
                [factor for _, factor in jobs],
                [seed_count] * len(jobs),
            )
        )


def draw(points, path):
    """Write the plot; the same points result in the same bytes."""
    matplotlib.rcParams["svg.hashsalt"] = "samphirespring"
    figure = Figure(figsize=(11, 4.8), layout="constrained")
    for axes, name in zip(
        figure.subplots(1, len(UNHEALTHY_SCENARIOS)), UNHEALTHY_SCENARIOS, strict=True
    ):
        for mode in DetectionMode:
            _draw_policy(axes, [point for point in points if point.mode is mode], name)
        axes.set_title(f"one target of 12: {name}")
        axes.set_xlabel("false ejections in 1,000 hours of healthy targets")
        axes.set_ylabel("median detection time, s")
        axes.set_xscale("symlog", linthresh=10)
        axes.set_xlim(left=-2)
        axes.set_yscale("log")
        axes.grid(alpha=0.3)
        axes.legend()
    figure.savefig(path, metadata={"Date": None})


def _draw_policy(axes, points, name):
    rates = [point.false_rate for point in points]
    medians = [point.medians_s[name] for point in points]
    mode = points[0].mode
    axes.plot(rates, medians, marker=MARKERS[mode], label=f"policy {mode.value}")
    for point, rate, median in zip(points, rates, medians, strict=True):
        weight = "bold" if point.factor == 1.0 else "normal"
        axes.annotate(
            f"x{point.factor:g}",
            (rate, median),
            xytext=(4, 4),
            textcoords="offset points",
            fontsize=8,
            fontweight=weight,
        )


def main():
    """Measure, print the points as a table, and write the plot."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--output", type=Path, default=PLOT_PATH)
    options = parser.parse_args()
    points = measure_points(options.seeds)
    print("| policy | thresholds | median, slow x4 | median, 30% wrong | missed | false |")
    print("|---|---|---|---|---|---|")
    for point in points:
        medians = " | ".join(f"{point.medians_s[name]:.2f} s" for name in UNHEALTHY_SCENARIOS)
        print(
            f"| {point.mode.value} | x{point.factor:g} | {medians} | {point.missed} |"
            f" {point.false_count} in {point.healthy_hours:.1f} h |"
        )
    draw(points, options.output)


if __name__ == "__main__":
    main()
