"""How agents are asked what became of an attempt."""

from abc import ABC, abstractmethod

from samphirespring.process.attempt_table import FenceReply
from samphirespring.process.ledger.claims import AttemptPlace


class AttemptFencer(ABC):
    """Asks agents what became of an attempt, and keeps one that hasn't started from starting."""

    @abstractmethod
    async def fence(self, place: AttemptPlace) -> FenceReply | None:
        """Return what the agent knows of an attempt, or None if it gave no reply.

        Args:
            place: The attempt.
        """
