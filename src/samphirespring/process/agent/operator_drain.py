"""Targets of a host that operators drain; the registry keeps them over restarts of the process."""

from collections.abc import Iterable

from samphirespring.process.ids import TargetId


class OperatorDrain:
    """Drains that operators requested, of the whole host or of single targets."""

    def __init__(self) -> None:
        self.whole_host = False
        self._targets: set[TargetId] = set()
        self._requested: set[TargetId | None] = set()
        """What operators drained, or ended the drain of, since this process started."""

    def set(self, target: TargetId | None, *, draining: bool) -> None:
        """Start or end a drain.

        Args:
            target: The target; None means the whole host.
            draining: Whether the drain starts.
        """
        self._requested.add(target)
        self._apply(target, draining=draining)

    def restore(self, drained: Iterable[TargetId | None]) -> None:
        """Use the recorded drains, but for those that were changed since this process started.

        Args:
            drained: The targets; None means the whole host.
        """
        for target in drained:
            if target not in self._requested:
                self._apply(target, draining=True)

    def _apply(self, target: TargetId | None, *, draining: bool) -> None:
        if target is None:
            self.whole_host = draining
        elif draining:
            self._targets.add(target)
        else:
            self._targets.discard(target)

    def covers(self, target: TargetId) -> bool:
        """Return whether a target is drained.

        Args:
            target: The target.
        """
        return self.whole_host or target in self._targets

    def read_targets(self) -> tuple[TargetId, ...]:
        """Return the individually drained targets in sorted order."""
        return tuple(sorted(self._targets))
