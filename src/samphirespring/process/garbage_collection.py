"""Settings of the garbage collector, whose full collections would pause requests in flight."""

import gc

YOUNG_THRESHOLD = 2_000
"""Excess of allocations over deallocations that starts a collection of the youngest generation."""

MIDDLE_THRESHOLD = 10
OLD_THRESHOLD = 100
"""Collections of a generation before the next older generation is collected."""


def defer_collections() -> None:
    """Collect nothing until `freeze_loaded_objects`: what a program loads stays in use."""
    gc.disable()


def freeze_loaded_objects() -> None:
    """Exclude all objects that exist now, such as modules, from later collections."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
    gc.enable()
