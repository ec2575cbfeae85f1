"""Writes the stack of a step that keeps the event loop from running for long."""

import faulthandler
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TextIO

import anyio

from samphirespring.process.timers import TimerService

RENEWAL_INTERVAL_S = 2.0
STEP_LIMIT_S = 10.0
"""Time without a turn of the event loop after which its stack is written, in seconds."""


@asynccontextmanager
async def watch_steps(
    *,
    timers: TimerService,
    limit_s: float = STEP_LIMIT_S,
    interval_s: float = RENEWAL_INTERVAL_S,
    file: TextIO | None = None,
) -> AsyncIterator[None]:
    """Write the stacks of all threads, once for each step that takes too long.

    They are written by a thread of the interpreter, as a step that never ends can't log anything. A
    process that was suspended for the time of the limit may write them, too.

    Args:
        timers: The timer service.
        limit_s: Time after which a step takes too long, in seconds.
        interval_s: Time between two renewals of the limit, in seconds.
        file: Receives the stacks; None uses standard error.
    """
    async with anyio.create_task_group() as group:
        group.start_soon(_renew_limit, timers, limit_s, interval_s, file or sys.stderr)
        yield
        group.cancel_scope.cancel()


async def _renew_limit(
    timers: TimerService, limit_s: float, interval_s: float, file: TextIO
) -> None:
    try:
        async for _ in timers.subscribe(interval_s=interval_s):
            faulthandler.dump_traceback_later(limit_s, file=file)
    finally:
        faulthandler.cancel_dump_traceback_later()
