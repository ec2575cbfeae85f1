"""What the metrics of one interval come to: one line each, however often they were used."""

import random
from collections import Counter as Tally
from dataclasses import dataclass, field

from samphirespring.process.metric_messages import (
    AddToCounter,
    MetricMessage,
    RecordDuration,
    SetGauge,
)
from samphirespring.process.metric_names import make_metric_name

MAX_DURATIONS = 20
"""Durations of one name that are sent for one interval; a random sample of them all."""


@dataclass(slots=True)
class DurationSample:
    """A uniform random sample of the durations of one name.

    Attributes:
        durations_s: The sample, in seconds.
        seen: Number of durations that it stands for.
    """

    durations_s: list[float] = field(default_factory=list)
    seen: int = 0

    def add(self, duration_s: float, *, generator: random.Random) -> None:
        """Take a duration, in place of a random one if the sample is full.

        Args:
            duration_s: The duration, in seconds.
            generator: Source of random numbers.
        """
        self.seen += 1
        if len(self.durations_s) < MAX_DURATIONS:
            self.durations_s.append(duration_s)
            return
        place = generator.randrange(self.seen)
        if place < MAX_DURATIONS:
            self.durations_s[place] = duration_s


class MetricSummary:
    """Sums up the metrics of one interval.

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
        """Take one use of a metric.

        Args:
            message: The use.
        """
        match message:
            case AddToCounter():
                self.counts[make_metric_name(message.name, message.label_values)] += message.amount
            case SetGauge():
                self.gauges[make_metric_name(message.name, message.label_values)] = message.value
            case RecordDuration():
                sample = self.durations.setdefault(message.name.value, DurationSample())
                sample.add(message.duration_s, generator=self._generator)
