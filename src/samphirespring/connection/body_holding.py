"""Parts of a request's body that its task has taken from the connection and still holds."""

from collections.abc import Callable
from typing import Any

HOLDING_EXTENSION = "samphire.holding"
"""Name of the ASGI extension that holds the `BodyHolding` of a request."""

HOLDING = "holding"


class BodyHolding:
    """Counts the parts, and tells the reader of the body that the rest is refused.

    Args:
        report: Called after each change of the size.
    """

    def __init__(self, report: Callable[[], None] | None = None) -> None:
        self._report = report
        self.size_bytes = 0
        """Size of the parts, in bytes."""

        self.is_refused = False
        """Whether the rest of the body isn't accepted, because the process holds too much."""

        self.is_passed_on = False
        """Whether the request is served while its body still comes."""

    def add(self, size_bytes: int) -> None:
        """Count a part that was taken.

        Args:
            size_bytes: Its size, in bytes.
        """
        self.size_bytes += size_bytes
        if self._report is not None:
            self._report()

    def release(self, size_bytes: int) -> None:
        """Stop counting a part that was passed on.

        Args:
            size_bytes: Its size, in bytes.
        """
        self.add(-size_bytes)

    def detach(self) -> None:
        """Report nothing more: the connection has ended."""
        self._report = None

    def refuse(self) -> None:
        """Refuse the rest of the body; its reader finds out after the next part."""
        self.is_refused = True


def read_holding(scope: Any) -> BodyHolding:
    """Return the holding of a request; one that nobody counts if the server doesn't provide it.

    Args:
        scope: The ASGI scope.
    """
    extension = scope.get("extensions", {}).get(HOLDING_EXTENSION, {})
    holding: BodyHolding = extension.get(HOLDING) or BodyHolding()
    return holding
