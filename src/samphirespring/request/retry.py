"""Decides whether and when a failed or refused attempt is retried."""

import random
from enum import Enum

import msgspec

from samphirespring.process.retry_budget import RetryKind
from samphirespring.request.messages import AttemptFailed, AttemptRefused
from samphirespring.request.states import RefusalCode
from samphirespring.version.document import RoutePolicy
from samphirespring.version.states import PriorityClass

HELPER_MAX_ATTEMPTS = 2
MAX_REFUSED_ATTEMPTS = 10
"""Maximum number of a request's attempts that were refused or reached no backend server, even if
its wait budgets allow more."""

IMMEDIATE_RETRIES = 4
"""Number of refusals specific to one target after which the next target is tried without delay."""

STARTUP_BACKOFF_BASE_S = 0.040
"""Maximum of the first delay after the immediate retries, in seconds. Targets that just started
announce themselves within a few seconds."""

BACKOFF_BASE_S = 0.010
BACKOFF_LIMIT_S = 1.0
DEFAULT_RATE_LIMIT_WAIT_S = 1.0
"""Wait after a rate limit refusal that states no retry delay, in seconds."""

MAX_HINT_S = 30.0
"""Maximum wait that a retry hint can request, in seconds."""

HINT_JITTER_SHARE = 0.1
"""Share of a hinted wait that is added at random, so that waiting requests don't retry together."""


MAX_WAIT_SHARE = 0.5
"""Largest share of a request's remaining time that it waits for a promised retry."""


class RetryDecision(Enum):
    """Next step after a failed or refused attempt."""

    RETRY = "retry"
    GIVE_UP = "give_up"
    """The request didn't run, or is idempotent."""

    UNKNOWN = "unknown"
    """An action may have run."""


class WaitKind(Enum):
    """Budget that a wait between two attempts is charged to."""

    BACKOFF = "backoff"
    """Wait after a failure; limited only by the deadline."""

    CAPACITY = "capacity"
    RATE_LIMIT = "rate_limit"


class RetryStep(msgspec.Struct, frozen=True, kw_only=True):
    """Next step after an attempt.

    Attributes:
        decision: Whether another attempt follows.
        wait: Budget that the delay is charged to.
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
        RefusalCode.KEY_LEASE_EXPIRED,
    }
)
"""Refusals specific to one target: another target may accept the request immediately."""


FINAL_REFUSALS = frozenset({RefusalCode.EXPIRED, RefusalCode.API_KEY_UNKNOWN})
"""Refusals that any other target would repeat."""


class RetryPlanner:
    """Plans the retries of one request: counts attempts and charges waits to their budgets.

    Args:
        policy: Policy of the route.
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
        """Return the next step after an attempt without a complete response.

        The wait is charged when it is planned, so the attempt follows even if its timer fires late.

        Args:
            result: Result of the attempt.
            remaining_ms: Time remaining until the deadline, in milliseconds.
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
        """Return whether another attempt may start in parallel with the running ones.

        Args:
            kind: Budget of the attempt: a hedge, or an execution that replaces a stalled attempt.
            remaining_ms: Time remaining until the deadline, in milliseconds.
        """
        # An attempt without enough time for a response is useless.
        if remaining_ms <= self._policy.retry.execution_reserve_ms:
            return False
        return kind is RetryKind.HEDGE or (self._failed_count + 1 < self._policy.retry.max_attempts)

    def count_parallel_attempt(self, kind: RetryKind) -> None:
        """Count a parallel attempt; a stalled attempt that it replaces counts as failed.

        Args:
            kind: Budget of the attempt.
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
            # If no backend server was reached, another target may accept the request immediately.
            delay_s = self._draw_backoff_s(self._failed_count) if result.started else 0.0
            return RetryStep(decision=RetryDecision.RETRY, delay_s=delay_s)
        if result.code in FINAL_REFUSALS:
            return GIVE_UP
        if result.code is RefusalCode.RATE_LIMITED:
            return self._plan_hinted(WaitKind.RATE_LIMIT, _read_hint_s(result))
        if result.retry_after_ms is not None:
            return self._plan_hinted(WaitKind.CAPACITY, result.retry_after_ms / 1_000)
        if result.code in IMMEDIATE_REFUSALS:
            # If several targets refuse, they may all have just started and need time to be ready.
            delayed_count = self._refused_count - IMMEDIATE_RETRIES
            delay_s = 0.0
            if delayed_count > 0:
                delay_s = self._draw_backoff_s(delayed_count, base_s=STARTUP_BACKOFF_BASE_S)
        else:
            delay_s = self._draw_backoff_s(self._refused_count)
        return RetryStep(decision=RetryDecision.RETRY, wait=WaitKind.CAPACITY, delay_s=delay_s)

    def _plan_hinted(self, wait: WaitKind, hint_s: float) -> RetryStep:
        capped_s = min(hint_s, MAX_HINT_S)
        # The jitter is capped so that it doesn't push an affordable hint over the budget.
        spare_wait_s = max(0.0, self._remaining_wait_s[wait] - capped_s)
        jitter_s = min(spare_wait_s, self._generator.random() * HINT_JITTER_SHARE * capped_s)
        return RetryStep(decision=RetryDecision.RETRY, wait=wait, delay_s=capped_s + jitter_s)

    def _draw_backoff_s(self, count: int, *, base_s: float = BACKOFF_BASE_S) -> float:
        limit_s = min(BACKOFF_LIMIT_S, base_s * 2.0 ** (count - 1))
        return self._generator.random() * limit_s


def compute_max_wait_s(remaining_ms: int, *, reserve_ms: int) -> float:
    """Return how long a request may wait for a retry that is promised to it, in seconds.

    The rest of its time is left for the attempt.

    Args:
        remaining_ms: Time remaining until the deadline, in milliseconds.
        reserve_ms: Time that must remain for an attempt, in milliseconds.
    """
    return max(0.0, (remaining_ms - reserve_ms) * MAX_WAIT_SHARE / 1_000)


def may_hedge(policy: RoutePolicy) -> bool:
    """Return whether a route allows hedging: a second attempt before the first one ended.

    Args:
        policy: Policy of the route.
    """
    if not policy.hedge.enabled or not policy.idempotent:
        return False
    return policy.priority is PriorityClass.INTERACTIVE


def _read_hint_s(result: AttemptRefused) -> float:
    if result.retry_after_ms is None:
        return DEFAULT_RATE_LIMIT_WAIT_S
    return result.retry_after_ms / 1_000
