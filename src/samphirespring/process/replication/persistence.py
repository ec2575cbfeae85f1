"""Tracks which writes of a replica are synced, and delays messages that depend on them."""

from collections import deque

import msgspec

from samphirespring.process.ids import LogIndex, PersistToken
from samphirespring.process.replication.effects import Send


class _PendingWrite(msgspec.Struct, kw_only=True):
    token: PersistToken
    last_index: LogIndex


class _HeldSend(msgspec.Struct, frozen=True, kw_only=True):
    token: PersistToken
    send: Send


class PersistenceTracker:
    """Numbers writes and tracks the last synced index.

    Args:
        synced_index: Last index that was on disk at startup.
    """

    def __init__(self, *, synced_index: LogIndex) -> None:
        self._synced_index = synced_index
        self._last_token = PersistToken(0)
        self._synced_token = PersistToken(0)
        self._writes: deque[_PendingWrite] = deque()
        self._held: deque[_HeldSend] = deque()

    @property
    def synced_index(self) -> LogIndex:
        """Last index whose current entry in the log is synced."""
        return self._synced_index

    @property
    def is_idle(self) -> bool:
        """Whether all writes are synced."""
        return self._synced_token == self._last_token

    def start_write(self, last_index: LogIndex) -> PersistToken:
        """Return the number of a new write.

        Args:
            last_index: Last index of the log after the write.
        """
        self._last_token = PersistToken(self._last_token + 1)
        self._writes.append(_PendingWrite(token=self._last_token, last_index=last_index))
        return self._last_token

    def record_truncation(self, first: LogIndex) -> None:
        """Stop counting entries from an index on as synced or about to be synced.

        Args:
            first: First index that was truncated from the log.
        """
        kept = LogIndex(first - 1)
        self._synced_index = min(self._synced_index, kept)
        for write in self._writes:
            write.last_index = min(write.last_index, kept)

    def hold(self, send: Send) -> None:
        """Hold a message until all writes started so far are synced.

        Args:
            send: The message.
        """
        self._held.append(_HeldSend(token=self._last_token, send=send))

    def mark_synced(self, token: PersistToken) -> list[Send]:
        """Record that a write and all earlier ones are synced; return the messages to send now.

        Args:
            token: Number of the write.
        """
        self._synced_token = max(self._synced_token, token)
        while self._writes and self._writes[0].token <= token:
            self._synced_index = max(self._synced_index, self._writes.popleft().last_index)
        return self.release()

    def release(self) -> list[Send]:
        """Return the held messages whose writes are synced."""
        sends = []
        while self._held and self._held[0].token <= self._synced_token:
            sends.append(self._held.popleft().send)
        return sends

    def drop_held(self) -> None:
        """Drop all held messages, because their term has ended."""
        self._held.clear()
