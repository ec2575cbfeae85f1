"""Sender of attempt fences to agents, over links."""

from samphirespring.connection.ledger_link import FENCE_ATTEMPT
from samphirespring.connection.link_pool import LinkPool
from samphirespring.process.attempt_table import FenceReply
from samphirespring.process.errors import SamphireError
from samphirespring.process.ledger.claims import AttemptAssignment
from samphirespring.process.ledger.fencer import AttemptFencer

FENCE_TIMEOUT_S = 1.0


class LinkAttemptFencer(AttemptFencer):
    """Sends fences over links.

    Args:
        pool: Links to the agents.
    """

    def __init__(self, pool: LinkPool) -> None:
        self._pool = pool

    async def fence(self, assignment: AttemptAssignment) -> FenceReply | None:
        """Fence an attempt and return the agent's reply, or None if there was no reply."""
        try:
            with self._pool.use(assignment.link_address) as link:
                return await link.call(FENCE_ATTEMPT, assignment, timeout_s=FENCE_TIMEOUT_S)
        except SamphireError:
            return None
