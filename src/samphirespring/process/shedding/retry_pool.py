"""Retries of a service that sheds as a whole, granted for many fronts from their joint budget.

It is designed for a load in which most targets of a service refuse about half of their requests for
some seconds: more requests want to be sent again than the budget allows. Each front's own part of
the budget is a few retries, and which front needs them is chance; the joint budget serves whoever
asks, the most urgent requests first, and tells the others when to ask again or that it is no use.
"""

from enum import Enum

import msgspec

from samphirespring.process.ids import HostId
from samphirespring.process.sliding_count import SlidingCount

MAX_RESERVED_SHARE = 0.3
"""Largest share of the budget that is left to more urgent requests."""

DEMAND_SPAN_S = 2.0
"""Time over which the demand of more urgent requests is counted, in seconds."""

RESERVED_SPAN_S = 4.0
"""Time for which the demand of more urgent requests is left to them, in seconds."""

MIN_WAIT_S = 0.1
"""Least time after which a request asks again, in seconds."""


class FrontAccount(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one front adds to the joint budget of a service, and what it took from it.

    Attributes:
        host: Host of the front.
        requests: Requests of the service that it got within the window.
        own: Retries that it granted itself within the window.
        pooled: Retries that it got from any pool within the window.
        share: Retries that the budget allows for each request.
        floor: Retries that it allows beyond that in a window, of this front alone.
        window_s: Length of the window, in seconds.
    """

    host: HostId
    requests: float
    own: float
    pooled: float
    share: float
    floor: float
    window_s: float

    @property
    def allowed(self) -> float:
        """Retries that the front adds to the joint budget of a window."""
        return self.share * self.requests + self.floor


class GrantDecision(Enum):
    """What becomes of a request that wants a retry."""

    GRANTED = "granted"
    WAIT = "wait"
    """It may ask once more after a time."""

    DENIED = "denied"
    """It has no prospect of a retry within its time."""


class RetryGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Decision on one retry.

    Attributes:
        decision: The decision.
        wait_s: Time after which a retry may be granted, in seconds; 0.0 if it is granted.
    """

    decision: GrantDecision
    wait_s: float = 0.0


GRANTED = RetryGrant(decision=GrantDecision.GRANTED)
DENIED = RetryGrant(decision=GrantDecision.DENIED)


class _Member(msgspec.Struct, kw_only=True):
    account: FrontAccount
    heard_at_s: float


class RetryPool:
    """Joint retry budget of the fronts that ask, for one service.

    Each front brings what its own budget allows, with what it spent of it: what it granted itself,
    or got from the pool of another host. The sum therefore holds whichever host keeps the pool.

    Args:
        window_s: Length of the window of the budget, in seconds.
    """

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self._members: dict[HostId, _Member] = {}
        self._granted = SlidingCount(window_s)
        self._waiting_until_s: list[float] = []
        """Times until which requests wait that were told to ask again."""

        self._demands: dict[int, SlidingCount] = {}
        """Latest requests that asked, by rank."""

    @property
    def front_count(self) -> int:
        """Number of fronts that asked within the window."""
        return len(self._members)

    def acquire(
        self,
        account: FrontAccount,
        *,
        rank: int,
        max_wait_s: float,
        has_waited: bool,
        now_s: float,
    ) -> RetryGrant:
        """Decide on a retry.

        Args:
            account: Account of the front that asks.
            rank: Rank of the request; lower ones are more urgent.
            max_wait_s: Longest wait after which the retry is still useful, in seconds.
            has_waited: Whether the request asks again, as it was told to.
            now_s: Monotonic time, in seconds.
        """
        self.drop_silent(now_s)
        self._members[account.host] = _Member(account=account, heard_at_s=now_s)
        allowed = self._compute_allowed()
        available = allowed - self._compute_spent(now_s)
        available -= min(MAX_RESERVED_SHARE * allowed, self._read_more_urgent(rank, now_s))
        if not has_waited:
            self._count_demand(rank, now_s)
            available -= len(self._waiting_until_s)
        if available >= 1.0:
            self._granted.add(1.0, now_s=now_s)
            return GRANTED
        # While the budget is spent to the full, as much of it returns as a window allows.
        wait_s = max(MIN_WAIT_S, (1.0 - available) * self.window_s / max(1.0, allowed))
        if wait_s > max_wait_s:
            return RetryGrant(decision=GrantDecision.DENIED, wait_s=min(wait_s, self.window_s))
        self._waiting_until_s.append(now_s + wait_s)
        return RetryGrant(decision=GrantDecision.WAIT, wait_s=wait_s)

    def drop_silent(self, now_s: float) -> None:
        """Drop fronts that haven't asked within the window, and waits that are over.

        Args:
            now_s: Monotonic time, in seconds.
        """
        since_s = now_s - self.window_s
        self._members = {h: m for h, m in self._members.items() if m.heard_at_s >= since_s}
        self._waiting_until_s = [until_s for until_s in self._waiting_until_s if until_s > now_s]

    def read_available(self, now_s: float) -> float:
        """Return the retries that the budget still allows.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return self._compute_allowed() - self._compute_spent(now_s)

    def _compute_allowed(self) -> float:
        return sum(member.account.allowed for member in self._members.values())

    def _compute_spent(self, now_s: float) -> float:
        accounts = [member.account for member in self._members.values()]
        # What fronts report lacks the latest grants; what was granted here lacks other hosts' ones.
        pooled = max(self._granted.read(now_s), sum(account.pooled for account in accounts))
        return pooled + sum(account.own for account in accounts)

    def _count_demand(self, rank: int, now_s: float) -> None:
        demand = self._demands.setdefault(rank, SlidingCount(DEMAND_SPAN_S))
        demand.add(1.0, now_s=now_s)

    def _read_more_urgent(self, rank: int, now_s: float) -> float:
        """Return the retries that more urgent requests are likely to want soon."""
        asked = sum(d.read(now_s) for other, d in self._demands.items() if other < rank)
        return asked * RESERVED_SPAN_S / DEMAND_SPAN_S
