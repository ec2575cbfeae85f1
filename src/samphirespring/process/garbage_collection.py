"""Settings of the garbage collector, whose full passes would stop requests in flight."""

import gc

YOUNG_THRESHOLD = 2_000
"""Allocations beyond deallocations before a pass over the youngest objects."""

MIDDLE_THRESHOLD = 10
OLD_THRESHOLD = 100
"""Passes over a younger generation before one over the next."""


def freeze_loaded_objects() -> None:
    """Keep all objects that exist now, modules and their like, out of later passes."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
