"""Messages of an attempt channel that wait to be sent to its front."""

from collections.abc import Awaitable, Callable

from samphirespring.connection.attempt_channel import ToFront
from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.process.mailbox import InboxFullError, Mailbox
from samphirespring.process.metrics.metric_names import Gauge
from samphirespring.process.metrics.metrics import Metrics

OUTBOX_CAPACITY = 100_000
"""Largest number of messages that wait on one channel."""

REPORT_STEP_BYTES = 1 << 20
"""Change of the sum from which it is reported again; most responses are short and leave at once."""


class UnsentResponses:
    """Counts the bytes of responses that wait on all channels of the process.

    Args:
        metrics: Receives the sum; None counts for the process alone.
    """

    def __init__(self, metrics: Metrics | None = None) -> None:
        self._metrics = metrics
        self._reported_bytes = 0
        self.size_bytes = 0
        """Bytes of all responses that wait."""

    def add(self, size_bytes: int) -> None:
        """Count bytes that wait from now on, or no longer if negative.

        Args:
            size_bytes: The bytes.
        """
        self.size_bytes += size_bytes
        if self._metrics is None:
            return
        if abs(self.size_bytes - self._reported_bytes) >= REPORT_STEP_BYTES:
            self._reported_bytes = self.size_bytes
            self._metrics.set_gauge(Gauge.AGENT_UNSENT_BYTES, value=self.size_bytes)


class ChannelOutbox:
    """Queue of the messages of one channel; posting never waits.

    Args:
        unsent: Counts the bytes of responses that wait.
    """

    def __init__(self, unsent: UnsentResponses) -> None:
        self._unsent = unsent
        self._messages: Mailbox[tuple[ToFront, int]] = Mailbox(
            name="attempt_channel", capacity=OUTBOX_CAPACITY
        )

    def post(self, message: ToFront, *, size_bytes: int = 0) -> None:
        """Append a message; it is dropped if too many wait.

        Args:
            message: The message.
            size_bytes: Bytes of a response's body that it holds.
        """
        try:
            self._messages.post((message, size_bytes))
        except InboxFullError:
            # The front doesn't read any more; its link is about to break.
            return
        self._count(size_bytes)

    async def send_all(self, send: Callable[[ToFront], Awaitable[None]]) -> None:
        """Send the messages in order until the link breaks.

        Args:
            send: Sends a message to the front; waits while the front reads slowly.
        """
        while True:
            message, size_bytes = await self._messages.receive()
            try:
                await send(message)
            except LinkUnavailableError:
                # The messages of the front end, too, which ends the channel.
                return
            self._count(-size_bytes)

    def _count(self, size_bytes: int) -> None:
        if size_bytes:
            self._unsent.add(size_bytes)
