"""Which starting hosts get the whole table from the registry's leader, and which from peers."""

from collections.abc import Collection
from dataclasses import dataclass

from samphirespring.process.ids import FailureDomainName, HostId

LEADER_TABLES_PER_DOMAIN = 2
"""Hosts of a failure domain that get the whole table from the leader."""

READERS_PER_HOST = 4
"""Hosts that are sent to one host for the table."""

ARRIVAL_TTL_S = 60.0
"""How long an arrival counts, in seconds; by then it has the table or has asked without one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A host that asks for its first table.

    Attributes:
        host: The host.
        link_address: `IP:port` where its peers reach it.
        at_s: Monotonic time of its first question, in seconds.
    """

    host: HostId
    link_address: str
    at_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class TableDecision:
    """Where a host gets the table.

    Attributes:
        from_leader: Whether the leader gives it.
        sources: Link addresses of the peers to ask otherwise.
    """

    from_leader: bool
    sources: tuple[str, ...] = ()


class TableDistribution:
    """Places the hosts that start in a tree by the order of their arrival, for each failure domain.

    The first ones get the table from the leader; each later one is sent to an earlier one, which
    may still wait for the table itself.
    """

    def __init__(self) -> None:
        self._arrivals: dict[FailureDomainName, list[Arrival]] = {}

    def decide(
        self,
        host: HostId,
        *,
        domain: FailureDomainName,
        link_address: str,
        unreached: Collection[str],
        now_s: float,
    ) -> TableDecision:
        """Return where a host gets the table; asking again gives the same position.

        Args:
            host: The host.
            domain: Its failure domain.
            link_address: `IP:port` where its peers reach it.
            unreached: Link addresses of peers that it didn't reach.
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
        if source in unreached:
            # Those below this host get the table from it, as before.
            return TableDecision(from_leader=True)
        return TableDecision(from_leader=False, sources=(source,))

    def clear(self) -> None:
        """Forget all arrivals: another replica leads."""
        self._arrivals.clear()

    def _get_recent(self, domain: FailureDomainName, now_s: float) -> list[Arrival]:
        arrivals = self._arrivals.setdefault(domain, [])
        # Places follow from the order, so the whole start of a domain is forgotten together.
        if arrivals and now_s - arrivals[-1].at_s > ARRIVAL_TTL_S:
            arrivals.clear()
        return arrivals
