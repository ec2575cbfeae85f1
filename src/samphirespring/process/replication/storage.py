"""Files of one replica of one group: identity, hard state, log segments and snapshot."""

from collections.abc import Sequence
from typing import TypeVar

import msgspec
import xxhash

from samphirespring.process.errors import DECODE_ERRORS
from samphirespring.process.ids import LogIndex, Term
from samphirespring.process.replication.disk import TEMPORARY_SUFFIX, Disk
from samphirespring.process.replication.entries import (
    LOG_START,
    Entry,
    EntryKind,
    HardState,
    Identity,
    Membership,
    SnapshotMark,
)
from samphirespring.process.replication.errors import LogCorruptError
from samphirespring.process.replication.records import (
    HEADER_BYTES,
    decode_first_record,
    encode_record,
)
from samphirespring.process.replication.replica_log import ReplicaLog
from samphirespring.process.replication.segments import SegmentedLog

StructT = TypeVar("StructT", bound=msgspec.Struct)

FIRST_TERM = Term(1)
"""Term of the entry that forms a group; the term has no leader."""

IDENTITY_NAME = "identity"
HARD_STATE_NAME = "hard-state"
SNAPSHOT_NAME = "snapshot"


class StoredState(msgspec.Struct, frozen=True, kw_only=True):
    """State of a replica as loaded from disk.

    Attributes:
        hard_state: Current term and vote.
        log: Entries and the mark of the snapshot.
        snapshot_data: The encoded state, if there is a snapshot.
        cut_bytes: Length of the incomplete tail that was truncated from the log.
    """

    hard_state: HardState
    log: ReplicaLog
    snapshot_data: bytes | None
    cut_bytes: int


class GroupStorage:
    """Writes and reads the files of one replica; each method returns after syncing.

    Methods that write raise `DiskFailedError`; the contents of the disk are then unknown until the
    next `load`.

    Args:
        disk: The data folder.
        folder: Folder of this group.
    """

    def __init__(self, *, disk: Disk, folder: str) -> None:
        self._disk = disk
        self._folder = folder
        self._log = SegmentedLog(disk=disk, folder=folder)
        self._snapshot_mark: SnapshotMark | None = None
        self._snapshot_data_offset = 0

    def read_identity(self) -> Identity | None:
        """Return the identity of the folder, or None if the folder is empty.

        Raises:
            LogCorruptError: The identity is damaged, or state exists without one.
        """
        names = self._disk.list_names(self._folder)
        if IDENTITY_NAME not in names:
            if any(not name.endswith(TEMPORARY_SUFFIX) for name in names):
                raise LogCorruptError(f"{self._folder} has no identity")
            return None
        return _decode(self._read_single_record(IDENTITY_NAME), Identity)

    def write_identity(self, identity: Identity) -> None:
        """Replace the identity, and create the folder if it doesn't exist.

        Args:
            identity: The new identity.
        """
        self._disk.make_folder(self._folder)
        self._replace(IDENTITY_NAME, msgspec.msgpack.encode(identity))

    def quarantine(self) -> str:
        """Rename the folder, so that an operator can inspect it; return its new name."""
        names = self._disk.list_names(self._folder.rpartition("/")[0])
        number = 1
        while f"{self._folder.rpartition('/')[2]}.corrupt-{number}" in names:
            number += 1
        new_name = f"{self._folder}.corrupt-{number}"
        self._disk.rename_folder(self._folder, new_name)
        return new_name

    def load(self) -> StoredState:
        """Return the state on disk, after truncating an incomplete tail of the log.

        Raises:
            LogCorruptError: A checksum doesn't match, or entries are missing.
        """
        names = self._disk.list_names(self._folder)
        hard_state = HardState()
        if HARD_STATE_NAME in names:
            hard_state = _decode(self._read_single_record(HARD_STATE_NAME), HardState)
        mark, data = self._load_snapshot() if SNAPSHOT_NAME in names else (None, None)
        loaded = self._log.load()
        log = _build_log(loaded.entries, mark)
        if loaded.entries and log.last != loaded.entries[-1].position:
            # A crash occurred in `install_snapshot` between writing the snapshot and clearing the
            # log, so the entries don't follow on from the snapshot.
            self._log.clear()
        return StoredState(
            hard_state=hard_state,
            log=log,
            snapshot_data=data,
            cut_bytes=loaded.cut_bytes,
        )

    def write_first_membership(self, membership: Membership) -> None:
        """Write the first entry of a new group.

        Args:
            membership: The first members.
        """
        self.write_hard_state(HardState(term=FIRST_TERM))
        entry = Entry(
            index=LogIndex(1),
            term=FIRST_TERM,
            kind=EntryKind.MEMBERSHIP,
            membership=membership,
        )
        self.append([entry])

    def write_hard_state(self, state: HardState) -> None:
        """Replace the current term and vote.

        Args:
            state: The new hard state.
        """
        self._replace(HARD_STATE_NAME, msgspec.msgpack.encode(state))

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries; existing entries from the first one's index on are replaced.

        Args:
            entries: The entries, without gaps.
        """
        self._log.append(entries)

    def write_snapshot(self, mark: SnapshotMark, data: bytes, *, base: LogIndex) -> None:
        """Replace the snapshot, and remove segments that are no longer needed.

        Args:
            mark: Position, membership and checksum of the snapshot.
            data: The encoded state.
            base: Last log index that isn't needed any more.
        """
        self._replace_snapshot(mark, data)
        self._log.remove_before(base)

    def install_snapshot(self, mark: SnapshotMark, data: bytes) -> None:
        """Replace the snapshot and the whole log by a snapshot from the leader.

        Args:
            mark: Position, membership and checksum of the snapshot.
            data: The encoded state.
        """
        self._replace_snapshot(mark, data)
        self._log.clear()

    def read_snapshot_part(self, mark: SnapshotMark, offset: int, size_bytes: int) -> bytes | None:
        """Return a part of a snapshot's data, or None if a newer one has replaced it.

        If the snapshot is replaced during the read, the bytes may come from the newer one; the
        receiver detects this by the checksum of the whole data.

        Args:
            mark: The snapshot.
            offset: Offset of the first byte in the data.
            size_bytes: Largest number of bytes to return.
        """
        if mark != self._snapshot_mark:
            return None
        start = self._snapshot_data_offset + offset
        return self._disk.read(
            f"{self._folder}/{SNAPSHOT_NAME}", offset=start, size_bytes=size_bytes
        )

    def discard_log(self) -> None:
        """Remove all entries, which belong to a group whose formation was not completed."""
        self._log.clear()

    def close(self) -> None:
        """Close open files."""
        self._log.close()

    def _load_snapshot(self) -> tuple[SnapshotMark, bytes]:
        raw = self._disk.read(f"{self._folder}/{SNAPSHOT_NAME}")
        record = decode_first_record(raw)
        mark = _decode(record, SnapshotMark)
        self._snapshot_data_offset = HEADER_BYTES + len(record)
        self._snapshot_mark = mark
        data = raw[self._snapshot_data_offset :]
        if len(data) != mark.size_bytes or xxhash.xxh3_64_intdigest(data) != mark.checksum:
            raise LogCorruptError(f"{self._folder}: the snapshot doesn't match its checksum")
        return mark, data

    def _replace_snapshot(self, mark: SnapshotMark, data: bytes) -> None:
        record = encode_record(msgspec.msgpack.encode(mark))
        self._disk.replace(f"{self._folder}/{SNAPSHOT_NAME}", record + data)
        self._snapshot_data_offset = len(record)
        self._snapshot_mark = mark

    def _read_single_record(self, name: str) -> bytes:
        data = self._disk.read(f"{self._folder}/{name}")
        body = decode_first_record(data)
        if len(data) != HEADER_BYTES + len(body):
            raise LogCorruptError(f"{self._folder}/{name} has extra bytes")
        return body

    def _replace(self, name: str, body: bytes) -> None:
        self._disk.replace(f"{self._folder}/{name}", encode_record(body))


def _build_log(entries: Sequence[Entry], mark: SnapshotMark | None) -> ReplicaLog:
    if mark is None:
        if entries and entries[0].index != 1:
            raise LogCorruptError(f"the log starts at {entries[0].index} without a snapshot")
        return ReplicaLog(base=LOG_START, entries=entries)
    if not entries or not _is_contiguous(entries, mark):
        return ReplicaLog(base=mark.position, snapshot=mark)
    if entries[0].index == mark.index + 1:
        return ReplicaLog(base=mark.position, entries=entries, snapshot=mark)
    return ReplicaLog(base=entries[0].position, entries=entries[1:], snapshot=mark)


def _is_contiguous(entries: Sequence[Entry], mark: SnapshotMark) -> bool:
    offset = mark.index - entries[0].index
    if offset < -1:
        raise LogCorruptError(f"entries after the snapshot at {mark.index} are missing")
    if offset == -1:
        return True
    return offset < len(entries) and entries[offset].term == mark.term


def _decode(body: bytes, type_: type[StructT]) -> StructT:
    try:
        return msgspec.msgpack.decode(body, type=type_)
    except DECODE_ERRORS as error:
        raise LogCorruptError(f"{type_.__name__}: {error}") from None
