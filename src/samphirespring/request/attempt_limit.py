"""How long an idempotent attempt may take before it counts as stalled."""

import math

from samphirespring.process.detection.summaries import decode_log_latency
from samphirespring.process.detection.target_evaluator import DetectionTerms

LATENCY_FACTOR = 4.0
"""Factor on the 0.97 quantile of the pool's latency, the highest quantile that is tracked."""

PATH_ALLOWANCE_S = 0.1
"""Allowance for the path to the agent, which the pool's latency doesn't include, in seconds."""

DEADLINE_SHARE = 0.5
"""Largest share of the usable time for one attempt if another attempt can follow."""


def compute_attempt_limit_s(
    terms: DetectionTerms | None, *, remaining_s: float, reserve_s: float
) -> float | None:
    """Return the duration after which an attempt counts as stalled.

    Args:
        terms: Statistics of the pool; None if the front has none.
        remaining_s: Time remaining until the deadline, in seconds.
        reserve_s: Part of the remaining time to reserve for the next attempt, in seconds.

    Returns:
        The limit, in seconds, or None if too little time remains for another attempt.
    """
    usable_s = remaining_s - reserve_s
    if usable_s <= 0.0:
        return None
    longest_s = usable_s * DEADLINE_SHARE
    if terms is None or terms.reference is None:
        return longest_s
    typical_s = math.exp(decode_log_latency(terms.reference.p97))
    return min(longest_s, PATH_ALLOWANCE_S + LATENCY_FACTOR * typical_s)
