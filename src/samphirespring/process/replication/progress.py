"""A leader's record of the progress of one follower."""

import msgspec

from samphirespring.process.ids import LogIndex
from samphirespring.process.replication.entries import LogPosition, SnapshotMark
from samphirespring.process.states import FollowerMode

NO_INDEX = LogIndex(0)
"""Index before the first entry."""


class FollowerProgress(msgspec.Struct, kw_only=True):
    """Replication progress of one follower, as tracked by the leader.

    Attributes:
        next_index: Next entry to send.
        match_index: Last entry known to be synced at the follower and to match.
        mode: How entries are sent.
        paused: Whether the mode PROBE waits for the reply to its single message.
        contact_s: Send time of the latest message to which the follower replied, in seconds.
        heartbeat_match_index: `match_index` at the last heartbeat reply, to detect lost messages.
        snapshot: Snapshot that the mode SNAPSHOT sends.
        snapshot_offset: Number of bytes of the snapshot that the follower has.
        snapshot_sent_s: Send time of the last part of the snapshot, in seconds.
    """

    next_index: LogIndex
    match_index: LogIndex = NO_INDEX
    mode: FollowerMode = FollowerMode.PROBE
    paused: bool = False
    contact_s: float | None = None
    heartbeat_match_index: LogIndex = NO_INDEX
    snapshot: SnapshotMark | None = None
    snapshot_offset: int = 0
    snapshot_sent_s: float = 0.0

    def record_contact(self, sent_at_s: float) -> None:
        """Record the send time of a message to which the follower replied.

        Args:
            sent_at_s: Send time on the leader's clock, in seconds.
        """
        if self.contact_s is None or sent_at_s > self.contact_s:
            self.contact_s = sent_at_s

    def record_match(self, match_index: LogIndex) -> bool:
        """Record the follower's match index; return whether it is higher than before.

        Args:
            match_index: Last index that is synced at the follower and matches.
        """
        if match_index <= self.match_index:
            return False
        self.match_index = match_index
        self.next_index = max(self.next_index, LogIndex(match_index + 1))
        return True

    def rewind(self, hint_index: LogIndex) -> None:
        """Send entries again from an earlier index on.

        Args:
            hint_index: Last index that may match.
        """
        self.mode = FollowerMode.PROBE
        self.paused = False
        self.next_index = max(LogIndex(self.match_index + 1), LogIndex(hint_index + 1))

    def resume(self) -> None:
        """Send new entries without waiting for replies, as the match index is now known."""
        if self.mode is FollowerMode.SNAPSHOT:
            if self.snapshot is None or self.match_index < self.snapshot.index:
                return
            self.snapshot = None
            self.next_index = LogIndex(self.match_index + 1)
        self.mode = FollowerMode.REPLICATE
        self.paused = False

    def start_snapshot(self, mark: SnapshotMark) -> None:
        """Start to send a snapshot from its first byte.

        Args:
            mark: The snapshot.
        """
        self.mode = FollowerMode.SNAPSHOT
        self.snapshot = mark
        self.snapshot_offset = 0
        self.snapshot_sent_s = float("-inf")

    def check_heartbeat_reply(self) -> None:
        """Send entries again if the match index didn't advance between two heartbeat replies."""
        stalled = self.match_index == self.heartbeat_match_index
        self.heartbeat_match_index = self.match_index
        if self.mode is FollowerMode.SNAPSHOT:
            self.resume()
        elif stalled and self.next_index - 1 > self.match_index:
            self.rewind(self.match_index)

    def record_snapshot_offset(self, position: LogPosition, next_offset: int) -> None:
        """Record how much of the snapshot the follower has received.

        Args:
            position: Log position of the snapshot that the follower receives.
            next_offset: Number of bytes that it has.
        """
        if self.snapshot is None or self.snapshot.position != position:
            return
        self.snapshot_offset = next_offset
        self.snapshot_sent_s = float("-inf")
