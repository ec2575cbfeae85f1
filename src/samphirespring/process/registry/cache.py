"""Copy of the registry on a node, kept by deltas and read by deltas."""

from samphirespring.process.ids import HostId, Incarnation, RegistryVersion
from samphirespring.process.registry.commands import HostEntry, RegistrySnapshot
from samphirespring.process.registry.versioned_hosts import VersionedHosts
from samphirespring.process.targets import HostRecord, RegistryDelta


class RegistryCache:
    """The registry as deltas have brought it.

    A host counts as changed by the version of the delta that brought it. That version is never
    lower than the true one, so a reader gets at least what changed since the version it knows.
    """

    def __init__(self) -> None:
        self._hosts = VersionedHosts()
        self._has_table = False

    @property
    def version(self) -> RegistryVersion:
        """Version of the registry, or 0 before the first delta."""
        return self._hosts.version if self._has_table else RegistryVersion(0)

    def apply(self, delta: RegistryDelta) -> None:
        """Take in a delta whose `since` is this mirror's version, or a whole table.

        Args:
            delta: The delta.
        """
        if delta.complete:
            self._replace_table(delta)
            return
        for record in delta.hosts:
            self._hosts.replace(_make_entry(record, version=delta.version))
        for host in delta.gone:
            self._hosts.replace(_make_removal(host, version=delta.version))
        self._hosts.version = delta.version
        self._hosts.trim_removals()

    def read_delta(self, since: RegistryVersion) -> RegistryDelta | None:
        """Return what changed since a version, or None before the first delta.

        A reader that knows a higher version gets an empty delta with this mirror's version.

        Args:
            since: The version that the asker knows.
        """
        if not self._has_table:
            return None
        if since > self._hosts.version:
            return RegistryDelta(since=since, version=self._hosts.version, complete=False)
        return self._hosts.read_delta(since)

    def _replace_table(self, delta: RegistryDelta) -> None:
        # What was removed before is not in a whole table: older readers need the table too.
        self._hosts.restore_snapshot(
            RegistrySnapshot(
                version=delta.version,
                first_version=delta.version,
                entries=tuple(_make_entry(record, version=delta.version) for record in delta.hosts),
            )
        )
        self._has_table = True


def _make_entry(record: HostRecord, *, version: RegistryVersion) -> HostEntry:
    return HostEntry(
        host=record.locality.host,
        version=version,
        incarnation=record.incarnation,
        sequence=record.sequence,
        record=record,
    )


def _make_removal(host: HostId, *, version: RegistryVersion) -> HostEntry:
    return HostEntry(
        host=host, version=version, incarnation=Incarnation(0), sequence=0, record=None
    )
