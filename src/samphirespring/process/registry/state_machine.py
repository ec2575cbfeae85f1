"""State machine of the registry: versioned host records and recent removals."""

from typing import ClassVar

import msgspec

from samphirespring.process.ids import HostId, LogIndex, RegistryVersion, TargetId
from samphirespring.process.registry.commands import (
    ChangeHosts,
    HostEntry,
    HostRemoval,
    HostsChanged,
    RegistrySnapshot,
)
from samphirespring.process.registry.departure_table import DepartureTable
from samphirespring.process.registry.drain_table import DrainTable
from samphirespring.process.registry.versioned_hosts import REMOVAL_CAPACITY, VersionedHosts
from samphirespring.process.replication.state_machine import StateMachine
from samphirespring.process.targets import HostRecord, RegistryDelta, TargetDeparture


class RegistryStateMachine(StateMachine[ChangeHosts, HostsChanged, RegistrySnapshot]):
    """Applies committed changes to the hosts of the registry.

    Args:
        removal_capacity: Number of removed hosts that are kept for deltas.
    """

    command_type: ClassVar[object] = ChangeHosts
    result_type: ClassVar[object] = HostsChanged
    snapshot_type: ClassVar[object] = RegistrySnapshot

    def __init__(self, *, removal_capacity: int = REMOVAL_CAPACITY) -> None:
        self._hosts = VersionedHosts(removal_capacity=removal_capacity)
        self._departures = DepartureTable()
        self._drains = DrainTable()
        self._hosts_by_address: dict[str, HostId] = {}
        """The present host at each link address."""

    @property
    def version(self) -> RegistryVersion:
        """Version of the registry."""
        return self._hosts.version

    def apply(self, *, index: LogIndex, command: ChangeHosts) -> HostsChanged:
        """Apply the changes that are newer than the recorded state; drop the others."""
        for entry in command.departures:
            self._departures.record(entry)
        for drain in command.drains:
            self._drains.apply(drain)
        version = RegistryVersion(self._hosts.version + 1)
        changed = [host for record in command.records for host in self._put(record, version)]
        changed += [removal.host for removal in command.removals if self._remove(removal, version)]
        if changed:
            self._hosts.version = version
            self._hosts.trim_removals()
        return HostsChanged(version=self._hosts.version, changed=tuple(changed))

    def capture_snapshot(self) -> RegistrySnapshot:
        """Return the whole registry."""
        return msgspec.structs.replace(
            self._hosts.capture_snapshot(),
            departures=self._departures.capture(),
            drains=self._drains.capture(),
        )

    def restore_snapshot(self, snapshot: RegistrySnapshot) -> None:
        """Replace the whole registry."""
        self._hosts.restore_snapshot(snapshot)
        self._departures.restore(snapshot.departures)
        self._drains.restore(snapshot.drains)
        self._hosts_by_address = {
            entry.record.link_address: entry.host
            for entry in self._hosts.list_present()
            if entry.record is not None
        }

    def read_entry(self, host: HostId) -> HostEntry | None:
        """Return the entry of a host, which may be present or removed; None without one.

        Args:
            host: The host.
        """
        return self._hosts.read_entry(host)

    def list_departures(self, host: HostId) -> tuple[TargetDeparture, ...]:
        """Return the departures of a host's targets.

        Args:
            host: The host, which may be removed.
        """
        return self._departures.list_host(host)

    def list_drained(self, host: HostId) -> tuple[TargetId | None, ...]:
        """Return the targets of a host that operators drain; None stands for all of them.

        Args:
            host: The host, which may be removed.
        """
        return self._drains.list_host(host)

    def list_present(self) -> tuple[HostEntry, ...]:
        """Return the entries of all present hosts."""
        return self._hosts.list_present()

    def read_table(self) -> RegistryDelta:
        """Return the whole table."""
        return self._hosts.read_table()

    def read_delta(self, since: RegistryVersion) -> RegistryDelta:
        """Return the changes since a version, or the whole table if they are no longer recorded.

        Args:
            since: The version that the reader has.
        """
        return self._hosts.read_delta(since)

    def _put(self, record: HostRecord, version: RegistryVersion) -> list[HostId]:
        """Apply a host's record and return the hosts that change; an outdated record changes none.

        If another host had the link address, that host is removed: it is no longer reachable there.
        The incarnations of two hosts can't be compared, because they come from different clocks.
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
    # A removed host may come back with the record that it had before.
    return order < current_order or (order == current_order and current.record is not None)
