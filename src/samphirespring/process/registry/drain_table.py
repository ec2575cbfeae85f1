"""Drains that operators requested, as part of the registry's state."""

from collections.abc import Iterable

from samphirespring.process.ids import HostId, TargetId
from samphirespring.process.registry.commands import HostDrain

CAPACITY = 10_000
"""Number of drains that are kept; the oldest are dropped first."""


class DrainTable:
    """The drains that haven't ended, in the order in which they began.

    It changes only with committed commands, so that it is the same on all replicas.
    """

    def __init__(self) -> None:
        self._drains: dict[tuple[HostId, TargetId | None], HostDrain] = {}

    def apply(self, drain: HostDrain) -> None:
        """Record the start of a drain, or drop a drain that has ended.

        Args:
            drain: The start or the end.
        """
        key = (drain.host, drain.target)
        if not drain.draining:
            self._drains.pop(key, None)
            return
        self._drains.setdefault(key, drain)
        if len(self._drains) > CAPACITY:
            del self._drains[next(iter(self._drains))]

    def list_host(self, host: HostId) -> tuple[TargetId | None, ...]:
        """Return the drained targets of a host; None stands for all of them.

        Args:
            host: The host.
        """
        return tuple(drain.target for drain in self._drains.values() if drain.host == host)

    def capture(self) -> tuple[HostDrain, ...]:
        """Return all drains."""
        return tuple(self._drains.values())

    def restore(self, drains: Iterable[HostDrain]) -> None:
        """Replace all drains.

        Args:
            drains: Drains from `capture`.
        """
        self._drains.clear()
        for drain in drains:
            self.apply(drain)
