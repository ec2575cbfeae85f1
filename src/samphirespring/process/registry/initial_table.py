"""Search of a starting node for its first whole table of the registry."""

from collections.abc import Sequence

SEARCH_TIMEOUT_S = 10.0
"""Time after which a node requests the table from the leader instead of its peers, in seconds."""


class InitialTableSearch:
    """Tries the peers that the leader suggests, then those in the settings, then the leader.

    Args:
        own_address: Link address of the own host.
        seeds: Link addresses of peers from the settings.
    """

    def __init__(self, *, own_address: str, seeds: Sequence[str]) -> None:
        self._own_address = own_address
        self._seeds = tuple(seeds)
        self._suggested: tuple[str, ...] = ()
        self._unreachable_sources: set[str] = set()
        self._started_at_s: float | None = None

    @property
    def unreachable_sources(self) -> tuple[str, ...]:
        """Link addresses of the peers that didn't reply."""
        return tuple(sorted(self._unreachable_sources))

    def list_peers(self) -> tuple[str, ...]:
        """Return the peers to try before the leader, in order."""
        peers = dict.fromkeys((*self._suggested, *self._seeds))
        return tuple(address for address in peers if address != self._own_address)

    def accepts_suggestions(self, now_s: float) -> bool:
        """Return whether the leader may suggest peers instead of sending the table.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self._started_at_s is None:
            self._started_at_s = now_s
        return now_s - self._started_at_s <= SEARCH_TIMEOUT_S

    def record_call(self, address: str, *, replied: bool) -> None:
        """Record whether a peer replied; a reply without the table counts too.

        Args:
            address: Link address of the peer.
            replied: Whether the peer replied.
        """
        if replied:
            self._unreachable_sources.discard(address)
        else:
            self._unreachable_sources.add(address)

    def record_suggested_peers(self, addresses: tuple[str, ...]) -> tuple[str, ...]:
        """Record the peers that the leader suggested, and return the new ones.

        Args:
            addresses: Link addresses of the peers.
        """
        new = tuple(address for address in addresses if address not in self.list_peers())
        self._suggested = addresses
        return tuple(address for address in new if address != self._own_address)
