"""Parses durations in the platform's notation."""

import re
from decimal import Decimal

from samphirespring.process.bounds import MAX_DURATION_S

DURATION_PATTERN = re.compile(r"^([0-9]{1,12}(?:\.[0-9]{1,12})?)(ms|s)$")
MS_PER_UNIT = {"ms": 1, "s": 1_000}
MAX_MS = round(MAX_DURATION_S * 1_000)


def parse_exact_ms(text: str) -> Decimal:
    """Return a duration in milliseconds, not rounded.

    Args:
        text: A number with the unit `ms` or `s`.

    Raises:
        ValueError: The text isn't a duration, or is longer than a day.
    """
    match = DURATION_PATTERN.match(text)
    if match is None:
        raise ValueError(f"`{text}` isn't a duration in `ms` or `s`")
    duration_ms = Decimal(match[1]) * MS_PER_UNIT[match[2]]
    if duration_ms > MAX_MS:
        raise ValueError(f"`{text}` is longer than a day")
    return duration_ms


def parse_ms(text: str) -> int:
    """Return a duration in milliseconds, rounded.

    Args:
        text: A number with the unit `ms` or `s`.

    Raises:
        ValueError: The text isn't a duration, or is longer than a day.
    """
    return round(parse_exact_ms(text))


def parse_seconds(text: str) -> float:
    """Return a duration in seconds.

    Args:
        text: A number with the unit `ms` or `s`.

    Raises:
        ValueError: The text isn't a duration.
    """
    return parse_ms(text) / 1_000
