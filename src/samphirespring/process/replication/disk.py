"""File access to the data folder, behind an abstract base class that tests replace."""

import os
from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from samphirespring.process.replication.errors import DiskFailedError

TEMPORARY_SUFFIX = ".tmp"


class AppendFile(ABC):
    """An append-only file."""

    @property
    @abstractmethod
    def size_bytes(self) -> int:
        """Number of bytes written, synced or not."""

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Append bytes; they are durable only after `sync`.

        Args:
            data: The bytes.

        Raises:
            DiskFailedError: Not all bytes were written.
        """

    @abstractmethod
    def sync(self) -> None:
        """Sync all written bytes to disk.

        Raises:
            DiskFailedError: Written bytes may be lost.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the file."""


class Disk(ABC):
    """Files below one data folder; names are relative paths separated by `/`.

    Each method raises `DiskFailedError` when the operating system reports an error.
    """

    @abstractmethod
    def make_folder(self, name: str) -> None:
        """Create a folder and its parents, and sync their directory entries.

        Args:
            name: Name of the folder.
        """

    @abstractmethod
    def list_names(self, folder: str) -> tuple[str, ...]:
        """Return the sorted names in a folder; empty if the folder doesn't exist.

        Args:
            folder: Name of the folder.
        """

    @abstractmethod
    def read(self, name: str, *, offset: int = 0, size_bytes: int | None = None) -> bytes:
        """Return a file's bytes.

        Args:
            name: Name of the file.
            offset: Offset of the first byte.
            size_bytes: Largest number of bytes; None reads to the end.
        """

    @abstractmethod
    def open_append(self, name: str) -> AppendFile:
        """Open a file for appending; a new file is durable only after `sync_folder`.

        Args:
            name: Name of the file.
        """

    @abstractmethod
    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and sync it: after a crash it has its old or its new bytes.

        Args:
            name: Name of the file.
            data: The new bytes.
        """

    @abstractmethod
    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file and sync it.

        Args:
            name: Name of the file.
            size_bytes: Size after the truncation.
        """

    @abstractmethod
    def remove(self, name: str) -> None:
        """Remove a file; the removal is durable only after `sync_folder`.

        Args:
            name: Name of the file.
        """

    @abstractmethod
    def rename_folder(self, name: str, new_name: str) -> None:
        """Rename a folder and sync the new name.

        Args:
            name: Name of the folder.
            new_name: New name, in the same parent.
        """

    @abstractmethod
    def sync_folder(self, name: str) -> None:
        """Sync the directory entries of a folder.

        Args:
            name: Name of the folder.
        """


class FolderDisk(Disk):
    """A data folder in the local file system.

    Args:
        root: The data folder.
    """

    def __init__(self, root: Path) -> None:
        self._root = root

    def make_folder(self, name: str) -> None:
        """Create a folder and its parents, and sync their directory entries."""
        with _convert_errors(name):
            path = self._root / name
            path.mkdir(parents=True, exist_ok=True)
            for folder in (path, *path.relative_to(self._root).parents):
                _sync_path(self._root / folder)
            _sync_path(self._root.parent)

    def list_names(self, folder: str) -> tuple[str, ...]:
        """Return the sorted names in a folder."""
        with _convert_errors(folder):
            path = self._root / folder
            return tuple(sorted(os.listdir(path))) if path.is_dir() else ()

    def read(self, name: str, *, offset: int = 0, size_bytes: int | None = None) -> bytes:
        """Return a file's bytes."""
        with _convert_errors(name), open(self._root / name, "rb") as file:
            file.seek(offset)
            return file.read() if size_bytes is None else file.read(size_bytes)

    def open_append(self, name: str) -> AppendFile:
        """Open a file for appending."""
        with _convert_errors(name):
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            return _DescriptorFile(name, os.open(self._root / name, flags, 0o600))

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and sync it."""
        path = self._root / name
        temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
        with _convert_errors(name):
            with open(temporary, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, path)
            _sync_path(path.parent)

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file and sync it."""
        with _convert_errors(name), open(self._root / name, "r+b") as file:
            file.truncate(size_bytes)
            os.fsync(file.fileno())

    def remove(self, name: str) -> None:
        """Remove a file."""
        with _convert_errors(name):
            (self._root / name).unlink(missing_ok=True)

    def rename_folder(self, name: str, new_name: str) -> None:
        """Rename a folder and sync the new name."""
        with _convert_errors(name):
            path = self._root / name
            path.rename(self._root / new_name)
            _sync_path(path.parent)

    def sync_folder(self, name: str) -> None:
        """Sync the directory entries of a folder."""
        with _convert_errors(name):
            _sync_path(self._root / name)


class _DescriptorFile(AppendFile):
    def __init__(self, name: str, descriptor: int) -> None:
        self._name = name
        self._descriptor = descriptor
        self._size_bytes = os.fstat(descriptor).st_size

    @property
    def size_bytes(self) -> int:
        return self._size_bytes

    def write(self, data: bytes) -> None:
        with _convert_errors(self._name):
            view = memoryview(data)
            while view:
                count = os.write(self._descriptor, view)
                if count == 0:
                    raise DiskFailedError(f"{self._name}: no byte was written")
                self._size_bytes += count
                view = view[count:]

    def sync(self) -> None:
        with _convert_errors(self._name):
            os.fdatasync(self._descriptor)

    def close(self) -> None:
        with _convert_errors(self._name):
            os.close(self._descriptor)


@contextmanager
def _convert_errors(name: str) -> Iterator[None]:
    try:
        yield
    except OSError as error:
        raise DiskFailedError(f"{name}: {error.strerror}") from None


def _sync_path(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
