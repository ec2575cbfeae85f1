"""Leases of hosts in the memory of the registry's leader."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from samphirespring.process.ids import HostId

MAX_EXPIRY_SHARE = 0.2
"""Share of the hosts above which ended leases are taken for a fault of the watcher's links."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ExpiryDecision:
    """Which hosts to remove.

    Attributes:
        expired: Hosts to remove.
        held: Hosts whose leases ended but which stay, because too many ended at once.
    """

    expired: tuple[HostId, ...] = ()
    held: tuple[HostId, ...] = ()


class HostLeases:
    """Decides when a host is gone, without input or output.

    Args:
        lease_s: How long a host stays without a report, in seconds.
        share: Share of the hosts above which nothing expires.
    """

    def __init__(self, *, lease_s: float, share: float = MAX_EXPIRY_SHARE) -> None:
        self._lease_s = lease_s
        self._share = share
        self._expires_at_s: dict[HostId, float] = {}

    def renew(self, host: HostId, *, now_s: float) -> None:
        """Take a sign of a host.

        Args:
            host: The host.
            now_s: Monotonic time, in seconds.
        """
        self._expires_at_s[host] = now_s + self._lease_s

    def clear(self) -> None:
        """Forget all, at the loss of the lead: another leader hears the hosts now."""
        self._expires_at_s.clear()

    def decide(self, hosts: Iterable[HostId], *, now_s: float) -> ExpiryDecision:
        """Return which of the registry's hosts have expired.

        A host that is not known yet gets a whole lease from now on.

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
            # A host that just reported may not be committed yet.
            if self._expires_at_s[host] <= now_s:
                del self._expires_at_s[host]
