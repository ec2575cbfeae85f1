"""Structured logs: one JSON object per line on standard output."""

import logging
import sys
from typing import TextIO, cast

import structlog

from samphirespring.process.logs.log_sink import LogSink


def configure_logs(level: str) -> None:
    """Set up structlog for the process.

    Args:
        level: Lowest level that is written: debug, info, warning or error.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, _open_sink())),
        cache_logger_on_first_use=True,
    )
    # Libraries log through the standard logging module, which would print their protocol warnings
    # as plain text.
    logging.getLogger().addHandler(logging.NullHandler())
    for name in ("uvicorn", "grpclib", "asyncio", "httpcore"):
        logging.getLogger(name).propagate = False
        logging.getLogger(name).addHandler(logging.NullHandler())


def _open_sink() -> LogSink:
    sys.stdout.flush()
    return LogSink(sys.stdout.fileno())
