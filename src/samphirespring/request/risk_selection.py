"""Target selection for services whose targets often have short faults.

It is designed for a load in which, at any time, some targets fail nearly all of their requests for
a few seconds. Requests that can't be repeated go to the target that is least likely to be in a
fault, which is usually the one with the most recent successful response. Reads, which can be
repeated, also explore other targets now and then, so that the risk estimates stay up to date.
"""

import math
import random
from collections.abc import Callable, Collection, Sequence

import msgspec

from samphirespring.process.ids import TargetId
from samphirespring.request.selection import Candidate, Choice, Distance

DISTANCE_COSTS = {
    Distance.SAME_HOST: 0.0,
    Distance.SAME_FAILURE_DOMAIN: 0.002,
    Distance.SAME_REGION: 0.04,
    Distance.OTHER_REGION: 0.15,
}
"""Cost of the distance to a target, as the equivalent probability of failure."""

LONG_BODY_BYTES = 50_000
LONG_BODY_COST = 0.25
"""Added cost of another region for a body of `LONG_BODY_BYTES` or more; shorter ones cost their
share. It takes long to send, and connections between regions are shared by all."""

BUSY_COST = 0.02
"""Cost of a target with all but one slot in use; it falls as the share of free slots grows."""

FULL_COST = 0.3
"""Cost of a target without a free slot, and once more of one at which as many attempts wait as it
has slots."""

LATE_COST = 0.3
"""Cost of a target at which the request is expected to take just the time of its aim. Being late
grows likely only near the aim, so the cost grows with the square of the expected time."""

CROWD_COST = 0.06
"""Cost of a target as the share of its slots in use nears 1, for requests placed by work. Targets
slow down when they are nearly full, so it grows with the square of that share. Only for the last
slot it is more than the cost of another failure domain, traffic to which is dear."""

MAX_LATENESS = 2.0
"""Ratio of the expected time to the aim from which the cost doesn't grow."""

TRIED_COST = 1.0
"""Cost of a target that already failed or refused the request."""

MIN_RISK_LIMIT = 0.05
"""Risk up to which no target refuses, because the search for a better one would cost more."""

FRESH_RISK_AGE_S = 0.5
"""Age up to which a reported risk is used unchanged, in seconds."""

MAX_SUSPECT_REFUSALS = 3
"""Number of targets that may refuse a request in favour of others; then the best one runs it."""

OPTIMISTIC_RISK = 0.02
"""Risk assumed at best for a target without a recent report; trying it costs one refusal."""

EXPLORATION_SHARE = 0.5
"""Share of first attempts of reads that explore a random near target instead of the best one."""

STALE_RISK_AGE_S = 0.7
"""Time without a report and without an attempt after which a table that hears how the attempts of
many fronts end explores a target, in seconds; a new target has not been heard of."""

EXPLORATION_MAX_RISK = 0.5
"""Risk from which a target isn't explored, because its agent would mostly refuse."""

OWN_DOMAIN_SHARE = 0.7
"""Share of explorations within the front's failure domain, where traffic costs least. The others
keep the risk estimates of the rest of the region up to date."""


class _Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Estimated cost of a target, and an optimistic estimate; a random number breaks ties."""

    value: float
    optimistic_value: float
    tie_breaker: float
    choice: Choice


class RiskSelector:
    """Selects the target with the lowest cost, which depends on risk, distance and load.

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
        is_shared: bool = False,
        body_bytes: int = 0,
        aim_s: float = math.inf,
    ) -> Candidate | None:
        """Return the target for the next attempt, or None if there is none.

        Args:
            tiers: Usable targets of the service by distance, nearest first.
            tried: Targets that already failed or refused the request.
            idempotent: Whether the request may be repeated.
            suspected: Targets that refused the request because others seemed better.
            is_shared: Whether many fronts ask, so that the reports tell of all their attempts.
            body_bytes: Length of the request's body.
            aim_s: Time within which a response is useful, in seconds.
        """
        distance_costs = _compute_distance_costs(body_bytes)
        costs = [
            _evaluate(
                choice,
                distance,
                tried,
                distance_cost=distance_costs[distance],
                aim_s=aim_s,
                tie_breaker=self._generator.random(),
            )
            for distance, tier in zip(Distance, tiers, strict=True)
            for choice in tier
        ]
        if not costs:
            return None
        is_first = not tried and not suspected
        explored = None
        if idempotent and is_first:
            explored = self._choose_stale(tiers) if is_shared else self._choose_random(tiers)
        if explored is not None:
            return _make_candidate(explored, max_risk=1.0, may_try=True)
        best, max_risk = _choose_best(costs, suspected)
        return _make_candidate(best, max_risk=max_risk, may_try=idempotent and is_first)

    def _choose_random(self, tiers: Sequence[Sequence[Choice]]) -> Choice | None:
        """Return a target to explore for a share of the requests of one front."""
        if self._generator.random() >= EXPLORATION_SHARE:
            return None
        near = self._select_near(tiers, _is_explorable)
        return self._generator.choice(near) if near else None

    def _choose_stale(self, tiers: Sequence[Sequence[Choice]]) -> Choice | None:
        """Return the target to explore that was not heard of for the longest time.

        A target that nobody tries would otherwise not be used again as long as the others have free
        slots, whatever happens to those.
        """
        near = self._select_near(tiers, _is_stale)
        return max(near, key=self._rank_stale, default=None)

    def _rank_stale(self, choice: Choice) -> tuple[float, float]:
        return (choice.risk_age_s, self._generator.random())

    def _select_near(
        self, tiers: Sequence[Sequence[Choice]], is_eligible: Callable[[Choice], bool]
    ) -> list[Choice]:
        """Return the eligible targets in the front's failure domain, or now and then its region."""
        near = _select_within(tiers, is_eligible, limit=Distance.SAME_FAILURE_DOMAIN)
        if not near or self._generator.random() >= OWN_DOMAIN_SHARE:
            near = _select_within(tiers, is_eligible, limit=Distance.SAME_REGION)
        return near


def _is_explorable(choice: Choice) -> bool:
    return choice.free_slots >= 1.0 and _get_risk(choice) < EXPLORATION_MAX_RISK


def _is_stale(choice: Choice) -> bool:
    age_s = min(choice.risk_age_s, choice.sent_age_s)
    return age_s >= STALE_RISK_AGE_S and _is_explorable(choice)


def _select_within(
    tiers: Sequence[Sequence[Choice]], is_eligible: Callable[[Choice], bool], *, limit: Distance
) -> list[Choice]:
    """Return the eligible targets up to a distance.

    Args:
        tiers: Usable targets of the service by distance, nearest first.
        is_eligible: Whether a target is eligible.
        limit: Maximum distance.
    """
    return [choice for tier in tiers[: limit + 1] for choice in tier if is_eligible(choice)]


def _choose_best(costs: Sequence[_Cost], suspected: Collection[TargetId]) -> tuple[Choice, float]:
    """Return the target with the lowest cost, and the risk above which it should refuse.

    Args:
        costs: Costs of the targets; not empty.
        suspected: Targets that refused the request because others seemed better.
    """
    ranked = sorted(costs, key=lambda cost: (cost.value, cost.tie_breaker))
    eligible = [cost for cost in ranked if cost.choice.candidate.target not in suspected]
    is_best_certain = (
        bool(suspected) and bool(eligible) and ranked[0].value <= _find_optimistic_cost(eligible)
    )
    if len(suspected) >= MAX_SUSPECT_REFUSALS or not eligible or is_best_certain:
        return ranked[0].choice, 1.0
    best = eligible[0]
    others = [cost for cost in ranked if cost is not best]
    if not others:
        return best.choice, 1.0
    # Lowest possible cost of another target, less the cost of the chosen one other than its risk.
    risk_limit = _find_optimistic_cost(others) - (best.value - _get_risk(best.choice))
    return best.choice, max(MIN_RISK_LIMIT, risk_limit)


def _compute_distance_costs(body_bytes: int) -> dict[Distance, float]:
    if not body_bytes:
        return DISTANCE_COSTS
    body_cost = LONG_BODY_COST * min(1.0, body_bytes / LONG_BODY_BYTES)
    other_region = DISTANCE_COSTS[Distance.OTHER_REGION] + body_cost
    return DISTANCE_COSTS | {Distance.OTHER_REGION: other_region}


def _evaluate(
    choice: Choice,
    distance: Distance,
    tried: Collection[TargetId],
    *,
    distance_cost: float,
    aim_s: float,
    tie_breaker: float,
) -> _Cost:
    value = _compute_cost(choice, tried, aim_s) + distance_cost
    optimistic_value = value - _estimate_improvement(choice, distance)
    return _Cost(
        value=value, optimistic_value=optimistic_value, tie_breaker=tie_breaker, choice=choice
    )


def _find_optimistic_cost(costs: Sequence[_Cost]) -> float:
    return min(cost.optimistic_value for cost in costs)


def _make_candidate(choice: Choice, *, max_risk: float, may_try: bool) -> Candidate:
    return msgspec.structs.replace(
        choice.candidate,
        risk=choice.risk,
        max_risk=max_risk,
        may_try=may_try,
        expected=choice.expected,
    )


def _get_risk(choice: Choice) -> float:
    return 0.0 if choice.risk is None else choice.risk


def _estimate_improvement(choice: Choice, distance: Distance) -> float:
    """Return by how much the risk of a near target may be lower than last reported."""
    if choice.risk_age_s <= FRESH_RISK_AGE_S or distance is Distance.OTHER_REGION:
        return 0.0
    return max(0.0, _get_risk(choice) - OPTIMISTIC_RISK)


def _compute_cost(choice: Choice, tried: Collection[TargetId], aim_s: float) -> float:
    """Return the cost of a target other than that of its distance."""
    cost = _get_risk(choice) + choice.shed_cost + _compute_load_cost(choice, aim_s)
    if choice.candidate.target in tried:
        cost += TRIED_COST
    return cost


def _compute_load_cost(choice: Choice, aim_s: float) -> float:
    """Return the cost of what the target has to do, and of how long it would take."""
    slots = choice.candidate.load.slots
    is_full = choice.free_slots < 1.0
    # Each attempt that waits already makes it likelier that one more gets no slot in time.
    full_cost = FULL_COST * (1.0 + min(1.0, choice.waiting / slots))
    used_share = 1.0 - min(1.0, choice.free_slots / slots)
    if choice.expected is None:
        return full_cost if is_full else BUSY_COST * used_share
    lateness = min(MAX_LATENESS, choice.expected.total_s / aim_s)
    crowd_cost = full_cost if is_full else CROWD_COST * used_share**2
    return LATE_COST * lateness**2 + crowd_cost
