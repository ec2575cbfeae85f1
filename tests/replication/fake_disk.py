"""A data folder in memory that loses unsynced writes at a crash."""

from samphirespring.process.replication.disk import TEMPORARY_SUFFIX, AppendFile, Disk
from samphirespring.process.replication.errors import DiskFailedError


class _File:
    def __init__(self, data=b""):
        self.data = bytearray(data)
        self.synced = bytes(data)


class FakeDisk(Disk):
    """Holds names and bytes in two versions: as written, and as synced."""

    def __init__(self):
        self.names = {}
        self.synced_names = {}
        self.is_failed = False
        self.is_full = False
        """Whether a write puts only a part of its bytes, and new names and replacements fail."""
        self.ignores_sync = False

    def crash(self, random):
        """Lose unsynced names and all but a random part of unsynced bytes, maybe zero-filled."""
        self.names = dict(self.synced_names)
        for file in self.names.values():
            tail = bytes(file.data[len(file.synced) :])
            kept = bytearray(tail[: random.randint(0, len(tail))])
            if random.random() < 0.5:
                kept += bytes(random.randint(0, len(tail) - len(kept)))
            file.data = bytearray(file.synced + kept)
            file.synced = bytes(file.data)

    def damage(self, name, offset):
        """Change one synced byte."""
        file = self.names[name]
        file.data[offset] ^= 0xFF
        file.synced = bytes(file.data)

    def check(self, name):
        if self.is_failed:
            raise DiskFailedError(f"{name}: no space left on device")

    def check_space(self, name):
        self.check(name)
        if self.is_full:
            raise DiskFailedError(f"{name}: no space left on device")

    def make_folder(self, name):
        self.check(name)

    def list_names(self, folder):
        self.check(folder)
        prefix = f"{folder}/"
        parts = {n[len(prefix) :].split("/")[0] for n in self.names if n.startswith(prefix)}
        return tuple(sorted(parts))

    def read(self, name, *, offset=0, size_bytes=None):
        self.check(name)
        data = bytes(self.names[name].data)
        return data[offset:] if size_bytes is None else data[offset : offset + size_bytes]

    def open_append(self, name):
        if name not in self.names:
            self.check_space(name)
        self.check(name)
        return _FakeAppendFile(self, name, self.names.setdefault(name, _File()))

    def replace(self, name, data):
        assert not name.endswith(TEMPORARY_SUFFIX)
        self.check_space(name)
        self.names[name] = self.synced_names[name] = _File(data)

    def truncate(self, name, size_bytes):
        self.check(name)
        file = self.names[name]
        del file.data[size_bytes:]
        file.synced = bytes(file.data)

    def remove(self, name):
        self.check(name)
        self.names.pop(name, None)

    def rename_folder(self, name, new_name):
        self.check(name)
        for names in (self.names, self.synced_names):
            for old in [n for n in names if n.startswith(f"{name}/")]:
                names[new_name + old[len(name) :]] = names.pop(old)

    def sync_folder(self, name):
        self.check(name)
        prefix = f"{name}/"
        for synced in [n for n in self.synced_names if n.startswith(prefix)]:
            if synced not in self.names:
                del self.synced_names[synced]
        for written, file in self.names.items():
            if written.startswith(prefix):
                self.synced_names[written] = file


class _FakeAppendFile(AppendFile):
    def __init__(self, disk, name, file):
        self._disk = disk
        self._name = name
        self._file = file

    @property
    def size_bytes(self):
        return len(self._file.data)

    def write(self, data):
        self._disk.check(self._name)
        if self._disk.is_full:
            self._file.data += data[: len(data) // 2]
        self._disk.check_space(self._name)
        self._file.data += data

    def sync(self):
        self._disk.check(self._name)
        if not self._disk.ignores_sync:
            self._file.synced = bytes(self._file.data)

    def close(self):
        pass
