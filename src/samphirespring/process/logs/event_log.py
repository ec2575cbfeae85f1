"""The log of a process: named events with fields."""

import structlog

from samphirespring.process.logs.log_events import LogEvent


class EventLog:
    """Logs only the events in `LogEvent`, so that the operators' documentation can list them all.

    Each method takes an event and the fields of its log line, which must not contain secrets.
    """

    def __init__(self) -> None:
        self._logger = structlog.get_logger()

    def debug(self, event: LogEvent, **details: object) -> None:
        """Log a detail that is only useful to diagnose a fault."""
        self._logger.debug(event.value, **details)

    def info(self, event: LogEvent, **details: object) -> None:
        """Log an event of normal operation."""
        self._logger.info(event.value, **details)

    def warning(self, event: LogEvent, **details: object) -> None:
        """Log a problem that the process can handle but that an operator should know of."""
        self._logger.warning(event.value, **details)

    def error(self, event: LogEvent, **details: object) -> None:
        """Log a fault that an operator must fix."""
        self._logger.error(event.value, **details)

    def exception(self, event: LogEvent, **details: object) -> None:
        """Log a defect in the code with the traceback of the current exception."""
        self._logger.exception(event.value, **details)
