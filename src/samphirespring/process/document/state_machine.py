"""State machine of the replicated document: accepts or rejects changes."""

from collections.abc import Callable, Iterator
from typing import ClassVar

from samphirespring.process.document.change_results import ChangeResultTable, compute_fingerprint
from samphirespring.process.document.commands import (
    ChangeAccepted,
    ChangeConflict,
    ChangeForbidden,
    ChangeIdReused,
    ChangeInvalid,
    ChangeRecord,
    ChangeResult,
    ChangeSection,
    DocumentCommand,
    DocumentInitialized,
    DocumentMissing,
    DocumentReplaced,
    DocumentResult,
    DocumentSnapshot,
    InitializeDocument,
    LedgerLayoutFixed,
    ReplaceDocument,
    RevisionConflict,
    SubmittedDocument,
)
from samphirespring.process.document.history import ChangeHistory
from samphirespring.process.document.packing import unpack_text
from samphirespring.process.document.submissions import Submissions
from samphirespring.process.ids import LogIndex
from samphirespring.process.replication.state_machine import StateMachine
from samphirespring.version.access import may_change
from samphirespring.version.document import (
    FLEET_SECTION,
    AccessSection,
    FleetSection,
    LedgerLayout,
)
from samphirespring.version.ids import (
    DocumentVersion,
    Generation,
    SectionName,
    SectionVersion,
)
from samphirespring.version.parser import DocumentInvalidError, parse_section
from samphirespring.version.section_set import SectionSet, store_section
from samphirespring.version.stamp import NO_STAMP, DocumentStamp
from samphirespring.version.validated_sections import ValidatedSections

NO_SECTION = SectionVersion(0)
"""Base version of a section that doesn't exist."""

FIRST_VERSION = DocumentVersion(1)


class DocumentStateMachine(StateMachine[DocumentCommand, DocumentResult, DocumentSnapshot]):
    """The document with the results of changes and their history.

    Args:
        on_version: Called with each new version; it must not block.
        change_results: Results of changes, for resends.
        history: Accepted changes.
    """

    command_type: ClassVar[object] = DocumentCommand
    result_type: ClassVar[object] = DocumentResult
    snapshot_type: ClassVar[object] = DocumentSnapshot

    def __init__(
        self,
        *,
        on_version: Callable[[SectionSet], None] | None = None,
        change_results: ChangeResultTable | None = None,
        history: ChangeHistory | None = None,
    ) -> None:
        self._on_version = on_version
        self._change_results = ChangeResultTable() if change_results is None else change_results
        self._history = ChangeHistory() if history is None else history
        self._sections = SectionSet()
        self._validated_sections = ValidatedSections()
        self._submissions = Submissions()

    @property
    def sections(self) -> SectionSet:
        """The committed sections; the value is immutable."""
        return self._sections

    @property
    def access(self) -> AccessSection:
        """The committed access section."""
        return self._validated_sections.access

    @property
    def ledger_layout(self) -> LedgerLayout | None:
        """Layout of the action ledger, which no change alters; None before the first document."""
        if self._sections.stamp == NO_STAMP:
            return None
        return self._validated_sections.fleet.ledger_layout

    @property
    def history(self) -> ChangeHistory:
        """Accepted changes."""
        return self._history

    @property
    def submission(self) -> SubmittedDocument:
        """The newest document that was submitted as a whole."""
        return self._submissions.newest

    def apply(self, *, index: LogIndex, command: DocumentCommand) -> DocumentResult:
        """Apply one committed command and return its result."""
        match command:
            case InitializeDocument():
                return self._initialize(command)
            case ChangeSection():
                return self._change(command)
            case ReplaceDocument():
                return self._replace(command)

    def capture_snapshot(self) -> DocumentSnapshot:
        """Return the whole state."""
        return DocumentSnapshot(
            stamp=self._sections.stamp,
            floor=self._sections.floor,
            sections=tuple(self._sections.sections.values()),
            tombstones=self._sections.tombstones,
            remembered=self._change_results.read_entries(),
            history=self._history.read_records(),
            revisions=self._history.read_revisions(),
            submission=self._submissions.capture(),
        )

    def restore_snapshot(self, snapshot: DocumentSnapshot) -> None:
        """Replace the whole state."""
        for _ in self.restore_snapshot_steps(snapshot):
            pass

    def restore_snapshot_steps(self, snapshot: DocumentSnapshot) -> Iterator[None]:
        """Replace the whole state; each step validates one section."""
        validated_sections = ValidatedSections()
        yield from validated_sections.replace_all_steps(
            (s.name, s.read_text()) for s in snapshot.sections
        )
        self._validated_sections = validated_sections
        self._change_results.restore(snapshot.remembered)
        self._history.restore(snapshot.history, snapshot.revisions)
        self._submissions.restore(snapshot.submission)
        self._sections = SectionSet(
            stamp=snapshot.stamp,
            sections={section.name: section for section in snapshot.sections},
            tombstones=snapshot.tombstones,
            floor=snapshot.floor,
        )
        self._announce()

    def _initialize(self, command: InitializeDocument) -> DocumentResult:
        if self._sections.stamp == NO_STAMP:
            try:
                self._validated_sections.replace_all({s.name: s.text for s in command.sections})
            except DocumentInvalidError as error:
                return ChangeInvalid(problems=error.problems)
            self._sections = _make_initial_sections(command)
            for section in self._sections.sections.values():
                self._history.add_revision(section)
            self._announce()
        return DocumentInitialized(stamp=self._sections.stamp)

    def _replace(self, command: ReplaceDocument) -> DocumentResult:
        accepted = self._submissions.find_accepted(command)
        if accepted is not None:
            return DocumentReplaced(revision=accepted)
        newest = self._submissions.newest.revision
        if command.base != newest:
            return RevisionConflict(newest=newest)
        if command.revision <= newest:
            problem = f"revision {command.revision} is not above the newest one, {newest}"
            return ChangeInvalid(problems=(problem,))
        try:
            texts = {section.name: unpack_text(section.data) for section in command.sections}
            self._check_replacement(texts)
        except DocumentInvalidError as error:
            return ChangeInvalid(problems=error.problems)
        self._sections = self._sections.replace_all(texts, generation=Generation(command.at_ns))
        self._submissions.accept(command)
        self._announce()
        return DocumentReplaced(revision=command.revision)

    def _check_replacement(self, texts: dict[SectionName, bytes]) -> None:
        layout = self.ledger_layout
        validated_sections = ValidatedSections()
        validated_sections.replace_all(texts)
        if layout is not None and validated_sections.fleet.ledger_layout != layout:
            raise DocumentInvalidError(("the ledger's layout can't change - at `$.fleet`",))
        self._validated_sections = validated_sections

    def _change(self, command: ChangeSection) -> DocumentResult:
        if self._sections.stamp == NO_STAMP:
            return DocumentMissing()
        # Permissions come before recorded results: a team that lost a section may not read them.
        if not may_change(self.access, command.team, command.section):
            return ChangeForbidden(team=command.team, section=command.section)
        recorded = self._change_results.find(command)
        if recorded is not None:
            if recorded.fingerprint != compute_fingerprint(command):
                return ChangeIdReused(change_id=command.change_id)
            return recorded.answer
        result = self._decide(command)
        self._change_results.record(command, result)
        return result

    def _decide(self, command: ChangeSection) -> ChangeResult:
        current = self._sections.sections.get(command.section)
        version = NO_SECTION if current is None else current.version
        missing = current is None and command.text is None
        if version != command.base_version or missing:
            return ChangeConflict(
                section=command.section,
                version=version,
                winner=self._history.find_last(command.section),
            )
        try:
            if command.text is None:
                self._validated_sections.remove(command.section)
            elif self._changes_ledger_layout(command.section, command.text):
                return LedgerLayoutFixed(layout=self._validated_sections.fleet.ledger_layout)
            else:
                self._validated_sections.put(command.section, command.text)
        except DocumentInvalidError as error:
            return ChangeInvalid(problems=error.problems)
        return self._accept(command)

    def _changes_ledger_layout(self, name: SectionName, text: bytes) -> bool:
        if name != FLEET_SECTION:
            return False
        section = parse_section(name, text)
        return (
            isinstance(section, FleetSection)
            and section.ledger_layout != self._validated_sections.fleet.ledger_layout
        )

    def _accept(self, command: ChangeSection) -> ChangeAccepted:
        self._submissions.drop_text()
        if command.text is None:
            self._sections = self._sections.remove_section(command.section)
            digest = b""
        else:
            self._sections = self._sections.replace_section(command.section, command.text)
            stored = self._sections.sections[command.section]
            self._history.add_revision(stored)
            digest = stored.digest
        version = SectionVersion(self._sections.stamp.version)
        self._history.add(
            ChangeRecord(
                section=command.section,
                version=version,
                team=command.team,
                change_id=command.change_id,
                at_ns=command.at_ns,
                deleted=command.text is None,
                digest=digest,
            )
        )
        self._announce()
        return ChangeAccepted(section=command.section, version=version, change_id=command.change_id)

    def _announce(self) -> None:
        if self._on_version is not None:
            self._on_version(self._sections)


def _make_initial_sections(command: InitializeDocument) -> SectionSet:
    first = SectionVersion(FIRST_VERSION)
    return SectionSet(
        stamp=DocumentStamp(generation=command.generation, version=FIRST_VERSION),
        sections={s.name: store_section(s.name, s.text, version=first) for s in command.sections},
        floor=FIRST_VERSION,
    )
