"""Stages of a stall: how long an attempt in flight has waited compared with its pool."""

import math

from samphirespring.process.detection.reference import PoolReference

STALL_FACTOR = 4.0
"""Multiple of the pool's 97th percentile from which a waiting attempt counts as stalled."""

MAX_STAGE = 5
"""Stage from which a longer wait is no further evidence, so that no single attempt decides."""

MIN_STALL_S = 0.25
"""Minimum wait before an attempt counts as stalled, in seconds."""


def compute_stall_stage(waited_s: float, reference: PoolReference | None) -> int:
    """Return the stage of a stall: 0 for none, 1 from the first limit, 1 more for each doubling.

    Args:
        waited_s: Time since the target last sent data, in seconds.
        reference: The pool's reference; without one no attempt counts as stalled.
    """
    if reference is None:
        return 0
    limit_s = max(MIN_STALL_S, STALL_FACTOR * reference.read_p97_s())
    if waited_s < limit_s:
        return 0
    return min(MAX_STAGE, 1 + int(math.log2(waited_s / limit_s)))
