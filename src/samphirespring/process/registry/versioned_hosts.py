"""Host records ordered by their latest change, so that a delta costs only the changed hosts."""

from samphirespring.process.ids import HostId, RegistryVersion
from samphirespring.process.registry.commands import HostEntry, RegistrySnapshot
from samphirespring.process.targets import HostRecord, RegistryDelta

REMOVAL_CAPACITY = 10_000
"""Number of removed hosts that are kept for deltas."""


class VersionedHosts:
    """The present and recently removed hosts, each with the version of its latest change.

    Args:
        removal_capacity: Number of removed hosts that are kept for deltas.
    """

    def __init__(self, *, removal_capacity: int = REMOVAL_CAPACITY) -> None:
        self._removal_capacity = removal_capacity
        self._entries: dict[HostId, HostEntry] = {}
        self._removed_count = 0
        self._first_version = RegistryVersion(1)
        self.version = RegistryVersion(1)
        """Version of the latest change."""

    def capture_snapshot(self) -> RegistrySnapshot:
        """Return the whole state."""
        return RegistrySnapshot(
            version=self.version,
            first_version=self._first_version,
            entries=tuple(self._entries.values()),
        )

    def restore_snapshot(self, snapshot: RegistrySnapshot) -> None:
        """Replace the whole state.

        Args:
            snapshot: The state.
        """
        self.version = snapshot.version
        self._first_version = snapshot.first_version
        self._entries = {entry.host: entry for entry in snapshot.entries}
        self._removed_count = sum(1 for entry in snapshot.entries if entry.record is None)

    def read_entry(self, host: HostId) -> HostEntry | None:
        """Return the entry of a host, which may be present or removed; None without one.

        Args:
            host: The host.
        """
        return self._entries.get(host)

    def list_present(self) -> tuple[HostEntry, ...]:
        """Return the entries of all present hosts."""
        return tuple(entry for entry in self._entries.values() if entry.record is not None)

    def replace(self, entry: HostEntry) -> None:
        """Replace the entry of a host; its version must not be lower than that of any other entry.

        Args:
            entry: The new entry.
        """
        previous = self._entries.pop(entry.host, None)
        if previous is not None and previous.record is None:
            self._removed_count -= 1
        if entry.record is None:
            self._removed_count += 1
        self._entries[entry.host] = entry

    def trim_removals(self) -> None:
        """Drop the oldest removals beyond the capacity."""
        if self._removed_count <= self._removal_capacity:
            return
        removed = [entry for entry in self._entries.values() if entry.record is None]
        for entry in removed[: self._removed_count - self._removal_capacity]:
            del self._entries[entry.host]
            self._removed_count -= 1
            # A reader with an older version than this removal must get the whole table.
            self._first_version = max(self._first_version, entry.version)

    def read_table(self) -> RegistryDelta:
        """Return the whole table."""
        records = (entry.record for entry in self._entries.values())
        return RegistryDelta(
            since=RegistryVersion(0),
            version=self.version,
            complete=True,
            hosts=tuple(record for record in records if record is not None),
        )

    def read_delta(self, since: RegistryVersion) -> RegistryDelta:
        """Return the changes since a version, or the whole table if they are no longer recorded.

        Args:
            since: The version that the reader has.
        """
        if since < self._first_version or since > self.version:
            return self.read_table()
        hosts: list[HostRecord] = []
        gone: list[HostId] = []
        for entry in reversed(self._entries.values()):
            if entry.version <= since:
                break
            if entry.record is None:
                gone.append(entry.host)
            else:
                hosts.append(entry.record)
        return RegistryDelta(
            since=since,
            version=self.version,
            complete=False,
            hosts=tuple(hosts),
            gone=tuple(gone),
        )
