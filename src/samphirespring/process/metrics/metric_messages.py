"""Messages to the task that owns the process's metrics."""

import msgspec

from samphirespring.process.metrics.metric_names import Counter, Gauge, Timing


class AddToCounter(msgspec.Struct, frozen=True):
    """Adds to a counter.

    Attributes:
        name: The counter.
        label_values: Values for the upper-case placeholders in the name, in their order.
        amount: The amount to add.
    """

    name: Counter
    label_values: tuple[str, ...]
    amount: int


class SetGauge(msgspec.Struct, frozen=True):
    """Sets a gauge.

    Attributes:
        name: The gauge.
        label_values: Values for the upper-case placeholders in the name, in their order.
        value: The new value.
    """

    name: Gauge
    label_values: tuple[str, ...]
    value: float


class RecordDuration(msgspec.Struct, frozen=True):
    """Records one duration.

    Attributes:
        name: The timing metric.
        duration_s: The duration, in seconds.
    """

    name: Timing
    duration_s: float


MetricMessage = AddToCounter | SetGauge | RecordDuration
