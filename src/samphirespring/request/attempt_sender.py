"""Interface that sends attempts to agents."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager

from samphirespring.request.body import RequestBody
from samphirespring.request.messages import AttemptFrame, AttemptRequest


class AttemptSender(ABC):
    """Sends attempts to agents."""

    @abstractmethod
    def send(
        self, request: AttemptRequest, *, body: RequestBody, link_address: str
    ) -> AbstractAsyncContextManager[AsyncIterator[AttemptFrame]]:
        """Send an attempt and return an iterator over its frames.

        Leaving the context before the last frame cancels the attempt.

        Args:
            request: The attempt.
            body: Body of the caller's request, which is sent if `request.body_follows`.
            link_address: `IP:port` of the agent's link server.
        """
