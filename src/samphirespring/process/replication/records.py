"""Format of records in the files of a write-ahead log: length, checksum and body.

A record is a header and a body. The header is a marker of 4 bytes, the length of the body in 4
bytes, the body's XXH3 checksum in 8 bytes, and an XXH32 checksum of these 16 bytes; numbers are
little-endian. A crash may leave the last record truncated or filled with zeros; a record that is
invalid in any other way was corrupted after it was written. The marker lets a reader find valid
records behind a corrupt one.
"""

import struct

import msgspec
import xxhash

from samphirespring.process.replication.errors import LogCorruptError

MARKER = b"\xa7SLr"
_FIELDS = struct.Struct("<4sIQ")
_FIELDS_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = _FIELDS.size + _FIELDS_CHECKSUM.size
ZERO_FILL_BYTES = 8
"""Number of zeros at the end of a file that indicates a crash before its bytes were written."""


class RecordScan(msgspec.Struct, frozen=True, kw_only=True):
    """Result of scanning a file.

    Attributes:
        bodies: Bodies of the valid records, in order.
        end_offset: Offset of the first byte after the last valid record.
        is_corrupt: Whether the bytes after it are corrupt, and not merely truncated by a crash.
    """

    bodies: tuple[bytes, ...]
    end_offset: int
    is_corrupt: bool


class _Header(msgspec.Struct, frozen=True, kw_only=True):
    length: int
    checksum: int


def encode_record(body: bytes) -> bytes:
    """Return a record's bytes.

    Args:
        body: The body.
    """
    fields = _FIELDS.pack(MARKER, len(body), xxhash.xxh3_64_intdigest(body))
    return fields + _FIELDS_CHECKSUM.pack(xxhash.xxh32_intdigest(fields)) + body


def decode_first_record(data: bytes) -> bytes:
    """Return the body of a file's first record.

    Args:
        data: The file's bytes.

    Raises:
        LogCorruptError: The bytes don't start with a valid record.
    """
    body = _read_record(data, 0)
    if body is None:
        raise LogCorruptError("the file doesn't match its checksum")
    return body


def scan_records(data: bytes) -> RecordScan:
    """Return the valid records from the start of a file, and whether the rest is corrupt.

    Args:
        data: The file's bytes.
    """
    bodies = []
    offset = 0
    while (body := _read_record(data, offset)) is not None:
        bodies.append(body)
        offset += HEADER_BYTES + len(body)
    return RecordScan(
        bodies=tuple(bodies),
        end_offset=offset,
        is_corrupt=not _is_cut_short(data, offset) or _has_record_after(data, offset),
    )


def _read_record(data: bytes, offset: int) -> bytes | None:
    header = _read_header(data, offset)
    if header is None:
        return None
    start = offset + HEADER_BYTES
    body = data[start : start + header.length]
    return body if xxhash.xxh3_64_intdigest(body) == header.checksum else None


def _read_header(data: bytes, offset: int) -> _Header | None:
    if len(data) - offset < HEADER_BYTES:
        return None
    marker, length, checksum = _FIELDS.unpack_from(data, offset)
    (fields_checksum,) = _FIELDS_CHECKSUM.unpack_from(data, offset + _FIELDS.size)
    fields = data[offset : offset + _FIELDS.size]
    if marker != MARKER or xxhash.xxh32_intdigest(fields) != fields_checksum:
        return None
    return _Header(length=length, checksum=checksum)


def _is_cut_short(data: bytes, offset: int) -> bool:
    rest_bytes = len(data) - offset
    if rest_bytes < HEADER_BYTES or data.endswith(bytes(ZERO_FILL_BYTES)):
        return True
    if not any(data[offset + HEADER_BYTES :]):
        # No body is empty or all zeros, so the crash happened while the header was written.
        return True
    header = _read_header(data, offset)
    return header is not None and rest_bytes < HEADER_BYTES + header.length


def _has_record_after(data: bytes, offset: int) -> bool:
    found = data.find(MARKER, offset + 1)
    while found >= 0:
        if _read_record(data, found) is not None:
            return True
        found = data.find(MARKER, found + 1)
    return False
