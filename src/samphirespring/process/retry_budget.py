"""Retry budget: limits a service's additional attempts to a share of its requests."""

import random
from enum import Enum

import msgspec

from samphirespring.process.ids import HostId
from samphirespring.process.shedding.retry_pool import FrontAccount
from samphirespring.process.sliding_count import SlidingCount
from samphirespring.version.ids import ServiceName

WINDOW_S = 60.0
"""Length of the window in which requests and retries are counted, in seconds."""

REFUSED_SHARE = 1.0
"""Repeats of refused attempts allowed per request; an attempt that did not start is cheap."""

HEDGE_SHARE = 0.5
"""Largest share of the additional executions for hedges; the rest is reserved for retries."""


class RetryKind(Enum):
    """Kind of an additional attempt, which determines its cost."""

    EXECUTION = "execution"
    """A retry after a failure or a stall: the backend server executes the request again."""

    HEDGE = "hedge"
    """An execution in parallel with one that may still respond."""

    REFUSED = "refused"
    """A repeat after a refusal: the earlier attempt did not start."""


class RetryBudgetDump(msgspec.Struct, frozen=True, kw_only=True):
    """Requests and additional attempts of a service within the last window."""

    service: ServiceName
    requests: float
    spent_executions: float
    spent_refused: float
    spent_hedges: float
    """Hedges; they are included in the executions."""


_SPENT_KINDS = {
    RetryKind.EXECUTION: (RetryKind.EXECUTION,),
    RetryKind.HEDGE: (RetryKind.HEDGE, RetryKind.EXECUTION),
    RetryKind.REFUSED: (RetryKind.REFUSED,),
}


class RetryBudget:
    """Counts a service's requests and additional attempts over a sliding window.

    Within any window, additional attempts of one kind stay within `share * requests + floor`, on
    average over many fronts. If less than one attempt is available, the attempt is allowed with
    that probability, and the remainder is charged either way: with thousands of fronts and few
    requests each, no front would ever accumulate a whole attempt.

    Args:
        now_s: Monotonic time, in seconds.
        generator: Source of random numbers.
        window_s: Length of the window, in seconds.
    """

    def __init__(
        self, *, now_s: float, generator: random.Random, window_s: float = WINDOW_S
    ) -> None:
        self._window_s = window_s
        self._generator = generator
        self._reset()

    def count_request(self, *, now_s: float) -> None:
        """Count a request.

        Args:
            now_s: Monotonic time, in seconds.
        """
        self._requests.add(1.0, now_s=now_s)

    def acquire(self, kind: RetryKind, *, share: float, floor: float, now_s: float) -> bool:
        """Return whether another attempt may start, and charge it to the budget.

        Args:
            kind: Kind of the attempt.
            share: Additional executions allowed per request.
            floor: Additional attempts allowed per window beyond the share.
            now_s: Monotonic time, in seconds.
        """
        available = self._compute_available(kind, share=share, floor=floor, now_s=now_s)
        if available <= 0.0:
            return False
        for spent_kind in _SPENT_KINDS[kind]:
            self._spent[spent_kind].add(min(1.0, available), now_s=now_s)
        return self._generator.random() < available

    def record_pooled(self, *, now_s: float) -> None:
        """Charge an attempt that a pool of many fronts' budgets granted.

        Args:
            now_s: Monotonic time, in seconds.
        """
        self._pooled.add(1.0, now_s=now_s)
        self._spent[RetryKind.EXECUTION].add(1.0, now_s=now_s)

    def read_account(
        self, *, host: HostId, share: float, floor: float, now_s: float
    ) -> FrontAccount:
        """Return what this front adds to a pool of many fronts' budgets.

        Args:
            host: Host of the front.
            share: Additional executions allowed per request.
            floor: Additional attempts allowed per window beyond the share.
            now_s: Monotonic time, in seconds.
        """
        pooled = self._pooled.read(now_s)
        return FrontAccount(
            host=host,
            requests=self._requests.read(now_s),
            own=self._spent[RetryKind.EXECUTION].read(now_s) - pooled,
            pooled=pooled,
            share=share,
            floor=floor,
            window_s=self._window_s,
        )

    def set_window(self, window_s: float) -> None:
        """Set the window length; a new length resets all counts.

        Args:
            window_s: Length of the window, in seconds.
        """
        if window_s != self._window_s:
            self._window_s = window_s
            self._reset()

    def _reset(self) -> None:
        self._requests = SlidingCount(self._window_s)
        self._spent = {kind: SlidingCount(self._window_s) for kind in RetryKind}
        self._pooled = SlidingCount(self._window_s)
        """Attempts that a pool granted; they are included in the executions."""

    def _compute_available(
        self, kind: RetryKind, *, share: float, floor: float, now_s: float
    ) -> float:
        requests = self._requests.read(now_s)
        spent = self._spent[kind].read(now_s)
        if kind is RetryKind.REFUSED:
            return REFUSED_SHARE * requests + floor - spent
        allowed = share * requests + floor
        available = allowed - self._spent[RetryKind.EXECUTION].read(now_s)
        if kind is RetryKind.EXECUTION:
            return available
        # Hedges that help little must not use up the retries of failed and stalled requests.
        return min(available, allowed * HEDGE_SHARE - spent)

    def make_dump(self, service: ServiceName, *, now_s: float) -> RetryBudgetDump:
        """Return the state for an operator.

        Args:
            service: The service that the budget belongs to.
            now_s: Monotonic time, in seconds.
        """
        return RetryBudgetDump(
            service=service,
            requests=self._requests.read(now_s),
            spent_executions=self._spent[RetryKind.EXECUTION].read(now_s),
            spent_refused=self._spent[RetryKind.REFUSED].read(now_s),
            spent_hedges=self._spent[RetryKind.HEDGE].read(now_s),
        )
