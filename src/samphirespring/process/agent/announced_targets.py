"""The targets that announced themselves on this host, from first announcement to last attempt."""

from collections.abc import Iterator

from samphirespring.process.agent.agent_messages import Announcement
from samphirespring.process.agent.announcement_order import AnnouncementOrder
from samphirespring.process.agent.departure_guard import DepartureGuard
from samphirespring.process.agent.local_policies import LocalPolicies
from samphirespring.process.agent.local_target import LocalTarget
from samphirespring.process.bounds import UNKNOWN_START
from samphirespring.process.detection.target_evaluator import TargetEvaluator
from samphirespring.process.ids import TargetId
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.states import TargetPhase
from samphirespring.process.targets import TargetDeparture

_log = EventLog()


class AnnouncedTargets:
    """Accepts announcements and withdrawals, and keeps the targets that they describe.

    Args:
        policies: Policies of the targets' services.
        lease_s: Time after which a target without a renewed announcement expires, in seconds.
        guard: Holds back first announcements until it is known which targets have left.
    """

    def __init__(self, *, policies: LocalPolicies, lease_s: float, guard: DepartureGuard) -> None:
        self._policies = policies
        self._lease_s = lease_s
        self._guard = guard
        self._order = AnnouncementOrder()
        self._targets: dict[TargetId, LocalTarget] = {}

    def __iter__(self) -> Iterator[LocalTarget]:
        """Iterate over the targets; they may be dropped meanwhile."""
        return iter(tuple(self._targets.values()))

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._targets)

    def find(self, target_id: TargetId) -> LocalTarget | None:
        """Return a target, or None if it isn't in use.

        Args:
            target_id: The target.
        """
        return self._targets.get(target_id)

    def announce(self, target_id: TargetId, announcement: Announcement, *, now_s: float) -> bool:
        """Add a target or renew its lease; return False for an announcement that is outdated.

        Args:
            target_id: The target.
            announcement: The announcement.
            now_s: Monotonic time, in seconds.
        """
        if not self._order.accept(target_id, announcement):
            _log_outdated(target_id, announcement)
            return False
        is_known = target_id in self._targets
        if is_known or self._guard.admits(target_id, announcement, now_s=now_s):
            self._apply(target_id, announcement, now_s=now_s)
        return True

    def withdraw(self, target_id: TargetId, *, started_ms: int) -> bool:
        """Withdraw a target, and return whether the withdrawal isn't outdated.

        Args:
            target_id: The target.
            started_ms: Start of the backend server that withdraws, in milliseconds of wall time; 0
                for any.
        """
        if not self._order.withdraw(target_id, started_ms=started_ms):
            return False
        self._guard.drop(target_id)
        target = self._targets.get(target_id)
        if target is not None:
            self.retire(target)
        return True

    def is_leaving(self, target_id: TargetId) -> bool:
        """Return whether a target drains, or isn't in use.

        Args:
            target_id: The target.
        """
        target = self._targets.get(target_id)
        return target is None or target.announcement.phase is not TargetPhase.SERVING

    def make_departure(self, target_id: TargetId) -> TargetDeparture | None:
        """Return the departure of a target that leaves; None if nothing tells its starts apart.

        Args:
            target_id: The target.
        """
        return self._order.make_departure(target_id)

    def use_departures(self, departures: tuple[TargetDeparture, ...], *, now_s: float) -> None:
        """Withdraw targets whose departure is on record, and accept the others that were held back.

        Args:
            departures: Departures that earlier processes of this host recorded.
            now_s: Monotonic time, in seconds.
        """
        for departure in departures:
            self._order.restore(departure)
            target = self._targets.get(departure.target)
            if target is not None and not self._is_latest(target):
                self.retire(target)
        for target_id, announcement in self._guard.finish().items():
            if self._order.is_latest(target_id, announcement):
                self._apply(target_id, announcement, now_s=now_s)

    def retire(self, target: LocalTarget) -> None:
        """Give a target no new work, and drop it once no attempt is in flight.

        Args:
            target: The target.
        """
        target.withdraw()
        self.drop_if_finished(target)

    def drop_if_finished(self, target: LocalTarget) -> None:
        """Drop a target that was withdrawn and has no attempt in flight.

        Args:
            target: The target.
        """
        if target.withdrawn and target.running == 0:
            del self._targets[target.target]

    def update_policy(self, target: LocalTarget, *, now_s: float) -> None:
        """Apply the policy of a target's service.

        Args:
            target: The target.
            now_s: Monotonic time, in seconds.
        """
        model = self._policies.find_fault_model(target.announcement.service)
        target.use_fault_model(model, now_s=now_s)
        target.use_admission(self._policies.find_admission(target.announcement.service))
        places_by_work = self._policies.places_by_work(target.announcement.service)
        target.track_work(enabled=places_by_work)

    def _is_latest(self, target: LocalTarget) -> bool:
        return self._order.is_latest(target.target, target.announcement)

    def _apply(self, target_id: TargetId, announcement: Announcement, *, now_s: float) -> None:
        slots = self._policies.find_slots(announcement)
        lease_expires_at_s = now_s + self._lease_s
        target = self._targets.get(target_id)
        if target is not None:
            target.renew(
                announcement, slots=slots, lease_expires_at_s=lease_expires_at_s, now_s=now_s
            )
            return
        if self._has_later_start(announcement):
            _log_outdated(target_id, announcement)
            return
        self._retire_predecessors(announcement)
        target = LocalTarget(
            target=target_id,
            announcement=announcement,
            slots=slots,
            lease_expires_at_s=lease_expires_at_s,
            evaluator=TargetEvaluator(now_s=now_s),
        )
        target.begin_slow_start(announcement, now_s)
        self._targets[target_id] = target
        self.update_policy(target, now_s=now_s)

    def _has_later_start(self, announcement: Announcement) -> bool:
        """Return whether a backend server that started later has announced itself at the address.

        The announced one has ended then, and its announcement comes late.
        """
        return any(
            target.announcement.address == announcement.address
            and target.announcement.started_ms > announcement.started_ms != UNKNOWN_START
            for target in self
        )

    def _retire_predecessors(self, announcement: Announcement) -> None:
        """Retire targets at the same address that an earlier start of the server announced."""
        for target in self:
            previous = target.announcement
            if (
                previous.address == announcement.address
                and previous.started_ms < announcement.started_ms
            ):
                self.retire(target)


def _log_outdated(target_id: TargetId, announcement: Announcement) -> None:
    _log.info(
        LogEvent.ANNOUNCEMENT_OUTDATED,
        target=target_id,
        started_ms=announcement.started_ms,
        sequence=announcement.sequence,
    )
