"""One line a request in the log, bounded under load."""

from samphirespring.process.event_log import EventLog
from samphirespring.process.log_events import LogEvent
from samphirespring.process.timers import TimerService

LINES_PER_S = 100
"""Most lines on requests in a second; those beyond are counted."""

_log = EventLog()


class RequestLog:
    """Writes how requests ended; beyond a number of lines a second only counts them.

    Args:
        timers: The timer service.
        lines_per_s: Most lines a second.
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
