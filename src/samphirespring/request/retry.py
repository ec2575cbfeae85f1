"""Decision whether a failed or refused attempt may be repeated, and when."""

import random
from dataclasses import dataclass
from enum import Enum

from samphirespring.process.retry_budget import RetryKind
from samphirespring.request.messages import AttemptFailed, AttemptRefused
from samphirespring.request.states import RefusalCode
from samphirespring.version.document import RoutePolicy
from samphirespring.version.states import PriorityClass

HELPER_MAX_ATTEMPTS = 2
MAX_REFUSED_ATTEMPTS = 10
"""Attempts of one request that were refused or reached nobody, whatever its wait budgets allow."""

IMMEDIATE_RETRIES = 4
"""Refusals that concern one target after which the next one is asked without a pause."""

STARTUP_BACKOFF_BASE_S = 0.040
"""Longest first pause after these, in seconds: targets announce themselves within some seconds."""

BACKOFF_BASE_S = 0.010
BACKOFF_LIMIT_S = 1.0
DEFAULT_RATE_LIMIT_WAIT_S = 1.0
"""Wait for a rate limit that doesn't say how long, in seconds."""

MAX_HINT_S = 30.0
"""Longest wait that a hint may ask for, in seconds."""

HINT_JITTER_SHARE = 0.1
"""Random addition to a hinted wait, so that waiters don't return together."""


class RetryDecision(Enum):
    """What follows a failed or refused attempt."""

    RETRY = "retry"
    GIVE_UP = "give_up"
    """The request is known not to have run, or is a read."""

    UNKNOWN = "unknown"
    """An action may have run."""


class WaitKind(Enum):
    """Budget that a wait between two attempts draws from."""

    BACKOFF = "backoff"
    """After a failure; bounded by the deadline only."""

    CAPACITY = "capacity"
    RATE_LIMIT = "rate_limit"


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryStep:
    """What follows an attempt.

    Attributes:
        decision: Whether another attempt follows.
        wait: Budget that the delay draws from.
        delay_s: Wait before the next attempt, in seconds.
    """

    decision: RetryDecision
    wait: WaitKind = WaitKind.BACKOFF
    delay_s: float = 0.0


GIVE_UP = RetryStep(decision=RetryDecision.GIVE_UP)
UNKNOWN = RetryStep(decision=RetryDecision.UNKNOWN)

IMMEDIATE_REFUSALS = frozenset(
    {
        RefusalCode.DRAINING,
        RefusalCode.STALE_DOCUMENT,
        RefusalCode.UNKNOWN_TARGET,
        RefusalCode.EJECTED,
        RefusalCode.SUSPECT,
        RefusalCode.FENCED,
    }
)
"""Refusals that concern one target: another one may serve at once."""


class RetryPlanner:
    """Plans the attempts of one request: counts them, and spends the budgets for waits.

    Args:
        policy: The route's policy.
        generator: Source of random numbers.
    """

    def __init__(self, policy: RoutePolicy, *, generator: random.Random) -> None:
        self._policy = policy
        self._generator = generator
        self._failed_count = 0
        self._refused_count = 0
        self._remaining_wait_s = {
            WaitKind.CAPACITY: policy.retry.capacity_wait_ms / 1_000,
            WaitKind.RATE_LIMIT: policy.retry.rate_limit_wait_ms / 1_000,
        }

    def plan(self, result: AttemptRefused | AttemptFailed, *, remaining_ms: int) -> RetryStep:
        """Return what follows an attempt that brought no complete answer.

        A planned wait is spent at once: it earns its attempt even if its timer fires late.

        Args:
            end: How the attempt ended.
            remaining_ms: Time left until the deadline, in milliseconds.
        """
        self._count(result)
        if isinstance(result, AttemptFailed) and result.started and not self._policy.idempotent:
            return UNKNOWN
        if self._is_exhausted():
            return GIVE_UP
        step = self._plan_wait(result)
        reserve_ms = self._policy.retry.execution_reserve_ms
        if remaining_ms - step.delay_s * 1_000 <= reserve_ms:
            return GIVE_UP
        if step.wait in self._remaining_wait_s:
            if step.delay_s > self._remaining_wait_s[step.wait]:
                return GIVE_UP
            self._remaining_wait_s[step.wait] -= step.delay_s
        return step

    def may_run_in_parallel(self, kind: RetryKind, *, remaining_ms: int) -> bool:
        """Return whether another attempt may start beside those that run.

        Args:
            kind: What it costs: a hedge, or an execution in place of an attempt that stalls.
            remaining_ms: Time left until the deadline, in milliseconds.
        """
        # An attempt that has no time to answer is of no use.
        if remaining_ms <= self._policy.retry.execution_reserve_ms:
            return False
        return kind is RetryKind.HEDGE or (self._failed_count + 1 < self._policy.retry.max_attempts)

    def count_parallel_attempt(self, kind: RetryKind) -> None:
        """Count an attempt that started beside others; one that stalls counts as failed.

        Args:
            kind: What the attempt cost.
        """
        if kind is RetryKind.EXECUTION:
            self._failed_count += 1

    def _count(self, result: AttemptRefused | AttemptFailed) -> None:
        if isinstance(result, AttemptRefused) or not result.started:
            self._refused_count += 1
        else:
            self._failed_count += 1

    def _is_exhausted(self) -> bool:
        if self._policy.priority is PriorityClass.HELPER:
            return self._failed_count + self._refused_count >= HELPER_MAX_ATTEMPTS
        if self._failed_count >= self._policy.retry.max_attempts:
            return True
        return self._refused_count >= MAX_REFUSED_ATTEMPTS

    def _plan_wait(self, result: AttemptRefused | AttemptFailed) -> RetryStep:
        if isinstance(result, AttemptFailed):
            # What reached nobody needs no pause: another target may serve at once.
            delay_s = self._draw_backoff_s(self._failed_count) if result.started else 0.0
            return RetryStep(decision=RetryDecision.RETRY, delay_s=delay_s)
        if result.code is RefusalCode.EXPIRED:
            return GIVE_UP
        if result.code is RefusalCode.RATE_LIMITED:
            return self._plan_hinted(WaitKind.RATE_LIMIT, _read_hint_s(result))
        if result.retry_after_ms is not None:
            return self._plan_hinted(WaitKind.CAPACITY, result.retry_after_ms / 1_000)
        if result.code in IMMEDIATE_REFUSALS:
            # Where several targets say so, they may all have just started: it takes a moment.
            later_count = self._refused_count - IMMEDIATE_RETRIES
            delay_s = 0.0
            if later_count > 0:
                delay_s = self._draw_backoff_s(later_count, base_s=STARTUP_BACKOFF_BASE_S)
        else:
            delay_s = self._draw_backoff_s(self._refused_count)
        return RetryStep(decision=RetryDecision.RETRY, wait=WaitKind.CAPACITY, delay_s=delay_s)

    def _plan_hinted(self, wait: WaitKind, hint_s: float) -> RetryStep:
        capped_s = min(hint_s, MAX_HINT_S)
        # The jitter stays inside the budget: it must not turn an affordable hint down.
        room_s = max(0.0, self._remaining_wait_s[wait] - capped_s)
        jitter_s = min(room_s, self._generator.random() * HINT_JITTER_SHARE * capped_s)
        return RetryStep(decision=RetryDecision.RETRY, wait=wait, delay_s=capped_s + jitter_s)

    def _draw_backoff_s(self, count: int, *, base_s: float = BACKOFF_BASE_S) -> float:
        longest_s = min(BACKOFF_LIMIT_S, base_s * 2.0 ** (count - 1))
        return self._generator.random() * longest_s


def may_hedge(policy: RoutePolicy) -> bool:
    """Return whether a second attempt may start before the first one ended.

    Args:
        policy: The route's policy.
    """
    if not policy.hedge.enabled or not policy.idempotent:
        return False
    return policy.priority is PriorityClass.INTERACTIVE


def _read_hint_s(result: AttemptRefused) -> float:
    if result.retry_after_ms is None:
        return DEFAULT_RATE_LIMIT_WAIT_S
    return result.retry_after_ms / 1_000
