"""Decides how much credit each front gets: one token bucket for each workspace with a quota."""

import math
from collections.abc import Mapping, Sequence

from samphirespring.process.ids import Term
from samphirespring.process.quota.asks import WorkspaceAsk, WorkspaceGrant
from samphirespring.process.quota.bucket import QuotaBucket
from samphirespring.process.quota.terms import LONGEST_CREDIT_S, QuotaTerms
from samphirespring.version.ids import WorkspaceId


class QuotaAllocator:
    """Grants credit for one leadership after the other.

    All buckets are empty at the start of a leadership. Only those that aren't full are kept.
    """

    def __init__(self) -> None:
        self._quotas: Mapping[WorkspaceId, QuotaTerms] = {}
        self._buckets: dict[WorkspaceId, QuotaBucket] = {}
        self._term: Term | None = None
        self._started_at_s = 0.0

    @property
    def bucket_count(self) -> int:
        """Number of buckets that are kept."""
        return len(self._buckets)

    def start_leadership(self, term: Term, *, now_s: float) -> None:
        """Empty all buckets if this is a new leadership.

        Args:
            term: Term of the leadership.
            now_s: Time, in seconds.
        """
        if term == self._term:
            return
        self._term = term
        self._started_at_s = now_s
        self._buckets.clear()

    def find_start_delay_s(self, now_s: float) -> float:
        """Return how long nothing may be granted yet, because earlier credit may be in use.

        Args:
            now_s: Time, in seconds.
        """
        return max(0.0, self._started_at_s + LONGEST_CREDIT_S - now_s)

    def use_quotas(self, quotas: Mapping[WorkspaceId, QuotaTerms], *, now_s: float) -> None:
        """Apply the quotas of a document; nobody gets tokens by a change.

        Args:
            quotas: The terms of all quotas by workspace; the mapping is copied.
            now_s: Time, in seconds.
        """
        for workspace, bucket in self._buckets.items():
            terms = quotas.get(workspace)
            if terms is not None:
                bucket.use_limit(terms.bucket_limit, now_s=now_s)
        if self._quotas:
            self._add_empty_buckets(quotas, now_s)
        self._quotas = dict(quotas)

    def grant(self, asks: Sequence[WorkspaceAsk], *, now_s: float) -> tuple[WorkspaceGrant, ...]:
        """Grant credit to requests that wait, and then credit ahead.

        Args:
            asks: Asks of any number of fronts.
            now_s: Time, in seconds.

        Returns:
            A grant for each ask, in their order.
        """
        for ask in asks:
            if ask.returned > 0:
                self._put_back(ask, now_s)
        grants = [self._grant_waiting(ask, now_s) for ask in asks]
        return tuple(
            self._add_ahead(ask, grant, now_s) for ask, grant in zip(asks, grants, strict=True)
        )

    def drop_full(self, now_s: float) -> None:
        """Drop the buckets that are full.

        Args:
            now_s: Time, in seconds.
        """
        full = [name for name, bucket in self._buckets.items() if bucket.is_full(now_s)]
        for workspace in full:
            del self._buckets[workspace]

    def _add_empty_buckets(self, quotas: Mapping[WorkspaceId, QuotaTerms], now_s: float) -> None:
        added = quotas.keys() - self._quotas.keys() - self._buckets.keys()
        for workspace in added:
            self._buckets[workspace] = QuotaBucket(
                quotas[workspace].bucket_limit, tokens=0.0, now_s=now_s
            )

    def _put_back(self, ask: WorkspaceAsk, now_s: float) -> None:
        bucket = self._find_bucket(ask.workspace, now_s)
        if bucket is not None:
            bucket.put_back(ask.returned, now_s=now_s)

    def _grant_waiting(self, ask: WorkspaceAsk, now_s: float) -> WorkspaceGrant:
        bucket = self._find_bucket(ask.workspace, now_s)
        if bucket is None:
            return WorkspaceGrant(credit=ask.waiting + ask.ahead)
        credit = bucket.take_promised(ask.promised, now_s=now_s)
        credit += bucket.take(ask.waiting - credit, now_s=now_s)
        if credit == ask.waiting:
            return WorkspaceGrant(credit=credit)
        promise = bucket.promise(ask.waiting - credit, now_s=now_s)
        return WorkspaceGrant(
            credit=credit, promised=promise.count, wait_ms=math.ceil(promise.wait_s * 1_000)
        )

    def _add_ahead(self, ask: WorkspaceAsk, grant: WorkspaceGrant, now_s: float) -> WorkspaceGrant:
        bucket = self._find_bucket(ask.workspace, now_s)
        if bucket is None or grant.credit < ask.waiting or ask.ahead == 0:
            return grant
        ahead = bucket.take_ahead(ask.ahead, now_s=now_s)
        return WorkspaceGrant(credit=grant.credit + ahead)

    def _find_bucket(self, workspace: WorkspaceId, now_s: float) -> QuotaBucket | None:
        """Return the bucket of a workspace, or None if it has no quota."""
        terms = self._quotas.get(workspace)
        if terms is None:
            return None
        bucket = self._buckets.get(workspace)
        if bucket is None:
            # A bucket that isn't kept has been filling since the start of the leadership.
            limit = terms.bucket_limit
            tokens = (now_s - self._started_at_s) * limit.requests_per_s
            bucket = QuotaBucket(limit, tokens=tokens, now_s=now_s)
            self._buckets[workspace] = bucket
        return bucket
