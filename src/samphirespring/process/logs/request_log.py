"""Request log: one line per request, limited to a number of lines per second."""

from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.timers import TimerService

LINES_PER_S = 100
"""Largest number of lines per second; omitted lines are counted."""

_log = EventLog()


class RequestLog:
    """Logs the end of each request; lines beyond the limit are counted instead.

    Args:
        timers: The timer service.
        lines_per_s: Largest number of lines per second.
    """

    def __init__(self, timers: TimerService, *, lines_per_s: int = LINES_PER_S) -> None:
        self._timers = timers
        self._lines_per_s = lines_per_s
        self._second = 0
        self._written = 0
        self._omitted = 0

    def write(self, **fields: object) -> None:
        """Write the line of one request, or count it.

        Args:
            fields: The fields of the line.
        """
        second = int(self._timers.read_now_s())
        if second != self._second:
            self._begin_second(second)
        if self._written >= self._lines_per_s:
            self._omitted += 1
            return
        self._written += 1
        _log.info(LogEvent.REQUEST_ENDED, **fields)

    def _begin_second(self, second: int) -> None:
        if self._omitted:
            _log.warning(LogEvent.REQUEST_LINES_OMITTED, count=self._omitted)
        self._second = second
        self._written = 0
        self._omitted = 0
