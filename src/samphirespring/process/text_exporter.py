"""Metrics since the start of the process, as text that metric collectors fetch."""

from collections.abc import Sequence

import prometheus_client
from prometheus_client import CollectorRegistry, generate_latest

from samphirespring.process.metric_exporter import MetricExporter
from samphirespring.process.metric_messages import (
    AddToCounter,
    MetricMessage,
    RecordDuration,
    SetGauge,
)
from samphirespring.process.metric_names import (
    LABEL_PLACEHOLDER,
    Counter,
    Gauge,
    MetricName,
    Timing,
)

PREFIX = "samphire_"

DURATION_BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
"""Upper bounds of the histograms' buckets, in seconds."""


class TextExporter(MetricExporter):
    """Accumulates all metrics; the upper-case placeholders in their names become labels."""

    def __init__(self) -> None:
        self._registry = registry = CollectorRegistry()
        self._counters = {
            name: prometheus_client.Counter(
                make_text_name(name), name.value, list_label_names(name), registry=registry
            )
            for name in Counter
        }
        self._gauges = {
            name: prometheus_client.Gauge(
                make_text_name(name), name.value, list_label_names(name), registry=registry
            )
            for name in Gauge
        }
        self._timings = {
            name: prometheus_client.Histogram(
                make_text_name(name), name.value, buckets=DURATION_BOUNDS_S, registry=registry
            )
            for name in Timing
        }

    def export(self, messages: Sequence[MetricMessage]) -> None:
        """Add the metric messages of one interval."""
        for message in messages:
            match message:
                case AddToCounter():
                    counter = self._counters[message.name]
                    (
                        counter.labels(*message.label_values) if message.label_values else counter
                    ).inc(message.amount)
                case SetGauge():
                    gauge = self._gauges[message.name]
                    (gauge.labels(*message.label_values) if message.label_values else gauge).set(
                        message.value
                    )
                case RecordDuration():
                    self._timings[message.name].observe(message.duration_s)

    def close(self) -> None:
        """Do nothing: there are no resources to release."""

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


def make_text_name(name: MetricName) -> str:
    """Return the name of a metric in the text; the library appends `_total` to those of counters.

    Args:
        name: The metric.
    """
    words = [word for word in name.value.split(".") if not LABEL_PLACEHOLDER.fullmatch(word)]
    unit = "_seconds" if isinstance(name, Timing) else ""
    return PREFIX + "_".join(words) + unit


def list_label_names(name: MetricName) -> tuple[str, ...]:
    """Return the label names of a metric: the placeholders in its name, in lower case.

    Args:
        name: The metric.
    """
    return tuple(word.lower() for word in LABEL_PLACEHOLDER.findall(name.value))
