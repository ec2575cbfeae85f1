"""Reloads the control hosts' addresses when the settings file changes."""

import signal
from abc import ABC, abstractmethod
from collections.abc import Sequence
from pathlib import Path

import anyio
import anyio.to_thread
import msgspec

from samphirespring.process.errors import SamphireError
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService

CHECK_INTERVAL_S = 2.0
"""Time between two checks of the file, which may change without a signal, in seconds."""

_log = EventLog()


class SeedReader(ABC):
    """Reads the seeds from a settings file."""

    @abstractmethod
    def read_seeds(self, path: Path) -> tuple[str, ...]:
        """Return the link addresses of control hosts that the file names.

        Args:
            path: The file.

        Raises:
            SamphireError: The file can't be read, or a field is invalid.
        """


class SeedConsumer(ABC):
    """Component whose seeds can be replaced while it runs."""

    @abstractmethod
    def use_seeds(self, seeds: Sequence[str]) -> None:
        """Use these addresses to find control hosts from now on.

        Args:
            seeds: Link addresses of control hosts.
        """


class WatchedFile(msgspec.Struct, frozen=True, kw_only=True):
    """A settings file and the reader of its seeds.

    Attributes:
        path: The file.
        reader: Reads the seeds from the file.
    """

    path: Path
    reader: SeedReader


class SettingsWatchDump(StateDump, frozen=True, kw_only=True):
    """State of the settings watch."""

    seeds: tuple[str, ...]


class SettingsWatch(OwnerTask):
    """Checks the settings file periodically, and reloads it at each SIGHUP.

    Args:
        file: The file.
        consumer: Receives the seeds.
        timers: The timer service.
    """

    def __init__(self, *, file: WatchedFile, consumer: SeedConsumer, timers: TimerService) -> None:
        self._path = file.path
        self._reader = file.reader
        self._consumer = consumer
        self._timers = timers
        self._seeds: tuple[str, ...] = ()
        self._file_state: tuple[int, int] | None = None

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "settings_watch"

    async def run(self) -> None:
        """Check the file until cancelled."""
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async with anyio.create_task_group() as group:
                group.start_soon(self._check_periodically)
                async for _ in signals:
                    await self._reload()

    async def dump(self) -> SettingsWatchDump:
        """Return the latest seeds."""
        return SettingsWatchDump(seeds=self._seeds)

    async def _check_periodically(self) -> None:
        async for _ in self._timers.subscribe(interval_s=CHECK_INTERVAL_S):
            file_state = await anyio.to_thread.run_sync(_read_file_state, self._path)
            if file_state != self._file_state:
                self._file_state = file_state
                await self._reload()

    async def _reload(self) -> None:
        try:
            seeds = await anyio.to_thread.run_sync(self._reader.read_seeds, self._path)
        except SamphireError as error:
            _log.warning(LogEvent.SETTINGS_RELOAD_FAILED, detail=error.detail)
            return
        if seeds == self._seeds:
            return
        if self._seeds:
            # The first check only reads the seeds that the process started with.
            _log.info(LogEvent.SETTINGS_RELOADED, seeds=seeds)
        self._seeds = seeds
        self._consumer.use_seeds(seeds)


def _read_file_state(path: Path) -> tuple[int, int] | None:
    """Return the file's modification time and size, or None if it can't be read."""
    try:
        status = path.stat()
    except OSError:
        return None
    return (status.st_mtime_ns, status.st_size)


def make_settings_watch(
    file: WatchedFile | None, *, consumer: SeedConsumer, timers: TimerService
) -> tuple[SettingsWatch, ...]:
    """Return the task that watches a settings file, or no task if there is no file.

    Args:
        file: The file.
        consumer: Receives the seeds.
        timers: The timer service.
    """
    if file is None:
        return ()
    return (SettingsWatch(file=file, consumer=consumer, timers=timers),)
