"""CUSUM test: cumulative sum of log likelihood ratios."""

CAP_FACTOR = 1.5
"""Maximum of the sum as a multiple of its threshold, so that later evidence can outweigh it."""


class CumulativeSum:
    """One-sided cumulative sum.

    Args:
        threshold: Sum from which the target counts as unhealthy.
    """

    __slots__ = ("_cap", "count", "level", "rising", "since_s", "threshold", "value")

    def __init__(self, *, threshold: float) -> None:
        self.threshold = threshold
        self.value = 0.0
        self.level = 0.0
        """The sum as a share of its threshold."""

        self.since_s: float | None = None
        """Monotonic time at which the sum last rose above zero, in seconds."""

        self.count = 0
        """Observations since then."""

        self.rising = False
        """Whether the latest observation increased the sum."""

        self._cap = threshold * CAP_FACTOR

    def add(self, ratio: float, *, now_s: float) -> None:
        """Add the log likelihood ratio of one observation.

        Args:
            ratio: Log likelihood ratio of unhealthy over healthy.
            now_s: Monotonic time, in seconds.
        """
        self.rising = ratio > 0.0
        value = self.value + ratio
        if value <= 0.0:
            self.reset()
            return
        if self.since_s is None:
            self.since_s = now_s
        self.count += 1
        self.value = min(self._cap, value)
        self.level = self.value / self.threshold

    def reset(self) -> None:
        """Discard all evidence."""
        self.value = 0.0
        self.level = 0.0
        self.rising = False
        self.since_s = None
        self.count = 0
