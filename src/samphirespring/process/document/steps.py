"""Runs long computations in short steps, between which other tasks run."""

from collections.abc import Iterator
from typing import TypeVar

import anyio.lowlevel

from samphirespring.process.errors import InternalError

ResultT = TypeVar("ResultT")


async def run_steps(steps: Iterator[ResultT | None]) -> ResultT:
    """Run the steps and return the result of the last one; other tasks run after each step.

    Args:
        steps: Yields None after each step, and the result after the last one.

    Raises:
        InternalError: The steps ended without a result.
    """
    for result in steps:
        if result is not None:
            return result
        await anyio.lowlevel.checkpoint()
    raise InternalError("the steps ended without a result")
