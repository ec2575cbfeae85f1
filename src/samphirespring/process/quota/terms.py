"""A quota with the bounds that apply to it, and what follows for credit."""

import msgspec

from samphirespring.version.document import FleetSection, RateLimit

LONGEST_CREDIT_S = 1.0
"""Longest time from a front's ask until credit is used that the reply grants, in seconds."""

HEADROOM_SHARE = 0.4
"""Share of the allowance that is added to the burst, so that fewer requests are refused."""

AHEAD_SHARE = 0.3
"""Share of the allowance for credit granted ahead; fronts that can't ask use the rest."""

OFFLINE_SHARE = 1.0 - HEADROOM_SHARE - AHEAD_SHARE


class QuotaTerms(msgspec.Struct, frozen=True, kw_only=True):
    """A quota with the bounds that apply to it.

    Attributes:
        limit: Rate and burst of the workspace over all fronts.
        allowance: Requests by which all fronts together may exceed the quota in a window.
        window_s: Length of the window, in seconds.
    """

    limit: RateLimit
    allowance: float
    window_s: float

    @property
    def bucket_limit(self) -> RateLimit:
        """Rate and size of the bucket that credit is granted out of."""
        headroom = int(self.allowance * HEADROOM_SHARE)
        return RateLimit(
            requests_per_s=self.limit.requests_per_s, burst=self.limit.burst + headroom
        )

    @property
    def span_s(self) -> float:
        """Time from a front's ask until credit that was granted ahead ends, in seconds.

        Credit may be used in a later window than the one it was granted in. The span bounds such
        credit by its share of the allowance.
        """
        return min(LONGEST_CREDIT_S, self.allowance * AHEAD_SHARE / self.limit.requests_per_s)

    @property
    def offline_requests(self) -> float:
        """Requests in a window by which all fronts together may exceed the quota without asking."""
        return self.allowance * OFFLINE_SHARE


def make_terms(quota: RateLimit, fleet: FleetSection) -> QuotaTerms:
    """Return the terms of a quota.

    Args:
        quota: The quota.
        fleet: The fleet's bounds.
    """
    permitted = quota.requests_per_s * fleet.quota_window_s + quota.burst
    return QuotaTerms(
        limit=quota,
        allowance=permitted * fleet.quota_overshoot + fleet.quota_slack,
        window_s=fleet.quota_window_s,
    )
