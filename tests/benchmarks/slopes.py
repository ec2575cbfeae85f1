"""Measurement of costs, and their slope over sizes."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence

import numpy

from benchmarks.figures import Figure


def measure_bytes(build: Callable[[], object]) -> int:
    """Return the memory that an object occupies, in bytes.

    Args:
        build: Creates the object.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del kept
        return after - before
    finally:
        tracemalloc.stop()


def measure_cpu_s(run: Callable[[], object]) -> float:
    """Return the CPU time of a call, in seconds.

    Args:
        run: The call.
    """
    started = time.process_time()
    run()
    return time.process_time() - started


def fit_slope(
    name: str, sizes: Sequence[int], values: Sequence[float], *, unit: str, size_unit: str
) -> list[Figure]:
    """Return the measured values, and slope and intercept of a least-squares line through them.

    Args:
        name: Name of the measured quantity.
        sizes: At least three sizes.
        values: The value at each size.
        unit: Unit of the values.
        size_unit: Unit of the sizes.
    """
    if len(sizes) < 3:
        raise ValueError("a slope needs at least three sizes")
    slope, base = numpy.polyfit(numpy.array(sizes, float), numpy.array(values, float), 1)
    figures = [
        Figure(name=f"{name}, {size:,} {size_unit}s", value=value, unit=unit)
        for size, value in zip(sizes, values, strict=True)
    ]
    figures.append(Figure(name=f"{name}, slope", value=float(slope), unit=f"{unit}/{size_unit}"))
    figures.append(Figure(name=f"{name}, base", value=float(base), unit=unit))
    return figures
