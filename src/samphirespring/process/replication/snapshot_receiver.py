"""Collects the parts of a snapshot from the leader."""

import xxhash

from samphirespring.process.replication.entries import SnapshotMark
from samphirespring.process.replication.messages import SnapshotChunk


class SnapshotReceiver:
    """Holds the received parts of one snapshot; a newer snapshot replaces an unfinished one."""

    def __init__(self) -> None:
        self._mark: SnapshotMark | None = None
        self._data = bytearray()

    @property
    def next_offset(self) -> int:
        """Number of bytes received."""
        return len(self._data)

    def add_chunk(self, chunk: SnapshotChunk) -> bytes | None:
        """Add a part; return the data once it is complete and matches its checksum.

        Args:
            chunk: The part; it is ignored unless it starts at `next_offset`.
        """
        if self._mark != chunk.mark:
            self._mark = chunk.mark
            self._data.clear()
        if chunk.offset == len(self._data):
            self._data += chunk.data
        if len(self._data) < chunk.mark.size_bytes:
            return None
        data = bytes(self._data)
        self.clear()
        return data if xxhash.xxh3_64_intdigest(data) == chunk.mark.checksum else None

    def clear(self) -> None:
        """Discard the received parts."""
        self._mark = None
        self._data.clear()
