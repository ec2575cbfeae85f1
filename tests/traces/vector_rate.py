"""Counts false alarms of the sequential test over many healthy target hours, with NumPy arrays.

The arithmetic is that of `SequentialDetector` and `merge_summaries`; a feature compares the two.
Checks that would suppress an alarm later (minimum duration, common cause, floor) are left out, so
that the count is an upper bound.

Run with `PYTHONPATH=tests .venv/bin/python -m traces.vector_rate --help`.
"""

import argparse
import math

import numpy as np

from samphirespring.process.detection.parameters import get_parameters
from samphirespring.process.detection.reference import (
    MAX_SCORE,
    MIN_LOG_SCALE,
    MIN_SCORE,
    NORMAL_SCORES,
)
from samphirespring.process.detection.sequential import (
    MAX_HEALTHY_FAILURE_SHARE,
    MAX_SCORE_SHIFT,
    MAX_UNHEALTHY_FAILURE_SHARE,
    MIN_SCORE_SHIFT,
    MIN_TREND_FAILURE_SHARE,
    MIN_UNHEALTHY_FAILURE_SHARE,
    POOL_FAILURE_MARGIN,
    TREND_FAILURE_FACTOR,
    UNHEALTHY_FAILURE_FACTOR,
)
from samphirespring.process.detection.summaries import (
    FAILURE_WINDOW,
    FIRST_STEP_LOG,
    MIN_LATENCY_S,
    PER_MILLE,
    QUANTILES,
    STEPS_PER_UNIT,
    WINDOW_CAPACITY,
)
from samphirespring.version.states import DetectionMode

POOL_SIZE = 12
RATE_PER_S = 10.0
BASE_LATENCY_S = 0.04
SIGMA = 0.6
SPREAD = 0.05
FAILURE_SHARE = 0.001
REFERENCE_STEPS = 20
SECONDS_PER_HOUR = 3_600


class PoolArray:
    """CUSUM statistics of many targets, with one row for each pool."""

    def __init__(self, *, mode, pool_count):
        self.parameters = get_parameters(mode)
        self.shape = (pool_count, POOL_SIZE)
        self.window = np.zeros((*self.shape, WINDOW_CAPACITY), dtype=np.float32)
        self.filled = 0
        self.latency = np.zeros(self.shape, dtype=np.float32)
        self.failures = np.zeros(self.shape, dtype=np.float32)
        self.trend = np.zeros(self.shape, dtype=np.float32)
        self.failure_share = np.zeros(self.shape, dtype=np.float32)
        self.pool_failures = np.zeros((pool_count, 1), dtype=np.float32)
        self.knots = None

    def use_reference(self):
        """Recompute the reference of each pool as the median of its targets' quantiles."""
        ordered = np.sort(self.window, axis=2)
        ranks = [round(share * (WINDOW_CAPACITY - 1)) for share in QUANTILES]
        steps = np.rint((ordered[:, :, ranks] - FIRST_STEP_LOG) * STEPS_PER_UNIT)
        merged = np.ceil(np.median(steps, axis=1))
        self.use_knots(merged / STEPS_PER_UNIT + FIRST_STEP_LOG)
        per_mille = np.rint(self.failure_share * PER_MILLE)
        merged_failures = np.ceil(np.median(per_mille, axis=1, keepdims=True))
        self.pool_failures = (merged_failures / PER_MILLE).astype(np.float32)

    def use_knots(self, knots):
        """Set the quantiles of log latency to compare with, one row for each pool."""
        scores = np.array(NORMAL_SCORES)
        bounds = knots[:, 1:2] + scores * MIN_LOG_SCALE
        knots = np.where(scores > 0, np.maximum(knots, bounds), np.minimum(knots, bounds))
        tolerance = math.log(self.parameters.tolerated_ratio)
        scale = (knots[:, 2] - knots[:, 0]) / (NORMAL_SCORES[2] - NORMAL_SCORES[0])
        shift = (math.log(self.parameters.unhealthy_ratio) - tolerance) / scale
        self.shift = np.clip(shift, MIN_SCORE_SHIFT, MAX_SCORE_SHIFT).astype(np.float32)[:, None]
        self.knots = knots.astype(np.float32)
        slopes = np.diff(scores) / np.maximum(1e-6, np.diff(knots, axis=1))
        self.slopes = slopes.astype(np.float32)
        self.tolerance = np.float32(tolerance)

    def observe(self, log_latency, failed):
        """Add one attempt of each target."""
        self.window[:, :, self.filled % WINDOW_CAPACITY] = log_latency
        self.filled += 1
        weight = np.float32(1.0 / min(self.filled, FAILURE_WINDOW))
        self.failure_share += (failed - self.failure_share) * weight
        if self.knots is None:
            return
        ratio = self.shift * (self._score(log_latency - self.tolerance) - self.shift / 2)
        added = np.maximum(0, self.latency + ratio)
        self.latency = np.where(failed, self.latency, added)
        self.failures = self._add_failures(
            self.failures, failed, MIN_UNHEALTHY_FAILURE_SHARE, UNHEALTHY_FAILURE_FACTOR
        )
        self.trend = self._add_failures(
            self.trend, failed, MIN_TREND_FAILURE_SHARE, TREND_FAILURE_FACTOR
        )

    def pop_alarms(self):
        """Return the number of targets that reached a threshold, and reset their sums."""
        over = self.latency >= self.parameters.latency_threshold
        over |= self.failures >= self.parameters.failure_threshold
        over |= self.trend >= self.parameters.failure_threshold
        for sums in (self.latency, self.failures, self.trend):
            sums[over] = 0
        return int(over.sum())

    def _score(self, values):
        knots, slopes = self.knots, self.slopes
        score = NORMAL_SCORES[0] + (values - knots[:, 0:1]) * slopes[:, 0:1]
        for index in (1, 2, 3):
            upper = NORMAL_SCORES[index] + (values - knots[:, index, None]) * slopes[:, index, None]
            score = np.where(values >= knots[:, index, None], upper, score)
        return np.clip(score, MIN_SCORE, MAX_SCORE)

    def _add_failures(self, sums, failed, min_unhealthy, factor):
        floor = self.parameters.failure_share_floor
        healthy = np.clip(
            POOL_FAILURE_MARGIN * self.pool_failures, floor, MAX_HEALTHY_FAILURE_SHARE
        )
        unhealthy = np.clip(factor * healthy, min_unhealthy, MAX_UNHEALTHY_FAILURE_SHARE)
        failure = np.log(unhealthy / healthy)
        success = np.log((1 - unhealthy) / (1 - healthy))
        return np.maximum(0, sums + np.where(failed, failure, success)).astype(np.float32)


def count_alarms(*, mode, pool_count, hours, seed, failure_share=FAILURE_SHARE):
    """Return the number of alarms of healthy pools.

    Args:
        mode: Detection mode.
        pool_count: Pools of 12 targets at 10 requests/s.
        hours: Simulated time, in hours.
        seed: Seed of all random numbers.
        failure_share: Share of failures of a healthy target.
    """
    generator = np.random.default_rng(seed)
    pools = PoolArray(mode=mode, pool_count=pool_count)
    means = math.log(BASE_LATENCY_S) + SPREAD * generator.standard_normal(pools.shape)
    means = means.astype(np.float32)
    alarm_count = 0
    for step in range(round(hours * SECONDS_PER_HOUR * RATE_PER_S)):
        if step >= WINDOW_CAPACITY and step % REFERENCE_STEPS == 0:
            pools.use_reference()
        log_latency = means + SIGMA * generator.standard_normal(pools.shape, dtype=np.float32)
        log_latency = np.maximum(math.log(MIN_LATENCY_S), log_latency).astype(np.float32)
        failed = generator.random(pools.shape, dtype=np.float32) < failure_share
        pools.observe(log_latency, failed)
        alarm_count += pools.pop_alarms()
    return alarm_count


def main():
    """Print the alarms and the healthy target hours."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--mode", choices=["fast", "careful"], default="fast")
    parser.add_argument("--pools", type=int, default=1_000)
    parser.add_argument("--hours", type=float, default=0.25)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--failure-share", type=float, default=FAILURE_SHARE)
    options = parser.parse_args()
    total = 0
    for number in range(options.rounds):
        total += count_alarms(
            mode=DetectionMode(options.mode),
            pool_count=options.pools,
            hours=options.hours,
            seed=options.seed + number,
            failure_share=options.failure_share,
        )
        hours = options.pools * POOL_SIZE * options.hours * (number + 1)
        print(f"{options.mode}: {total} alarms in {hours:,.0f} target hours", flush=True)


if __name__ == "__main__":
    main()
