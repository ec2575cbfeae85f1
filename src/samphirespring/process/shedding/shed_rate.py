"""Share of the attempts that one target sheds, as its agent sees them."""

import math

from samphirespring.process.detection.states import ObservedOutcome

MEMORY_S = 3.0
"""Time constant of the decay of an attempt's weight, in seconds."""

MIN_WEIGHT = 2.0
"""Weight of attempts that shed nothing, added to those seen, so that one shed attempt of few
doesn't look like a target that sheds."""

IDLE_SHARE = 0.02
"""Share below which a target counts as one that sheds nothing."""


class ShedRate:
    """Decaying counts of the attempts that a target shed and of those that it took.

    Args:
        now_s: Monotonic time, in seconds.
    """

    def __init__(self, *, now_s: float) -> None:
        self._shed = 0.0
        self._taken = 0.0
        self._at_s = now_s

    def count(self, outcome: ObservedOutcome | None, *, now_s: float) -> None:
        """Count the end of an attempt.

        Args:
            outcome: Its outcome; None if the target neither took nor shed it.
            now_s: Monotonic time, in seconds.
        """
        if outcome is None:
            return
        self._decay(now_s)
        if outcome is ObservedOutcome.SHED:
            self._shed += 1.0
        else:
            self._taken += 1.0

    def read(self, now_s: float) -> float:
        """Return the share of attempts that were shed lately, 0.0 if next to none.

        Args:
            now_s: Monotonic time, in seconds.
        """
        self._decay(now_s)
        share = self._shed / (self._shed + self._taken + MIN_WEIGHT)
        return share if share >= IDLE_SHARE else 0.0

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-max(0.0, now_s - self._at_s) / MEMORY_S)
        self._shed *= factor
        self._taken *= factor
        self._at_s = now_s
