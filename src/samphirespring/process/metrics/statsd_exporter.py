"""Sends metrics to a statsd server over UDP; aggregated, so that packets don't grow with load."""

import random
from collections.abc import Sequence

from statsd import StatsClient

from samphirespring.process.addresses import parse_address
from samphirespring.process.metrics.metric_exporter import MetricExporter
from samphirespring.process.metrics.metric_messages import MetricMessage
from samphirespring.process.metrics.metric_summary import MetricSummary
from samphirespring.process.settings import StatsdSettings


class StatsdExporter(MetricExporter):
    """Sends the aggregated metrics of each interval.

    Args:
        settings: Address of the server and prefix of the names.
        generator: Source of random numbers.
    """

    def __init__(self, settings: StatsdSettings, *, generator: random.Random) -> None:
        address = parse_address(settings.address)
        self._client = StatsClient(address.host, address.port, prefix=settings.prefix)
        self._generator = generator

    def export(self, messages: Sequence[MetricMessage]) -> None:
        """Aggregate and send the metric messages of one interval."""
        summary = MetricSummary(generator=self._generator)
        for message in messages:
            summary.add(message)
        with self._client.pipeline() as pipeline:
            for name, amount in summary.counts.items():
                pipeline.incr(name, amount)
            for name, value in summary.gauges.items():
                pipeline.gauge(name, value)
            for name, sample in summary.durations.items():
                for duration_s in sample.durations_s:
                    pipeline.timing(name, duration_s * 1_000)

    def close(self) -> None:
        """Close the socket."""
        self._client.close()
