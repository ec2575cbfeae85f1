"""Messages of an attempt channel that wait to be sent to its front."""

from collections.abc import Awaitable, Callable

from samphirespring.connection.attempt_channel import ToFront
from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.process.mailbox import InboxFullError, Mailbox
from samphirespring.process.metrics.metric_names import Gauge
from samphirespring.process.metrics.metrics import Metrics

OUTBOX_CAPACITY = 100_000
"""Largest number of messages that wait on one channel."""

UNSENT_LIMIT_BYTES = 16 << 20
"""Bytes of responses that may wait on all channels before those with most get no more attempts."""

REPORT_STEP_BYTES = 1 << 20
"""Change of the sum from which it is reported again; most responses are short and leave at once."""


class UnsentResponses:
    """Bounds the bytes of responses that wait on all channels of the process.

    Over `UNSENT_LIMIT_BYTES`, a channel that holds more than its share is full: its front gets no
    further attempts until it has read. So a front that is frozen, or behind a broken network,
    neither fills the memory of the process nor keeps the other fronts from being served.

    Args:
        metrics: Receives the sum; None counts for the process alone.
    """

    def __init__(self, metrics: Metrics | None = None) -> None:
        self._metrics = metrics
        self._reported_bytes = 0
        self.size_bytes = 0
        """Bytes of all responses that wait."""

        self.channel_count = 0
        """Number of channels on which any wait."""

    def is_full(self, held_bytes: int) -> bool:
        """Return whether a channel holds more than its share while all together hold too much.

        Args:
            held_bytes: Bytes that wait on the channel.
        """
        if self.size_bytes < UNSENT_LIMIT_BYTES:
            return False
        return held_bytes * self.channel_count >= UNSENT_LIMIT_BYTES

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
        unsent: Bounds the bytes of responses that wait.
    """

    def __init__(self, unsent: UnsentResponses) -> None:
        self._unsent = unsent
        self._messages: Mailbox[tuple[ToFront, int]] = Mailbox(
            name="attempt_channel", capacity=OUTBOX_CAPACITY
        )
        self._size_bytes = 0
        self._is_closed = False

    @property
    def has_room(self) -> bool:
        """Whether the front may get the responses of further attempts."""
        return not self._unsent.is_full(self._size_bytes)

    def post(self, message: ToFront, *, size_bytes: int = 0) -> None:
        """Append a message; it is dropped if the channel has ended or too many wait.

        Args:
            message: The message.
            size_bytes: Bytes of a response's body that it holds.
        """
        if self._is_closed:
            return
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

    def close(self) -> None:
        """Drop what waits, and all later messages: the channel has ended."""
        self._is_closed = True
        self._messages.receive_waiting()
        self._count(-self._size_bytes)

    def _count(self, size_bytes: int) -> None:
        if not size_bytes:
            return
        if self._size_bytes == 0:
            self._unsent.channel_count += 1
        self._size_bytes += size_bytes
        if self._size_bytes == 0:
            self._unsent.channel_count -= 1
        self._unsent.add(size_bytes)
