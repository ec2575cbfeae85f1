"""Commands, results and snapshots of the registry's replicated log."""

import msgspec

from samphirespring.process.ids import HostId, Incarnation, RegistryVersion, TargetId
from samphirespring.process.targets import HostRecord, TargetDeparture


class HostRemoval(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Removes a host, unless the registry has a newer record of it."""

    host: HostId
    incarnation: Incarnation
    sequence: int


class HostDeparture(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Departure of a target on a host."""

    host: HostId
    departure: TargetDeparture


class HostDrain(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Start or end of a drain that an operator requested."""

    host: HostId
    target: TargetId | None
    """The target; None means all targets of the host."""

    draining: bool


class ChangeHosts(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Changes of some hosts, applied together."""

    records: tuple[HostRecord, ...] = ()
    removals: tuple[HostRemoval, ...] = ()
    departures: tuple[HostDeparture, ...] = ()
    drains: tuple[HostDrain, ...] = ()


class HostsChanged(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Result of a change."""

    version: RegistryVersion
    changed: tuple[HostId, ...]


class HostEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One host in a snapshot, present or removed."""

    host: HostId
    version: RegistryVersion
    """Version of the registry at the host's latest change."""

    incarnation: Incarnation
    sequence: int
    record: HostRecord | None
    """The host's record; None if the host was removed."""


class RegistrySnapshot(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The whole registry, with its entries ordered by version."""

    version: RegistryVersion
    first_version: RegistryVersion
    """Oldest version from which a delta can be computed."""

    entries: tuple[HostEntry, ...]
    departures: tuple[HostDeparture, ...] = ()
    drains: tuple[HostDrain, ...] = ()
    """The drains that haven't ended."""
