"""Requests that a front lets through while it can't ask for credit."""

import random

from samphirespring.process.quota.terms import QuotaTerms
from samphirespring.version.ids import WorkspaceId


class _Savings:
    """Requests that one front has saved up for one workspace.

    Args:
        amount: Requests saved, usually less than one.
        now_s: Time, in seconds.
    """

    def __init__(self, amount: float, *, now_s: float) -> None:
        self.amount = amount
        self.at_s = now_s


class OfflineAllowance:
    """Divides a part of each quota's allowance equally among all fronts.

    In any window a front uses at most its share of it, on average over many fronts. If it has saved
    less than one request, a request passes with that probability, and the savings are used up
    either way: no front alone would save a whole request between two of a workspace's requests.

    Args:
        generator: Source of random numbers.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._savings: dict[WorkspaceId, _Savings] = {}
        self._front_count: int | None = None

    @property
    def front_count(self) -> int | None:
        """Number of fronts; None before the first table."""
        return self._front_count

    def use_front_count(self, count: int) -> None:
        """Set the number of fronts; the highest one counts, as a table may be incomplete.

        Args:
            count: Fronts that the target table knows.
        """
        self._front_count = max(count, self._front_count or 1)

    def acquire(self, workspace: WorkspaceId, terms: QuotaTerms, *, now_s: float) -> bool:
        """Return whether a request may pass without credit, and charge it.

        Args:
            workspace: The workspace.
            terms: Its quota.
            now_s: Time, in seconds.
        """
        if self._front_count is None:
            return False
        share = terms.offline_requests / self._front_count
        # What is saved at a window's start, and what is added in it, make up half each.
        largest = share / 2
        savings = self._savings.get(workspace)
        if savings is None:
            savings = self._savings[workspace] = _Savings(largest, now_s=now_s)
        elapsed_s = max(0.0, now_s - savings.at_s)
        available = min(largest, savings.amount + elapsed_s * largest / terms.window_s)
        savings.at_s = now_s
        savings.amount = max(0.0, available - 1.0)
        return self._generator.random() < available

    def drop_idle(self, now_s: float, *, idle_s: float) -> None:
        """Drop the savings that weren't used for a while; they are full again.

        Args:
            now_s: Time, in seconds.
            idle_s: The while, in seconds; no shorter than any window.
        """
        idle = [name for name, savings in self._savings.items() if now_s - savings.at_s > idle_s]
        for workspace in idle:
            del self._savings[workspace]
