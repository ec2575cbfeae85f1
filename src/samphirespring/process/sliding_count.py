"""Sum of what came within the last span of time."""

from collections import deque

PARTS = 20
"""Parts of the span; the oldest one counts until it has left the span as a whole."""


class SlidingCount:
    """Adds up amounts, and forgets each once it is older than the span.

    What was granted by such a sum is bounded over any span of the same length, which a decaying sum
    exceeds twofold.

    Args:
        span_s: Length of the span, in seconds.
    """

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._parts: deque[tuple[int, float]] = deque()
        self._total = 0.0

    def add(self, amount: float, *, now_s: float) -> None:
        """Add an amount.

        Args:
            amount: The amount.
            now_s: Monotonic time, in seconds.
        """
        part = self._find_part(now_s)
        if self._parts and self._parts[-1][0] == part:
            amount_before = self._parts.pop()[1]
            self._parts.append((part, amount_before + amount))
        else:
            self._parts.append((part, amount))
        self._total += amount

    def read(self, now_s: float) -> float:
        """Return the sum over the last span.

        Args:
            now_s: Monotonic time, in seconds.
        """
        oldest = self._find_part(now_s) - PARTS
        while self._parts and self._parts[0][0] < oldest:
            self._total -= self._parts.popleft()[1]
        if not self._parts:
            self._total = 0.0
        return self._total

    def _find_part(self, now_s: float) -> int:
        return int(now_s * PARTS / self._span_s)
