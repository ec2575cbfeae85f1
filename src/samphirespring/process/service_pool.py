"""What a front knows of one service's targets, and which of them it uses."""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

import msgspec

from samphirespring.process.detection.fault_risk import FaultModel
from samphirespring.process.ids import HostId, TargetId
from samphirespring.process.targets import Locality, TargetLoad
from samphirespring.request.selection import Candidate, Choice, is_usable
from samphirespring.request.subset import choose_subset

LOAD_DECAY_S = 1.0
"""Time in which what was heard of a target's load loses most of its weight, in seconds."""


@dataclass(slots=True, kw_only=True)
class PoolMember:
    """One target with the front's own attempts on it.

    Attributes:
        candidate: The target as last heard.
        others_free: Slots that would be free without this front's attempts, as last heard.
        heard_s: When that was heard, in seconds of monotonic time.
        in_flight: This front's attempts on the target.
        risk: Probability of a fault as the agent last told; None before it did.
        risk_s: When it told, in seconds of monotonic time.
    """

    candidate: Candidate
    others_free: float
    heard_s: float
    in_flight: int = 0
    risk: float | None = None
    risk_s: float = float("-inf")

    def estimate_risk(self, model: FaultModel | None, now_s: float) -> float | None:
        """Return the probability that the target is in a fault now.

        Args:
            model: How targets of the service fail; None if that isn't followed.
            now_s: Monotonic time, in seconds.
        """
        if model is None:
            return None
        if self.risk is None:
            return model.share
        return model.decay(self.risk, now_s - self.risk_s)

    def estimate_free_slots(self, now_s: float) -> float:
        """Return the free slots to expect: old news fades, own attempts count in full.

        Args:
            now_s: Monotonic time, in seconds.
        """
        slots = self.candidate.load.slots
        fresh = math.exp(-max(0.0, now_s - self.heard_s) / LOAD_DECAY_S)
        others_free = slots - (slots - self.others_free) * fresh
        return max(0.0, min(float(slots), others_free) - self.in_flight)

    def note_load(self, load: TargetLoad, *, now_s: float) -> None:
        """Take the load that came with the end of one of the front's attempts.

        Args:
            load: The load.
            now_s: Monotonic time, in seconds.
        """
        self.candidate = msgspec.structs.replace(self.candidate, load=load)
        # The attempt that brought the news no longer holds a slot.
        self.others_free = load.free_slots + max(0, self.in_flight - 1)
        self.heard_s = now_s
        if load.risk is not None:
            self.risk = load.risk
            self.risk_s = now_s


class ServicePool:
    """Targets of one service.

    Args:
        here: Where the front stands.
    """

    def __init__(self, here: Locality) -> None:
        self._here = here
        self._members: dict[TargetId, PoolMember] = {}
        self._tiers: tuple[tuple[PoolMember, ...], ...] | None = None

    @property
    def size(self) -> int:
        """Number of targets."""
        return len(self._members)

    def put(self, candidate: Candidate, *, now_s: float) -> None:
        """Add or replace a target; the front's own attempts on it go on counting.

        Args:
            candidate: The target.
            now_s: Monotonic time, in seconds.
        """
        member = self._members.get(candidate.target)
        if member is None:
            self._members[candidate.target] = PoolMember(
                candidate=candidate, others_free=candidate.load.free_slots, heard_s=now_s
            )
            self.forget_subset()
            return
        known = member.candidate
        member.candidate = candidate
        if known.locality != candidate.locality or is_usable(known) != is_usable(candidate):
            self.forget_subset()

    def set_admissible(self, target: TargetId, *, admissible: bool) -> None:
        """Let a target get requests, or nothing.

        Args:
            target: The target.
            admissible: Whether it may get requests.
        """
        member = self._members.get(target)
        if member is None or member.candidate.admissible is admissible:
            return
        member.candidate = msgspec.structs.replace(member.candidate, admissible=admissible)
        self.forget_subset()

    def remove(self, target: TargetId) -> None:
        """Forget a target.

        Args:
            target: The target.
        """
        self._members.pop(target, None)
        self.forget_subset()

    def forget_subset(self) -> None:
        """Choose the subset anew at the next selection."""
        self._tiers = None

    def note_load(self, target: TargetId, load: TargetLoad, *, now_s: float) -> None:
        """Take the load that came with the end of an attempt.

        Args:
            target: The target.
            load: The load.
            now_s: Monotonic time, in seconds.
        """
        member = self._members.get(target)
        if member is None:
            return
        was_usable = is_usable(member.candidate)
        member.note_load(load, now_s=now_s)
        if is_usable(member.candidate) != was_usable:
            self.forget_subset()

    def take(self, target: TargetId) -> None:
        """Count an attempt of this front.

        Args:
            target: The target.
        """
        self._members[target].in_flight += 1

    def release(self, target: TargetId) -> None:
        """Count the end of an attempt of this front.

        Args:
            target: The target.
        """
        member = self._members.get(target)
        if member is not None and member.in_flight > 0:
            member.in_flight -= 1

    def list_choices(
        self,
        *,
        region_hosts: Collection[HostId],
        subset_size: int,
        now_s: float,
        model: FaultModel | None = None,
    ) -> Sequence[Sequence[Choice]]:
        """Return the targets that the front uses, by distance, with their expected free slots.

        Args:
            region_hosts: Hosts with a front in the front's region.
            subset_size: Targets to use, where the service has more.
            now_s: Monotonic time, in seconds.
            model: How targets of the service fail; None if that isn't followed.
        """
        if self._tiers is None:
            self._tiers = self._choose_tiers(region_hosts, subset_size)
        return [
            [
                Choice(
                    candidate=member.candidate,
                    free_slots=member.estimate_free_slots(now_s),
                    risk=member.estimate_risk(model, now_s),
                    risk_age_s=now_s - member.risk_s,
                )
                for member in tier
            ]
            for tier in self._tiers
        ]

    def _choose_tiers(
        self, region_hosts: Collection[HostId], subset_size: int
    ) -> tuple[tuple[PoolMember, ...], ...]:
        usable = [m.candidate for m in self._members.values() if is_usable(m.candidate)]
        subset = choose_subset(usable, here=self._here, region_hosts=region_hosts, size=subset_size)
        return tuple(
            tuple(self._members[candidate.target] for candidate in tier) for tier in subset
        )
