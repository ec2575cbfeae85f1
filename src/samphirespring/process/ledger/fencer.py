"""Interface for fencing attempts at their agents."""

from abc import ABC, abstractmethod

from samphirespring.process.attempt_table import FenceReply
from samphirespring.process.ledger.claims import AttemptAssignment


class AttemptFencer(ABC):
    """Queries agents for the fate of attempts, and prevents later starts of these attempts."""

    @abstractmethod
    async def fence(self, assignment: AttemptAssignment) -> FenceReply | None:
        """Fence an attempt and return its fate, or None if the agent gave no reply.

        Args:
            assignment: The attempt and the agent process that may start it.
        """
