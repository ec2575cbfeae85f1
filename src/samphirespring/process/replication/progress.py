"""What a leader knows about one follower."""

from dataclasses import dataclass

from samphirespring.process.ids import LogIndex
from samphirespring.process.replication.entries import LogPosition, SnapshotMark
from samphirespring.process.states import FollowerMode

NO_INDEX = LogIndex(0)
"""Index before the first entry."""


@dataclass(slots=True, kw_only=True)
class FollowerProgress:
    """State of one follower at its leader.

    Attributes:
        next_index: Next entry to send.
        match_index: Last entry known to be synced at the follower.
        mode: How entries are sent.
        paused: Whether the mode PROBE waits for the answer to its one message.
        contact_s: Time of the latest message of the leader that the follower answered, in seconds.
        heartbeat_match_index: `match_index` at the last heartbeat reply, to see lost messages.
        snapshot: Snapshot that is being sent in the mode SNAPSHOT.
        snapshot_offset: Bytes of the snapshot that the follower has.
        snapshot_sent_s: Time of the last part sent, in seconds.
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
        """Take the time of an answered message.

        Args:
            sent_at_s: When the leader sent it, in seconds.
        """
        if self.contact_s is None or sent_at_s > self.contact_s:
            self.contact_s = sent_at_s

    def record_match(self, match_index: LogIndex) -> bool:
        """Take what the follower has; return whether that is news.

        Args:
            match_index: Last index that is synced there and matches.
        """
        if match_index <= self.match_index:
            return False
        self.match_index = match_index
        self.next_index = max(self.next_index, LogIndex(match_index + 1))
        return True

    def rewind(self, hint_index: LogIndex) -> None:
        """Send again from an earlier index.

        Args:
            hint_index: Last index that may match.
        """
        self.mode = FollowerMode.PROBE
        self.paused = False
        self.next_index = max(LogIndex(self.match_index + 1), LogIndex(hint_index + 1))

    def resume(self) -> None:
        """Send entries as they come, after the follower has shown where it stands."""
        if self.mode is FollowerMode.SNAPSHOT:
            if self.snapshot is None or self.match_index < self.snapshot.index:
                return
            self.snapshot = None
            self.next_index = LogIndex(self.match_index + 1)
        self.mode = FollowerMode.REPLICATE
        self.paused = False

    def start_snapshot(self, mark: SnapshotMark) -> None:
        """Send a snapshot from its first byte on.

        Args:
            mark: The snapshot.
        """
        self.mode = FollowerMode.SNAPSHOT
        self.snapshot = mark
        self.snapshot_offset = 0
        self.snapshot_sent_s = float("-inf")

    def check_heartbeat_reply(self) -> None:
        """Send again what didn't arrive between two heartbeat replies."""
        stalled = self.match_index == self.heartbeat_match_index
        self.heartbeat_match_index = self.match_index
        if self.mode is FollowerMode.SNAPSHOT:
            self.resume()
        elif stalled and self.next_index - 1 > self.match_index:
            self.rewind(self.match_index)

    def record_snapshot_offset(self, position: LogPosition, next_offset: int) -> None:
        """Take how much of the snapshot the follower has.

        Args:
            position: Position of the snapshot that it receives.
            next_offset: Bytes that it has.
        """
        if self.snapshot is None or self.snapshot.position != position:
            return
        self.snapshot_offset = next_offset
        self.snapshot_sent_s = float("-inf")
