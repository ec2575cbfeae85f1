"""Decides at one front which requests pass, wait or are refused, and what to ask the leader for."""

import math
from collections.abc import Sequence
from typing import Generic

import msgspec

from samphirespring.process.quota.account import QuotaAccount
from samphirespring.process.quota.asks import WorkspaceAsk, WorkspaceGrant
from samphirespring.process.quota.credit import (
    CreditDecision,
    CreditRefusal,
    CreditRequest,
    QuotaCredit,
    RefusalCause,
    SettledTicket,
    TicketT,
)
from samphirespring.process.quota.offline_allowance import OfflineAllowance
from samphirespring.version.ids import WorkspaceId

RETRY_DELAY_S = 0.2
"""Delay after a call that failed, in seconds."""

REGAINED_WAIT_S = 3.0
"""Longest wait of requests that already waited for a leader, from its first reply, in seconds."""

CLEANUP_INTERVAL_S = 1.0
SAVINGS_IDLE_S = 60.0


class LimitChange(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace starts or stops being refused at its quota.

    Attributes:
        workspace: The workspace.
        limited: Whether it is refused now.
        refused: Refusals at this front since it started.
    """

    workspace: WorkspaceId
    limited: bool
    refused: int


class QuotaAccounts(Generic[TicketT]):
    """Accounts of all workspaces with a quota that a front lately served.

    All times are in seconds since the host booted, so that a host that was suspended uses no credit
    that has ended.

    Args:
        offline: What passes while no leader answers.
    """

    def __init__(self, offline: OfflineAllowance) -> None:
        self._offline = offline
        self._accounts: dict[WorkspaceId, QuotaAccount[TicketT]] = {}
        self._limited: set[WorkspaceId] = set()
        self._retry_at_s = 0.0
        self._cleanup_at_s = 0.0
        self.is_lost = False
        """Whether the last call to the leader failed."""

        self.offline_passed = 0
        """Requests that passed without credit."""

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return sum(account.waiting_count for account in self._accounts.values())

    @property
    def account_count(self) -> int:
        """Number of workspaces."""
        return len(self._accounts)

    @property
    def limited(self) -> tuple[WorkspaceId, ...]:
        """Workspaces that are refused at their quota."""
        return tuple(sorted(self._limited))

    def admit(self, request: CreditRequest[TicketT], *, now_s: float) -> CreditDecision | None:
        """Return a decision about a request, or None if it waits.

        Args:
            request: The request.
            now_s: Time, in seconds.
        """
        account = self._accounts.get(request.workspace)
        if account is None:
            account = self._accounts[request.workspace] = QuotaAccount(request)
        account.count_request(request, now_s=now_s)
        decision = self._decide_at_once(account, request, now_s)
        if decision is None:
            account.add_waiting(request)
        return decision

    def give_back(self, credit: QuotaCredit, *, now_s: float) -> None:
        """Take back the credit of a request that reached no backend server.

        Args:
            credit: The credit.
            now_s: Time, in seconds.
        """
        account = self._accounts.get(credit.workspace)
        if account is not None:
            account.add_credit(credit, now_s=now_s)

    def take_asks(self, now_s: float) -> tuple[WorkspaceAsk, ...]:
        """Return what to ask the leader for now, and count it as under way.

        Args:
            now_s: Time, in seconds.
        """
        if self.is_lost and now_s < self._retry_at_s:
            return ()
        accounts = [account for account in self._accounts.values() if account.may_need_ask]
        asks = [ask for account in accounts if (ask := account.make_ask(now_s)) is not None]
        if asks:
            returns = (account.make_return(now_s) for account in accounts)
            asks += [ask for ask in returns if ask is not None]
        return tuple(asks)

    def apply_grants(
        self,
        asks: Sequence[WorkspaceAsk],
        grants: Sequence[WorkspaceGrant],
        *,
        asked_at_s: float,
        now_s: float,
    ) -> list[SettledTicket[TicketT]]:
        """Apply the leader's reply.

        Args:
            asks: What this front asked for.
            grants: What it was granted for each, in the same order.
            asked_at_s: When it asked, in seconds.
            now_s: Time, in seconds.

        Returns:
            Decisions about requests that waited.
        """
        if self.is_lost:
            self.is_lost = False
            for account in self._accounts.values():
                account.extend_waits(now_s + REGAINED_WAIT_S)
        settled: list[SettledTicket[TicketT]] = []
        for ask, grant in zip(asks, grants, strict=True):
            account = self._accounts[ask.workspace]
            settled += account.apply_grant(grant, asked_at_s=asked_at_s, now_s=now_s)
        return settled

    def apply_failure(
        self, asks: Sequence[WorkspaceAsk], *, now_s: float, retry_in_s: float = RETRY_DELAY_S
    ) -> list[SettledTicket[TicketT]]:
        """Note that no leader grants anything now.

        Args:
            asks: What this front asked for.
            now_s: Time, in seconds.
            retry_in_s: Delay before the next ask, in seconds.

        Returns:
            Decisions about requests that waited.
        """
        was_lost, self.is_lost = self.is_lost, True
        self._retry_at_s = now_s + retry_in_s
        for ask in asks:
            self._accounts[ask.workspace].end_ask()
        return [] if was_lost else self._pass_waiting(now_s)

    def settle_due(self, now_s: float) -> list[SettledTicket[TicketT]]:
        """Refuse the requests that have waited long enough, and drop idle accounts.

        Args:
            now_s: Time, in seconds.
        """
        settled: list[SettledTicket[TicketT]] = []
        for account in self._accounts.values():
            if account.waiting_count:
                settled += self._settle_late(account, now_s)
        if now_s >= self._cleanup_at_s:
            self._cleanup_at_s = now_s + CLEANUP_INTERVAL_S
            self._drop_idle(now_s)
        return settled

    def pop_limit_changes(self, now_s: float) -> list[LimitChange]:
        """Return which workspaces start and stop being refused at their quota.

        Args:
            now_s: Time, in seconds.
        """
        changes: list[LimitChange] = []
        for account in self._accounts.values():
            if account.refused == 0:
                continue
            limited = account.is_limited(now_s)
            if limited == (account.workspace in self._limited):
                continue
            self._limited ^= {account.workspace}
            changes.append(
                LimitChange(workspace=account.workspace, limited=limited, refused=account.refused)
            )
            if not limited:
                account.refused = 0
        return changes

    def find_next_due(self, now_s: float, *, may_ask: bool = True) -> float:
        """Return when `settle_due` or `take_asks` has to be called next without an event.

        Args:
            now_s: Time, in seconds.
            may_ask: Whether `take_asks` may be called before another event.

        Returns:
            The time in seconds; infinity if there is nothing to wait for.
        """
        if not self._accounts:
            return math.inf
        due_s = self._cleanup_at_s
        for account in self._accounts.values():
            if account.waiting_count:
                due_s = min(due_s, account.find_next_give_up(is_lost=self.is_lost))
                due_s = min(due_s, self._find_ask_time(account) if may_ask else math.inf)
        return max(due_s, now_s)

    def _decide_at_once(
        self, account: QuotaAccount[TicketT], request: CreditRequest[TicketT], now_s: float
    ) -> CreditDecision | None:
        credit = account.take_credit(now_s)
        if credit is not None:
            return credit
        if not self.is_lost:
            return account.refuse(now_s) if account.none_until_s > now_s else None
        passed = self._pass_offline(account, now_s)
        front_count = self._offline.front_count or 1
        if passed is not None or account.may_queue(request, front_count=front_count, now_s=now_s):
            return passed
        return CreditRefusal(cause=RefusalCause.NO_CONTROL, retry_after_s=RETRY_DELAY_S)

    def _pass_offline(self, account: QuotaAccount[TicketT], now_s: float) -> QuotaCredit | None:
        if not self._offline.acquire(account.workspace, account.terms, now_s=now_s):
            return None
        self.offline_passed += 1
        return QuotaCredit(workspace=account.workspace, returnable_until_s=now_s, is_offline=True)

    def _pass_waiting(self, now_s: float) -> list[SettledTicket[TicketT]]:
        settled: list[SettledTicket[TicketT]] = []
        for account in self._accounts.values():
            for _ in range(account.waiting_count):
                passed = self._pass_offline(account, now_s)
                if passed is None:
                    break
                settled.append(account.settle_first(passed))
        return settled

    def _find_ask_time(self, account: QuotaAccount[TicketT]) -> float:
        if account.is_asking:
            return math.inf
        return max(account.find_next_ask(), self._retry_at_s if self.is_lost else 0.0)

    def _settle_late(
        self, account: QuotaAccount[TicketT], now_s: float
    ) -> list[SettledTicket[TicketT]]:
        if account.find_next_give_up(is_lost=self.is_lost) > now_s:
            return []
        if account.is_short(now_s) and not self.is_lost:
            refusal = account.refuse(now_s)
        else:
            refusal = CreditRefusal(cause=RefusalCause.NO_CONTROL, retry_after_s=RETRY_DELAY_S)
        return account.settle_late(refusal, is_lost=self.is_lost, now_s=now_s)

    def _drop_idle(self, now_s: float) -> None:
        idle = [name for name, account in self._accounts.items() if account.is_idle(now_s)]
        for workspace in idle:
            del self._accounts[workspace]
        self._offline.drop_idle(now_s, idle_s=SAVINGS_IDLE_S)
