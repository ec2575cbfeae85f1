"""State machine of the registry: host records with versions, and removals for a while."""

from typing import ClassVar

import msgspec

from samphirespring.process.ids import HostId, LogIndex, RegistryVersion
from samphirespring.process.registry.commands import (
    ChangeHosts,
    HostEntry,
    HostRemoval,
    HostsChanged,
    RegistrySnapshot,
)
from samphirespring.process.registry.versioned_hosts import REMOVAL_CAPACITY, VersionedHosts
from samphirespring.process.replication.state_machine import StateMachine
from samphirespring.process.targets import HostRecord, RegistryDelta


class RegistryStateMachine(StateMachine[ChangeHosts, HostsChanged, RegistrySnapshot]):
    """Applies committed changes to the hosts of the registry.

    Args:
        removal_capacity: Removed hosts that are remembered for deltas.
    """

    command_type: ClassVar[object] = ChangeHosts
    result_type: ClassVar[object] = HostsChanged
    snapshot_type: ClassVar[object] = RegistrySnapshot

    def __init__(self, *, removal_capacity: int = REMOVAL_CAPACITY) -> None:
        self._hosts = VersionedHosts(removal_capacity=removal_capacity)
        self._hosts_by_address: dict[str, HostId] = {}
        """The present host that has each link address."""

    @property
    def version(self) -> RegistryVersion:
        """Version of the registry."""
        return self._hosts.version

    def apply(self, *, index: LogIndex, command: ChangeHosts) -> HostsChanged:
        """Apply the changes that are newer than what is known; the others are dropped."""
        version = RegistryVersion(self._hosts.version + 1)
        changed = [host for record in command.records for host in self._put(record, version)]
        changed += [removal.host for removal in command.removals if self._remove(removal, version)]
        if changed:
            self._hosts.version = version
            self._hosts.trim_removals()
        return HostsChanged(version=self._hosts.version, changed=tuple(changed))

    def capture_snapshot(self) -> RegistrySnapshot:
        """Return the whole registry."""
        return self._hosts.capture_snapshot()

    def restore_snapshot(self, snapshot: RegistrySnapshot) -> None:
        """Replace the whole registry."""
        self._hosts.restore_snapshot(snapshot)
        self._hosts_by_address = {
            entry.record.link_address: entry.host
            for entry in self._hosts.list_present()
            if entry.record is not None
        }

    def read_entry(self, host: HostId) -> HostEntry | None:
        """Return what is known of a host, also after its removal.

        Args:
            host: The host.
        """
        return self._hosts.read_entry(host)

    def list_present(self) -> tuple[HostEntry, ...]:
        """Return the hosts that are not removed."""
        return self._hosts.list_present()

    def read_table(self) -> RegistryDelta:
        """Return the whole table."""
        return self._hosts.read_table()

    def read_delta(self, since: RegistryVersion) -> RegistryDelta:
        """Return what changed since a version, or the whole table where that isn't known.

        Args:
            since: The version that the asker knows.
        """
        return self._hosts.read_delta(since)

    def _put(self, record: HostRecord, version: RegistryVersion) -> list[HostId]:
        """Take a host's record; return the hosts that change: none for an old record.

        Where another host had the link address, the one that reports has it now: nobody reaches
        the other one there. Clocks of two hosts don't tell which one started later.
        """
        host = record.locality.host
        current = self._hosts.read_entry(host)
        if current is not None and _is_older(record, current):
            return []
        if current is not None:
            self._release_address(current)
        changed = [host]
        other_host = self._hosts_by_address.get(record.link_address)
        other = None if other_host is None else self._hosts.read_entry(other_host)
        if other is not None:
            self._mark_removed(other, version)
            changed.append(other.host)
        self._hosts_by_address[record.link_address] = host
        self._hosts.replace(
            HostEntry(
                host=host,
                version=version,
                incarnation=record.incarnation,
                sequence=record.sequence,
                record=record,
            )
        )
        return changed

    def _remove(self, removal: HostRemoval, version: RegistryVersion) -> bool:
        current = self._hosts.read_entry(removal.host)
        if current is None or current.record is None:
            return False
        if (current.incarnation, current.sequence) > (removal.incarnation, removal.sequence):
            return False
        self._mark_removed(current, version)
        return True

    def _mark_removed(self, entry: HostEntry, version: RegistryVersion) -> None:
        """Remove a host that is present."""
        self._release_address(entry)
        self._hosts.replace(msgspec.structs.replace(entry, version=version, record=None))

    def _release_address(self, entry: HostEntry) -> None:
        if entry.record is not None:
            del self._hosts_by_address[entry.record.link_address]


def _is_older(record: HostRecord, current: HostEntry) -> bool:
    order = (record.incarnation, record.sequence)
    current_order = (current.incarnation, current.sequence)
    # A host that was removed comes back with what it told last.
    return order < current_order or (order == current_order and current.record is not None)
