"""Base of the exporters of a process's metrics."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from samphirespring.process.metric_messages import MetricMessage


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
