"""Schedule of health probes; performs no I/O."""

import random
from collections.abc import Iterable

import msgspec

from samphirespring.process.ids import TargetId

JITTER_SHARE = 0.2
"""Maximum jitter as a share of the interval; it desynchronizes the probes of many hosts."""

MAX_CONCURRENT = 4
"""Maximum number of probes of one host in flight."""


class ProbePlan(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoint, interval and timeout of the probes of one target.

    Attributes:
        target: The target.
        address: `IP:port` of its health endpoint.
        path: Path of its health endpoint.
        interval_s: Mean time between two probes, in seconds.
        timeout_s: Time after which a probe without a response has failed, in seconds.
    """

    target: TargetId
    address: str
    path: str
    interval_s: float
    timeout_s: float


class _Entry(msgspec.Struct, kw_only=True):
    plan: ProbePlan
    due_s: float
    running: bool = False


class ProbeSchedule:
    """Spreads the probes of one host's targets over time and limits how many are in flight.

    Args:
        generator: Source of random numbers.
        max_concurrent: Maximum number of probes in flight.
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
        """Replace the plans; a new target is first probed within one interval.

        Args:
            plans: Plans of all targets to probe.
            now_s: Monotonic time, in seconds.
        """
        previous = self._entries
        self._entries = {}
        for plan in plans:
            entry = previous.get(plan.target)
            if entry is None:
                due_s = now_s + self._generator.random() * plan.interval_s
                entry = _Entry(plan=plan, due_s=due_s)
            else:
                # A shorter interval applies at once instead of after the next probe.
                entry.due_s = min(entry.due_s, now_s + plan.interval_s * (1.0 + JITTER_SHARE))
                entry.plan = plan
            self._entries[plan.target] = entry

    def start_due(self, now_s: float) -> tuple[ProbePlan, ...]:
        """Return the probes to start now, most overdue first.

        The end of each must be reported with `record_end`.

        Args:
            now_s: Monotonic time, in seconds.
        """
        due = [e for e in self._entries.values() if e.due_s <= now_s and not e.running]
        due.sort(key=lambda entry: entry.due_s)
        started = due[: self._max_concurrent - self._running_count]
        for entry in started:
            entry.running = True
            entry.due_s = now_s + self._draw_interval_s(entry.plan)
        self._running_count += len(started)
        return tuple(entry.plan for entry in started)

    def record_end(self, target: TargetId) -> bool:
        """Record the end of a probe, and return whether its target is still scheduled.

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
