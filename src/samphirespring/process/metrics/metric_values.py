"""Values of all metrics since the start of the process."""

from bisect import bisect_left
from collections import Counter as Tally

import msgspec

from samphirespring.process.metrics.metric_names import (
    LABEL_PLACEHOLDER,
    Counter,
    Gauge,
    MetricName,
    Timing,
)

DURATION_BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
"""Upper bounds of the histograms' buckets, in seconds."""

LabelValues = tuple[str, ...]


class Histogram(msgspec.Struct):
    """Durations of one metric; the last bucket has no upper bound."""

    counts: list[int] = msgspec.field(default_factory=lambda: [0] * (len(DURATION_BOUNDS_S) + 1))
    sum_s: float = 0.0

    def record(self, duration_s: float) -> None:
        """Count one duration.

        Args:
            duration_s: The duration, in seconds.
        """
        self.counts[bisect_left(DURATION_BOUNDS_S, duration_s)] += 1
        self.sum_s += duration_s

    def list_cumulative(self) -> list[tuple[str, float]]:
        """Return the upper bound of each bucket with the number of durations up to it."""
        total = 0
        buckets: list[tuple[str, float]] = []
        for bound, count in zip((*DURATION_BOUNDS_S, float("inf")), self.counts, strict=True):
            total += count
            buckets.append(("+Inf" if bound == float("inf") else str(bound), float(total)))
        return buckets


class MetricValues:
    """Values of all metrics; the upper-case placeholders in their names become labels."""

    def __init__(self) -> None:
        self.counts: dict[Counter, Tally[LabelValues]] = {
            name: _make_tally(name) for name in Counter
        }
        self.gauges: dict[Gauge, dict[LabelValues, float]] = {
            name: dict(_make_tally(name)) for name in Gauge
        }
        self.histograms = {name: Histogram() for name in Timing}


def _make_tally(name: MetricName) -> Tally[LabelValues]:
    """Return the values of a metric at the start: one of 0 if it has no labels.

    Args:
        name: The metric.
    """
    return Tally() if list_label_names(name) else Tally({(): 0})


def list_label_names(name: MetricName) -> tuple[str, ...]:
    """Return the label names of a metric: the placeholders in its name, in lower case.

    Args:
        name: The metric.
    """
    return tuple(word.lower() for word in LABEL_PLACEHOLDER.findall(name.value))
