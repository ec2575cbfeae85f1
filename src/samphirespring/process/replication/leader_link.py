"""Link address of a group's leader, to which a control host that doesn't lead redirects."""

from collections.abc import Awaitable, Callable

from samphirespring.process.ids import ReplicaId
from samphirespring.process.replication.state_machine import NotLeaderError

FindLink = Callable[[ReplicaId], Awaitable[str | None]]
"""Returns the link address of a control host, or None if it isn't known."""


async def find_leader_link(error: NotLeaderError, find_link: FindLink | None) -> str | None:
    """Return the link address of the leader that an error names, or None if it isn't known.

    Args:
        error: The error.
        find_link: Finds the address; None knows no addresses.

    Raises:
        SamphireError: The group's members can't be read.
    """
    if error.leader is None or find_link is None:
        return None
    return await find_link(error.leader)
