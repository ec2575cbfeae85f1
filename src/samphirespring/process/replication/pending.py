"""Replies that are sent once entries are committed."""

from typing import Generic, TypeVar

import msgspec

from samphirespring.process.errors import SamphireError
from samphirespring.process.ids import LogIndex
from samphirespring.process.mailbox import ReplySlot

ValueT = TypeVar("ValueT")


class _Pending(msgspec.Struct, Generic[ValueT], frozen=True, kw_only=True):
    reply: ReplySlot[ValueT]


class PendingReplies(Generic[ValueT]):
    """Reply slots by the index of the entry that each waits for.

    All are failed when the replica steps down, so an index refers to an entry of one term only.
    """

    def __init__(self) -> None:
        self._pending: dict[LogIndex, _Pending[ValueT]] = {}

    def add(self, index: LogIndex, reply: ReplySlot[ValueT]) -> None:
        """Add a reply slot that waits for an entry.

        Args:
            index: Index of the entry.
            reply: Receives the result.
        """
        self._pending[index] = _Pending(reply=reply)

    def resolve(self, index: LogIndex, value: ValueT) -> None:
        """Reply with the result of an entry, if a slot waits for it.

        Args:
            index: Index of the entry.
            value: The result.
        """
        pending = self._pending.pop(index, None)
        if pending is not None:
            pending.reply.send(value)

    def fail(self, index: LogIndex, error: SamphireError) -> None:
        """Fail the reply for an entry, if a slot waits for it.

        Args:
            index: Index of the entry.
            error: The error.
        """
        pending = self._pending.pop(index, None)
        if pending is not None:
            pending.reply.fail(error)

    def fail_all(self, error: SamphireError) -> None:
        """Fail all waiting replies.

        Args:
            error: The error.
        """
        for pending in self._pending.values():
            pending.reply.fail(error)
        self._pending.clear()
