"""Reference of a service's pool, robust against a minority of unhealthy targets."""

import math
from collections.abc import Collection, Sequence
from statistics import median

from samphirespring.process.detection.summaries import (
    PER_MILLE,
    ResponseQuantiles,
    TargetSummary,
    decode_log_latency,
)

MIN_REFERENCE_TARGETS = 3
"""Minimum number of targets: with fewer, no majority shows which one is slow."""

NORMAL_SCORES = (-0.674, 0.0, 0.674, 1.282, 1.881)
"""Standard normal scores of the quantiles of a summary."""

MAX_SCORE = 2.5
MIN_SCORE = -2.5
MIN_LOG_SCALE = 0.1
"""Minimum spread of the log latency per unit of score."""


class PoolReference(ResponseQuantiles, frozen=True, array_like=True, gc=False):
    """Typical latencies and failures of a pool, in the units of `TargetSummary`."""

    def read_p25_s(self) -> float:
        """Return the 25th percentile of the latency, in seconds."""
        return math.exp(decode_log_latency(self.p25))

    def read_p50_s(self) -> float:
        """Return the median of the latency, in seconds."""
        return math.exp(decode_log_latency(self.p50))

    def read_p75_s(self) -> float:
        """Return the 75th percentile of the latency, in seconds."""
        return math.exp(decode_log_latency(self.p75))

    def read_p97_s(self) -> float:
        """Return the 97th percentile of the latency, in seconds."""
        return math.exp(decode_log_latency(self.p97))


def merge_summaries(summaries: Collection[TargetSummary]) -> PoolReference | None:
    """Return the median of each quantile over the targets.

    The median is unaffected by a minority of unhealthy targets.

    Args:
        summaries: One for each target.

    Returns:
        The reference, or None if there are too few targets.
    """
    if len(summaries) < MIN_REFERENCE_TARGETS:
        return None
    return PoolReference(
        p25=_compute_median([s.p25 for s in summaries]),
        p50=_compute_median([s.p50 for s in summaries]),
        p75=_compute_median([s.p75 for s in summaries]),
        p90=_compute_median([s.p90 for s in summaries]),
        p97=_compute_median([s.p97 for s in summaries]),
        failure_per_mille=_compute_median([s.failure_per_mille for s in summaries]),
    )


def _compute_median(steps: Sequence[int]) -> int:
    return math.ceil(median(steps))


class ReferenceScale:
    """Scores latencies by their position in a pool's distribution.

    Scores of the pool's own latencies are close to standard normal for any distribution, so that
    one threshold gives the same rate of false alarms for all pools.

    Args:
        reference: The pool's reference.
    """

    def __init__(self, reference: PoolReference) -> None:
        self.reference = reference
        quantiles = (reference.p25, reference.p50, reference.p75, reference.p90, reference.p97)
        self.log_median = decode_log_latency(reference.p50)
        knots = []
        for step, score in zip(quantiles, NORMAL_SCORES, strict=True):
            bound = self.log_median + score * MIN_LOG_SCALE
            value = decode_log_latency(step)
            knots.append(max(value, bound) if score > 0 else min(value, bound))
        self._knots = tuple(knots)
        self.log_scale = (knots[2] - knots[0]) / (NORMAL_SCORES[2] - NORMAL_SCORES[0])
        self._slopes = tuple(
            (NORMAL_SCORES[i + 1] - NORMAL_SCORES[i]) / max(1e-6, knots[i + 1] - knots[i])
            for i in range(len(knots) - 1)
        )

    @property
    def failure_share(self) -> float:
        """Typical share of failures."""
        return self.reference.failure_per_mille / PER_MILLE

    def score(self, log_latency: float) -> float:
        """Return the score of a latency.

        Args:
            log_latency: Natural logarithm of the latency in seconds.
        """
        knots = self._knots
        if log_latency < knots[1]:
            index = 0
        elif log_latency < knots[2]:
            index = 1
        elif log_latency < knots[3]:
            index = 2
        else:
            index = 3
        score = NORMAL_SCORES[index] + (log_latency - knots[index]) * self._slopes[index]
        return min(MAX_SCORE, max(MIN_SCORE, score))
