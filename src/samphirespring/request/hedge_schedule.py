"""Decision when another attempt of a read may start beside those that run."""

from dataclasses import dataclass
from enum import Enum

from samphirespring.process.detection.target_evaluator import DetectionTerms
from samphirespring.process.retry_budget import RetryKind
from samphirespring.request.attempt_limit import PATH_ALLOWANCE_S, find_attempt_limit_s
from samphirespring.request.retry import may_hedge
from samphirespring.version.document import RoutePolicy
from samphirespring.version.states import PriorityClass

BACKOFF_FACTOR = 2.0
"""How much longer each wait is than the one before, while no attempt may start."""

LEAST_WAIT_S = 0.02
"""Shortest wait for an attempt in place of one that stalls, in seconds."""


class _Stage(Enum):
    HEDGE = "hedge"
    PATH = "path"
    STALL = "stall"


@dataclass(frozen=True, slots=True, kw_only=True)
class HedgeWait:
    """What comes next while no attempt has an answer.

    Attributes:
        delay_s: Wait before it, in seconds.
        kind: What another attempt costs then; None if there is to be none yet.
    """

    delay_s: float
    kind: RetryKind | None


class HedgeSchedule:
    """Plans a hedge where the route has one, and replacements of attempts that stall.

    Args:
        policy: The route's policy.
    """

    def __init__(self, policy: RoutePolicy) -> None:
        self._policy = policy
        self._stage = _Stage.HEDGE if may_hedge(policy) else _Stage.PATH
        self._backoff = 1.0

    def plan(self, terms: DetectionTerms | None, *, left_ms: int) -> HedgeWait | None:
        """Return the next wait, or None if no more attempt can help.

        Args:
            terms: What the front knows of the pool; None if nothing yet.
            left_ms: Time left until the deadline, in milliseconds.
        """
        match self._stage:
            case _Stage.HEDGE:
                self._stage = _Stage.PATH
                return HedgeWait(delay_s=self._policy.hedge.delay_ms / 1_000, kind=RetryKind.HEDGE)
            case _Stage.PATH:
                # No attempt counts as stalled earlier; by then the target is known.
                self._stage = _Stage.STALL
                return HedgeWait(delay_s=PATH_ALLOWANCE_S, kind=None)
            case _Stage.STALL:
                return self._plan_replacement(terms, left_ms=left_ms)

    def note_started(self) -> None:
        """Note that the planned attempt started: the next wait is for it."""
        self._backoff = 1.0

    def _plan_replacement(self, terms: DetectionTerms | None, *, left_ms: int) -> HedgeWait | None:
        limit_s = find_attempt_limit_s(
            terms,
            left_s=left_ms / 1_000,
            reserve_s=self._policy.retry.execution_reserve_ms / 1_000,
        )
        if limit_s is None:
            return None
        delay_s = max(LEAST_WAIT_S, limit_s - PATH_ALLOWANCE_S) * self._backoff
        self._backoff *= BACKOFF_FACTOR
        return HedgeWait(delay_s=delay_s, kind=RetryKind.EXECUTION)


def may_run_beside(policy: RoutePolicy) -> bool:
    """Return whether a second attempt may run beside the first: for reads that aren't helpers.

    Args:
        policy: The route's policy.
    """
    return policy.idempotent and policy.priority is not PriorityClass.HELPER
