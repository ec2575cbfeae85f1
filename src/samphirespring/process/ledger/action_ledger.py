"""The action ledger as the fronts use it."""

from abc import ABC, abstractmethod

import msgspec

from samphirespring.process.ledger.claims import ClaimKey
from samphirespring.process.ledger.commands import LedgerCommand, LedgerResult


class LedgerOutage(msgspec.Struct, frozen=True, kw_only=True):
    """No control host returned a result.

    Attributes:
        uncertain: Whether the command may have been committed or may still be.
    """

    uncertain: bool


class ActionLedger(ABC):
    """Commits commands and reads claims."""

    @abstractmethod
    async def propose(self, command: LedgerCommand) -> LedgerResult | LedgerOutage:
        """Commit a command and return its result.

        Args:
            command: The command; it is idempotent and may be sent again.
        """

    @abstractmethod
    async def read(
        self, key: ClaimKey, *, wait_s: float, any_replica: bool
    ) -> LedgerResult | LedgerOutage:
        """Return the state of a claim.

        Args:
            key: The claim's key.
            wait_s: Longest wait for the claim to become final, in seconds.
            any_replica: Whether a follower may reply; its state may be stale.
        """
