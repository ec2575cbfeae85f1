"""Where an agent sends the frames of an attempt."""

from abc import ABC, abstractmethod

from samphirespring.request.messages import FrameBatch


class FrameSink(ABC):
    """Passes the frames of one attempt on to the front that requested it."""

    @abstractmethod
    async def send(self, batch: FrameBatch) -> None:
        """Pass on a batch; waits while the front is behind, and drops it once the front has left.

        Args:
            batch: The frames.
        """

    @abstractmethod
    def close(self) -> None:
        """End the frames; the last one has been sent, or will never be."""
