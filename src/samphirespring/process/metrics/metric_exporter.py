"""Base of the exporters of a process's metrics."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

import msgspec

from samphirespring.process.metrics.metric_messages import MetricMessage


class MetricExporter(ABC):
    """Exports the metrics of a process, once per interval."""

    @abstractmethod
    def export(self, messages: Sequence[MetricMessage]) -> None:
        """Export the metric messages of one interval.

        Args:
            messages: The messages, in the order in which they were sent.
        """

    @abstractmethod
    def close(self) -> None:
        """Release the resources of the exporter."""


class MetricsText(msgspec.Struct, frozen=True, kw_only=True):
    """All metrics of a process as text.

    Attributes:
        content_type: Media type of the text.
        body: The text; empty if the process doesn't keep its metrics as text.
    """

    content_type: str = "text/plain"
    body: bytes = b""


class TextRenderer(MetricExporter):
    """Exporter that keeps the metrics as text."""

    @abstractmethod
    def render(self) -> MetricsText:
        """Return all metrics as text."""
