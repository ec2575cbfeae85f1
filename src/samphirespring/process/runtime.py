"""Start-up and shutdown that all programs share: runs tasks until a stop is requested."""

import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from samphirespring.connection.listener import AddressUnavailableError
from samphirespring.process.event_loop.step_watch import watch_steps
from samphirespring.process.event_loop.watched_loop import make_backend_options
from samphirespring.process.garbage_collection import freeze_loaded_objects
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.settings import (
    SettingsInvalidError,
    SettingsT,
    exit_on_invalid_settings,
    load_settings,
)
from samphirespring.process.tasks import OwnerTask
from samphirespring.process.timers import MonotonicTimerService

ADDRESS_EXIT_STATUS = 3
"""Exit status of a program that can't listen on an address of its settings."""

_log = EventLog()


def load_settings_or_exit(path: Path, settings_type: type[SettingsT]) -> SettingsT:
    """Load the settings; if they are invalid, end the program with the status for that.

    Args:
        path: The JSON file.
        settings_type: The settings' type.
    """
    try:
        return load_settings(path, settings_type)
    except SettingsInvalidError as error:
        exit_on_invalid_settings(error)


def run_program(main: Callable[[], Awaitable[None]]) -> None:
    """Run a program; if it can't listen on an address, exit with a separate status.

    Args:
        main: Serves until a stop is requested.
    """
    freeze_loaded_objects()
    try:
        anyio.run(_run_watched, main, backend_options=make_backend_options())
    except* AddressUnavailableError:
        # The address was already logged.
        sys.exit(ADDRESS_EXIT_STATUS)


async def _run_watched(main: Callable[[], Awaitable[None]]) -> None:
    async with watch_steps(timers=MonotonicTimerService()):
        await main()


@asynccontextmanager
async def run_tasks(tasks: Sequence[OwnerTask]) -> AsyncIterator[TaskGroup]:
    """Run tasks while the context is open, and cancel them when it ends.

    Args:
        tasks: The tasks.
    """
    async with anyio.create_task_group() as group:
        for task in tasks:
            group.start_soon(task.run, name=task.name)
        yield group
        group.cancel_scope.cancel()


@asynccontextmanager
async def watch_stop_signals() -> AsyncIterator[anyio.Event]:
    """Yield an event that the first SIGTERM or SIGINT sets; later signals don't end a drain."""
    stop = anyio.Event()
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as group:
            group.start_soon(_set_on_signal, signals, stop)
            yield stop
            group.cancel_scope.cancel()


async def _set_on_signal(signals: AsyncIterator[signal.Signals], stop: anyio.Event) -> None:
    async for number in signals:
        _log.info(LogEvent.STOP_REQUESTED, signal=signal.Signals(number).name)
        stop.set()
