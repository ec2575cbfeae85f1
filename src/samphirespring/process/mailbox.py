"""Bounded inboxes for messages between tasks, and reply slots for requests."""

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

import anyio
import anyio.lowlevel

from samphirespring.process.errors import ErrorCode, InternalError, SamphireError

MessageT = TypeVar("MessageT")
ReplyT = TypeVar("ReplyT")

BURST = 64
"""Number of messages that a task receives before other tasks get their turn."""


class InboxFullError(SamphireError):
    """The inbox of a task has no room for another message."""

    code = ErrorCode.INBOX_FULL


class Mailbox(Generic[MessageT]):
    """Bounded inbox of one task; posting to a full inbox raises an error and never waits.

    The bound refuses load from outside. Messages that must not be lost are posted with
    `post_always`.

    Messages that are there already are received without a turn of the event loop, which would take
    longer than handling most of them; after `BURST` of them, other tasks get their turn.

    Args:
        name: Owner of the inbox, for errors and dumps.
        capacity: Largest number of unread messages.
    """

    def __init__(self, *, name: str, capacity: int) -> None:
        self.name = name
        self.capacity = capacity
        self._messages: deque[MessageT] = deque()
        self._arrival: anyio.Event | None = None
        """Set when a message arrives; None while the owner doesn't wait for one."""

        self._received_in_turn = 0

    @property
    def waiting_count(self) -> int:
        """Number of unread messages."""
        return len(self._messages)

    def post(self, message: MessageT) -> None:
        """Append a message.

        Args:
            message: The message for the owner.

        Raises:
            InboxFullError: The inbox is full.
        """
        if len(self._messages) >= self.capacity:
            raise InboxFullError(f"inbox of {self.name} holds {self.capacity} messages")
        self.post_always(message)

    def post_always(self, message: MessageT) -> None:
        """Append a message even if the inbox is full.

        It is for messages that end what an earlier one began, and for those that come at a rate of
        this process's own: their number is bounded, and without them the owner's state stays wrong.

        Args:
            message: The message for the owner.
        """
        self._messages.append(message)
        if self._arrival is not None:
            self._arrival.set()

    async def receive(self) -> MessageT:
        """Wait for the next message and return it."""
        await self._wait_for_message()
        self._received_in_turn += 1
        return self._messages.popleft()

    async def receive_all(self) -> list[MessageT]:
        """Wait for the next message and return it with all other unread messages."""
        await self._wait_for_message()
        return self.receive_waiting()

    def receive_waiting(self) -> list[MessageT]:
        """Return the unread messages without waiting; the list may be empty."""
        messages = list(self._messages)
        self._messages.clear()
        return messages

    async def _wait_for_message(self) -> None:
        if self._messages and self._received_in_turn < BURST:
            return
        self._received_in_turn = 0
        if self._messages:
            await anyio.lowlevel.checkpoint()
        while not self._messages:
            self._arrival = anyio.Event()
            try:
                await self._arrival.wait()
            finally:
                self._arrival = None


class ReplySlot(Generic[ReplyT]):
    """Holds the reply or error to one request; only the first one that is sent counts."""

    def __init__(self) -> None:
        self._ready = anyio.Event()
        self._replies: list[ReplyT] = []
        self._error: Exception | None = None
        self.abandoned = False
        """Whether the requester stopped waiting, which makes processing the request pointless."""

    def read(self) -> ReplyT | None:
        """Return the reply, or None if there is none yet."""
        return self._replies[0] if self._replies else None

    def send(self, value: ReplyT) -> None:
        """Send the reply to the requester.

        Args:
            value: The reply.
        """
        if not self._ready.is_set():
            self._replies.append(value)
            self._ready.set()

    def fail(self, error: Exception) -> None:
        """Send an error to the requester instead of a reply.

        Args:
            error: The error to raise in the requester.
        """
        if not self._ready.is_set():
            self._error = error
            self._ready.set()

    async def wait(self) -> ReplyT:
        """Wait for the reply and return it, or raise the error sent instead."""
        await self._ready.wait()
        if self._error is not None:
            raise self._error
        if not self._replies:
            raise InternalError("reply slot is ready without a reply")
        return self._replies[0]


class ForwardingSlot(ReplySlot[ReplyT]):
    """Passes the reply on to a function, without a task that waits for it.

    Args:
        forward: Called with the reply.
    """

    def __init__(self, forward: Callable[[ReplyT], None]) -> None:
        super().__init__()
        self._forward = forward

    def send(self, value: ReplyT) -> None:
        """Pass the reply on.

        Args:
            value: The reply.
        """
        if not self._ready.is_set():
            super().send(value)
            self._forward(value)


async def ask(
    mailbox: Mailbox[MessageT], make_message: Callable[[ReplySlot[ReplyT]], MessageT]
) -> ReplyT:
    """Post a request and wait for its reply.

    Args:
        mailbox: Inbox of the task that replies.
        make_message: Makes the request with the given reply slot.

    Returns:
        The reply.

    Raises:
        InboxFullError: The inbox is full.
    """
    slot: ReplySlot[ReplyT] = ReplySlot()
    mailbox.post(make_message(slot))
    return await _wait_for_reply(slot)


async def ask_always(
    mailbox: Mailbox[MessageT], make_message: Callable[[ReplySlot[ReplyT]], MessageT]
) -> ReplyT:
    """Post a request that a full inbox doesn't refuse, and wait for its reply.

    Args:
        mailbox: Inbox of the task that replies.
        make_message: Makes the request with the given reply slot.

    Returns:
        The reply.
    """
    slot: ReplySlot[ReplyT] = ReplySlot()
    mailbox.post_always(make_message(slot))
    return await _wait_for_reply(slot)


async def _wait_for_reply(slot: ReplySlot[ReplyT]) -> ReplyT:
    try:
        return await slot.wait()
    finally:
        slot.abandoned = True
