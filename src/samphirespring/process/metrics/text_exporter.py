"""Keeps all metrics since the start of the process, for collectors that fetch them as text."""

from collections.abc import Sequence

from samphirespring.process.metrics.metric_exporter import MetricsText, TextRenderer
from samphirespring.process.metrics.metric_messages import (
    AddToCounter,
    MetricMessage,
    RecordDuration,
    SetGauge,
)
from samphirespring.process.metrics.metric_values import MetricValues


class TextExporter(TextRenderer):
    """Adds up the metrics, and renders them as text when a collector fetches them."""

    def __init__(self) -> None:
        self._values = MetricValues()

    def export(self, messages: Sequence[MetricMessage]) -> None:
        """Add the metric messages of one interval."""
        for message in messages:
            match message:
                case AddToCounter():
                    self._values.counts[message.name][message.label_values] += message.amount
                case SetGauge():
                    self._values.gauges[message.name][message.label_values] = message.value
                case RecordDuration():
                    self._values.histograms[message.name].record(message.duration_s)

    def close(self) -> None:
        """Do nothing: there are no resources to release."""

    def render(self) -> MetricsText:
        """Return all metrics in the Prometheus text format."""
        # Imported here, because the library adds much to the start of a process that may never
        # be asked for its metrics.
        from samphirespring.process.metrics.prometheus_text import render_metrics

        return render_metrics(self._values)
