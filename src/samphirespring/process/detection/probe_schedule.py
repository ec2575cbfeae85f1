"""When which target is probed next, without input or output."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from samphirespring.process.ids import TargetId

JITTER_SHARE = 0.2
"""Largest change of one interval, as a share of it, so that probes of many hosts spread."""

MAX_CONCURRENT = 4
"""Probes of one host in flight at the same time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbePlan:
    """How one target is probed.

    Attributes:
        target: The target.
        address: `IP:port` of its health endpoint.
        path: Path of its health endpoint.
        interval_s: Mean time between two probes, in seconds.
        timeout_s: Time after which a probe without an answer has failed, in seconds.
    """

    target: TargetId
    address: str
    path: str
    interval_s: float
    timeout_s: float


@dataclass(slots=True, kw_only=True)
class _Entry:
    plan: ProbePlan
    due_s: float
    running: bool = False


class ProbeSchedule:
    """Spreads the probes of one host's targets over time, a few at a time.

    Args:
        generator: Source of random numbers.
        max_concurrent: Probes in flight at the same time.
    """

    def __init__(self, generator: random.Random, *, max_concurrent: int = MAX_CONCURRENT) -> None:
        self._generator = generator
        self._max_concurrent = max_concurrent
        self._entries: dict[TargetId, _Entry] = {}
        self._running_count = 0

    @property
    def running_count(self) -> int:
        """Number of probes in flight."""
        return self._running_count

    def list_targets(self) -> tuple[TargetId, ...]:
        """Return the targets that are probed."""
        return tuple(self._entries)

    def use_plans(self, plans: Iterable[ProbePlan], *, now_s: float) -> None:
        """Take the present plans; a new target's first probe comes within its interval.

        Args:
            plans: Plans of all targets that are to be probed.
            now_s: Monotonic time, in seconds.
        """
        known = self._entries
        self._entries = {}
        for plan in plans:
            entry = known.get(plan.target)
            if entry is None:
                first_s = now_s + self._generator.random() * plan.interval_s
                entry = _Entry(plan=plan, due_s=first_s)
            else:
                # A shorter interval holds from now on, not only after the longer one.
                entry.due_s = min(entry.due_s, now_s + plan.interval_s * (1.0 + JITTER_SHARE))
                entry.plan = plan
            self._entries[plan.target] = entry

    def start_due(self, now_s: float) -> tuple[ProbePlan, ...]:
        """Return the probes to start now, longest due first; each must be ended by `note_end`.

        Args:
            now_s: Monotonic time, in seconds.
        """
        due = [e for e in self._entries.values() if e.due_s <= now_s and not e.running]
        due.sort(key=lambda entry: entry.due_s)
        taken = due[: self._max_concurrent - self._running_count]
        for entry in taken:
            entry.running = True
            entry.due_s = now_s + self._draw_interval_s(entry.plan)
        self._running_count += len(taken)
        return tuple(entry.plan for entry in taken)

    def record_end(self, target: TargetId) -> bool:
        """Note that a probe has ended, and return whether its target is still to be probed.

        Args:
            target: The target.
        """
        self._running_count -= 1
        entry = self._entries.get(target)
        if entry is None:
            return False
        entry.running = False
        return True

    def _draw_interval_s(self, plan: ProbePlan) -> float:
        jitter = (2.0 * self._generator.random() - 1.0) * JITTER_SHARE
        return plan.interval_s * (1.0 + jitter)
