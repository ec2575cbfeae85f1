"""Host records in the order of their latest change, so that a delta costs what changed."""

from samphirespring.process.ids import HostId, RegistryVersion
from samphirespring.process.registry.commands import HostEntry, RegistrySnapshot
from samphirespring.process.targets import HostRecord, RegistryDelta

REMOVAL_CAPACITY = 10_000
"""Removed hosts that are remembered for deltas."""


class VersionedHosts:
    """The hosts of the registry, present and lately removed, each with the version of its change.

    Args:
        removal_capacity: Removed hosts that are remembered for deltas.
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
        """Return what is known of a host, also after its removal.

        Args:
            host: The host.
        """
        return self._entries.get(host)

    def list_present(self) -> tuple[HostEntry, ...]:
        """Return the hosts that are not removed."""
        return tuple(entry for entry in self._entries.values() if entry.record is not None)

    def replace(self, entry: HostEntry) -> None:
        """Set what is known of a host; its version must not be lower than any other.

        Args:
            entry: What is known.
        """
        previous = self._entries.pop(entry.host, None)
        if previous is not None and previous.record is None:
            self._removed_count -= 1
        if entry.record is None:
            self._removed_count += 1
        self._entries[entry.host] = entry

    def trim_removals(self) -> None:
        """Forget the oldest removals beyond the capacity."""
        if self._removed_count <= self._removal_capacity:
            return
        removed = [entry for entry in self._entries.values() if entry.record is None]
        for entry in removed[: self._removed_count - self._removal_capacity]:
            del self._entries[entry.host]
            self._removed_count -= 1
            # Who knows less than this removal must get the whole table.
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
        """Return what changed since a version, or the whole table where that isn't known.

        Args:
            since: The version that the asker knows.
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
