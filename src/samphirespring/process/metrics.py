"""Metrics of the process: counted by its parts, exported once in an interval."""

import random
from abc import abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

import anyio

from samphirespring.process.mailbox import InboxFullError, Mailbox, ReplySlot, ask
from samphirespring.process.metric_exporter import MetricExporter
from samphirespring.process.metric_messages import (
    AddToCounter,
    MetricMessage,
    RecordDuration,
    SetGauge,
)
from samphirespring.process.metric_names import Counter, Gauge, Timing
from samphirespring.process.settings import StatsdSettings
from samphirespring.process.statsd_exporter import StatsdExporter
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.text_exporter import TextExporter
from samphirespring.process.timers import TimerService

EXPORT_INTERVAL_S = 1.0
INBOX_CAPACITY = 20_000
"""Uses of metrics in one interval; more are lost and counted."""

READ_REQUESTS_CAPACITY = 100


class MetricsDump(StateDump, frozen=True, kw_only=True):
    """State of the metrics."""

    sent: int = 0
    """Uses of metrics that were exported."""

    lost: int = 0
    """Uses of metrics beyond what one interval holds."""


class Metrics(OwnerTask):
    """Where the parts of a process count and measure."""

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "metrics"

    async def read_text(self) -> bytes:
        """Return all metrics as text; a process that keeps none returns nothing."""
        return b""

    @abstractmethod
    def count(self, name: Counter, *label_values: str, amount: int = 1) -> None:
        """Add to a counter.

        Args:
            name: The counter.
            label_values: Values for the upper-case placeholders in the name, in their order.
            amount: What to add.
        """

    @abstractmethod
    def set_gauge(self, name: Gauge, *label_values: str, value: float) -> None:
        """Set a gauge.

        Args:
            name: The gauge.
            label_values: Values for the upper-case placeholders in the name, in their order.
            value: Its value.
        """

    @abstractmethod
    def record_duration(self, name: Timing, duration_s: float) -> None:
        """Record one duration.

        Args:
            name: What lasted so long.
            duration_s: The duration, in seconds.
        """


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadMetricsText:
    """Asks for all metrics as text."""

    reply: ReplySlot[bytes]


class ExportedMetrics(Metrics):
    """Metrics that go to exporters, once in an interval.

    Args:
        exporters: Where the metrics go; this task owns them.
        timers: The timer service.
        text: The exporter that keeps them as text, one of `exporters`; None keeps none.
    """

    def __init__(
        self,
        exporters: Sequence[MetricExporter],
        *,
        timers: TimerService,
        text: TextExporter | None = None,
    ) -> None:
        self._inbox: Mailbox[MetricMessage] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._questions: Mailbox[ReadMetricsText] = Mailbox(
            name=self.name, capacity=READ_REQUESTS_CAPACITY
        )
        self._exporters = exporters
        self._timers = timers
        self._text = text
        self._sent = 0
        self._lost = 0

    async def run(self) -> None:
        """Export what was counted and measured until cancelled."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._answer)
                async for _ in self._timers.subscribe(interval_s=EXPORT_INTERVAL_S):
                    self._export()
        finally:
            self._export()
            for exporter in self._exporters:
                exporter.close()

    async def dump(self) -> MetricsDump:
        """Return how much was exported and lost."""
        return MetricsDump(sent=self._sent, lost=self._lost)

    async def read_text(self) -> bytes:
        """Return all metrics as text."""
        return await ask(self._questions, lambda reply: ReadMetricsText(reply=reply))

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
            # A busy process loses figures rather than requests.
            self._lost += 1

    async def _answer(self) -> None:
        while True:
            question = await self._questions.receive()
            self._export()
            question.reply.reply(b"" if self._text is None else self._text.render())

    def _export(self) -> None:
        messages = self._inbox.receive_waiting()
        self._sent += len(messages)
        for exporter in self._exporters:
            exporter.export(messages)


class NullMetrics(Metrics):
    """Metrics of a process that exports none."""

    async def run(self) -> None:
        """Do nothing until cancelled."""
        await anyio.sleep_forever()

    async def dump(self) -> MetricsDump:
        """Return that nothing was sent."""
        return MetricsDump()

    def count(self, name: Counter, *label_values: str, amount: int = 1) -> None:
        """Drop the count."""

    def set_gauge(self, name: Gauge, *label_values: str, value: float) -> None:
        """Drop the value."""

    def record_duration(self, name: Timing, duration_s: float) -> None:
        """Drop the duration."""


def make_metrics(
    statsd: StatsdSettings | None,
    *,
    as_text: bool,
    timers: TimerService,
    generator: random.Random,
) -> Metrics:
    """Return the metrics that some settings ask for.

    Args:
        statsd: Where to send metrics; None sends none.
        as_text: Whether to keep them as text.
        timers: The timer service.
        generator: Source of random numbers.
    """
    text = TextExporter() if as_text else None
    exporters: list[MetricExporter] = [] if text is None else [text]
    if statsd is not None:
        exporters.append(StatsdExporter(statsd, generator=generator))
    if not exporters:
        return NullMetrics()
    return ExportedMetrics(exporters, timers=timers, text=text)
