"""Metrics of the process, which are exported once per interval."""

from abc import abstractmethod
from collections.abc import Sequence

import anyio
import msgspec

from samphirespring.process.mailbox import InboxFullError, Mailbox, ReplySlot, ask
from samphirespring.process.metrics.metric_exporter import MetricExporter, MetricsText, TextRenderer
from samphirespring.process.metrics.metric_messages import (
    AddToCounter,
    MetricMessage,
    RecordDuration,
    SetGauge,
)
from samphirespring.process.metrics.metric_names import Counter, Gauge, Timing
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService

EXPORT_INTERVAL_S = 1.0
INBOX_CAPACITY = 20_000
"""Largest number of unexported metric messages; more are dropped and counted as lost."""

READ_REQUESTS_CAPACITY = 100


class MetricsDump(StateDump, frozen=True, kw_only=True):
    """State of the metrics."""

    sent: int = 0
    """Metric messages that were exported."""

    lost: int = 0
    """Metric messages that were dropped because the inbox was full."""


class Metrics(OwnerTask):
    """Receives the metrics of all components of a process."""

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "metrics"

    async def read_text(self) -> MetricsText:
        """Return all metrics as text; empty if the process doesn't keep them as text."""
        return MetricsText()

    @abstractmethod
    def count(self, name: Counter, *label_values: str, amount: int = 1) -> None:
        """Add to a counter.

        Args:
            name: The counter.
            label_values: Values for the upper-case placeholders in the name, in their order.
            amount: The amount to add.
        """

    @abstractmethod
    def set_gauge(self, name: Gauge, *label_values: str, value: float) -> None:
        """Set a gauge.

        Args:
            name: The gauge.
            label_values: Values for the upper-case placeholders in the name, in their order.
            value: The new value.
        """

    @abstractmethod
    def record_duration(self, name: Timing, duration_s: float) -> None:
        """Record one duration.

        Args:
            name: The timing metric.
            duration_s: The duration, in seconds.
        """


class ReadMetricsText(msgspec.Struct, frozen=True, kw_only=True):
    """Requests all metrics as text."""

    reply: ReplySlot[MetricsText]


class ExportedMetrics(Metrics):
    """Metrics that are passed to exporters, once per interval.

    Args:
        exporters: Receive the metrics; this task owns them.
        timers: The timer service.
        text: The one of `exporters` that keeps the metrics as text; None if there is none.
    """

    def __init__(
        self,
        exporters: Sequence[MetricExporter],
        *,
        timers: TimerService,
        text: TextRenderer | None = None,
    ) -> None:
        self._inbox: Mailbox[MetricMessage] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._read_requests: Mailbox[ReadMetricsText] = Mailbox(
            name=self.name, capacity=READ_REQUESTS_CAPACITY
        )
        self._exporters = exporters
        self._timers = timers
        self._text = text
        self._sent = 0
        self._lost = 0

    async def run(self) -> None:
        """Export the metrics at each interval, and serve reads, until cancelled."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._serve_reads)
                async for _ in self._timers.subscribe(interval_s=EXPORT_INTERVAL_S):
                    self._export()
        finally:
            self._export()
            for exporter in self._exporters:
                exporter.close()

    async def dump(self) -> MetricsDump:
        """Return how many metric messages were exported and dropped."""
        return MetricsDump(sent=self._sent, lost=self._lost)

    async def read_text(self) -> MetricsText:
        """Return all metrics as text."""
        return await ask(self._read_requests, lambda reply: ReadMetricsText(reply=reply))

    def count(self, name: Counter, *label_values: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._post(AddToCounter(name, label_values, amount))

    def set_gauge(self, name: Gauge, *label_values: str, value: float) -> None:
        """Set a gauge."""
        self._post(SetGauge(name, label_values, value))

    def record_duration(self, name: Timing, duration_s: float) -> None:
        """Record one duration."""
        self._post(RecordDuration(name, duration_s))

    def _post(self, message: MetricMessage) -> None:
        try:
            self._inbox.post(message)
        except InboxFullError:
            # Under load, a process drops metrics rather than requests.
            self._lost += 1

    async def _serve_reads(self) -> None:
        while True:
            request = await self._read_requests.receive()
            self._export()
            request.reply.send(MetricsText() if self._text is None else self._text.render())

    def _export(self) -> None:
        messages = self._inbox.receive_waiting()
        self._sent += len(messages)
        for exporter in self._exporters:
            exporter.export(messages)


class NullMetrics(Metrics):
    """Metrics of a process without exporters; all of them are dropped."""

    async def run(self) -> None:
        """Do nothing until cancelled."""
        await anyio.sleep_forever()

    async def dump(self) -> MetricsDump:
        """Return a dump without exported metrics."""
        return MetricsDump()

    def count(self, name: Counter, *label_values: str, amount: int = 1) -> None:
        """Drop the count."""

    def set_gauge(self, name: Gauge, *label_values: str, value: float) -> None:
        """Drop the value."""

    def record_duration(self, name: Timing, duration_s: float) -> None:
        """Drop the duration."""
