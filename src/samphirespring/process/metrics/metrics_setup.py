"""Sets up the metrics of a process from its settings."""

import random

from samphirespring.process.metrics.metric_exporter import MetricExporter
from samphirespring.process.metrics.metrics import ExportedMetrics, Metrics, NullMetrics
from samphirespring.process.metrics.text_exporter import TextExporter
from samphirespring.process.settings import StatsdSettings
from samphirespring.process.timers import TimerService


def make_metrics(
    statsd: StatsdSettings | None,
    *,
    as_text: bool,
    timers: TimerService,
    generator: random.Random,
) -> Metrics:
    """Return the metrics task for the given settings.

    Args:
        statsd: Address and prefix of a statsd server; None sends no metrics.
        as_text: Whether to keep the metrics as text.
        timers: The timer service.
        generator: Source of random numbers.
    """
    text = TextExporter() if as_text else None
    exporters: list[MetricExporter] = [] if text is None else [text]
    if statsd is not None:
        # Imported here, because its library isn't installed where no statsd server is used.
        from samphirespring.process.metrics.statsd_exporter import StatsdExporter

        exporters.append(StatsdExporter(statsd, generator=generator))
    if not exporters:
        return NullMetrics()
    return ExportedMetrics(exporters, timers=timers, text=text)
