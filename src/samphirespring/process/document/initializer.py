"""Proposes the first document of a group of control hosts."""

from collections.abc import Mapping

from samphirespring.process.document.commands import ChangeInvalid
from samphirespring.process.document.service import DocumentService
from samphirespring.process.errors import SamphireError
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.version.ids import Generation, SectionName
from samphirespring.version.stamp import NO_STAMP

RETRY_INTERVAL_S = 0.25

_log = EventLog()


class DocumentInitializerDump(StateDump, frozen=True, kw_only=True):
    """State of the initializer."""

    has_initial: bool
    done: bool


class DocumentInitializer(OwnerTask):
    """Proposes the initial document until the group has one; only the first proposal is applied.

    Args:
        documents: Service of the replicated document.
        initial: JSON text of each section; if empty, nothing is proposed.
        timers: The timer service.
    """

    def __init__(
        self,
        *,
        documents: DocumentService,
        initial: Mapping[SectionName, bytes],
        timers: TimerService,
    ) -> None:
        self._documents = documents
        self._initial = initial
        self._timers = timers
        self._done = False

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "document_founder"

    async def run(self) -> None:
        """Propose at each tick until the group has a document."""
        if not self._initial:
            return
        async for _ in self._timers.subscribe(interval_s=RETRY_INTERVAL_S):
            await self._try_initialize()
            if self._done:
                return

    async def dump(self) -> DocumentInitializerDump:
        """Return the initializer's state."""
        return DocumentInitializerDump(has_initial=bool(self._initial), done=self._done)

    async def _try_initialize(self) -> None:
        try:
            if await self._documents.read_stamp() == NO_STAMP:
                # Wall time gives a group that lost its disks a higher generation than before.
                generation = Generation(self._timers.read_wall_ns())
                result = await self._documents.initialize(self._initial, generation=generation)
                if isinstance(result, ChangeInvalid):
                    _log.error(LogEvent.INITIAL_DOCUMENT_INVALID, problems=result.problems)
        except SamphireError as error:
            _log.debug(LogEvent.DOCUMENT_NOT_INITIALIZED, code=error.code.value)
            return
        self._done = True
