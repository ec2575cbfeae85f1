"""Encodes the values of all metrics in the Prometheus text format."""

from collections.abc import Iterable, Iterator, Mapping

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from samphirespring.process.metrics.metric_exporter import MetricsText
from samphirespring.process.metrics.metric_names import LABEL_PLACEHOLDER, MetricName, Timing
from samphirespring.process.metrics.metric_values import LabelValues, MetricValues, list_label_names

PREFIX = "samphire_"


def render_metrics(values: MetricValues) -> MetricsText:
    """Return all metrics as text.

    Args:
        values: The values.
    """
    registry = CollectorRegistry()
    registry.register(_ValuesCollector(values))
    return MetricsText(content_type=CONTENT_TYPE_LATEST, body=generate_latest(registry))


class _ValuesCollector(Collector):
    """Yields the values in the library's types."""

    def __init__(self, values: MetricValues) -> None:
        self._values = values

    def collect(self) -> Iterable[Metric]:
        """Yield all metrics."""
        yield from _collect_labelled(CounterMetricFamily, self._values.counts.items())
        yield from _collect_labelled(GaugeMetricFamily, self._values.gauges.items())
        for name, histogram in self._values.histograms.items():
            yield HistogramMetricFamily(
                make_text_name(name),
                name.value,
                buckets=histogram.list_cumulative(),
                sum_value=histogram.sum_s,
            )


def _collect_labelled(
    family: type[CounterMetricFamily] | type[GaugeMetricFamily],
    metrics: Iterable[tuple[MetricName, Mapping[LabelValues, float]]],
) -> Iterator[Metric]:
    for name, values in metrics:
        metric = family(make_text_name(name), name.value, labels=list_label_names(name))
        for label_values, value in values.items():
            metric.add_metric(label_values, value)
        yield metric


def make_text_name(name: MetricName) -> str:
    """Return the name of a metric in the text; the library appends `_total` to those of counters.

    Args:
        name: The metric.
    """
    words = [word for word in name.value.split(".") if not LABEL_PLACEHOLDER.fullmatch(word)]
    unit = "_seconds" if isinstance(name, Timing) else ""
    return PREFIX + "_".join(words) + unit
