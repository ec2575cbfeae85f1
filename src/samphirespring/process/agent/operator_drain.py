"""Records which targets of a host operators drain; kept in memory until the process ends."""

from samphirespring.process.ids import TargetId


class OperatorDrain:
    """Drains that operators requested, of the whole host or of single targets."""

    def __init__(self) -> None:
        self.whole_host = False
        self._targets: set[TargetId] = set()

    def set(self, target: TargetId | None, *, draining: bool) -> None:
        """Start or end a drain.

        Args:
            target: The target; None means the whole host.
            draining: Whether the drain starts.
        """
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
