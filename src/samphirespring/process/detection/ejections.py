"""Which sick targets a front leaves out, so that the pool stays above its floor."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from samphirespring.process.ids import TargetId
from samphirespring.process.states import TargetCondition, TargetPhase

EJECTABLE = frozenset({TargetCondition.UNHEALTHY, TargetCondition.TRIAL})
COMMON_SHARE = 0.5
"""Share of suspect targets above which the cause is taken to be the pool's, not theirs."""

COMMON_FACTOR = 0.15
"""Share of the worst severity from which another target counts as suspect of a common cause."""

MIN_COMMON_SEVERITY = 0.15

MIN_COMMON_TARGETS = 3
ACTIVE_RATE_STEPS = 3
"""Binary steps of rate below the busiest target at which a target still counts as active."""

MIN_REMAINING_SLOTS = 1
"""Capacity that ejection leaves whatever the floor is."""

ROUNDING = 1e-9


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetStatus:
    """What a front knows of one target when it decides on ejections.

    Attributes:
        target: The target.
        slots: Its capacity.
        phase: What it announces.
        condition: What its agent concludes.
        severity: Strength of the evidence against it.
        present: Whether its lease holds.
        reachable: Whether this front reaches it.
        rate_step: Binary logarithm of its rate of answers; None if unknown.
        silent: Whether this front waits for a word of it for longer than usual.
    """

    target: TargetId
    slots: int
    phase: TargetPhase
    condition: TargetCondition
    severity: float
    present: bool = True
    reachable: bool = True
    rate_step: int | None = None
    silent: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class EjectionDecision:
    """Which targets are left out.

    Attributes:
        ejected: Targets that get no requests, or only trials.
        spared: Sick targets that the floor keeps in.
        common_cause: Whether most of the pool is suspect, so that nothing new is ejected.
    """

    ejected: frozenset[TargetId] = frozenset()
    spared: frozenset[TargetId] = frozenset()
    common_cause: bool = False


def select_ejections(
    statuses: Sequence[TargetStatus],
    floor: float,
    *,
    ejected: frozenset[TargetId] = frozenset(),
    hold: bool = False,
) -> EjectionDecision:
    """Return which targets of one service to leave out: those that are already, then the worst.

    Draining, expired, unreachable and cold targets count as missing capacity, which uses up
    the share that may be ejected.

    Args:
        statuses: All targets of the service that the front knows, missing ones included.
        floor: Least share of the whole capacity that ejection must leave.
        ejected: Targets that are left out already.
        hold: Whether nothing new may be ejected.
    """
    common_cause = has_common_cause(statuses)
    total = sum(status.slots for status in statuses)
    required = max(MIN_REMAINING_SLOTS, math.ceil(floor * total - ROUNDING))
    usable = [status for status in statuses if _is_usable(status)]
    left = sum(status.slots for status in usable)
    sick = [status for status in usable if status.condition in EJECTABLE]
    if hold or common_cause:
        sick = [status for status in sick if status.target in ejected]
    chosen: set[TargetId] = set()
    spared: set[TargetId] = set()
    # The evidence against a target that is left out no longer grows, so that it can't be compared
    # with the others': it stays out, and only then comes the worst of the others.
    for status in sorted(sick, key=lambda s: (s.target not in ejected, -s.severity, s.target)):
        if left - status.slots >= required:
            left -= status.slots
            chosen.add(status.target)
        else:
            spared.add(status.target)
    return EjectionDecision(
        ejected=frozenset(chosen), spared=frozenset(spared), common_cause=common_cause
    )


def has_common_cause(statuses: Sequence[TargetStatus]) -> bool:
    """Return whether a target is sick while most of the active ones are suspect too.

    Args:
        statuses: All targets of the service.
    """
    active = _list_active([status for status in statuses if _is_usable(status)])
    if len(active) < MIN_COMMON_TARGETS:
        return False
    if not any(status.condition in EJECTABLE for status in active):
        return False
    worst = max(status.severity for status in active)
    least = max(MIN_COMMON_SEVERITY, COMMON_FACTOR * worst)
    suspect_count = sum(1 for status in active if _is_suspect(status, least))
    return suspect_count > COMMON_SHARE * len(active)


def _list_active(statuses: list[TargetStatus]) -> list[TargetStatus]:
    rates = [status.rate_step for status in statuses if status.rate_step is not None]
    if len(rates) < MIN_COMMON_TARGETS:
        return statuses
    least = max(rates) - ACTIVE_RATE_STEPS
    return [s for s in statuses if s.rate_step is not None and s.rate_step >= least]


def _is_suspect(status: TargetStatus, least: float) -> bool:
    # Where the whole pool stalls, agents tell of it one after the other; silence tells at once.
    return status.silent or status.condition in EJECTABLE or status.severity >= least


def _is_usable(status: TargetStatus) -> bool:
    return (
        status.present
        and status.reachable
        and status.phase is TargetPhase.SERVING
        and status.condition is not TargetCondition.SLOW_START
    )
