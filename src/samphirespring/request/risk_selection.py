"""Choice of the target for an attempt where short faults are usual.

It answers a load in which, at any moment, some targets fail nearly all of their requests for a few
seconds. Requests that can't be repeated go to the target that is least likely to be in a fault:
mostly the one whose last good answer is the youngest. Reads, which can be repeated, also visit the
others now and then, so that the risks stay known.
"""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

import msgspec

from samphirespring.process.ids import TargetId
from samphirespring.request.selection import Candidate, Choice, Distance

DISTANCE_COSTS = {
    Distance.SAME_HOST: 0.0,
    Distance.SAME_FAILURE_DOMAIN: 0.002,
    Distance.SAME_REGION: 0.04,
    Distance.OTHER_REGION: 0.15,
}
"""What the way to a target costs, as a probability of failure that would be as bad."""

BUSY_COST = 0.02
"""Cost of a target whose slots are all taken but one; it falls with the free share."""

FULL_COST = 0.3
"""Cost of a target without a free slot."""

TRIED_COST = 1.0
"""Cost of a target that failed or refused the request before."""

MIN_RISK_LIMIT = 0.05
"""Risk up to which no target refuses: looking for a better one would cost more."""

FRESH_RISK_AGE_S = 0.5
"""Age up to which a told risk is taken as it is, in seconds."""

MAX_SUSPECT_REFUSALS = 3
"""Targets that may refuse a request for better ones; then the best one known runs it."""

OPTIMISTIC_RISK = 0.02
"""Risk that a target of which nothing was heard lately may have: asking it costs one refusal."""

EXPLORATION_SHARE = 0.5
"""Share of first attempts of reads that visit any near target instead of the best one."""

EXPLORATION_MAX_RISK = 0.5
"""Risk from which a target isn't visited; its agent would mostly refuse."""

OWN_DOMAIN_SHARE = 0.7
"""Share of these visits that stay in the own failure domain, where bytes cost least; the others
keep what is known of the rest of the region young."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Cost:
    """What a target costs as the front knows it, and what it may cost at best."""

    value: float
    optimistic_value: float
    draw: float
    choice: Choice


class RiskSelector:
    """Takes the target of least cost: its risk, its distance and its load.

    Args:
        generator: Source of random numbers.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def choose(
        self,
        tiers: Sequence[Sequence[Choice]],
        *,
        tried: Collection[TargetId],
        idempotent: bool,
        suspected: Collection[TargetId] = (),
    ) -> Candidate | None:
        """Return the target for the next attempt, or None where none can serve.

        Args:
            tiers: Usable targets of the service by distance, nearest first.
            tried: Targets that failed or refused the request before.
            idempotent: Whether the request may be repeated.
            suspected: Targets that refused the request because others seemed better.
        """
        costs = [
            _evaluate(choice, distance, tried, draw=self._generator.random())
            for distance, tier in zip(Distance, tiers, strict=True)
            for choice in tier
        ]
        if not costs:
            return None
        is_first = not tried and not suspected
        explored = self._choose_explored(tiers) if idempotent and is_first else None
        if explored is not None:
            return _make_candidate(explored, max_risk=1.0, may_try=True)
        best, max_risk = _choose_best(costs, suspected)
        return _make_candidate(best, max_risk=max_risk, may_try=idempotent and is_first)

    def _choose_explored(self, tiers: Sequence[Sequence[Choice]]) -> Choice | None:
        if self._generator.random() >= EXPLORATION_SHARE:
            return None
        near = _list_explorable(tiers, within=Distance.SAME_FAILURE_DOMAIN)
        if not near or self._generator.random() >= OWN_DOMAIN_SHARE:
            near = _list_explorable(tiers, within=Distance.SAME_REGION)
        return self._generator.choice(near) if near else None


def _list_explorable(tiers: Sequence[Sequence[Choice]], *, within: Distance) -> list[Choice]:
    """Return the targets up to a distance that may be visited.

    Args:
        tiers: Usable targets of the service by distance, nearest first.
        within: Largest distance.
    """
    return [
        choice
        for tier in tiers[: within + 1]
        for choice in tier
        if choice.free_slots >= 1.0 and _get_risk(choice) < EXPLORATION_MAX_RISK
    ]


def _choose_best(costs: Sequence[_Cost], suspected: Collection[TargetId]) -> tuple[Choice, float]:
    """Return the target of least cost, and the risk from which it is to refuse.

    Args:
        costs: What the targets cost, at least one.
        suspected: Targets that refused the request because others seemed better.
    """
    ranked = sorted(costs, key=lambda cost: (cost.value, cost.draw))
    not_refusing = [cost for cost in ranked if cost.choice.candidate.target not in suspected]
    is_settled = (
        bool(suspected)
        and bool(not_refusing)
        and ranked[0].value <= _find_optimistic_cost(not_refusing)
    )
    if len(suspected) >= MAX_SUSPECT_REFUSALS or not not_refusing or is_settled:
        return ranked[0].choice, 1.0
    best = not_refusing[0]
    others = [cost for cost in ranked if cost is not best]
    if not others:
        return best.choice, 1.0
    # What the best of the others may cost, apart from what the chosen one costs anyway.
    risk_limit = _find_optimistic_cost(others) - (best.value - _get_risk(best.choice))
    return best.choice, max(MIN_RISK_LIMIT, risk_limit)


def _evaluate(
    choice: Choice, distance: Distance, tried: Collection[TargetId], *, draw: float
) -> _Cost:
    value = _compute_cost(choice, distance, tried)
    optimistic_value = value - _estimate_improvement(choice, distance)
    return _Cost(value=value, optimistic_value=optimistic_value, draw=draw, choice=choice)


def _find_optimistic_cost(costs: Sequence[_Cost]) -> float:
    return min(cost.optimistic_value for cost in costs)


def _make_candidate(choice: Choice, *, max_risk: float, may_try: bool) -> Candidate:
    return msgspec.structs.replace(
        choice.candidate, risk=choice.risk, max_risk=max_risk, may_try=may_try
    )


def _get_risk(choice: Choice) -> float:
    return 0.0 if choice.risk is None else choice.risk


def _estimate_improvement(choice: Choice, distance: Distance) -> float:
    """Return by how much a near target may be better than the front knows."""
    if choice.risk_age_s <= FRESH_RISK_AGE_S or distance is Distance.OTHER_REGION:
        return 0.0
    return max(0.0, _get_risk(choice) - OPTIMISTIC_RISK)


def _compute_cost(choice: Choice, distance: Distance, tried: Collection[TargetId]) -> float:
    cost = _get_risk(choice) + DISTANCE_COSTS[distance]
    slots = choice.candidate.load.slots
    if choice.free_slots < 1.0:
        cost += FULL_COST
    else:
        cost += BUSY_COST * (1.0 - min(1.0, choice.free_slots / slots))
    if choice.candidate.target in tried:
        cost += TRIED_COST
    return cost
