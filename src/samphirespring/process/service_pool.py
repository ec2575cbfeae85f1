"""The targets of one service as a front sees them, and the subset that the front uses."""

import math
from collections.abc import Collection, Sequence

import msgspec

from samphirespring.process.detection.fault_risk import FaultModel
from samphirespring.process.ids import HostId, TargetId
from samphirespring.process.targets import Locality, TargetLoad, TargetSheds
from samphirespring.process.work.target_backlog import TargetBacklog
from samphirespring.request.selection import (
    Candidate,
    Choice,
    Distance,
    ExpectedTime,
    is_usable,
)
from samphirespring.request.subset import choose_subset

LOAD_DECAY_S = 1.0
"""Time constant of the exponential decay of a reported load's weight, in seconds."""


class PoolMember(msgspec.Struct, kw_only=True):
    """One target with the front's own attempts on it.

    Attributes:
        candidate: The target with its latest reported load.
        free_without_own: Slots that would be free without this front's attempts, according to that
            load.
        load_reported_at_s: Time of that report, in seconds of monotonic time.
        in_flight: This front's attempts on the target.
        risk: Probability of a fault as last reported by the agent; None before the first report.
        risk_reported_at_s: Time of that report, in seconds of monotonic time.
        sent_at_s: Start of the latest attempt on the target, in seconds of monotonic time.
        backlog: What the target still has to do.
        sheds: What the target sheds as last reported by the agent.
    """

    candidate: Candidate
    free_without_own: float
    load_reported_at_s: float
    in_flight: int = 0
    risk: float | None = None
    risk_reported_at_s: float = -math.inf
    sent_at_s: float = -math.inf
    backlog: TargetBacklog = msgspec.field(default_factory=TargetBacklog)
    sheds: TargetSheds | None = None

    def estimate_risk(self, model: FaultModel | None, now_s: float) -> float | None:
        """Return the probability that the target is in a fault now.

        Args:
            model: Fault model of the service; None if faults aren't tracked.
            now_s: Monotonic time, in seconds.
        """
        if model is None:
            return None
        if self.risk is None:
            return model.share
        return model.decay(self.risk, now_s - self.risk_reported_at_s)

    def estimate_free_slots(self, now_s: float) -> float:
        """Estimate the free slots.

        The reported load of other fronts decays; the attempts of this front count in full.

        Args:
            now_s: Monotonic time, in seconds.
        """
        slots = self.candidate.load.slots
        load_weight = math.exp(-max(0.0, now_s - self.load_reported_at_s) / LOAD_DECAY_S)
        free_without_own = slots - (slots - self.free_without_own) * load_weight
        return max(0.0, min(float(slots), free_without_own) - self.in_flight)

    def make_choice(
        self,
        model: FaultModel | None,
        *,
        work_s: float | None,
        now_s: float,
        counts_waiting: bool,
    ) -> Choice:
        """Return the target with its current estimates.

        Args:
            model: Fault model of the service; None if faults aren't tracked.
            work_s: Expected work of the request, in seconds; None if it isn't known.
            now_s: Monotonic time, in seconds.
            counts_waiting: Whether attempts beyond the slots wait at the target.
        """
        free_slots = self.estimate_free_slots(now_s)
        return Choice(
            candidate=self.candidate,
            free_slots=free_slots,
            waiting=self._count_waiting() if counts_waiting else 0,
            risk=self.estimate_risk(model, now_s),
            risk_age_s=now_s - self.risk_reported_at_s,
            sent_age_s=now_s - self.sent_at_s,
            sheds=self.sheds,
            expected=self.estimate_time(work_s, free_slots=free_slots, now_s=now_s),
        )

    def _count_waiting(self) -> int:
        return max(0, self.in_flight - self.candidate.load.slots)

    def update_load(self, load: TargetLoad, *, now_s: float) -> None:
        """Update the load from the end of one of the front's attempts.

        Args:
            load: The load.
            now_s: Monotonic time, in seconds.
        """
        self.candidate = msgspec.structs.replace(self.candidate, load=load)
        # The attempt that carried the report no longer holds a slot.
        self.free_without_own = load.free_slots + max(0, self.in_flight - 1)
        self.load_reported_at_s = now_s
        if load.risk is not None:
            self.risk = load.risk
            self.risk_reported_at_s = now_s
            self.sheds = load.sheds
        if load.work is not None:
            running = load.slots - load.free_slots
            self.backlog.use_report(load.work, running=running, now_s=now_s)

    def estimate_time(
        self, work_s: float | None, *, free_slots: float, now_s: float
    ) -> ExpectedTime | None:
        """Estimate the time that a request would take; None if its work isn't known.

        Args:
            work_s: Expected work of the request, in seconds.
            free_slots: Estimated free slots.
            now_s: Monotonic time, in seconds.
        """
        if work_s is None:
            return None
        pace = self.backlog.read_pace(now_s)
        wait_s = 0.0 if free_slots >= 1.0 else self._estimate_wait_s(pace, now_s)
        return ExpectedTime(work_s=work_s, wait_s=wait_s, run_s=work_s * pace)

    def _estimate_wait_s(self, pace: float, now_s: float) -> float:
        """Return the time until one of the slots, which are all in use, is free, in seconds."""
        slots = self.candidate.load.slots
        mean_left_s = self.backlog.read_remaining_s(now_s) * pace / slots
        # The first of as many attempts as there are slots ends about that much sooner.
        return mean_left_s / slots


class ServicePool:
    """Targets of one service.

    Args:
        locality: Locality of the front.
    """

    def __init__(self, locality: Locality) -> None:
        self._locality = locality
        self._members: dict[TargetId, PoolMember] = {}
        self._tiers: dict[Distance, tuple[tuple[PoolMember, ...], ...]] = {}

    @property
    def size(self) -> int:
        """Number of targets."""
        return len(self._members)

    def list_candidates(self) -> Sequence[Candidate]:
        """Return the usable targets."""
        return [m.candidate for m in self._members.values() if is_usable(m.candidate)]

    def put(self, candidate: Candidate, *, now_s: float) -> None:
        """Add or replace a target; the count of the front's own attempts on it is kept.

        Args:
            candidate: The target.
            now_s: Monotonic time, in seconds.
        """
        member = self._members.get(candidate.target)
        if member is None:
            self._members[candidate.target] = PoolMember(
                candidate=candidate,
                free_without_own=candidate.load.free_slots,
                load_reported_at_s=now_s,
            )
            self.reset_subset()
            return
        previous = member.candidate
        member.candidate = candidate
        if previous.locality != candidate.locality or is_usable(previous) != is_usable(candidate):
            self.reset_subset()

    def set_admissible(self, target: TargetId, *, admissible: bool) -> None:
        """Set whether a target may receive requests.

        Args:
            target: The target.
            admissible: Whether it may receive requests.
        """
        member = self._members.get(target)
        if member is None or member.candidate.admissible is admissible:
            return
        member.candidate = msgspec.structs.replace(member.candidate, admissible=admissible)
        self.reset_subset()

    def remove(self, target: TargetId) -> None:
        """Remove a target.

        Args:
            target: The target.
        """
        self._members.pop(target, None)
        self.reset_subset()

    def reset_subset(self) -> None:
        """Discard the chosen subset; the next selection chooses a new one."""
        self._tiers.clear()

    def update_load(self, target: TargetId, load: TargetLoad, *, now_s: float) -> None:
        """Update a target's load from the end of an attempt.

        Args:
            target: The target.
            load: The load.
            now_s: Monotonic time, in seconds.
        """
        member = self._members.get(target)
        if member is None:
            return
        was_usable = is_usable(member.candidate)
        member.update_load(load, now_s=now_s)
        if is_usable(member.candidate) != was_usable:
            self.reset_subset()

    def acquire(self, target: TargetId, *, now_s: float, work_s: float = 0.0) -> None:
        """Count the start of an attempt of this front.

        Args:
            target: The target.
            now_s: Monotonic time, in seconds.
            work_s: Expected work of the attempt, in seconds; 0.0 if it isn't known.
        """
        member = self._members[target]
        member.backlog.add(work_s, slots=member.candidate.load.slots, now_s=now_s)
        member.in_flight += 1
        member.sent_at_s = now_s

    def release(self, target: TargetId) -> None:
        """Count the end of an attempt of this front.

        Args:
            target: The target.
        """
        member = self._members.get(target)
        if member is not None and member.in_flight > 0:
            member.in_flight -= 1
            member.backlog.remove()

    def list_choices(
        self,
        *,
        region_hosts: Collection[HostId],
        subset_size: int,
        now_s: float,
        model: FaultModel | None = None,
        is_shared: bool = False,
        work_s: float | None = None,
        counts_waiting: bool = False,
    ) -> Sequence[Sequence[Choice]]:
        """Return the targets that the front uses, by distance, with their estimated free slots.

        Args:
            region_hosts: Hosts with a front in the front's region.
            subset_size: Number of targets to use if the service has more.
            now_s: Monotonic time, in seconds.
            model: Fault model of the service; None if faults aren't tracked.
            is_shared: Whether the front selects for its neighbours. It then uses all targets of its
                region: what it leaves out gets nothing from any of them.
            work_s: Expected work of the request, in seconds; None if it isn't known.
            counts_waiting: Whether attempts beyond the slots wait at the target.
        """
        whole = Distance.SAME_REGION if is_shared else Distance.SAME_HOST
        tiers = self._tiers.get(whole)
        if tiers is None:
            tiers = self._choose_tiers(region_hosts, subset_size, whole)
            self._tiers[whole] = tiers
        return [
            [
                member.make_choice(model, work_s=work_s, now_s=now_s, counts_waiting=counts_waiting)
                for member in tier
            ]
            for tier in tiers
        ]

    def _choose_tiers(
        self, region_hosts: Collection[HostId], subset_size: int, whole: Distance
    ) -> tuple[tuple[PoolMember, ...], ...]:
        subset = choose_subset(
            self.list_candidates(),
            locality=self._locality,
            region_hosts=region_hosts,
            size=subset_size,
            whole=whole,
        )
        return tuple(
            tuple(self._members[candidate.target] for candidate in tier) for tier in subset
        )
