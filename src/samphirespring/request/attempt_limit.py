"""Decision how long a repeatable attempt may take before another one starts beside it."""

import math

from samphirespring.process.detection.summaries import decode_log_latency
from samphirespring.process.detection.target_evaluator import DetectionTerms

LATENCY_FACTOR = 4.0
"""Limit over the pool's latency at its highest quantile (0.97)."""

PATH_ALLOWANCE_S = 0.1
"""Addition for the way to the agent, which the pool's latency leaves out, in seconds."""

DEADLINE_SHARE = 0.5
"""Largest part of the usable time that one attempt may take if another one can follow."""


def find_attempt_limit_s(
    terms: DetectionTerms | None, *, left_s: float, reserve_s: float
) -> float | None:
    """Return the time after which an attempt on a pool of this kind counts as stalled.

    Args:
        terms: What the front knows of the pool; None if nothing.
        left_s: Time left until the deadline in seconds.
        reserve_s: Part of it that the next attempt must find, in seconds.

    Returns:
        The limit, in seconds, or None if no time would be left for another attempt.
    """
    usable_s = left_s - reserve_s
    if usable_s <= 0.0:
        return None
    longest_s = usable_s * DEADLINE_SHARE
    if terms is None or terms.reference is None:
        return longest_s
    usual_s = math.exp(decode_log_latency(terms.reference.p97))
    return min(longest_s, PATH_ALLOWANCE_S + LATENCY_FACTOR * usual_s)
