"""The entries that a replica holds in memory."""

from collections.abc import Sequence

from samphirespring.process.errors import InternalError
from samphirespring.process.ids import LogIndex, Term
from samphirespring.process.replication.entries import (
    LOG_START,
    Entry,
    EntryKind,
    LogPosition,
    Membership,
    SnapshotMark,
    require_membership,
)


class ReplicaLog:
    """Entries after a base position, and metadata of the newest snapshot.

    Args:
        base: Position before the first entry held.
        entries: The entries, without gaps.
        snapshot: The newest snapshot, if there is one; it covers at least the base.
    """

    def __init__(
        self,
        *,
        base: LogPosition = LOG_START,
        entries: Sequence[Entry] = (),
        snapshot: SnapshotMark | None = None,
    ) -> None:
        self._base = base
        self._entries = list(entries)
        self._snapshot = snapshot
        self._membership = Membership()
        self._membership_index = LogIndex(0)
        self._refresh_membership()

    @property
    def base(self) -> LogPosition:
        """Position before the first entry held."""
        return self._base

    @property
    def last(self) -> LogPosition:
        """Position of the last entry."""
        return self._entries[-1].position if self._entries else self._base

    @property
    def snapshot(self) -> SnapshotMark | None:
        """The newest snapshot."""
        return self._snapshot

    @property
    def membership(self) -> Membership:
        """The newest membership, committed or not."""
        return self._membership

    @property
    def membership_index(self) -> LogIndex:
        """Index of the entry that set the newest membership."""
        return self._membership_index

    def find_term(self, index: LogIndex) -> Term | None:
        """Return the term of an entry, or None if the log doesn't hold it.

        Args:
            index: Index of the entry.
        """
        if index == self._base.index:
            return self._base.term
        offset = index - self._base.index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset].term
        return None

    def has(self, position: LogPosition) -> bool:
        """Return whether the log holds an entry.

        Args:
            position: Index and term of the entry.
        """
        return self.find_term(position.index) == position.term

    def find_term_start(self, index: LogIndex) -> LogIndex:
        """Return the first index of the run of entries with the same term that ends at an index.

        Args:
            index: Index of a held entry.
        """
        term = self.find_term(index)
        while index > self._base.index + 1 and self.find_term(LogIndex(index - 1)) == term:
            index = LogIndex(index - 1)
        return index

    def read(self, first: LogIndex, last: LogIndex) -> tuple[Entry, ...]:
        """Return entries.

        Args:
            first: Index of the first one.
            last: Index of the last one; if it is lower than `first`, the result is empty.
        """
        start = first - self._base.index - 1
        if start < 0:
            raise InternalError(f"entry {first} is compacted")
        return tuple(self._entries[start : last - self._base.index])

    def find_membership(self, index: LogIndex) -> Membership:
        """Return the membership as of an entry.

        Args:
            index: Index of the entry, at or after the end of the newest snapshot.
        """
        covered = 0 if self._snapshot is None else self._snapshot.index
        for entry in reversed(self.read(LogIndex(max(covered, self._base.index) + 1), index)):
            if entry.kind is EntryKind.MEMBERSHIP:
                return require_membership(entry)
        return Membership() if self._snapshot is None else self._snapshot.membership

    def append(self, entry: Entry) -> None:
        """Append the next entry.

        Args:
            entry: The entry, whose index follows the last one.
        """
        if entry.index != self.last.index + 1:
            raise InternalError(f"entry {entry.index} does not follow {self.last.index}")
        self._entries.append(entry)
        if entry.kind is EntryKind.MEMBERSHIP:
            self._membership = require_membership(entry)
            self._membership_index = entry.index

    def truncate(self, first: LogIndex) -> None:
        """Drop all entries from an index on.

        Args:
            first: Index of the first dropped entry.
        """
        del self._entries[first - self._base.index - 1 :]
        if self._membership_index >= first:
            self._refresh_membership()

    def compact(self, snapshot: SnapshotMark, *, base: LogIndex) -> None:
        """Record the newest snapshot and drop entries that it covers.

        Args:
            snapshot: Metadata of the snapshot.
            base: Last index to drop; entries after it stay for followers that lag.
        """
        self._snapshot = snapshot
        if base <= self._base.index:
            return
        term = self.find_term(base)
        if term is None or base > snapshot.index:
            raise InternalError(f"cannot compact up to {base}")
        del self._entries[: base - self._base.index]
        self._base = LogPosition(index=base, term=term)

    def reset(self, snapshot: SnapshotMark) -> None:
        """Replace all entries by a snapshot.

        Args:
            snapshot: Metadata of the snapshot.
        """
        self._entries.clear()
        self._base = snapshot.position
        self._snapshot = snapshot
        self._refresh_membership()

    def _refresh_membership(self) -> None:
        covered = LogIndex(0) if self._snapshot is None else self._snapshot.index
        self._membership_index = covered
        for entry in reversed(self._entries):
            if entry.index <= covered:
                break
            if entry.kind is EntryKind.MEMBERSHIP:
                self._membership_index = entry.index
                break
        self._membership = self.find_membership(self.last.index)
