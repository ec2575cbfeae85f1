"""Reads the control hosts' addresses again when the settings file changes."""

import signal
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import anyio
import anyio.to_thread

from samphirespring.process.errors import SamphireError
from samphirespring.process.event_log import EventLog
from samphirespring.process.log_events import LogEvent
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService

CHECK_INTERVAL_S = 2.0
"""Time between two looks at the file, which may change without a signal, in seconds."""

_log = EventLog()


class SeedReader(ABC):
    """Reads seeds out of a settings file."""

    @abstractmethod
    def read_seeds(self, path: Path) -> tuple[str, ...]:
        """Return the link addresses of control hosts that the file names.

        Args:
            path: The file.

        Raises:
            SamphireError: The file can't be read, or a field is invalid.
        """


class SeedConsumer(ABC):
    """Takes other seeds while it runs."""

    @abstractmethod
    def use_seeds(self, seeds: Sequence[str]) -> None:
        """Look for the control hosts at these addresses from now on.

        Args:
            seeds: Their link addresses.
        """


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchedFile:
    """A settings file with what reads its seeds.

    Attributes:
        path: The file.
        reader: Reads the seeds.
    """

    path: Path
    reader: SeedReader


class SettingsWatchDump(StateDump, frozen=True, kw_only=True):
    """State of the settings watch."""

    seeds: tuple[str, ...]


class SettingsWatch(OwnerTask):
    """Looks at the settings file at each SIGHUP and now and then.

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
        self._stamp: tuple[int, int] | None = None

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "settings_watch"

    async def run(self) -> None:
        """Look until cancelled."""
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async with anyio.create_task_group() as group:
                group.start_soon(self._look_repeatedly)
                async for _ in signals:
                    await self._read()

    async def dump(self) -> SettingsWatchDump:
        """Return what was read last."""
        return SettingsWatchDump(seeds=self._seeds)

    async def _look_repeatedly(self) -> None:
        async for _ in self._timers.subscribe(interval_s=CHECK_INTERVAL_S):
            stamp = await anyio.to_thread.run_sync(_read_stamp, self._path)
            if stamp != self._stamp:
                self._stamp = stamp
                await self._read()

    async def _read(self) -> None:
        try:
            seeds = await anyio.to_thread.run_sync(self._reader.read_seeds, self._path)
        except SamphireError as error:
            _log.warning(LogEvent.SETTINGS_RELOAD_FAILED, detail=error.detail)
            return
        if seeds == self._seeds:
            return
        if self._seeds:
            # The first look only learns what the process started with.
            _log.info(LogEvent.SETTINGS_RELOADED, seeds=seeds)
        self._seeds = seeds
        self._consumer.use_seeds(seeds)


def _read_stamp(path: Path) -> tuple[int, int] | None:
    """Return what changes with the file, or None if it isn't there."""
    try:
        status = path.stat()
    except OSError:
        return None
    return (status.st_mtime_ns, status.st_size)


def make_settings_watch(
    file: WatchedFile | None, *, consumer: SeedConsumer, timers: TimerService
) -> tuple[SettingsWatch, ...]:
    """Return the task that follows a settings file, or none where there is no file.

    Args:
        file: The file.
        consumer: Receives the seeds.
        timers: The timer service.
    """
    if file is None:
        return ()
    return (SettingsWatch(file=file, consumer=consumer, timers=timers),)
