"""Decides when a replica takes a snapshot of its own state."""

from samphirespring.process.replication.context import GroupLimits
from samphirespring.process.replication.entries import Entry


class SnapshotPolicy:
    """Counts what was applied since the last snapshot.

    Args:
        limits: Bounds of the replica.
    """

    def __init__(self, limits: GroupLimits) -> None:
        self._limits = limits
        self._entry_count = 0
        self._payload_bytes = 0
        self._is_running = False

    def record_applied(self, entry: Entry) -> None:
        """Take that an entry was applied.

        Args:
            entry: The entry.
        """
        self._entry_count += 1
        self._payload_bytes += len(entry.payload)

    def is_due(self) -> bool:
        """Return whether a snapshot is to be started."""
        if self._is_running:
            return False
        return (
            self._entry_count >= self._limits.snapshot_entries
            or self._payload_bytes >= self._limits.snapshot_bytes
        )

    def record_started(self) -> None:
        """Take that a snapshot was started."""
        self._is_running = True
        self._entry_count = 0
        self._payload_bytes = 0

    def record_done(self) -> None:
        """Take that the snapshot was written."""
        self._is_running = False
