"""Records departures of this host's targets, and confirms them to who announced them."""

from samphirespring.process.agent.departure_store import DepartureStore, DepartureUnrecordedError
from samphirespring.process.errors import SamphireError
from samphirespring.process.ids import TargetId
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import ReplySlot, ReplyT
from samphirespring.process.targets import LeaveRecord, TargetDeparture
from samphirespring.process.timers import TimerService

RECORD_TIMEOUT_S = 0.8
"""Longest wait for the record of a departure, in seconds; who announced it waits for 1 s."""

READ_RETRY_S = 0.2
MAX_RECORDED = 1_000
"""Number of targets whose recorded departure is remembered; others may be recorded once more."""

_log = EventLog()


class DepartureRecorder:
    """Writes departures to the store, each once, and reads those of earlier processes.

    Args:
        store: The store; None confirms departures without a record.
        timers: The timer service.
    """

    def __init__(self, store: DepartureStore | None, *, timers: TimerService) -> None:
        self._store = store
        self._timers = timers
        self._recorded: dict[TargetId, TargetDeparture] = {}

    @property
    def has_store(self) -> bool:
        """Whether departures outlive this process."""
        return self._store is not None

    async def read(self) -> LeaveRecord:
        """Return what earlier processes recorded, once the store can be reached."""
        if self._store is None:
            return LeaveRecord()
        started_at_s = self._timers.read_now_s()
        while True:
            try:
                record = await self._store.read()
                break
            except SamphireError:
                await self._timers.wait_for(READ_RETRY_S)
        for departure in record.departures:
            self._remember(departure)
        _log.info(
            LogEvent.DEPARTURES_READ,
            targets=[departure.target for departure in record.departures],
            drained=record.drained,
            took_ms=round((self._timers.read_now_s() - started_at_s) * 1_000),
        )
        return record

    def covers(self, departure: TargetDeparture) -> bool:
        """Return whether a departure of the same start of its target is recorded.

        Args:
            departure: The departure.
        """
        known = self._recorded.get(departure.target)
        if self._store is None:
            return True
        return (
            known is not None
            and known.started_ms == departure.started_ms
            and known.sequence <= departure.sequence
        )

    def forget(self, target: TargetId) -> None:
        """Record the next departure of a target, because it serves again.

        Args:
            target: The target.
        """
        self._recorded.pop(target, None)

    async def confirm(
        self, departure: TargetDeparture, *, reply: ReplySlot[ReplyT], value: ReplyT
    ) -> None:
        """Record a departure and then reply, or fail the reply if it can't be recorded.

        Args:
            departure: The departure.
            reply: Reply to the announcement.
            value: Its content.
        """
        is_recorded = await self._record(departure)
        _log.info(
            LogEvent.TARGET_LEFT,
            target=departure.target,
            started_ms=departure.started_ms,
            sequence=departure.sequence,
            recorded=is_recorded,
        )
        if is_recorded:
            reply.send(value)
        else:
            reply.fail(DepartureUnrecordedError("no control host recorded the departure in time"))

    async def _record(self, departure: TargetDeparture) -> bool:
        if self._store is None:
            return True
        with self._timers.move_on_at(self._timers.read_now_s() + RECORD_TIMEOUT_S):
            try:
                await self._store.record(departure)
            except SamphireError:
                return False
            self._remember(departure)
            return True
        return False

    def _remember(self, departure: TargetDeparture) -> None:
        self._recorded.pop(departure.target, None)
        self._recorded[departure.target] = departure
        if len(self._recorded) > MAX_RECORDED:
            del self._recorded[next(iter(self._recorded))]
