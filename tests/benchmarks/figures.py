"""Result of a benchmark."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Figure:
    """One measured figure.

    Attributes:
        name: Name of the measured quantity.
        value: The measured value.
        unit: Unit of the value.
        baseline: Value for comparison, from the same run; None if there is none.
        baseline_name: Name of the baseline.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None
    baseline_name: str = ""

    @property
    def ratio(self) -> float | None:
        """Value divided by the baseline; None without a baseline."""
        if not self.baseline:
            return None
        return self.value / self.baseline
