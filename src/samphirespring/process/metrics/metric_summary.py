"""Aggregates the metrics of one interval, so that the output doesn't grow with the load."""

import random
from collections import Counter as Tally

import msgspec

from samphirespring.process.metrics.metric_messages import (
    AddToCounter,
    MetricMessage,
    RecordDuration,
    SetGauge,
)
from samphirespring.process.metrics.metric_names import make_metric_name

MAX_DURATIONS = 20
"""Largest number of durations sent for one metric and interval; a random sample of more."""


class DurationSample(msgspec.Struct):
    """A uniform random sample of the durations of one metric (reservoir sampling).

    Attributes:
        durations_s: The sample, in seconds.
        observed_count: Number of durations from which the sample was drawn.
    """

    durations_s: list[float] = msgspec.field(default_factory=list)
    observed_count: int = 0

    def add(self, duration_s: float, *, generator: random.Random) -> None:
        """Add a duration; if the sample is full, it may replace a random element or be skipped.

        Args:
            duration_s: The duration, in seconds.
            generator: Source of random numbers.
        """
        self.observed_count += 1
        if len(self.durations_s) < MAX_DURATIONS:
            self.durations_s.append(duration_s)
            return
        position = generator.randrange(self.observed_count)
        if position < MAX_DURATIONS:
            self.durations_s[position] = duration_s


class MetricSummary:
    """Aggregates the metrics of one interval.

    Args:
        generator: Source of random numbers.
    """

    def __init__(self, *, generator: random.Random) -> None:
        self._generator = generator
        self.counts: Tally[str] = Tally()
        """Sums of the counters."""

        self.gauges: dict[str, float] = {}
        """Latest values of the gauges."""

        self.durations: dict[str, DurationSample] = {}

    def add(self, message: MetricMessage) -> None:
        """Add one metric message.

        Args:
            message: The message.
        """
        match message:
            case AddToCounter():
                self.counts[make_metric_name(message.name, message.label_values)] += message.amount
            case SetGauge():
                self.gauges[make_metric_name(message.name, message.label_values)] = message.value
            case RecordDuration():
                sample = self.durations.setdefault(message.name.value, DurationSample())
                sample.add(message.duration_s, generator=self._generator)
