"""Parses durations in the platform's notation."""

import re

DURATION_PATTERN = re.compile(r"^([0-9]+(?:\.[0-9]+)?)(ms|s)$")
MS_PER_UNIT = {"ms": 1.0, "s": 1_000.0}


def parse_ms(text: str) -> int:
    """Return a duration in milliseconds.

    Args:
        text: A number with the unit `ms` or `s`.

    Raises:
        ValueError: The text isn't a duration.
    """
    match = DURATION_PATTERN.match(text)
    if match is None:
        raise ValueError(f"`{text}` isn't a duration in `ms` or `s`")
    return round(float(match[1]) * MS_PER_UNIT[match[2]])


def parse_seconds(text: str) -> float:
    """Return a duration in seconds.

    Args:
        text: A number with the unit `ms` or `s`.

    Raises:
        ValueError: The text isn't a duration.
    """
    return parse_ms(text) / 1_000
