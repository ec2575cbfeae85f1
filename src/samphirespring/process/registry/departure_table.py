"""Departures of targets by host, as part of the registry's state."""

from collections import OrderedDict
from collections.abc import Iterable

from samphirespring.process.ids import HostId, TargetId
from samphirespring.process.registry.commands import HostDeparture
from samphirespring.process.targets import TargetDeparture

HOST_CAPACITY = 10_000
"""Number of hosts whose departures are kept; those that changed longest ago are dropped first."""

TARGETS_PER_HOST = 16
"""Number of targets of one host whose departures are kept."""


class DepartureTable:
    """The latest departure of each target.

    It changes only with committed commands, so that it is the same on all replicas.
    """

    def __init__(self) -> None:
        self._hosts: OrderedDict[HostId, OrderedDict[TargetId, TargetDeparture]] = OrderedDict()

    def record(self, entry: HostDeparture) -> None:
        """Record a departure, unless a later one of the target is known.

        Args:
            entry: The host and the departure.
        """
        departure = entry.departure
        targets = self._hosts.setdefault(entry.host, OrderedDict())
        known = targets.get(departure.target)
        if known is not None and _get_order(known) >= _get_order(departure):
            return
        targets[departure.target] = departure
        targets.move_to_end(departure.target)
        self._hosts.move_to_end(entry.host)
        if len(targets) > TARGETS_PER_HOST:
            targets.popitem(last=False)
        if len(self._hosts) > HOST_CAPACITY:
            self._hosts.popitem(last=False)

    def list_host(self, host: HostId) -> tuple[TargetDeparture, ...]:
        """Return the departures of a host's targets.

        Args:
            host: The host.
        """
        return tuple(self._hosts.get(host, {}).values())

    def capture(self) -> tuple[HostDeparture, ...]:
        """Return all departures, in the order in which they are dropped."""
        return tuple(
            HostDeparture(host=host, departure=departure)
            for host, targets in self._hosts.items()
            for departure in targets.values()
        )

    def restore(self, entries: Iterable[HostDeparture]) -> None:
        """Replace all departures.

        Args:
            entries: Entries from `capture`.
        """
        self._hosts.clear()
        for entry in entries:
            self.record(entry)


def _get_order(departure: TargetDeparture) -> tuple[int, int]:
    return (departure.started_ms, departure.sequence)
