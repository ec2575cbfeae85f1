"""Holds back first announcements of targets until it is known which targets have left."""

import msgspec

from samphirespring.process.agent.agent_messages import Announcement
from samphirespring.process.ids import TargetId

LOAD_TIMEOUT_S = 2.0
"""Time after the start from which targets are accepted without the record of departures, if they
announce themselves again, in seconds."""

REPEAT_INTERVAL_S = 1.0
"""Time between two announcements that show that a target still announces itself, in seconds."""

MAX_HELD = 1_000


class HeldAnnouncement(msgspec.Struct, frozen=True, kw_only=True):
    """The latest announcement of a target that isn't accepted yet.

    Attributes:
        announcement: The announcement.
        first_at_s: When the target announced itself first, in seconds of monotonic time.
    """

    announcement: Announcement
    first_at_s: float


class DepartureGuard:
    """Decides whether a target that this process doesn't know yet may be accepted.

    An announcement may be late: the target may have left since, and an earlier process of this host
    may have confirmed that. Until the record of departures has been read, first announcements are
    held back. If it can't be read for long, a target is accepted once it has announced itself
    again after a while, which a single late announcement doesn't do.

    Args:
        is_loaded: Whether there is no record to wait for.
        now_s: Monotonic time, in seconds.
    """

    def __init__(self, *, is_loaded: bool, now_s: float) -> None:
        self.is_loaded = is_loaded
        """Whether the record of departures is known."""

        self._started_at_s = now_s
        self._held: dict[TargetId, HeldAnnouncement] = {}

    def admits(self, target: TargetId, announcement: Announcement, *, now_s: float) -> bool:
        """Return whether an announcement of an unknown target is accepted; hold it if not.

        Args:
            target: The target.
            announcement: The announcement, which isn't older than the target's earlier ones.
            now_s: Monotonic time, in seconds.
        """
        if self.is_loaded:
            return True
        held = self._held.get(target)
        first_at_s = now_s if held is None else held.first_at_s
        has_waited = now_s - self._started_at_s >= LOAD_TIMEOUT_S
        if has_waited and now_s - first_at_s >= REPEAT_INTERVAL_S:
            self._held.pop(target, None)
            return True
        if held is not None or len(self._held) < MAX_HELD:
            self._held[target] = HeldAnnouncement(announcement=announcement, first_at_s=first_at_s)
        return False

    def drop(self, target: TargetId) -> None:
        """Forget the announcement that is held for a target.

        Args:
            target: The target.
        """
        self._held.pop(target, None)

    def finish(self) -> dict[TargetId, Announcement]:
        """Record that the departures are known, and return the announcements that were held."""
        self.is_loaded = True
        released = {target: held.announcement for target, held in self._held.items()}
        self._held.clear()
        return released
