"""Stores the last document of a node in its data folder."""

import hashlib
import os
from pathlib import Path

import msgspec

from samphirespring.process.errors import DECODE_ERRORS, ErrorCode, SamphireError
from samphirespring.version.section_set import DeltaInvalidError, DocumentDelta, SectionSet
from samphirespring.version.stamp import NO_STAMP

FILE_NAME = "document.bin"
MAGIC = b"SAMPHDOC1"


class DocumentFileInvalidError(SamphireError):
    """The file is unreadable or doesn't hold a complete document."""

    code = ErrorCode.DOCUMENT_FILE_INVALID


class DocumentFile:
    """One file that is replaced atomically: a crash leaves the old or the new document.

    Args:
        folder: The data folder.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._path = folder / FILE_NAME

    def load(self) -> SectionSet | None:
        """Return the saved document, or None if there is none.

        Raises:
            DocumentFileInvalidError: The file is damaged or can't be read.
        """
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise DocumentFileInvalidError(f"{self._path}: {error.strerror}") from None
        try:
            return _decode(data)
        except (*DECODE_ERRORS, DeltaInvalidError) as error:
            raise DocumentFileInvalidError(f"{self._path}: {error}") from None

    def save(self, sections: SectionSet) -> None:
        """Replace the saved document and return once it is synced to disk.

        Args:
            sections: The document.

        Raises:
            OSError: The folder can't be written.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        temporary = self._path.with_suffix(".tmp")
        with open(temporary, "wb") as file:
            file.write(_encode(sections))
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self._path)
        _sync_folder(self._folder)


def _encode(sections: SectionSet) -> bytes:
    body = msgspec.msgpack.encode(sections.make_delta(NO_STAMP))
    return MAGIC + hashlib.sha256(body).digest() + body


def _decode(data: bytes) -> SectionSet:
    start = len(MAGIC) + hashlib.sha256().digest_size
    body = data[start:]
    if data[: len(MAGIC)] != MAGIC or hashlib.sha256(body).digest() != data[len(MAGIC) : start]:
        raise DeltaInvalidError("the checksum doesn't match")
    return SectionSet().apply_delta(msgspec.msgpack.decode(body, type=DocumentDelta))


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
