"""Recorded traces: JSON Lines of observations, probes, events and labelled intervals."""

import math
from collections.abc import Iterable
from enum import Enum
from typing import Annotated

import msgspec

from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.errors import DECODE_ERRORS, ErrorCode, SamphireError
from samphirespring.process.ids import TargetId
from samphirespring.version.ids import ServiceName
from samphirespring.version.states import DetectionMode


class TraceInvalidError(SamphireError):
    """A line of a trace is invalid.

    Args:
        detail: Description of the problem.
        line: Number of the line, starting at 1.
    """

    code = ErrorCode.TRACE_INVALID

    def __init__(self, detail: str, *, line: int) -> None:
        super().__init__(f"line {line}: {detail}")
        self.line = line


class ProbeResult(Enum):
    """Result of a probe."""

    OK = "ok"
    FAIL = "fail"


class TargetEvent(Enum):
    """Change of a target's membership."""

    DRAINING = "draining"
    STARTED = "started"
    GONE = "gone"


class TraceHeader(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Header of a trace, which is its first line."""

    service: ServiceName
    policy: DetectionMode
    floor: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
    targets: Annotated[tuple[TargetId, ...], msgspec.Meta(min_length=1)]
    slots: Annotated[int, msgspec.Meta(ge=1)]


class ObservationLine(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one attempt on a target."""

    at_s: float
    target: TargetId
    latency_s: float | None
    outcome: ObservedOutcome


class ProbeLine(msgspec.Struct, frozen=True, kw_only=True):
    """One probe of a target."""

    at_s: float
    target: TargetId
    result: ProbeResult


class EventLine(msgspec.Struct, frozen=True, kw_only=True):
    """One change of a target's membership."""

    at_s: float
    target: TargetId
    event: TargetEvent


class UnhealthyInterval(msgspec.Struct, frozen=True, kw_only=True):
    """Label of a trace: an interval in which a target is unhealthy."""

    target: TargetId
    from_s: float
    until_s: float


TraceLine = ObservationLine | ProbeLine | EventLine


class Trace(msgspec.Struct, frozen=True, kw_only=True):
    """A whole trace."""

    header: TraceHeader
    lines: tuple[TraceLine, ...]
    intervals: tuple[UnhealthyInterval, ...]


class _RawLine(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """All fields that a line after the header may have."""

    t: float | None = None
    target: TargetId | None = None
    latency_ms: float | msgspec.UnsetType | None = msgspec.UNSET
    outcome: ObservedOutcome | None = None
    probe: ProbeResult | None = None
    event: TargetEvent | None = None
    sick: TargetId | None = None
    from_s: float | None = msgspec.field(default=None, name="from")
    until_s: float | None = msgspec.field(default=None, name="until")


_HEADER_DECODER = msgspec.json.Decoder(TraceHeader)
_LINE_DECODER = msgspec.json.Decoder(_RawLine)


def parse_trace(lines: Iterable[bytes]) -> Trace:
    """Parse a trace.

    Args:
        lines: The lines, with or without line endings.

    Raises:
        TraceInvalidError: A line is malformed or out of order, or names an unknown target.
    """
    parser = _TraceParser()
    for number, line in enumerate(lines, start=1):
        if line.strip():
            parser.parse_line(line, number=number)
    return parser.finish()


class _TraceParser:
    def __init__(self) -> None:
        self._header: TraceHeader | None = None
        self._targets: frozenset[TargetId] = frozenset()
        self._lines: list[TraceLine] = []
        self._intervals: list[UnhealthyInterval] = []
        self._last_at_s = 0.0

    def parse_line(self, line: bytes, *, number: int) -> None:
        try:
            if self._header is None:
                self._set_header(_HEADER_DECODER.decode(line), number=number)
            else:
                self._add_line(_LINE_DECODER.decode(line), number=number)
        except DECODE_ERRORS as error:
            raise TraceInvalidError(str(error), line=number) from None

    def finish(self) -> Trace:
        if self._header is None:
            raise TraceInvalidError("the trace has no header", line=1)
        return Trace(
            header=self._header, lines=tuple(self._lines), intervals=tuple(self._intervals)
        )

    def _set_header(self, header: TraceHeader, *, number: int) -> None:
        self._targets = frozenset(header.targets)
        if len(self._targets) != len(header.targets):
            raise TraceInvalidError("a target is named twice", line=number)
        self._header = header

    def _add_line(self, raw: _RawLine, *, number: int) -> None:
        if raw.sick is not None:
            self._intervals.append(self._make_interval(raw, number=number))
            return
        if raw.t is None or raw.target is None:
            raise TraceInvalidError("`t` and `target` are required", line=number)
        if not math.isfinite(raw.t) or raw.t < self._last_at_s:
            raise TraceInvalidError("time decreases or is not finite", line=number)
        self._check_target(raw.target, number=number)
        self._last_at_s = raw.t
        self._lines.append(_make_line(raw, at_s=raw.t, target=raw.target, number=number))

    def _make_interval(self, raw: _RawLine, *, number: int) -> UnhealthyInterval:
        if raw.sick is None or raw.from_s is None or raw.until_s is None:
            raise TraceInvalidError("`sick`, `from` and `until` are required", line=number)
        if not raw.from_s < raw.until_s:
            raise TraceInvalidError("`from` must be before `until`", line=number)
        self._check_target(raw.sick, number=number)
        return UnhealthyInterval(target=raw.sick, from_s=raw.from_s, until_s=raw.until_s)

    def _check_target(self, target: TargetId, *, number: int) -> None:
        if target not in self._targets:
            raise TraceInvalidError(f"unknown target {target}", line=number)


def _make_line(raw: _RawLine, *, at_s: float, target: TargetId, number: int) -> TraceLine:
    kinds = [field for field in (raw.outcome, raw.probe, raw.event) if field is not None]
    if len(kinds) != 1:
        detail = "exactly one of `outcome`, `probe` and `event` is required"
        raise TraceInvalidError(detail, line=number)
    if raw.probe is not None:
        return ProbeLine(at_s=at_s, target=target, result=raw.probe)
    if raw.event is not None:
        return EventLine(at_s=at_s, target=target, event=raw.event)
    latency_s = _read_latency_s(raw, number=number)
    outcome = raw.outcome
    if outcome is None:
        raise TraceInvalidError("`outcome` is required", line=number)
    return ObservationLine(at_s=at_s, target=target, latency_s=latency_s, outcome=outcome)


def _read_latency_s(raw: _RawLine, *, number: int) -> float | None:
    latency_ms = raw.latency_ms
    if isinstance(latency_ms, msgspec.UnsetType):
        raise TraceInvalidError("`latency_ms` is required", line=number)
    if latency_ms is None:
        return None
    if not math.isfinite(latency_ms) or latency_ms < 0:
        raise TraceInvalidError("`latency_ms` must be finite and at least 0", line=number)
    return latency_ms / 1_000
