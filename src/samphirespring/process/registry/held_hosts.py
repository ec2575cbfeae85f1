"""Hosts that are missing from a whole table of the registry but that a front keeps for a while."""

import math
from collections.abc import Collection

from samphirespring.process.ids import HostId
from samphirespring.process.registry.leases import MAX_EXPIRY_SHARE

HOLD_S = 10.0
"""Time for which hosts are kept once only a small share is missing, in seconds.

During this time the hosts report to the registry again.
"""

MAX_HOLD_S = 600.0
"""Time for which hosts are kept if a large share is missing, in seconds."""


class HeldHosts:
    """Decides when to remove hosts that are missing from a whole table; does no I/O.

    A registry that lost its state sends a table without the hosts that haven't reported to it yet.
    As with leases, many hosts that disappear at once are treated as a fault of the registry rather
    than of the hosts.
    """

    def __init__(self) -> None:
        self._missing_at_s: dict[HostId, float] = {}

    @property
    def hosts(self) -> tuple[HostId, ...]:
        """The missing hosts that are kept."""
        return tuple(self._missing_at_s)

    def update_missing(
        self, missing: Collection[HostId], *, host_count: int, now_s: float
    ) -> tuple[HostId, ...]:
        """Update the missing hosts from a whole table, and return those to remove immediately.

        Args:
            missing: Hosts that the front has and that the table lacks.
            host_count: Number of hosts that the front has.
            now_s: Monotonic time, in seconds.
        """
        self._missing_at_s = {host: self._missing_at_s.get(host, now_s) for host in missing}
        if _exceeds_share(len(missing), host_count):
            return ()
        # Only hosts that this table is the first to lack are removed now; the hosts that were
        # already held stay for their time.
        return self._remove(
            [host for host, missing_at_s in self._missing_at_s.items() if missing_at_s == now_s]
        )

    def remove_due(self, *, host_count: int, now_s: float) -> tuple[HostId, ...]:
        """Remove and return the hosts that have been held long enough.

        Args:
            host_count: Number of hosts that the front has, including the held ones.
            now_s: Monotonic time, in seconds.
        """
        if not self._missing_at_s:
            return ()
        exceeds_share = _exceeds_share(len(self._missing_at_s), host_count)
        hold_s = MAX_HOLD_S if exceeds_share else HOLD_S
        return self._remove(
            [
                host
                for host, missing_at_s in self._missing_at_s.items()
                if now_s - missing_at_s >= hold_s
            ]
        )

    def drop(self, host: HostId) -> None:
        """Stop holding a host that the registry has reported again or the front has removed.

        Args:
            host: The host.
        """
        self._missing_at_s.pop(host, None)

    def _remove(self, hosts: list[HostId]) -> tuple[HostId, ...]:
        for host in hosts:
            del self._missing_at_s[host]
        return tuple(hosts)


def _exceeds_share(missing_count: int, host_count: int) -> bool:
    return missing_count > max(1, math.floor(MAX_EXPIRY_SHARE * host_count))
