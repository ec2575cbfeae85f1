"""Decides when another attempt of a read may start in parallel with the running ones."""

from enum import Enum

import msgspec

from samphirespring.process.detection.target_evaluator import DetectionTerms
from samphirespring.process.retry_budget import RetryKind
from samphirespring.request.attempt_limit import PATH_ALLOWANCE_S, compute_attempt_limit_s
from samphirespring.request.retry import may_hedge
from samphirespring.version.document import RoutePolicy
from samphirespring.version.states import PriorityClass

BACKOFF_FACTOR = 2.0
"""Factor by which each wait grows while no attempt is permitted to start."""

MIN_WAIT_S = 0.02
"""Minimum wait before an attempt that replaces a stalled one, in seconds."""


class _Stage(Enum):
    HEDGE = "hedge"
    PATH = "path"
    STALL = "stall"


class HedgeWait(msgspec.Struct, frozen=True, kw_only=True):
    """Next step while no attempt has a response.

    Attributes:
        delay_s: Wait before the step, in seconds.
        kind: Budget for the attempt that starts then; None to start none yet.
    """

    delay_s: float
    kind: RetryKind | None


class HedgeSchedule:
    """Plans the hedge, if the route allows one, and replacements of stalled attempts.

    Args:
        policy: Policy of the route.
    """

    def __init__(self, policy: RoutePolicy) -> None:
        self._policy = policy
        self._stage = _Stage.HEDGE if may_hedge(policy) else _Stage.PATH
        self._backoff = 1.0

    def plan(self, terms: DetectionTerms | None, *, remaining_ms: int) -> HedgeWait | None:
        """Return the next wait, or None if too little time remains for another attempt.

        Args:
            terms: Statistics of the pool; None if the front has none yet.
            remaining_ms: Time remaining until the deadline, in milliseconds.
        """
        match self._stage:
            case _Stage.HEDGE:
                self._stage = _Stage.PATH
                return HedgeWait(delay_s=self._policy.hedge.delay_ms / 1_000, kind=RetryKind.HEDGE)
            case _Stage.PATH:
                # No attempt counts as stalled sooner, and by then a target has been selected.
                self._stage = _Stage.STALL
                return HedgeWait(delay_s=PATH_ALLOWANCE_S, kind=None)
            case _Stage.STALL:
                return self._plan_replacement(terms, remaining_ms=remaining_ms)

    def record_start(self) -> None:
        """Reset the backoff because the planned attempt started."""
        self._backoff = 1.0

    def _plan_replacement(
        self, terms: DetectionTerms | None, *, remaining_ms: int
    ) -> HedgeWait | None:
        limit_s = compute_attempt_limit_s(
            terms,
            remaining_s=remaining_ms / 1_000,
            reserve_s=self._policy.retry.execution_reserve_ms / 1_000,
        )
        if limit_s is None:
            return None
        delay_s = max(MIN_WAIT_S, limit_s - PATH_ALLOWANCE_S) * self._backoff
        self._backoff *= BACKOFF_FACTOR
        return HedgeWait(delay_s=delay_s, kind=RetryKind.EXECUTION)


def may_run_in_parallel(policy: RoutePolicy) -> bool:
    """Return whether attempts may run in parallel, which holds for reads that aren't helpers.

    Args:
        policy: Policy of the route.
    """
    return policy.idempotent and policy.priority is not PriorityClass.HELPER
