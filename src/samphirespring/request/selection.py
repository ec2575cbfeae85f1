"""Target selection for an attempt."""

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from enum import IntEnum

import msgspec

from samphirespring.process.detection.target_evaluator import DetectionTerms
from samphirespring.process.ids import Incarnation, TargetId
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.targets import Locality, TargetLoad, TargetSheds

CONDITION_WEIGHTS = {TargetCondition.SUSPECT: 0.5}
"""Factors on the free slots by condition; targets in other conditions count in full."""


MIN_TIME_S = 0.001
"""Expected times of less are equal, in seconds."""


class ExpectedTime(msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False):
    """Time that a request is expected to take at a target."""

    work_s: float
    """Work of the request, in seconds of a target of usual speed."""

    wait_s: float
    """Time until the target has a free slot, in seconds."""

    run_s: float
    """Time in the target's slot, in seconds."""

    @property
    def total_s(self) -> float:
        """Time until the response, in seconds."""
        return self.wait_s + self.run_s


class Candidate(msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False):
    """A target that can be selected, with what the front tracks of it."""

    target: TargetId
    locality: Locality
    link_address: str
    incarnation: Incarnation
    load: TargetLoad
    admissible: bool
    """False while fronts exclude the target, which they do only within the limits of the floor."""

    weight: float = 1.0
    """Factor on the free slots; below 1.0 the target is selected less often."""

    terms: DetectionTerms | None = None
    """How its agent evaluates the target."""

    risk: float | None = None
    """Probability of a fault that the front estimated when it selected the target."""

    max_risk: float = 1.0
    """Probability of a fault above which the front prefers another target."""

    may_try: bool = False
    """Whether the attempt may be used to test if the target has recovered."""

    expected: ExpectedTime | None = None
    """Time that the request was expected to take; None unless requests are placed by work."""

    service_sheds: bool = False
    """Whether most targets of the service shed, and its policy plans retries for that."""


class Choice(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """A candidate with its current estimates."""

    candidate: Candidate
    free_slots: float
    waiting: int = 0
    """Attempts that this table selected it for beyond its slots."""

    risk: float | None = None
    """Probability that it is in a fault now; None if the service's policy has no suspicion."""

    risk_age_s: float = 0.0
    """Time since its agent reported the risk, in seconds."""

    sent_age_s: float = math.inf
    """Time since this table selected it for an attempt, in seconds."""

    expected: ExpectedTime | None = None
    """Time that the request is expected to take; None unless requests are placed by work."""

    sheds: TargetSheds | None = None
    """What it sheds, as last reported; None if next to nothing."""

    shed_cost: float = 0.0
    """Cost of the chance that it sheds the request, where that is no sign of a fault."""


class Distance(IntEnum):
    """Distance of a target from the front; nearer targets are preferred."""

    SAME_HOST = 0
    SAME_FAILURE_DOMAIN = 1
    SAME_REGION = 2
    OTHER_REGION = 3


class Selector(ABC):
    """Selects the target of an attempt."""

    @abstractmethod
    def choose(
        self, tiers: Sequence[Sequence[Choice]], *, tried: Collection[TargetId]
    ) -> Candidate | None:
        """Return the target for the next attempt, or None if there is none.

        Args:
            tiers: Usable targets of the service by distance, nearest first.
            tried: Targets of earlier attempts of the request.
        """


class NearestOfTwoSelector(Selector):
    """Selects the better of two random targets at the nearest distance with free slots.

    Args:
        generator: Source of random numbers.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def choose(
        self, tiers: Sequence[Sequence[Choice]], *, tried: Collection[TargetId]
    ) -> Candidate | None:
        """Return the target for the next attempt, or None if there is none."""
        for candidate_tiers in (*_exclude_tried(tiers, tried), tiers):
            free = [[c for c in tier if c.free_slots >= 1.0] for tier in candidate_tiers]
            choice = self._choose_nearest(free) or self._choose_nearest(candidate_tiers)
            if choice is not None:
                return msgspec.structs.replace(choice.candidate, expected=choice.expected)
        return None

    def _choose_nearest(self, tiers: Sequence[Sequence[Choice]]) -> Choice | None:
        for tier in tiers:
            if len(tier) == 1:
                return tier[0]
            if tier:
                return max(self._generator.sample(tier, 2), key=_score)
        return None


def measure_distance(first: Locality, second: Locality) -> Distance:
    """Return the distance between two hosts.

    Args:
        first: Locality of the first host.
        second: Locality of the second host.
    """
    if first.region != second.region:
        return Distance.OTHER_REGION
    if first.failure_domain != second.failure_domain:
        return Distance.SAME_REGION
    if first.host != second.host:
        return Distance.SAME_FAILURE_DOMAIN
    return Distance.SAME_HOST


def group_by_distance(
    tiers: Sequence[Sequence[Choice]], locality: Locality
) -> Sequence[Sequence[Choice]]:
    """Return the targets by their distance from a host, nearest first.

    Args:
        tiers: The targets, grouped in any way.
        locality: Locality of the host.
    """
    grouped: dict[Distance, list[Choice]] = {distance: [] for distance in Distance}
    for tier in tiers:
        for choice in tier:
            grouped[measure_distance(locality, choice.candidate.locality)].append(choice)
    return list(grouped.values())


def is_usable(candidate: Candidate) -> bool:
    """Return whether a target may receive new attempts.

    Args:
        candidate: The target.
    """
    return candidate.admissible and candidate.load.phase is TargetPhase.SERVING


def _exclude_tried(
    tiers: Sequence[Sequence[Choice]], tried: Collection[TargetId]
) -> Sequence[Sequence[Sequence[Choice]]]:
    """Return the targets on untried hosts, and all untried targets; nothing at a first attempt."""
    if not tried:
        return ()
    # A fault of a target often affects its whole host.
    hosts = {
        c.candidate.locality.host for tier in tiers for c in tier if c.candidate.target in tried
    }
    return (
        [[c for c in tier if c.candidate.locality.host not in hosts] for tier in tiers],
        [[c for c in tier if c.candidate.target not in tried] for tier in tiers],
    )


def _score(choice: Choice) -> float:
    candidate = choice.candidate
    share = choice.free_slots / candidate.load.slots
    if choice.expected is not None:
        share /= max(MIN_TIME_S, choice.expected.total_s)
    return share * candidate.weight * CONDITION_WEIGHTS.get(candidate.load.condition, 1.0)
