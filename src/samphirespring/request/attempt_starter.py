"""Interface that starts attempts on the backend servers of this host."""

from abc import ABC, abstractmethod

from samphirespring.request.body import BodySource
from samphirespring.request.frame_sink import FrameSink
from samphirespring.request.messages import AttemptRequest


class AttemptHandle(ABC):
    """An attempt that was started."""

    @abstractmethod
    def cancel(self) -> None:
        """Record that nobody waits for the result; an action that is running goes on."""


class AttemptStarter(ABC):
    """Starts attempts."""

    @abstractmethod
    def start(
        self, request: AttemptRequest, *, body: BodySource | None, sink: FrameSink
    ) -> AttemptHandle:
        """Start an attempt, which sends its frames to a sink and then closes the sink.

        Args:
            request: The attempt.
            body: Provides the request's body if `request.body_follows`.
            sink: Receives the frames.

        Raises:
            InboxFullError: Too many attempts wait to be started.
        """
