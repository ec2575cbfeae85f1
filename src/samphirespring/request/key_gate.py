"""Checks whether a host may run requests with API keys, at the moment of asking."""

from abc import ABC, abstractmethod

from samphirespring.request.messages import AttemptRequest
from samphirespring.request.states import RefusalCode


class KeyGate(ABC):
    """Knows the API keys of the host's own document, and for how long it may be relied on."""

    @abstractmethod
    def may_use_keys(self) -> bool:
        """Return whether the host's document may be relied on for API keys now."""

    @abstractmethod
    def may_reject_keys(self) -> bool:
        """Return whether a key that the host's document doesn't have is proven to be unknown."""

    @abstractmethod
    def check(self, request: AttemptRequest) -> RefusalCode | None:
        """Return why an attempt must not be sent to its target now, or None.

        Args:
            request: The attempt.
        """
