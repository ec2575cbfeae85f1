"""Leases of hosts, kept in memory by the registry's leader."""

import math
from collections.abc import Iterable

import msgspec

from samphirespring.process.ids import HostId

MAX_EXPIRY_SHARE = 0.2
"""Share of the hosts above which ended leases are attributed to faulty links of the leader."""


class ExpiryDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a check of the leases.

    Attributes:
        expired: Hosts to remove.
        held: Hosts whose leases ended but which stay, because too many ended at once.
    """

    expired: tuple[HostId, ...] = ()
    held: tuple[HostId, ...] = ()


class HostLeases:
    """Decides when the lease of a host has expired; does no I/O.

    Args:
        lease_s: Time for which a host stays in the registry without a report, in seconds.
        share: Share of the hosts above which nothing expires.
    """

    def __init__(self, *, lease_s: float, share: float = MAX_EXPIRY_SHARE) -> None:
        self._lease_s = lease_s
        self._share = share
        self._expires_at_s: dict[HostId, float] = {}

    def renew(self, host: HostId, *, now_s: float) -> None:
        """Renew the lease of a host that reported.

        Args:
            host: The host.
            now_s: Monotonic time, in seconds.
        """
        self._expires_at_s[host] = now_s + self._lease_s

    def clear(self) -> None:
        """Drop all leases, at the loss of leadership: the hosts report to another leader now."""
        self._expires_at_s.clear()

    def decide(self, hosts: Iterable[HostId], *, now_s: float) -> ExpiryDecision:
        """Return which of the registry's hosts have expired.

        A host without a lease gets a full lease from now on.

        Args:
            hosts: All hosts in the registry.
            now_s: Monotonic time, in seconds.
        """
        present = tuple(hosts)
        for host in present:
            self._expires_at_s.setdefault(host, now_s + self._lease_s)
        self._drop_absent(present, now_s)
        ended = tuple(host for host in present if self._expires_at_s[host] <= now_s)
        if len(ended) > max(1, math.floor(self._share * len(present))):
            return ExpiryDecision(held=ended)
        return ExpiryDecision(expired=ended)

    def _drop_absent(self, present: tuple[HostId, ...], now_s: float) -> None:
        for host in self._expires_at_s.keys() - set(present):
            # The record of a host that just reported may not be committed yet.
            if self._expires_at_s[host] <= now_s:
                del self._expires_at_s[host]
