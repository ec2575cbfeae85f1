"""How fronts reach the ledger."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from samphirespring.process.ledger.claims import ClaimKey
from samphirespring.process.ledger.commands import LedgerCommand, LedgerResult


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerOutage:
    """No control host gave a result.

    Attributes:
        uncertain: Whether the command may be committed, now or later.
    """

    uncertain: bool


class ActionLedger(ABC):
    """Has commands committed and reads claims."""

    @abstractmethod
    async def propose(self, command: LedgerCommand) -> LedgerResult | LedgerOutage:
        """Have a command committed and return its result.

        Args:
            command: The command; sending it again is harmless.
        """

    @abstractmethod
    async def read(
        self, key: ClaimKey, *, wait_s: float, any_replica: bool
    ) -> LedgerResult | LedgerOutage:
        """Return the state of a claim.

        Args:
            key: The claim's key.
            wait_s: Longest wait for it to become final, in seconds.
            any_replica: Whether any replica's state will do, which may be old.
        """
