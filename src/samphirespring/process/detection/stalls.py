"""When the wait of an attempt in flight says something of its target."""

import math

from samphirespring.process.detection.reference import PoolReference

FIRST_FACTOR = 4.0
"""Wait over the pool's 97th percentile from which an attempt counts as stalled."""

MAX_STAGE = 5
"""Stage from which a longer wait says nothing more, so that no single attempt decides."""

MIN_STALL_S = 0.25
"""Wait below which no attempt counts as stalled, in seconds."""


def compute_stall_stage(waited_s: float, reference: PoolReference | None) -> int:
    """Return how far an attempt has stalled: 0 not at all, 1 at first, 1 more for each doubling.

    Args:
        waited_s: Time since the target's last sign, in seconds.
        reference: The pool's reference; without one nothing is known of the usual wait.
    """
    if reference is None:
        return 0
    first_s = max(MIN_STALL_S, FIRST_FACTOR * reference.read_p97_s())
    if waited_s < first_s:
        return 0
    return min(MAX_STAGE, 1 + int(math.log2(waited_s / first_s)))
