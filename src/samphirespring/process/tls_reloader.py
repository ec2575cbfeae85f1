"""Reloads TLS files when they change, so that certificates are renewed without a restart."""

import ssl
from collections.abc import Sequence
from pathlib import Path

import msgspec

from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.metrics.metric_names import Counter
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.settings import SettingsInvalidError, TlsSettings
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.process.tls import load_identity, make_client_context, make_server_context

CHECK_INTERVAL_S = 10.0

_log = EventLog()


class TlsContext(msgspec.Struct, frozen=True, kw_only=True):
    """A context in use, with the files that it was loaded from."""

    settings: TlsSettings
    context: ssl.SSLContext


class TlsContextStore:
    """Makes the TLS contexts of a process and records the files of each."""

    def __init__(self) -> None:
        self._entries: list[TlsContext] = []

    @property
    def contexts(self) -> tuple[TlsContext, ...]:
        """All contexts made so far."""
        return tuple(self._entries)

    def make_server(self, settings: TlsSettings | None, *, mutual: bool) -> ssl.SSLContext | None:
        """Return the context of a listening socket, or None for plain TCP.

        Args:
            settings: Files of the identity; None uses no TLS.
            mutual: Whether clients must present a certificate issued by the authority.

        Raises:
            SettingsInvalidError: A file can't be read or is missing.
        """
        if settings is None:
            return None
        return self._record(settings, make_server_context(settings, mutual=mutual))

    def make_client(self, settings: TlsSettings | None) -> ssl.SSLContext | None:
        """Return the context of links that this process opens, or None for plain TCP.

        Args:
            settings: Files of the identity; None uses no TLS.

        Raises:
            SettingsInvalidError: A file can't be read or is missing.
        """
        if settings is None:
            return None
        return self._record(settings, make_client_context(settings))

    def _record(self, settings: TlsSettings, context: ssl.SSLContext) -> ssl.SSLContext:
        self._entries.append(TlsContext(settings=settings, context=context))
        return context


class TlsReloaderDump(StateDump, frozen=True, kw_only=True):
    """State of the reloader."""

    certificate_files: tuple[str, ...]
    reload_count: int
    failed_files: tuple[str, ...]


class TlsReloader(OwnerTask):
    """Loads changed files into contexts in use; new connections present the new certificate.

    A file that can't be read leaves the context unchanged. An added authority is trusted from the
    next check on; a removed one stays trusted until the process restarts.

    Args:
        contexts: The contexts.
        timers: The timer service.
        metrics: Counts reloads.
    """

    def __init__(
        self, *, contexts: Sequence[TlsContext], timers: TimerService, metrics: Metrics
    ) -> None:
        self._contexts = tuple(contexts)
        self._timers = timers
        self._metrics = metrics
        self._loaded_times = [_read_modification_times(entry.settings) for entry in self._contexts]
        self._reload_count = 0
        self._failed: set[str] = set()

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "tls_reloader"

    async def run(self) -> None:
        """Check the files at each interval until cancelled."""
        async for _ in self._timers.subscribe(interval_s=CHECK_INTERVAL_S):
            for position, entry in enumerate(self._contexts):
                times = _read_modification_times(entry.settings)
                if times != self._loaded_times[position] and self._reload(entry):
                    self._loaded_times[position] = times

    async def dump(self) -> TlsReloaderDump:
        """Return the reloader's state."""
        return TlsReloaderDump(
            certificate_files=tuple(entry.settings.certificate_file for entry in self._contexts),
            reload_count=self._reload_count,
            failed_files=tuple(sorted(self._failed)),
        )

    def _reload(self, entry: TlsContext) -> bool:
        file = entry.settings.certificate_file
        try:
            load_identity(entry.context, entry.settings)
        except SettingsInvalidError as error:
            # Certificate and key are separate files, of which only one may have been replaced yet;
            # the next check finds both replaced.
            _log.error(LogEvent.TLS_RELOAD_FAILED, certificate_file=file, detail=error.detail)
            self._metrics.count(Counter.TLS_RELOAD_FAILED)
            self._failed.add(file)
            return False
        _log.info(LogEvent.TLS_RELOADED, certificate_file=file)
        self._metrics.count(Counter.TLS_RELOADED)
        self._reload_count += 1
        self._failed.discard(file)
        return True


def _read_modification_times(settings: TlsSettings) -> tuple[int, ...]:
    files = (settings.certificate_file, settings.key_file, settings.authority_file)
    return tuple(_read_modification_time(Path(file)) for file in files if file is not None)


def _read_modification_time(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0
