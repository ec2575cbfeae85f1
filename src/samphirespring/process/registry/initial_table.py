"""Where a node that starts looks for the whole table."""

from collections.abc import Sequence

SEARCH_TIMEOUT_S = 10.0
"""How long a node waits for its peers before it asks the leader itself, in seconds."""


class InitialTableSearch:
    """Prefers peers of the settings, then those that the leader names, then the leader.

    Args:
        own_address: Link address of the own host.
        seeds: Link addresses of peers from the settings.
    """

    def __init__(self, *, own_address: str, seeds: Sequence[str]) -> None:
        self._own_address = own_address
        self._seeds = tuple(seeds)
        self._suggested: tuple[str, ...] = ()
        self._unreached: set[str] = set()
        self._started_at_s: float | None = None

    @property
    def unreached(self) -> tuple[str, ...]:
        """Peers that didn't answer."""
        return tuple(sorted(self._unreached))

    def list_peers(self) -> tuple[str, ...]:
        """Return the peers to ask before the leader, the best first."""
        peers = dict.fromkeys((*self._suggested, *self._seeds))
        return tuple(address for address in peers if address != self._own_address)

    def may_wait(self, now_s: float) -> bool:
        """Return whether the leader may name peers instead of giving the table.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self._started_at_s is None:
            self._started_at_s = now_s
        return now_s - self._started_at_s <= SEARCH_TIMEOUT_S

    def record_call(self, address: str, *, replied: bool) -> None:
        """Take whether a peer replied at all; one that still waits for the table does.

        Args:
            address: Its link address.
            replied: Whether it replied.
        """
        if replied:
            self._unreached.discard(address)
        else:
            self._unreached.add(address)

    def record_suggested_peers(self, addresses: tuple[str, ...]) -> tuple[str, ...]:
        """Take the peers that the leader named, and return those that weren't known.

        Args:
            addresses: Their link addresses.
        """
        new = tuple(address for address in addresses if address not in self.list_peers())
        self._suggested = addresses
        return tuple(address for address in new if address != self._own_address)
