"""Checks of host records from other processes, so that one invalid record is skipped alone."""

from collections.abc import Iterable

import msgspec

from samphirespring.process.bounds import MAX_NAME_LENGTH, MAX_SLOTS, IpPort, check_address
from samphirespring.process.ids import HostId
from samphirespring.process.targets import HostRecord, TargetDeparture, TargetRecord

MAX_ORDER = (1 << 63) - 1
"""Largest number that every reader of a record can hold."""


def select_valid(records: Iterable[HostRecord]) -> tuple[list[HostRecord], list[str]]:
    """Return the valid records, and a description of each invalid one.

    Args:
        records: Records as received.
    """
    valid: list[HostRecord] = []
    problems: list[str] = []
    for record in records:
        problem = find_problem(record)
        if problem is None:
            valid.append(record)
        else:
            problems.append(f"{record.locality.host[:MAX_NAME_LENGTH]}: {problem}")
    return valid, problems


def find_problem(record: HostRecord) -> str | None:
    """Return why a record can't be used, or None if it can.

    Args:
        record: The record.
    """
    locality = record.locality
    if not all(map(_is_name, (locality.host, locality.region, locality.failure_domain))):
        return "invalid name of the host or its location"
    if min(record.incarnation, record.sequence) < 0:
        return "negative incarnation or sequence"
    try:
        check_address(msgspec.convert(record.link_address, IpPort))
    except (msgspec.ValidationError, ValueError) as error:
        return f"invalid link address: {error}"
    return next(filter(None, map(_find_target_problem, record.targets)), None)


def find_departure_problem(host: HostId, departure: TargetDeparture) -> str | None:
    """Return why a departure can't be recorded, or None if it can.

    Args:
        host: Host of the target.
        departure: The departure.
    """
    if not _is_name(host) or not _is_name(departure.target):
        return "invalid name of the host or the target"
    if not 0 <= departure.started_ms <= MAX_ORDER or not 0 <= departure.sequence <= MAX_ORDER:
        return "start or sequence of the departure out of range"
    return None


def _find_target_problem(record: TargetRecord) -> str | None:
    if not _is_name(record.target) or not _is_name(record.service):
        return "invalid name of a target or its service"
    load = record.load
    if not 1 <= load.slots <= MAX_SLOTS or not 0 <= load.free_slots <= load.slots:
        return "slots out of range"
    return None


def _is_name(text: str) -> bool:
    return 1 <= len(text) <= MAX_NAME_LENGTH
