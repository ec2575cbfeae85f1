"""Order of a target's announcements, which may come late or from an earlier start."""

from collections import OrderedDict

from samphirespring.process.agent_messages import Announcement
from samphirespring.process.ids import TargetId

TRACKED_TARGETS = 1_000
"""Targets of one host whose latest announcement is remembered, also after they left."""

WITHDRAWN_SEQUENCE = 1 << 62
"""Stands above every sequence number of the start that was withdrawn."""


class AnnouncementOrder:
    """Tells late announcements from new ones.

    Args:
        capacity: Largest number of remembered targets.
    """

    def __init__(self, *, capacity: int = TRACKED_TARGETS) -> None:
        self._capacity = capacity
        self._latest: OrderedDict[TargetId, tuple[int, int]] = OrderedDict()

    def accept(self, target: TargetId, announcement: Announcement) -> bool:
        """Return whether an announcement is not older than what is known, and remember it.

        Args:
            target: The target.
            announcement: What it says.
        """
        order = (announcement.started_ms, announcement.sequence)
        if order < self._latest.get(target, (0, 0)):
            return False
        self._record(target, order)
        return True

    def withdraw(self, target: TargetId, *, started_ms: int) -> bool:
        """Return whether a withdrawal is not of an earlier start; later copies are then ignored.

        Args:
            target: The target.
            started_ms: Start of the backend server that leaves, in milliseconds; 0 for the one
                that was heard last.
        """
        latest_ms = self._latest.get(target, (0, 0))[0]
        if started_ms and started_ms < latest_ms:
            return False
        # A target that names no start and no sequence can't be told from its next start.
        if started_ms or latest_ms:
            self._record(target, (max(started_ms, latest_ms), WITHDRAWN_SEQUENCE))
        return True

    def _record(self, target: TargetId, order: tuple[int, int]) -> None:
        self._latest[target] = order
        self._latest.move_to_end(target)
        while len(self._latest) > self._capacity:
            self._latest.popitem(last=False)
