"""Orders announcements of a target, which may be delayed or belong to an earlier start."""

from collections import OrderedDict

from samphirespring.process.agent.agent_messages import Announcement
from samphirespring.process.ids import TargetId
from samphirespring.process.targets import TargetDeparture

TRACKED_TARGETS = 1_000
"""Maximum number of targets whose latest announcement is tracked, also after a withdrawal."""

WITHDRAWN_SEQUENCE = 1 << 62
"""Sequence number of a withdrawal; higher than any announcement of the withdrawn start."""


class AnnouncementOrder:
    """Rejects announcements older than the latest one of their target.

    Args:
        capacity: Largest number of tracked targets.
    """

    def __init__(self, *, capacity: int = TRACKED_TARGETS) -> None:
        self._capacity = capacity
        self._latest: OrderedDict[TargetId, tuple[int, int]] = OrderedDict()

    def accept(self, target: TargetId, announcement: Announcement) -> bool:
        """Return whether an announcement is at least as new as the latest one, and record it if so.

        Args:
            target: The target.
            announcement: The announcement.
        """
        if not self.is_latest(target, announcement):
            return False
        self._record(target, (announcement.started_ms, announcement.sequence))
        return True

    def is_latest(self, target: TargetId, announcement: Announcement) -> bool:
        """Return whether no newer announcement or withdrawal of the target is known.

        Args:
            target: The target.
            announcement: The announcement.
        """
        order = (announcement.started_ms, announcement.sequence)
        return order >= self._latest.get(target, (0, 0))

    def withdraw(self, target: TargetId, *, started_ms: int) -> bool:
        """Return whether a withdrawal applies to the latest start, and record it if so.

        Announcements of the withdrawn start that arrive later are then ignored.

        Args:
            target: The target.
            started_ms: Start of the backend server that withdraws, in milliseconds; 0 for the
                latest start announced.
        """
        latest_ms = self._latest.get(target, (0, 0))[0]
        if started_ms and started_ms < latest_ms:
            return False
        # Without a start time, a target can't be distinguished from its next start.
        if started_ms or latest_ms:
            self._record(target, (max(started_ms, latest_ms), WITHDRAWN_SEQUENCE))
        return True

    def restore(self, departure: TargetDeparture) -> None:
        """Reject announcements before a departure that was recorded earlier.

        Args:
            departure: The departure.
        """
        order = (departure.started_ms, departure.sequence)
        if order > self._latest.get(departure.target, (0, 0)):
            self._record(departure.target, order)

    def make_departure(self, target: TargetId) -> TargetDeparture | None:
        """Return the latest announcement of a target as its departure.

        Returns None for a target that states neither start nor sequence: nothing tells its late
        announcements from those of its next start.

        Args:
            target: The target.
        """
        order = self._latest.get(target, (0, 0))
        if order == (0, 0):
            return None
        return TargetDeparture(target=target, started_ms=order[0], sequence=order[1])

    def _record(self, target: TargetId, order: tuple[int, int]) -> None:
        self._latest[target] = order
        self._latest.move_to_end(target)
        while len(self._latest) > self._capacity:
            self._latest.popitem(last=False)
