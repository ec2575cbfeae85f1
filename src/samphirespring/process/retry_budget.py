"""Budget that keeps the attempts of a service within a share over its requests."""

import math
import random
from enum import Enum

import msgspec

from samphirespring.version.ids import ServiceName

WINDOW_S = 60.0
"""Time in which a request or a spent retry loses most of its weight, in seconds."""

REFUSED_SHARE = 1.0
"""Repeats of refused attempts allowed per request; an attempt that did not start costs little."""

HEDGE_PART = 0.5
"""Largest part of the additional executions that hedges may take; the rest is for retries."""


class RetryKind(Enum):
    """What an additional attempt costs."""

    EXECUTION = "execution"
    """A retry after a failure or a stall: the backend server works once more."""

    HEDGE = "hedge"
    """An execution beside one that may still answer."""

    REFUSED = "refused"
    """A repeat after a refusal: the earlier attempt did not start."""


class RetryBudgetDump(msgspec.Struct, frozen=True, kw_only=True):
    """Requests and additional attempts of a service, in a window that decays."""

    service: ServiceName
    requests: float
    spent_executions: float
    spent_refused: float
    spent_hedges: float
    """Part of the executions."""


_SPENT_KINDS = {
    RetryKind.EXECUTION: (RetryKind.EXECUTION,),
    RetryKind.HEDGE: (RetryKind.HEDGE, RetryKind.EXECUTION),
    RetryKind.REFUSED: (RetryKind.REFUSED,),
}


class RetryBudget:
    """Counts a service's requests and additional attempts over a decaying window.

    Over a long time, additional attempts of one kind stay within
    `share * requests + floor / window_s * time + floor`, on average over many fronts. What is left
    below one attempt is drawn for and spent either way: at thousands of fronts with few requests
    each, none would ever save up a whole attempt.

    Args:
        now_s: Monotonic time, in seconds.
        generator: Source of random numbers.
        window_s: Time in which what is counted loses most of its weight, in seconds.
    """

    def __init__(
        self, *, now_s: float, generator: random.Random, window_s: float = WINDOW_S
    ) -> None:
        self.window_s = window_s
        self._requests = 0.0
        self._spent = dict.fromkeys(RetryKind, 0.0)
        self._counted_s = now_s
        self._generator = generator

    def count_request(self, *, now_s: float) -> None:
        """Count a request.

        Args:
            now_s: Monotonic time, in seconds.
        """
        self._decay(now_s)
        self._requests += 1.0

    def take(self, kind: RetryKind, *, share: float, floor: float, now_s: float) -> bool:
        """Return whether another attempt may start, and count it if so.

        Args:
            kind: What the attempt costs.
            share: Additional executions allowed per request.
            floor: Additional attempts allowed in one window beyond the share.
            now_s: Monotonic time, in seconds.
        """
        self._decay(now_s)
        room = self._find_room(kind, share=share, floor=floor)
        if room <= 0.0:
            return False
        for spent_kind in _SPENT_KINDS[kind]:
            self._spent[spent_kind] += min(1.0, room)
        return self._generator.random() < room

    def _find_room(self, kind: RetryKind, *, share: float, floor: float) -> float:
        if kind is RetryKind.REFUSED:
            return REFUSED_SHARE * self._requests + floor - self._spent[kind]
        allowed = share * self._requests + floor
        room = allowed - self._spent[RetryKind.EXECUTION]
        if kind is RetryKind.EXECUTION:
            return room
        # Hedges that help little must not leave failed and stalled requests without a retry.
        return min(room, allowed * HEDGE_PART - self._spent[RetryKind.HEDGE])

    def make_dump(self, service: ServiceName, *, now_s: float) -> RetryBudgetDump:
        """Return the state for an operator.

        Args:
            service: Whose budget it is.
            now_s: Monotonic time, in seconds.
        """
        self._decay(now_s)
        return RetryBudgetDump(
            service=service,
            requests=self._requests,
            spent_executions=self._spent[RetryKind.EXECUTION],
            spent_refused=self._spent[RetryKind.REFUSED],
            spent_hedges=self._spent[RetryKind.HEDGE],
        )

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-max(0.0, now_s - self._counted_s) / self.window_s)
        self._counted_s = now_s
        self._requests *= factor
        for kind in self._spent:
            self._spent[kind] *= factor
