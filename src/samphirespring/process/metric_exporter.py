"""Where a process's metrics go."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from samphirespring.process.metric_messages import MetricMessage


class MetricExporter(ABC):
    """Takes what was counted and measured, once in an interval."""

    @abstractmethod
    def export(self, messages: Sequence[MetricMessage]) -> None:
        """Take the uses of metrics of one interval.

        Args:
            messages: The uses, in their order.
        """

    @abstractmethod
    def close(self) -> None:
        """Free what the exporter holds."""
