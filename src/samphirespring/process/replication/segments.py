"""The entries of one log on disk, in segment files.

Records are only appended, one for each synced write: a write that a crash interrupted is therefore
the last record, and valid records behind an invalid one prove corruption. An entry whose index
isn't higher than the previous one replaces all entries from its index on, so that one write both
truncates conflicting entries and appends the new ones.
"""

from collections.abc import Sequence

import msgspec

from samphirespring.process.errors import DECODE_ERRORS
from samphirespring.process.ids import LogIndex
from samphirespring.process.replication.disk import AppendFile, Disk
from samphirespring.process.replication.entries import Entry
from samphirespring.process.replication.errors import DiskFailedError, LogCorruptError
from samphirespring.process.replication.records import encode_record, scan_records

SEGMENT_PREFIX = "log-"
SEGMENT_BYTES = 4 << 20
"""Size after which the next write starts a new segment."""


class _Segment(msgspec.Struct, kw_only=True):
    number: int
    last_index: LogIndex


class LoadedEntries(msgspec.Struct, frozen=True, kw_only=True):
    """Entries loaded from the segments.

    Attributes:
        entries: The entries, without gaps.
        cut_bytes: Length of the incomplete tail that was truncated.
    """

    entries: tuple[Entry, ...]
    cut_bytes: int


class SegmentedLog:
    """Appends to the newest segment and removes the oldest ones.

    Args:
        disk: The data folder.
        folder: Folder of this group, which exists.
        segment_bytes: Size after which the next write starts a new segment.
    """

    def __init__(self, *, disk: Disk, folder: str, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._disk = disk
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._segments: list[_Segment] = []
        self._file: AppendFile | None = None
        self._next_number = 1
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(tuple[Entry, ...])

    def load(self) -> LoadedEntries:
        """Return the entries of all segments, after truncating an incomplete tail.

        All that is returned is synced: a process that was killed between a write and its sync left
        bytes that a loss of power would take.

        Raises:
            LogCorruptError: A segment is corrupt beyond an incomplete tail.
            DiskFailedError: A file can't be read, truncated or synced.
        """
        self.close()
        self._segments.clear()
        numbers = self._list_numbers()
        entries: list[Entry] = []
        cut_bytes = 0
        for position, number in enumerate(numbers):
            if number != numbers[0] + position:
                raise LogCorruptError(f"{self._folder}: segment {number - 1} is missing")
            is_last = position == len(numbers) - 1
            cut_bytes = self._load_segment(number, entries, is_last=is_last)
        if numbers:
            self._next_number = numbers[-1] + 1
            self._file = self._disk.open_append(self._make_name(numbers[-1]))
            self._file.sync()
        self._disk.sync_folder(self._folder)
        return LoadedEntries(entries=tuple(entries), cut_bytes=cut_bytes)

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries and sync them.

        Args:
            entries: The entries, at least one; each index is at most one above the previous one.

        Raises:
            DiskFailedError: Some entries may not be durable.
        """
        file = self._open_file()
        file.write(encode_record(self._encoder.encode(entries)))
        file.sync()
        segment = self._segments[-1]
        segment.last_index = max(segment.last_index, *(entry.index for entry in entries))

    def remove_before(self, base: LogIndex) -> None:
        """Remove the oldest segments that hold no entry after an index.

        Args:
            base: Last index that isn't needed any more.
        """
        while len(self._segments) > 1 and self._segments[0].last_index <= base:
            self._remove_oldest()

    def clear(self) -> None:
        """Remove all segments."""
        self.close()
        while self._segments:
            self._remove_oldest()

    def close(self) -> None:
        """Close the newest segment."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _load_segment(self, number: int, entries: list[Entry], *, is_last: bool) -> int:
        name = self._make_name(number)
        data = self._disk.read(name)
        scan = scan_records(data)
        cut_bytes = len(data) - scan.end_offset
        if scan.is_corrupt or (cut_bytes and not is_last):
            raise LogCorruptError(f"{name}: corrupt at byte {scan.end_offset}")
        segment = _Segment(number=number, last_index=LogIndex(0))
        for body in scan.bodies:
            for entry in self._decode(name, body):
                _append_or_overwrite(name, entries, entry)
                segment.last_index = max(segment.last_index, entry.index)
        if cut_bytes:
            self._disk.truncate(name, scan.end_offset)
        self._segments.append(segment)
        return cut_bytes

    def _decode(self, name: str, body: bytes) -> tuple[Entry, ...]:
        try:
            return self._decoder.decode(body)
        except DECODE_ERRORS as error:
            raise LogCorruptError(f"{name}: {error}") from None

    def _open_file(self) -> AppendFile:
        if self._file is not None and self._file.size_bytes >= self._segment_bytes:
            self.close()
            self._start_segment()
        elif not self._segments:
            self._start_segment()
        if self._file is None:
            self._file = self._disk.open_append(self._make_name(self._segments[-1].number))
        return self._file

    def _start_segment(self) -> None:
        number = self._next_number
        self._next_number += 1
        self._file = self._disk.open_append(self._make_name(number))
        if self._file.size_bytes:
            raise DiskFailedError(f"{self._make_name(number)} exists already")
        self._disk.sync_folder(self._folder)
        self._segments.append(_Segment(number=number, last_index=LogIndex(0)))

    def _remove_oldest(self) -> None:
        # Removes one segment at a time, so that a crash never leaves a gap between two segments.
        self._disk.remove(self._make_name(self._segments[0].number))
        self._disk.sync_folder(self._folder)
        del self._segments[0]

    def _list_numbers(self) -> list[int]:
        numbers = []
        for name in self._disk.list_names(self._folder):
            suffix = name.removeprefix(SEGMENT_PREFIX)
            if suffix != name and suffix.isdecimal():
                numbers.append(int(suffix))
        return sorted(numbers)

    def _make_name(self, number: int) -> str:
        return f"{self._folder}/{SEGMENT_PREFIX}{number:012d}"


def _append_or_overwrite(name: str, entries: list[Entry], entry: Entry) -> None:
    if entries:
        offset = entry.index - entries[0].index
        if not 0 <= offset <= len(entries):
            raise LogCorruptError(f"{name}: entry {entry.index} leaves a gap")
        del entries[offset:]
    entries.append(entry)
