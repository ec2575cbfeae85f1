"""Reads lines of the processes' logs from collected files."""

from collections.abc import Iterator, Sequence
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec

from samphirespring.process.errors import DECODE_ERRORS


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a process's log.

    Attributes:
        at: When the line was written, by the clock of its host.
        process: Name of the process: the last word before the JSON text, which log collectors
            insert, or the file's name if there is none.
        event: Name of the event.
        details: The other fields.
    """

    at: datetime
    process: str
    event: str
    details: dict[str, Any]


def read_log_lines(paths: Sequence[Path], *, containing: bytes = b"") -> Iterator[LogLine]:
    """Yield the log lines of some files; any other text is skipped.

    Args:
        paths: The files.
        containing: Only lines that contain these bytes.

    Raises:
        OSError: A file can't be read.
    """
    for path in paths:
        with path.open("rb") as file:
            for text in file:
                if containing in text and (line := _parse_line(text, path)) is not None:
                    yield line


def _parse_line(text: bytes, path: Path) -> LogLine | None:
    prefix, brace, rest = text.partition(b"{")
    try:
        fields: dict[str, Any] = msgspec.json.decode(brace + rest, type=dict[str, Any])
        at = datetime.fromisoformat(fields.pop("timestamp"))
        event = str(fields.pop("event"))
    except (*DECODE_ERRORS, KeyError, TypeError):
        return None
    fields.pop("level", None)
    words = prefix.decode(errors="replace").split()
    return LogLine(at=at, process=words[-1] if words else path.stem, event=event, details=fields)
