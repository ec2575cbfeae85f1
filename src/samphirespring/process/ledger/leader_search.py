"""Order in which a front calls control hosts to find the leader of a ledger group."""

from collections.abc import Iterable, Sequence

from samphirespring.process.ledger.shards import find_group_index
from samphirespring.version.document import LedgerLayout
from samphirespring.version.ids import WorkspaceId

DEFAULT_GROUP_INDEX = 0
"""Group index under which a leader is recorded before the layout is known."""


class LeaderSearch:
    """Order in which one call tries the control hosts; each is tried once.

    Args:
        first: Address of the last known leader; None if there is none.
        addresses: Link addresses of the control hosts.
    """

    def __init__(self, *, first: str | None, addresses: Sequence[str]) -> None:
        self._remaining = list(addresses)
        self._tried: set[str] = set()
        if first is not None:
            self._try_next([first])

    def choose_next(self) -> str | None:
        """Return the next address to try, or None if all were tried."""
        if not self._remaining:
            return None
        address = self._remaining.pop(0)
        self._tried.add(address)
        return address

    def apply_redirect(self, *, leader: str | None, replicas: Iterable[str]) -> None:
        """Apply a redirect of a host that can't serve the call: try the leader next, then replicas.

        Args:
            leader: Address of the leader; None if the host has no address of it.
            replicas: Addresses of the hosts on which the group is placed.
        """
        self._try_next(replicas)
        if leader is not None:
            self._try_next([leader])

    def _try_next(self, addresses: Iterable[str]) -> None:
        first = [address for address in addresses if address not in self._tried]
        self._remaining = [*first, *(a for a in self._remaining if a not in first)]


class LeaderCache:
    """Last known leaders of the ledger groups.

    Args:
        addresses: Link addresses of the control hosts.
    """

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = tuple(addresses)
        self._layout: LedgerLayout | None = None
        self._leaders: dict[int, str] = {}

    def start_search(self, workspace: WorkspaceId) -> LeaderSearch:
        """Return the order in which to try the hosts for a workspace.

        Args:
            workspace: The workspace.
        """
        first = self._leaders.get(self._find_group_index(workspace))
        return LeaderSearch(first=first, addresses=self._addresses)

    def record_leader(self, workspace: WorkspaceId, address: str) -> None:
        """Record a host that served a call as the leader.

        Args:
            workspace: The workspace of the call.
            address: Address of the host.
        """
        self._leaders[self._find_group_index(workspace)] = address

    def drop_leader(self, workspace: WorkspaceId) -> None:
        """Drop the recorded leader, after a host gave no reply.

        Args:
            workspace: The workspace of the call.
        """
        self._leaders.pop(self._find_group_index(workspace), None)

    def update_layout(self, layout: LedgerLayout) -> None:
        """Update the layout from a control host's reply; if it changed, drop all recorded leaders.

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
