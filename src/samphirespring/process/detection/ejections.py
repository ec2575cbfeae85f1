"""Selects which unhealthy targets a front ejects while the pool stays above its floor."""

import math
from collections.abc import Sequence

import msgspec

from samphirespring.process.ids import TargetId
from samphirespring.process.states import TargetCondition, TargetPhase

EJECTABLE = frozenset({TargetCondition.UNHEALTHY, TargetCondition.TRIAL})
COMMON_SHARE = 0.5
"""Share of suspect targets above which a common cause is assumed instead of faulty targets."""

COMMON_FACTOR = 0.15
"""Share of the highest severity in the pool from which other targets count as suspect too."""

MIN_COMMON_SEVERITY = 0.15

MIN_COMMON_TARGETS = 3
ACTIVE_RATE_STEPS = 3
"""Rate steps (factors of two) below the busiest target within which a target is active."""

MIN_REMAINING_SLOTS = 1
"""Slots that ejections leave even with a floor of 0."""

ROUNDING = 1e-9


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Input of a decision on ejections: state of one target as a front sees it.

    Attributes:
        target: The target.
        slots: Its capacity.
        phase: Phase that it announces.
        condition: Condition that its agent reports.
        severity: Strength of the evidence against it.
        present: Whether its lease is valid.
        reachable: Whether this front can reach its host.
        rate_step: Binary logarithm of its rate of responses; None if unknown.
        silent: Whether a request of this front has gone without a response for unusually long.
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


class EjectionDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a decision on ejections.

    Attributes:
        ejected: Targets that receive no requests, or only trials.
        spared: Unhealthy targets that the floor keeps in service.
        common_cause: Whether most of the pool is suspect, so that no further target is ejected.
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
    """Return which targets of one service to eject.

    Targets that are ejected already come first, then the others by decreasing severity. Draining,
    expired, unreachable and cold targets count as missing capacity, which uses up the share that
    may be ejected.

    Args:
        statuses: All targets of the service, including those that count as missing.
        floor: Minimum share of the total capacity that ejections must leave.
        ejected: Targets that are ejected already.
        hold: Whether no further target may be ejected.
    """
    common_cause = has_common_cause(statuses)
    total_slots = sum(status.slots for status in statuses)
    required_slots = max(MIN_REMAINING_SLOTS, math.ceil(floor * total_slots - ROUNDING))
    usable = [status for status in statuses if _is_usable(status)]
    remaining_slots = sum(status.slots for status in usable)
    unhealthy = [status for status in usable if status.condition in EJECTABLE]
    if hold or common_cause:
        unhealthy = [status for status in unhealthy if status.target in ejected]
    ejected_now: set[TargetId] = set()
    spared: set[TargetId] = set()
    # The evidence against an ejected target no longer grows, so its severity can't be compared with
    # the others'. Ejected targets stay ejected before the worst of the others is considered.
    for status in sorted(unhealthy, key=lambda s: (s.target not in ejected, -s.severity, s.target)):
        if remaining_slots - status.slots >= required_slots:
            remaining_slots -= status.slots
            ejected_now.add(status.target)
        else:
            spared.add(status.target)
    return EjectionDecision(
        ejected=frozenset(ejected_now), spared=frozenset(spared), common_cause=common_cause
    )


def has_common_cause(statuses: Sequence[TargetStatus]) -> bool:
    """Return whether a target is unhealthy while most of the active ones are suspect too.

    Args:
        statuses: All targets of the service.
    """
    active = _list_active([status for status in statuses if _is_usable(status)])
    if len(active) < MIN_COMMON_TARGETS:
        return False
    if not any(status.condition in EJECTABLE for status in active):
        return False
    max_severity = max(status.severity for status in active)
    min_severity = max(MIN_COMMON_SEVERITY, COMMON_FACTOR * max_severity)
    suspect_count = sum(1 for status in active if _is_suspect(status, min_severity))
    return suspect_count > COMMON_SHARE * len(active)


def _list_active(statuses: list[TargetStatus]) -> list[TargetStatus]:
    rate_steps = [status.rate_step for status in statuses if status.rate_step is not None]
    if len(rate_steps) < MIN_COMMON_TARGETS:
        return statuses
    min_rate_step = max(rate_steps) - ACTIVE_RATE_STEPS
    return [s for s in statuses if s.rate_step is not None and s.rate_step >= min_rate_step]


def _is_suspect(status: TargetStatus, min_severity: float) -> bool:
    # When the whole pool stalls, agents report it one after the other; silence shows it at once.
    return status.silent or status.condition in EJECTABLE or status.severity >= min_severity


def _is_usable(status: TargetStatus) -> bool:
    return (
        status.present
        and status.reachable
        and status.phase is TargetPhase.SERVING
        and status.condition is not TargetCondition.SLOW_START
    )
