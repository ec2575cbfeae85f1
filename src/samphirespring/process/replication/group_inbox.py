"""Inbox of a replicated group's task, which delivers protocol messages before callers' requests."""

from collections import deque
from collections.abc import Callable

import anyio
import anyio.lowlevel

from samphirespring.process.mailbox import InboxFullError, ReplySlot, ReplyT
from samphirespring.process.replication.errors import BusyError
from samphirespring.process.replication.group_messages import (
    GroupInput,
    GroupRequest,
    ProtocolInput,
    TickDue,
)

PROTOCOL_CAPACITY = 10_000
"""Largest number of unread protocol messages; ticks are merged into one and not counted."""

PEER_RESERVE = 1_000
"""Part of the protocol capacity that peer messages leave free for the task's own messages."""

REQUEST_CAPACITY = 4_000
"""Largest number of unread requests, proposals included; more are refused as busy."""


class GroupInbox:
    """Two bounded queues with one reader: protocol messages, and requests of callers.

    Whatever the number of callers, a heartbeat is delayed by one batch of requests at most.

    Args:
        name: Owner of the inbox, for errors and dumps.
        request_batch_size: Largest number of requests in one batch, that is between two reads of
            the protocol messages.
    """

    def __init__(self, *, name: str, request_batch_size: int) -> None:
        self.name = name
        self._request_batch_size = request_batch_size
        self._tick_is_due = False
        self._protocol: deque[ProtocolInput] = deque()
        self._requests: deque[GroupRequest] = deque()
        self._arrived = anyio.Event()

    @property
    def has_room_for_peers(self) -> bool:
        """Whether peer messages may be posted."""
        return len(self._protocol) < PROTOCOL_CAPACITY - PEER_RESERVE

    def post(self, message: ProtocolInput) -> None:
        """Append a protocol message.

        Args:
            message: The message.

        Raises:
            InboxFullError: Too many protocol messages are unread.
        """
        if isinstance(message, TickDue):
            self._tick_is_due = True
        elif len(self._protocol) < PROTOCOL_CAPACITY:
            self._protocol.append(message)
        else:
            raise InboxFullError(f"inbox of {self.name} holds {PROTOCOL_CAPACITY} messages")
        self._arrived.set()

    async def ask(self, make_request: Callable[[ReplySlot[ReplyT]], GroupRequest]) -> ReplyT:
        """Append a request and wait for its reply.

        Args:
            make_request: Builds the request around the reply slot.

        Returns:
            The reply.

        Raises:
            BusyError: Too many requests are unread; this one was not queued.
        """
        if len(self._requests) >= REQUEST_CAPACITY:
            raise BusyError(f"{self.name} has {REQUEST_CAPACITY} requests in its queue")
        slot: ReplySlot[ReplyT] = ReplySlot()
        self._requests.append(make_request(slot))
        self._arrived.set()
        try:
            return await slot.wait()
        finally:
            slot.abandoned = True

    async def receive_batch(self) -> list[GroupInput]:
        """Wait for a message; return all protocol messages, followed by a batch of requests.

        Yields to other tasks first, so that the batch contains what peers sent meanwhile. The tick
        comes after the peer messages, so that a lease that one of them renews doesn't expire.
        """
        await anyio.lowlevel.checkpoint()
        while not (self._protocol or self._tick_is_due or self._requests):
            self._arrived = anyio.Event()
            await self._arrived.wait()
        batch: list[GroupInput] = list(self._protocol)
        self._protocol.clear()
        if self._tick_is_due:
            self._tick_is_due = False
            batch.append(TickDue())
        batch += self._pop_requests()
        return batch

    def _pop_requests(self) -> list[GroupRequest]:
        count = min(self._request_batch_size, len(self._requests))
        batch = [self._requests.popleft() for _ in range(count)]
        return [request for request in batch if not request.reply.abandoned]
