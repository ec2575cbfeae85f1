"""Workaround for grpclib's cancellation of the calling task."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def restore_cancellation_count() -> Iterator[None]:
    """Restore the task's cancellation count after grpclib cancelled it for a broken connection.

    grpclib cancels the waiting task and converts the cancellation into an error of its own, but
    never calls `uncancel`. A cancel scope that the task enters later would treat the remaining
    count as a cancellation from outside, and end the task.
    """
    task = asyncio.current_task()
    before = 0 if task is None else task.cancelling()
    try:
        yield
    except Exception:
        # A cancellation from outside isn't an Exception, so it propagates unchanged.
        if task is not None and task is asyncio.current_task():
            while task.cancelling() > before:
                task.uncancel()
        raise
