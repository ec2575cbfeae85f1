"""What a target still has to do, and how fast it is, as its agent sees it."""

import msgspec

from samphirespring.process.targets import TargetWork
from samphirespring.request.ids import AttemptId

RESIDUAL_SHARE = 0.5
"""Share of the time that an attempt has run for which it is expected to run on, once it has run for
longer than expected: the longer it has taken, the more likely it is one of the few long ones."""

PACE_ATTEMPTS = 24.0
"""Attempts that the pace averages over at most: costs differ widely, and fewer would take targets
for slow that only had long requests."""

FIRST_PACE_ATTEMPTS = 2.0
"""Attempts that the pace of a new target, which counts as usual, stands for."""

MIN_PACE = 0.25
MAX_PACE = 4.0
"""Bounds of the pace that one attempt may show, so that a single long one doesn't pass for a slow
target."""


class _RunningAttempt(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """An attempt in a slot.

    Attributes:
        work_s: Its expected work, in seconds of a target of usual speed.
        started_at_s: Start, in seconds of monotonic time.
    """

    work_s: float
    started_at_s: float


class RemainingWork:
    """Tracks the attempts of one target, whichever front sent them."""

    def __init__(self) -> None:
        self._running: dict[AttemptId, _RunningAttempt] = {}
        self._pace = 1.0
        self._pace_attempts = FIRST_PACE_ATTEMPTS

    def begin(self, attempt: AttemptId, *, work_s: float | None, now_s: float) -> None:
        """Record the start of an attempt.

        Args:
            attempt: The attempt.
            work_s: Its expected work, in seconds; None if its front expects nothing.
            now_s: Monotonic time, in seconds.
        """
        self._running[attempt] = _RunningAttempt(work_s=work_s or 0.0, started_at_s=now_s)

    def end(self, attempt: AttemptId, *, run_s: float | None) -> None:
        """Record the end of an attempt.

        Args:
            attempt: The attempt.
            run_s: Time that it took, in seconds; None if that says nothing about its cost.
        """
        ended = self._running.pop(attempt, None)
        if ended is None or run_s is None or ended.work_s <= 0.0:
            return
        ratio = min(MAX_PACE, max(MIN_PACE, run_s / ended.work_s))
        self._pace_attempts = min(PACE_ATTEMPTS, self._pace_attempts + 1.0)
        self._pace += (ratio - self._pace) / self._pace_attempts

    def read(self, now_s: float, *, waiting_s: float, run_s: float | None) -> TargetWork:
        """Return what is reported to fronts.

        Args:
            now_s: Monotonic time, in seconds.
            waiting_s: Expected work of the attempts that wait for a slot, in seconds.
            run_s: Time that the attempt that carries the report took, in seconds, or None.
        """
        running_s = sum(self._estimate_residual(a, now_s) for a in self._running.values())
        return TargetWork(
            remaining_s=round(running_s + waiting_s, 3),
            pace=round(self._pace, 3),
            run_s=None if run_s is None else round(run_s, 4),
        )

    def _estimate_residual(self, attempt: _RunningAttempt, now_s: float) -> float:
        """Return the work that is left of an attempt, in seconds."""
        done_s = max(0.0, now_s - attempt.started_at_s) / self._pace
        share = RESIDUAL_SHARE * done_s
        return max(attempt.work_s - share, share)
