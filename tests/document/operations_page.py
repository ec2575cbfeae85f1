"""Checks that docs/OPERATIONS.md describes each error code, refusal, log event and metric."""

import re
from dataclasses import dataclass
from pathlib import Path

from samphirespring.process.errors import ErrorCode
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.metrics.metric_names import Counter, Gauge, Timing
from samphirespring.request.states import RefusalCode

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "OPERATIONS.md"
SOURCES = ROOT / "src" / "samphirespring"

ENUMS = {
    "code": (ErrorCode,),
    "reason": (RefusalCode,),
    "log event": (LogEvent,),
    "metric": (Counter, Gauge, Timing),
}
"""Enums that a table must list, by the heading of its first column."""

COLUMNS = {
    "code": ("meaning", "what to do"),
    "reason": ("meaning", "what to do"),
    "log event": ("meaning", "what to do"),
    "metric": ("unit", "meaning", "what to do"),
}


@dataclass(frozen=True, kw_only=True)
class TableRow:
    """One row of a table: the kind of table, the names that it describes, and its cells."""

    kind: str
    names: tuple[str, ...]
    cells: dict[str, str]


def read_rows(text):
    """Return the rows of all tables of codes, reasons, log events and metrics."""
    rows, column_names = [], None
    for line in text.splitlines():
        if not line.startswith("|"):
            column_names = None
            continue
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if column_names is None:
            column_names = [cell.lower() for cell in cells]
        elif column_names[0] in ENUMS and not set(cells[0]) <= set("-: "):
            names = tuple(re.findall(r"`([^`]+)`", cells[0]))
            rows.append(
                TableRow(
                    kind=column_names[0],
                    names=names,
                    cells=dict(zip(column_names, cells, strict=True)),
                )
            )
    return rows


def find_problems(text):
    """Return the names missing from the page, the names no longer in the code, and empty cells."""
    rows = read_rows(text)
    problems = []
    for kind, enums in ENUMS.items():
        expected = {member.value for enum in enums for member in enum}
        listed = {name for row in rows if row.kind == kind for name in row.names}
        problems += [f"missing {kind}: {name}" for name in sorted(expected - listed)]
        problems += [f"stale {kind}: {name}" for name in sorted(listed - expected)]
    for row in rows:
        problems += [
            f"no {column!r} for {row.kind} {', '.join(row.names)}"
            for column in COLUMNS[row.kind]
            if not row.cells.get(column)
        ]
    return problems


def find_unused_names():
    """Return members of the enums that no source file uses."""
    texts = [path.read_text() for path in SOURCES.rglob("*.py")]
    return [
        f"{enum.__name__}.{member.name}"
        for enums in ENUMS.values()
        for enum in enums
        for member in enum
        if not any(re.search(rf"\b{enum.__name__}\.{member.name}\b", text) for text in texts)
    ]


def find_untyped_loggers():
    """Return modules that use structlog directly and so could log events outside the enum."""
    return [
        path.name
        for path in SOURCES.rglob("*.py")
        if path.name not in ("event_log.py", "logs.py") and "structlog" in path.read_text()
    ]
