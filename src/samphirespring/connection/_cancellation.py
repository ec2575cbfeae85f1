"""Repair of the calling task after grpclib has woken it up."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def restore_cancellation_count() -> Iterator[None]:
    """Take back the cancellation that grpclib uses to wake a task whose connection broke.

    grpclib cancels the task and turns the cancellation into an error of its own, but leaves the
    task's count of cancellations raised. A cancel scope that the task uses later would take itself
    for cancelled from outside, and end the task.
    """
    task = asyncio.current_task()
    before = 0 if task is None else task.cancelling()
    try:
        yield
    except Exception:
        # A cancellation from outside is no Exception, and stays as it is.
        if task is not None and task is asyncio.current_task():
            while task.cancelling() > before:
                task.uncancel()
        raise
