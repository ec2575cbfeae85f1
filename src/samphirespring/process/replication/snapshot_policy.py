"""Decides when a replica takes a snapshot of its state machine."""

from samphirespring.process.replication.context import GroupLimits
from samphirespring.process.replication.entries import Entry


class SnapshotPolicy:
    """Counts entries and bytes applied since the last snapshot.

    Args:
        limits: Bounds of the replica.
    """

    def __init__(self, limits: GroupLimits) -> None:
        self._limits = limits
        self._entry_count = 0
        self._payload_bytes = 0
        self._is_running = False

    def record_applied(self, entry: Entry) -> None:
        """Count an applied entry.

        Args:
            entry: The entry.
        """
        self._entry_count += 1
        self._payload_bytes += len(entry.payload)

    def is_due(self) -> bool:
        """Return whether a snapshot is due and none is being written."""
        if self._is_running:
            return False
        return (
            self._entry_count >= self._limits.snapshot_entries
            or self._payload_bytes >= self._limits.snapshot_bytes
        )

    def record_started(self) -> None:
        """Reset the counts and record that a snapshot is being written."""
        self._is_running = True
        self._entry_count = 0
        self._payload_bytes = 0

    def record_done(self) -> None:
        """Record that the snapshot was written."""
        self._is_running = False
