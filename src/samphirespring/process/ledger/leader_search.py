"""Which control host a front asks for a workspace's ledger group, and in which order it goes on."""

from collections.abc import Iterable, Sequence

from samphirespring.process.ledger.shards import find_group_index
from samphirespring.version.document import LedgerLayout
from samphirespring.version.ids import WorkspaceId

DEFAULT_GROUP_INDEX = 0
"""Group under which a leader is noted before the layout is known."""


class LeaderSearch:
    """Order in which one call asks control hosts; each is asked once.

    Args:
        first: Address of the leader as last heard; None if none is known.
        addresses: Link addresses of the control hosts.
    """

    def __init__(self, *, first: str | None, addresses: Sequence[str]) -> None:
        self._remaining = list(addresses)
        self._tried: set[str] = set()
        if first is not None:
            self._try_next([first])

    def choose_next(self) -> str | None:
        """Return the address to ask now, or None if all were asked."""
        if not self._remaining:
            return None
        address = self._remaining.pop(0)
        self._tried.add(address)
        return address

    def apply_hint(self, *, leader: str | None, replicas: Iterable[str]) -> None:
        """Take what a host that doesn't lead says; the leader comes first, then the replicas.

        Args:
            leader: Address of the leader; None if it isn't known.
            replicas: Addresses of the hosts that hold the group.
        """
        self._try_next(replicas)
        if leader is not None:
            self._try_next([leader])

    def _try_next(self, addresses: Iterable[str]) -> None:
        first = [address for address in addresses if address not in self._tried]
        self._remaining = [*first, *(a for a in self._remaining if a not in first)]


class LeaderCache:
    """Leaders of the ledger groups as last heard.

    Args:
        addresses: Link addresses of the control hosts.
    """

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = tuple(addresses)
        self._layout: LedgerLayout | None = None
        self._leaders: dict[int, str] = {}

    def start_search(self, workspace: WorkspaceId) -> LeaderSearch:
        """Return the order in which to ask about a workspace.

        Args:
            workspace: The workspace.
        """
        first = self._leaders.get(self._find_group_index(workspace))
        return LeaderSearch(first=first, addresses=self._addresses)

    def record_leader(self, workspace: WorkspaceId, address: str) -> None:
        """Take that a host served a call.

        Args:
            workspace: The workspace that the call was about.
            address: Address of the host.
        """
        self._leaders[self._find_group_index(workspace)] = address

    def drop_leader(self, workspace: WorkspaceId) -> None:
        """Take that the host that was asked gave no answer.

        Args:
            workspace: The workspace that the call was about.
        """
        self._leaders.pop(self._find_group_index(workspace), None)

    def update_layout(self, layout: LedgerLayout) -> None:
        """Take the layout, which control hosts tell; leaders noted under another one are forgotten.

        Args:
            layout: The layout.
        """
        if layout != self._layout:
            self._layout = layout
            self._leaders.clear()

    def _find_group_index(self, workspace: WorkspaceId) -> int:
        if self._layout is None:
            return DEFAULT_GROUP_INDEX
        return find_group_index(workspace, self._layout)
