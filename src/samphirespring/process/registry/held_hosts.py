"""Hosts that a whole table of the registry lacks, and that a front keeps for a while."""

import math
from collections.abc import Collection

from samphirespring.process.ids import HostId
from samphirespring.process.registry.leases import MAX_EXPIRY_SHARE

HOLD_S = 10.0
"""How long hosts are kept once only a small share is missing; they report meanwhile, in seconds."""

MAX_HOLD_S = 600.0
"""How long hosts are kept whatever share is missing, in seconds."""


class HeldHosts:
    """Decides when a host that a whole table lacks is gone, without input or output.

    A registry that lost its state tells a table without the hosts that have not reported to it yet.
    As for leases, many hosts that go at once are taken for a fault of who tells it.
    """

    def __init__(self) -> None:
        self._missing_at_s: dict[HostId, float] = {}

    @property
    def hosts(self) -> tuple[HostId, ...]:
        """The hosts that are kept."""
        return tuple(self._missing_at_s)

    def update_missing(
        self, missing: Collection[HostId], *, known_count: int, now_s: float
    ) -> tuple[HostId, ...]:
        """Take the hosts that a whole table lacks, and return those that are gone at once.

        Args:
            missing: Known hosts that the table lacks.
            known_count: Number of all hosts known so far.
            now_s: Monotonic time, in seconds.
        """
        self._missing_at_s = {host: self._missing_at_s.get(host, now_s) for host in missing}
        if _exceeds_share(len(missing), known_count):
            return ()
        # What was kept before is older news than this table; what is new in it goes at once.
        return self._remove(
            [host for host, missing_at_s in self._missing_at_s.items() if missing_at_s == now_s]
        )

    def remove_due(self, *, known_count: int, now_s: float) -> tuple[HostId, ...]:
        """Return the hosts that have been kept long enough.

        Args:
            known_count: Number of all hosts known, with the kept ones.
            now_s: Monotonic time, in seconds.
        """
        if not self._missing_at_s:
            return ()
        exceeds_share = _exceeds_share(len(self._missing_at_s), known_count)
        hold_s = MAX_HOLD_S if exceeds_share else HOLD_S
        return self._remove(
            [
                host
                for host, missing_at_s in self._missing_at_s.items()
                if now_s - missing_at_s >= hold_s
            ]
        )

    def drop(self, host: HostId) -> None:
        """Note that the registry has told of a host again, or that it is gone.

        Args:
            host: The host.
        """
        self._missing_at_s.pop(host, None)

    def _remove(self, hosts: list[HostId]) -> tuple[HostId, ...]:
        for host in hosts:
            del self._missing_at_s[host]
        return tuple(hosts)


def _exceeds_share(missing_count: int, known_count: int) -> bool:
    return missing_count > max(1, math.floor(MAX_EXPIRY_SHARE * known_count))
