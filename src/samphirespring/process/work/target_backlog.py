"""What a target still has to do, as the table that selects it knows between the agent's reports."""

import math

from samphirespring.process.targets import TargetWork

UNREPORTED_SHARE = 0.5
"""Share of the expected work of the table's own attempts that counts as left at least, for as long
as they haven't ended."""

PACE_FADE_S = 5.0
"""Time constant with which a reported pace returns to the usual one, in seconds, so that a target
that was slow is tried again."""


class TargetBacklog:
    """Estimates the work that is left at one target."""

    def __init__(self) -> None:
        self._remaining_s = 0.0
        self._running = 0
        self._updated_at_s = 0.0
        self._pace = 1.0
        self._pace_reported_at_s = 0.0
        self._own_work_s = 0.0
        self._own_count = 0

    def use_report(self, work: TargetWork, *, running: int, now_s: float) -> None:
        """Apply the agent's report.

        Args:
            work: What the agent expects.
            running: Attempts in the target's slots.
            now_s: Monotonic time, in seconds.
        """
        self._remaining_s = work.remaining_s
        self._running = running
        self._updated_at_s = now_s
        if work.pace > 0.0:
            self._pace = work.pace
            self._pace_reported_at_s = now_s

    def add(self, work_s: float, *, slots: int, now_s: float) -> None:
        """Count an attempt that this table selected the target for.

        Args:
            work_s: Its expected work, in seconds.
            slots: Slots of the target.
            now_s: Monotonic time, in seconds.
        """
        self._remaining_s = self._compute_left(now_s) + work_s
        self._updated_at_s = now_s
        self._running = min(slots, self._running + 1)
        self._own_work_s += work_s
        self._own_count += 1

    def remove(self) -> None:
        """Count the end of one of these attempts, whichever it was."""
        if self._own_count == 0:
            return
        self._own_work_s -= self._own_work_s / self._own_count
        self._own_count -= 1

    def read_remaining_s(self, now_s: float) -> float:
        """Return the work that is left, in seconds of a target of usual speed.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return max(UNREPORTED_SHARE * self._own_work_s, self._compute_left(now_s))

    def read_pace(self, now_s: float) -> float:
        """Return the target's pace, of which older reports say less.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self._pace == 1.0:
            return 1.0
        age_s = max(0.0, now_s - self._pace_reported_at_s)
        return 1.0 + (self._pace - 1.0) * math.exp(-age_s / PACE_FADE_S)

    def _compute_left(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        return max(0.0, self._remaining_s - self._running * elapsed_s / self._pace)
