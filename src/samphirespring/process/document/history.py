"""Bounded history of accepted changes, with the texts of sections for diffs."""

from collections import deque
from collections.abc import Iterable

from samphirespring.process.document.commands import ChangeRecord
from samphirespring.version.ids import SectionName, SectionVersion
from samphirespring.version.section_set import StoredSection

MAX_HISTORY_LENGTH = 20_000
"""Largest number of recorded changes: about two days at 9,600 changes a day."""

MAX_REVISION_BYTES = 8 << 20
"""Largest total size of compressed texts for diffs, in bytes; the oldest is dropped first."""


class ChangeHistory:
    """Accepted changes with their team and time, and the texts of sections for diffs.

    Args:
        length: Largest number of changes.
        revision_bytes: Largest total size of compressed texts, in bytes.
    """

    def __init__(
        self, *, length: int = MAX_HISTORY_LENGTH, revision_bytes: int = MAX_REVISION_BYTES
    ) -> None:
        self._records: deque[ChangeRecord] = deque(maxlen=length)
        self._last: dict[SectionName, ChangeRecord] = {}
        self._revisions: deque[StoredSection] = deque()
        self._revision_bytes = revision_bytes
        self._revisions_size = 0

    def add(self, record: ChangeRecord) -> None:
        """Add an accepted change.

        Args:
            record: The change.
        """
        self._records.append(record)
        self._last[record.section] = record

    def add_revision(self, section: StoredSection) -> None:
        """Record the text of a section for diffs.

        Args:
            section: The section with its text.
        """
        self._revisions.append(section)
        self._revisions_size += len(section.data)
        while self._revisions_size > self._revision_bytes:
            self._revisions_size -= len(self._revisions.popleft().data)

    def find_last(self, section: SectionName) -> ChangeRecord | None:
        """Return the last accepted change of a section.

        Args:
            section: The section.
        """
        return self._last.get(section)

    def find_revision(self, name: SectionName, version: SectionVersion) -> StoredSection | None:
        """Return the section with the text that a version introduced, or None.

        Args:
            name: The section.
            version: Version that introduced the text.
        """
        for section in reversed(self._revisions):
            if section.name == name and section.version == version:
                return section
        return None

    def read_records(
        self, *, section: SectionName | None = None, limit: int | None = None
    ) -> tuple[ChangeRecord, ...]:
        """Return changes, oldest first.

        Args:
            section: Only changes of this section.
            limit: Largest number of changes; the newest are returned.
        """
        records = [
            record for record in self._records if section is None or record.section == section
        ]
        return tuple(records if limit is None else records[-limit:])

    def read_revisions(self) -> tuple[StoredSection, ...]:
        """Return all recorded texts, oldest first."""
        return tuple(self._revisions)

    def restore(self, records: Iterable[ChangeRecord], revisions: Iterable[StoredSection]) -> None:
        """Replace the whole history.

        Args:
            records: Changes, oldest first.
            revisions: Texts, oldest first.
        """
        self._records.clear()
        self._last.clear()
        self._revisions.clear()
        self._revisions_size = 0
        for record in records:
            self.add(record)
        for section in revisions:
            self.add_revision(section)
