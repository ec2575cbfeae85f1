"""Saves new versions of the document on a node's disk."""

import anyio.to_thread

from samphirespring.process.document.file import DocumentFile, DocumentFileInvalidError
from samphirespring.process.latest import LatestValue
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.metrics.metric_names import Counter
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.version.section_set import SectionSet
from samphirespring.version.stamp import NO_STAMP, DocumentStamp

SAVE_INTERVAL_S = 5.0
"""Shortest time between two saves, in seconds, so that a burst of changes is saved once."""

_log = EventLog()


class DocumentSaverDump(StateDump, frozen=True, kw_only=True):
    """State of the document saver."""

    saved: DocumentStamp
    enabled: bool


class DocumentSaver(OwnerTask):
    """Owns the document's file; a disk failure is logged and has no other effect.

    Args:
        file: The file; None saves nothing.
        timers: The timer service.
        metrics: Receives counters.
    """

    def __init__(
        self, *, file: DocumentFile | None, timers: TimerService, metrics: Metrics
    ) -> None:
        self.newest: LatestValue[SectionSet] = LatestValue()
        self._file = file
        self._timers = timers
        self._metrics = metrics
        self._saved = NO_STAMP

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "document_saver"

    async def run(self) -> None:
        """Save new versions until cancelled."""
        while True:
            sections = await self.newest.receive()
            if self._file is not None and sections.stamp > self._saved:
                await self._save(self._file, sections)
                await self._timers.wait_for(SAVE_INTERVAL_S)

    async def dump(self) -> DocumentSaverDump:
        """Return the saver's state."""
        return DocumentSaverDump(saved=self._saved, enabled=self._file is not None)

    async def load(self) -> SectionSet | None:
        """Return the saved document, or None if there is no valid one."""
        if self._file is None:
            return None
        try:
            # Reading and checking a large document takes long, so it runs in a worker thread.
            sections = await anyio.to_thread.run_sync(self._file.load)
        except DocumentFileInvalidError as error:
            _log.error(LogEvent.DOCUMENT_FILE_INVALID, detail=error.detail)
            self._metrics.count(Counter.DOCUMENT_FILE_INVALID)
            return None
        if sections is not None:
            self._saved = sections.stamp
        return sections

    async def _save(self, file: DocumentFile, sections: SectionSet) -> None:
        try:
            # Syncing may take long on a busy disk, so it runs in a worker thread.
            await anyio.to_thread.run_sync(file.save, sections)
        except OSError as error:
            _log.error(LogEvent.DOCUMENT_SAVE_FAILED, detail=str(error))
            self._metrics.count(Counter.DOCUMENT_SAVE_FAILED)
            return
        self._saved = sections.stamp
