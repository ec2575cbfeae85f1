"""Messages to the task that owns the process's metrics."""

from dataclasses import dataclass

from samphirespring.process.metric_names import Counter, Gauge, Timing


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Adds to a counter.

    Attributes:
        name: The counter.
        parts: What stands for the words in capitals of its name.
        amount: What to add.
    """

    name: Counter
    parts: tuple[str, ...]
    amount: int


@dataclass(frozen=True, slots=True)
class SetGauge:
    """Sets a gauge.

    Attributes:
        name: The gauge.
        parts: What stands for the words in capitals of its name.
        value: The value from now on.
    """

    name: Gauge
    parts: tuple[str, ...]
    value: float


@dataclass(frozen=True, slots=True)
class RecordDuration:
    """Records one duration.

    Attributes:
        name: What lasted so long.
        duration_s: The duration, in seconds.
    """

    name: Timing
    duration_s: float


MetricMessage = AddToCounter | SetGauge | RecordDuration
