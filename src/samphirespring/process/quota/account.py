"""Credit, waiting requests and demand of one workspace at one front."""

from collections import deque
from typing import Generic

import msgspec

from samphirespring.process.quota.asks import WorkspaceAsk, WorkspaceGrant
from samphirespring.process.quota.bucket import LONGEST_QUEUE_S
from samphirespring.process.quota.credit import (
    CreditDecision,
    CreditRefusal,
    CreditRequest,
    QuotaCredit,
    RefusalCause,
    SettledTicket,
    TicketT,
)
from samphirespring.process.quota.terms import LONGEST_CREDIT_S
from samphirespring.process.sliding_count import SlidingCount

DEMAND_WINDOW_S = 1.0
AHEAD_S = 0.3
"""Longest time whose demand a front asks for ahead, in seconds."""

AHEAD_SPAN_SHARE = 0.5
"""Share of the credit's span whose demand is asked for ahead; the rest is for the reply's way."""

LIMITED_S = 5.0
"""Time after the last refusal until a workspace counts as not limited any more, in seconds."""


class _Waiter(msgspec.Struct, Generic[TicketT], kw_only=True, eq=False):
    """A request that waits.

    Attributes:
        request: The request.
        give_up_at_s: Time until which it may wait while the leader answers, in seconds.
        due_at_s: When the credit is due that it was promised, in seconds; None if it wasn't.
        is_asked: Whether the ask under way contains it.
    """

    request: CreditRequest[TicketT]
    give_up_at_s: float
    due_at_s: float | None = None
    is_asked: bool = False

    def is_due(self, now_s: float) -> bool:
        """Return whether to ask for it."""
        return self.due_at_s is None or self.due_at_s <= now_s


class QuotaAccount(Generic[TicketT]):
    """State of one workspace with a quota at one front.

    Args:
        request: Its first request.
    """

    def __init__(self, request: CreditRequest[TicketT]) -> None:
        self.workspace = request.workspace
        self.terms = request.terms
        self._waiting: list[_Waiter[TicketT]] = []
        self.is_asking = False
        """Whether an ask is under way."""

        self.none_until_s = 0.0
        """Time until which requests are refused without an ask, in seconds."""

        self.refused = 0
        """Refusals since the workspace was within its quota."""

        self._is_counted = False
        """Whether a request was counted since the last ask."""

        self._refused_at_s = 0.0
        self._credit: deque[QuotaCredit] = deque()
        self._demand = SlidingCount(DEMAND_WINDOW_S)

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    @property
    def may_need_ask(self) -> bool:
        """Whether anything changed after which an ask may be needed."""
        return bool(self._waiting or self._credit or self._is_counted)

    def count_request(self, request: CreditRequest[TicketT], *, now_s: float) -> None:
        """Count a request, and use the newest terms.

        Args:
            request: The request.
            now_s: Time, in seconds.
        """
        if request.terms != self.terms:
            # There may be credit under the new quota.
            self.none_until_s = now_s
        self.terms = request.terms
        self._is_counted = True
        self._demand.add(1.0, now_s=now_s)

    def take_credit(self, now_s: float) -> QuotaCredit | None:
        """Return credit that is left, the oldest first, or None.

        Args:
            now_s: Time, in seconds.
        """
        self._drop_ended(now_s)
        return self._credit.popleft() if self._credit else None

    def add_credit(self, credit: QuotaCredit, *, now_s: float) -> None:
        """Add credit that wasn't used, unless it has ended.

        Args:
            credit: The credit.
            now_s: Time, in seconds.
        """
        if now_s < credit.returnable_until_s:
            self._credit.append(credit)

    def add_waiting(self, request: CreditRequest[TicketT]) -> None:
        """Let a request wait.

        Args:
            request: The request.
        """
        self._waiting.append(_Waiter(request=request, give_up_at_s=request.give_up_at_s))

    def may_queue(self, request: CreditRequest[TicketT], *, front_count: int, now_s: float) -> bool:
        """Return whether a request may wait for a leader behind those that wait already.

        Args:
            request: A request that just came.
            front_count: Fronts that are assumed to have as many requests waiting as this one.
            now_s: Time, in seconds.
        """
        share_per_s = self.terms.limit.requests_per_s / front_count
        longest_s = request.give_up_lost_at_s - now_s
        return len(self._waiting) <= share_per_s * longest_s

    def refuse(self, now_s: float) -> CreditRefusal:
        """Count a refusal at the quota, and return it.

        Args:
            now_s: Time, in seconds.
        """
        self.refused += 1
        self._refused_at_s = now_s
        return CreditRefusal(
            cause=RefusalCause.SPENT, retry_after_s=max(0.0, self.none_until_s - now_s)
        )

    def make_ask(self, now_s: float) -> WorkspaceAsk | None:
        """Return what to ask for now, and count it as under way; None if nothing is needed.

        Args:
            now_s: Time, in seconds.
        """
        if self.is_asking:
            return None
        self._is_counted = False
        self._drop_ended(now_s)
        due = [waiter for waiter in self._waiting if waiter.is_due(now_s)]
        target = 0 if self.none_until_s > now_s else self._find_ahead_target(now_s)
        ahead = max(0, target - len(self._credit))
        if not due and ahead <= target // 2:
            return None
        returned = self._take_surplus(target)
        self.is_asking = True
        for waiter in due:
            waiter.is_asked = True
        return WorkspaceAsk(
            workspace=self.workspace,
            waiting=len(due),
            promised=sum(waiter.due_at_s is not None for waiter in due),
            ahead=ahead,
            returned=returned,
        )

    def make_return(self, now_s: float) -> WorkspaceAsk | None:
        """Return an ask that only gives back credit that isn't needed; None if there is none.

        Args:
            now_s: Time, in seconds.
        """
        if self.is_asking:
            return None
        self._drop_ended(now_s)
        returned = self._take_surplus(self._find_ahead_target(now_s))
        if returned == 0:
            return None
        self.is_asking = True
        return WorkspaceAsk(workspace=self.workspace, waiting=0, returned=returned)

    def apply_grant(
        self, grant: WorkspaceGrant, *, asked_at_s: float, now_s: float
    ) -> list[SettledTicket[TicketT]]:
        """Give granted credit to the waiting requests that were asked for, and keep the rest.

        Args:
            grant: What the leader granted.
            asked_at_s: When this front asked, in seconds.
            now_s: Time, in seconds.

        Returns:
            Decisions about requests that waited.
        """
        asked = [waiter for waiter in self._waiting if waiter.is_asked]
        self.end_ask()
        if now_s >= asked_at_s + LONGEST_CREDIT_S:
            return []
        credit = QuotaCredit(
            workspace=self.workspace, returnable_until_s=asked_at_s + self.terms.span_s
        )
        # Those whose promised credit was due come first.
        asked.sort(key=lambda waiter: waiter.due_at_s is None)
        served, unserved = asked[: grant.credit], asked[grant.credit :]
        settled = [self._settle(waiter, credit) for waiter in served]
        for _ in range(grant.credit - len(served)):
            self.add_credit(credit, now_s=now_s)
        settled += self._use_stored(now_s)
        if unserved:
            settled += self._wait_or_refuse(unserved, grant, now_s)
        return settled

    def end_ask(self) -> None:
        """End the ask under way."""
        self.is_asking = False
        for waiter in self._waiting:
            waiter.is_asked = False

    def settle_first(self, decision: CreditDecision) -> SettledTicket[TicketT]:
        """Decide about the request that has waited longest.

        Args:
            decision: The decision.
        """
        return self._settle(self._waiting[0], decision)

    def settle_late(
        self, decision: CreditDecision, *, is_lost: bool, now_s: float
    ) -> list[SettledTicket[TicketT]]:
        """Decide about the requests that have waited as long as they may.

        Args:
            decision: The decision.
            is_lost: Whether no leader answers.
            now_s: Time, in seconds.
        """
        late = [w for w in self._waiting if self._find_give_up(w, is_lost) <= now_s]
        return [self._settle(waiter, decision) for waiter in late]

    def find_next_ask(self) -> float:
        """Return when to ask for the first of the waiting requests, in seconds."""
        return min(waiter.due_at_s or 0.0 for waiter in self._waiting)

    def find_next_give_up(self, *, is_lost: bool) -> float:
        """Return until when the first of the waiting requests may wait, in seconds.

        Args:
            is_lost: Whether no leader answers.
        """
        return min(self._find_give_up(waiter, is_lost) for waiter in self._waiting)

    def extend_waits(self, until_s: float) -> None:
        """Let requests that waited for a leader wait for its credit.

        Args:
            until_s: Time until which they may wait if their deadlines permit, in seconds.
        """
        for waiter in self._waiting:
            extended_s = min(until_s, waiter.request.give_up_lost_at_s)
            waiter.give_up_at_s = max(waiter.give_up_at_s, extended_s)

    def is_short(self, now_s: float) -> bool:
        """Return whether the leader said that there is no credit yet.

        Args:
            now_s: Time, in seconds.
        """
        promised = any(waiter.due_at_s is not None for waiter in self._waiting)
        return promised or self.none_until_s > now_s

    def is_limited(self, now_s: float) -> bool:
        """Return whether requests were refused at the quota lately.

        Args:
            now_s: Time, in seconds.
        """
        return self.refused > 0 and now_s < self._refused_at_s + LIMITED_S

    def is_idle(self, now_s: float) -> bool:
        """Return whether nothing needs to be remembered.

        Args:
            now_s: Time, in seconds.
        """
        self._drop_ended(now_s)
        busy = self.is_asking or self._waiting or self._credit or self.none_until_s > now_s
        return not busy and self.refused == 0 and self._demand.read(now_s) == 0.0

    def _find_give_up(self, waiter: _Waiter[TicketT], is_lost: bool) -> float:
        return waiter.request.give_up_lost_at_s if is_lost else waiter.give_up_at_s

    def _settle(self, waiter: _Waiter[TicketT], decision: CreditDecision) -> SettledTicket[TicketT]:
        self._waiting.remove(waiter)
        return SettledTicket(ticket=waiter.request.ticket, decision=decision)

    def _use_stored(self, now_s: float) -> list[SettledTicket[TicketT]]:
        settled: list[SettledTicket[TicketT]] = []
        while self._waiting and (credit := self.take_credit(now_s)) is not None:
            settled.append(self.settle_first(credit))
        return settled

    def _wait_or_refuse(
        self, unserved: list[_Waiter[TicketT]], grant: WorkspaceGrant, now_s: float
    ) -> list[SettledTicket[TicketT]]:
        """Refuse the requests that are beyond the quota; the others wait for promised credit."""
        wait_s = grant.wait_ms / 1_000
        token_s = 1.0 / self.terms.limit.requests_per_s
        for position, waiter in enumerate(unserved[: grant.promised]):
            waiter.due_at_s = now_s + wait_s + position * token_s
        if len(unserved) <= grant.promised:
            return []
        self.none_until_s = now_s + max(wait_s, LONGEST_QUEUE_S)
        beyond = [waiter for waiter in self._waiting if waiter.due_at_s is None]
        return [self._settle(waiter, self.refuse(now_s)) for waiter in beyond]

    def _find_ahead_target(self, now_s: float) -> int:
        horizon_s = min(AHEAD_S, self.terms.span_s * AHEAD_SPAN_SHARE)
        return int(self._demand.read(now_s) / DEMAND_WINDOW_S * horizon_s)

    def _take_surplus(self, target: int) -> int:
        count = max(0, len(self._credit) - target - len(self._waiting))
        for _ in range(count):
            self._credit.pop()
        return count

    def _drop_ended(self, now_s: float) -> None:
        if self._credit:
            self._credit = deque(c for c in self._credit if now_s < c.returnable_until_s)
