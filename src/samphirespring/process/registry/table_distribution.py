"""Distribution of the whole table to starting hosts, by the registry's leader or by peers."""

from collections.abc import Collection

import msgspec

from samphirespring.process.ids import FailureDomainName, HostId

LEADER_TABLES_PER_DOMAIN = 2
"""Number of hosts per failure domain that get the whole table from the leader."""

READERS_PER_HOST = 4
"""Number of hosts that are directed to the same peer for the table."""

ARRIVAL_TTL_S = 60.0
"""Lifetime of an arrival, in seconds.

After it, the host has the table or requests it without being directed to a peer.
"""


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A host that requests its first table.

    Attributes:
        host: The host.
        link_address: `IP:port` at which its peers reach it.
        at_s: Monotonic time of its first request, in seconds.
    """

    host: HostId
    link_address: str
    at_s: float


class TableDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Source of the table for one host.

    Attributes:
        from_leader: Whether the leader sends the table.
        sources: Link addresses of the peers to request the table from otherwise.
    """

    from_leader: bool
    sources: tuple[str, ...] = ()


class TableDistribution:
    """Arranges the starting hosts of each failure domain in a tree, in the order of their arrival.

    The first hosts get the table from the leader. Each later host is directed to an earlier one,
    which may still be waiting for the table itself.
    """

    def __init__(self) -> None:
        self._arrivals: dict[FailureDomainName, list[Arrival]] = {}

    def decide(
        self,
        host: HostId,
        *,
        domain: FailureDomainName,
        link_address: str,
        unreachable_sources: Collection[str],
        now_s: float,
    ) -> TableDecision:
        """Return the source of the table for a host; a repeated request gives the same source.

        Args:
            host: The host.
            domain: Failure domain of the host.
            link_address: `IP:port` at which its peers reach it.
            unreachable_sources: Link addresses of peers that the host couldn't reach.
            now_s: Monotonic time, in seconds.
        """
        arrivals = self._get_recent(domain, now_s)
        position = next((i for i, arrival in enumerate(arrivals) if arrival.host == host), None)
        if position is None:
            position = len(arrivals)
            arrivals.append(Arrival(host=host, link_address=link_address, at_s=now_s))
        if position < LEADER_TABLES_PER_DOMAIN:
            return TableDecision(from_leader=True)
        source = arrivals[(position - LEADER_TABLES_PER_DOMAIN) // READERS_PER_HOST].link_address
        if source in unreachable_sources:
            # The host keeps its position: hosts that were directed to it still get the table there.
            return TableDecision(from_leader=True)
        return TableDecision(from_leader=False, sources=(source,))

    def clear(self) -> None:
        """Drop all arrivals, because another replica is the leader."""
        self._arrivals.clear()

    def _get_recent(self, domain: FailureDomainName, now_s: float) -> list[Arrival]:
        arrivals = self._arrivals.setdefault(domain, [])
        # Positions depend on the order of all arrivals, so the arrivals of a domain are dropped
        # together.
        if arrivals and now_s - arrivals[-1].at_s > ARRIVAL_TTL_S:
            arrivals.clear()
        return arrivals
