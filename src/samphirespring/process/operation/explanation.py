"""Explains one request from collected logs: its attempts and the state changes around them."""

from collections.abc import Sequence
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

import msgspec

from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.operation.log_files import LogLine, read_log_lines

CONTEXT_WINDOW = timedelta(seconds=10)
"""Duration before a request for which state changes are included."""

FRONT_STATE_EVENTS = frozenset(
    event.value
    for event in (
        LogEvent.NODE_STARTED,
        LogEvent.DOCUMENT_IN_FORCE,
        LogEvent.REGISTRY_LOST,
        LogEvent.REGISTRY_REACHABLE,
        LogEvent.PATH_LOST,
        LogEvent.PATH_FOUND,
        LogEvent.REQUEST_LINES_OMITTED,
    )
)
"""Events of the process that received the request; included for any target or host."""

ATTEMPT_STEP = "attempt"


class RequestNotLoggedError(SamphireError):
    """No line of the files names the request."""

    code = ErrorCode.REQUEST_NOT_LOGGED


class ExplanationStep(msgspec.Struct, frozen=True, kw_only=True):
    """One step of a request, or a state change of a process around it."""

    at: datetime
    process: str
    step: str
    """Name of the event, or `attempt`."""

    details: dict[str, Any]


class _ContextFilter(msgspec.Struct, frozen=True, kw_only=True):
    """Selects the log lines about state changes that concern a request.

    Attributes:
        earliest_at: Earliest time of a line.
        latest_at: Latest time of a line.
        processes: Processes that received the request.
        names: Targets and hosts that were tried.
    """

    earliest_at: datetime
    latest_at: datetime
    processes: frozenset[str]
    names: frozenset[str]

    def matches(self, line: LogLine) -> bool:
        """Return whether a line concerns the request.

        Args:
            line: The line.
        """
        if not self.earliest_at <= line.at <= self.latest_at or "request" in line.details:
            return False
        if line.process in self.processes and line.event in FRONT_STATE_EVENTS:
            return True
        named = {line.details.get("target"), line.details.get("host"), line.process}
        return not named.isdisjoint(self.names)


def explain_request(request: str, paths: Sequence[Path]) -> tuple[ExplanationStep, ...]:
    """Return the steps of a request and the state changes around it, in order of time.

    Args:
        request: The request id, which the caller sent or received.
        paths: Files with the logs of the processes.

    Raises:
        RequestNotLoggedError: No line names the request.
        OSError: A file can't be read.
    """
    request_lines = [
        line
        for line in read_log_lines(paths, containing=request.encode())
        if line.details.get("request") == request
    ]
    if not request_lines:
        raise RequestNotLoggedError(
            f"no log line names request {request}; {LogEvent.REQUEST_LINES_OMITTED.value} events"
            " mark omitted lines"
        )
    context_filter = _make_context_filter(request_lines)
    steps = [step for line in request_lines for step in _list_steps(line)]
    steps += [_make_step(line) for line in read_log_lines(paths) if context_filter.matches(line)]
    return tuple(sorted(steps, key=lambda step: step.at))


def _make_context_filter(lines: Sequence[LogLine]) -> _ContextFilter:
    attempts = [attempt for line in lines for attempt in _list_attempts(line)]
    return _ContextFilter(
        earliest_at=min(_find_start(line) for line in lines) - CONTEXT_WINDOW,
        latest_at=max(line.at for line in lines),
        processes=frozenset(line.process for line in lines),
        names=frozenset(str(attempt[key]) for attempt in attempts for key in ("target", "host")),
    )


def _list_steps(line: LogLine) -> list[ExplanationStep]:
    details = {name: value for name, value in line.details.items() if name != "attempts"}
    end = ExplanationStep(at=line.at, process=line.process, step=line.event, details=details)
    start = _find_start(line)
    attempts = [
        ExplanationStep(
            at=start + timedelta(milliseconds=attempt["from_ms"]),
            process=line.process,
            step=ATTEMPT_STEP,
            details=attempt,
        )
        for attempt in _list_attempts(line)
    ]
    return [*attempts, end]


def _make_step(line: LogLine) -> ExplanationStep:
    return ExplanationStep(at=line.at, process=line.process, step=line.event, details=line.details)


def _find_start(line: LogLine) -> datetime:
    return line.at - timedelta(milliseconds=line.details.get("took_ms") or 0)


def _list_attempts(line: LogLine) -> list[dict[str, Any]]:
    return list(line.details.get("attempts") or ())
