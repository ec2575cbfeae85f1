"""Bounded table of change results, so that a resent change gets its first result."""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from samphirespring.process.document.commands import (
    ChangeInvalid,
    ChangeResult,
    ChangeSection,
    RecordedChange,
)
from samphirespring.version.ids import ChangeId, TeamName

MAX_RECORDED_CHANGES = 20_000
"""Largest number of recorded results: about two days at 9,600 changes a day."""

MAX_PROBLEM_BYTES = 16 << 20
"""Largest total size of the problems in recorded results, in bytes."""


class _Key(NamedTuple):
    team: TeamName
    change_id: ChangeId


class ChangeResultTable:
    """Results by team and change id; the oldest is dropped first.

    A resend whose result was dropped is handled as a new change. Its base version is no longer
    the section's current version, so that it gets a conflict and isn't accepted a second time.

    Args:
        capacity: Largest number of results.
        capacity_bytes: Largest total size of the problems in them, in bytes.
    """

    def __init__(
        self, *, capacity: int = MAX_RECORDED_CHANGES, capacity_bytes: int = MAX_PROBLEM_BYTES
    ) -> None:
        self._capacity = capacity
        self._capacity_bytes = capacity_bytes
        self._size_bytes = 0
        self._entries: OrderedDict[_Key, RecordedChange] = OrderedDict()

    def find(self, command: ChangeSection) -> RecordedChange | None:
        """Return the recorded change with the team and change id of a command, or None.

        Args:
            command: A change.
        """
        return self._entries.get(_Key(command.team, command.change_id))

    def record(self, command: ChangeSection, result: ChangeResult) -> None:
        """Record the result of a change.

        Args:
            command: The change.
            result: Its result.
        """
        self._add(
            RecordedChange(
                team=command.team,
                change_id=command.change_id,
                fingerprint=compute_fingerprint(command),
                answer=result,
            )
        )

    def read_entries(self) -> tuple[RecordedChange, ...]:
        """Return all entries, oldest first."""
        return tuple(self._entries.values())

    def restore(self, entries: Iterable[RecordedChange]) -> None:
        """Replace all entries.

        Args:
            entries: What `read_entries` returned.
        """
        self._entries.clear()
        self._size_bytes = 0
        for entry in entries:
            self._add(entry)

    def _add(self, entry: RecordedChange) -> None:
        self._entries[_Key(entry.team, entry.change_id)] = entry
        self._size_bytes += _measure(entry)
        while len(self._entries) > self._capacity or self._size_bytes > self._capacity_bytes:
            _, oldest = self._entries.popitem(last=False)
            self._size_bytes -= _measure(oldest)


def compute_fingerprint(command: ChangeSection) -> bytes:
    """Return a digest of the content of a change, without its time.

    Args:
        command: The change.
    """
    head = f"{len(command.section)}:{command.section}:{command.base_version}:"
    kind = "delete:" if command.text is None else "put:"
    return hashlib.sha256((head + kind).encode() + (command.text or b"")).digest()


def _measure(entry: RecordedChange) -> int:
    if not isinstance(entry.answer, ChangeInvalid):
        return 0
    return sum(len(problem) for problem in entry.answer.problems)
