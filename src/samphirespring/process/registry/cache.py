"""Copy of the registry on a node, updated and read through deltas."""

from samphirespring.process.ids import HostId, Incarnation, RegistryVersion
from samphirespring.process.registry.commands import HostEntry, RegistrySnapshot
from samphirespring.process.registry.versioned_hosts import VersionedHosts
from samphirespring.process.targets import HostRecord, RegistryDelta


class RegistryCache:
    """The registry as received in deltas.

    A host's version is the version of the delta that contained it. It is never lower than the
    host's version in the registry, so a reader gets at least all changes since its own version.
    """

    def __init__(self) -> None:
        self._hosts = VersionedHosts()
        self._has_table = False

    @property
    def version(self) -> RegistryVersion:
        """Version of the registry, or 0 before the first delta."""
        return self._hosts.version if self._has_table else RegistryVersion(0)

    def apply(self, delta: RegistryDelta) -> None:
        """Apply a delta whose `since` is this cache's version, or a whole table.

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
        """Return the changes since a version, or None before the first delta.

        A reader with a higher version gets an empty delta with this cache's version.

        Args:
            since: The version that the reader has.
        """
        if not self._has_table:
            return None
        if since > self._hosts.version:
            return RegistryDelta(since=since, version=self._hosts.version, complete=False)
        return self._hosts.read_delta(since)

    def _replace_table(self, delta: RegistryDelta) -> None:
        # A whole table doesn't list earlier removals, so readers with an older version must get the
        # whole table, too.
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
