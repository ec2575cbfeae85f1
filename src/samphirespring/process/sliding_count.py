"""Sum of amounts over a sliding time window."""

from collections import deque

BUCKET_COUNT = 20
"""Buckets per window; the oldest counts until it lies completely outside the window."""


class SlidingCount:
    """Adds up amounts, and drops each once it is older than the window.

    A limit on this sum holds over any window of the same length. With an exponentially decaying
    sum, a window could exceed the limit twofold.

    Args:
        window_s: Length of the window, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._buckets: deque[tuple[int, float]] = deque()
        self._total = 0.0

    def add(self, amount: float, *, now_s: float) -> None:
        """Add an amount.

        Args:
            amount: The amount.
            now_s: Monotonic time, in seconds.
        """
        bucket = self._find_bucket(now_s)
        if self._buckets and self._buckets[-1][0] == bucket:
            amount_before = self._buckets.pop()[1]
            self._buckets.append((bucket, amount_before + amount))
        else:
            self._buckets.append((bucket, amount))
        self._total += amount

    def read(self, now_s: float) -> float:
        """Return the sum over the last window.

        Args:
            now_s: Monotonic time, in seconds.
        """
        oldest = self._find_bucket(now_s) - BUCKET_COUNT
        while self._buckets and self._buckets[0][0] < oldest:
            self._total -= self._buckets.popleft()[1]
        if not self._buckets:
            self._total = 0.0
        return self._total

    def _find_bucket(self, now_s: float) -> int:
        return int(now_s * BUCKET_COUNT / self._window_s)
