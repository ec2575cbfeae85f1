"""Commands to the replicated document, their results, and its snapshot."""

import msgspec

from samphirespring.version.document import LedgerLayout
from samphirespring.version.ids import (
    ChangeId,
    DocumentVersion,
    Generation,
    Revision,
    SectionName,
    SectionVersion,
    TeamName,
)
from samphirespring.version.section_set import StoredSection, Tombstone
from samphirespring.version.stamp import DocumentStamp


class InitialSection(msgspec.Struct, frozen=True, kw_only=True):
    """One section of the first document."""

    name: SectionName
    text: bytes


class InitializeDocument(msgspec.Struct, frozen=True, kw_only=True, tag="found"):
    """Gives an empty group its first document; a group that has one keeps it."""

    generation: Generation
    sections: tuple[InitialSection, ...]


class ChangeSection(msgspec.Struct, frozen=True, kw_only=True, tag="change"):
    """Replaces, adds or deletes one section."""

    section: SectionName
    base_version: SectionVersion
    """Version of the section that the change was made from; 0 adds a section."""

    change_id: ChangeId
    text: bytes | None
    """JSON text of the section; None deletes it."""

    team: TeamName
    at_ns: int
    """Wall time at the leader, in nanoseconds."""


class PackedSection(msgspec.Struct, frozen=True, kw_only=True):
    """One section of a document that is submitted as a whole."""

    name: SectionName
    data: bytes
    """JSON text, compressed by zlib."""


class ReplaceDocument(msgspec.Struct, frozen=True, kw_only=True, tag="replace"):
    """Replaces all sections at once, under the submitter's own revision number."""

    base: Revision
    """Revision that the document was made from; 0 for the first one."""

    revision: Revision
    digest: bytes
    """SHA-256 over base and submitted text; a resend has the same."""

    submitted: bytes
    """The text as it was submitted, compressed by zlib; a read gives it back."""

    sections: tuple[PackedSection, ...]
    at_ns: int
    """Wall time at the leader, in nanoseconds; the generation of a first document."""


DocumentCommand = InitializeDocument | ChangeSection | ReplaceDocument


class ChangeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change, for the history."""

    section: SectionName
    version: SectionVersion
    team: TeamName
    change_id: ChangeId
    at_ns: int
    deleted: bool = False
    digest: bytes = b""
    """SHA-256 of the section's text; empty after a deletion."""


class DocumentInitialized(msgspec.Struct, frozen=True, kw_only=True, tag="founded"):
    """The group has a document."""

    stamp: DocumentStamp


class ChangeAccepted(msgspec.Struct, frozen=True, kw_only=True, tag="accepted"):
    """The change is part of the document."""

    section: SectionName
    version: SectionVersion
    """Version of the section, which is that of the document that brought it."""

    change_id: ChangeId


class ChangeConflict(msgspec.Struct, frozen=True, kw_only=True, tag="conflict"):
    """Another change of the section came first."""

    section: SectionName
    version: SectionVersion
    """Version of the section that won; 0 if there is no such section."""

    winner: ChangeRecord | None
    """The change that won; None if it is the first document or no longer in the history."""


class ChangeInvalid(msgspec.Struct, frozen=True, kw_only=True, tag="invalid"):
    """The whole document would not be valid."""

    problems: tuple[str, ...]


class LedgerLayoutFixed(msgspec.Struct, frozen=True, kw_only=True, tag="moves_claims"):
    """The section would change the ledger's layout, which is fixed by the first document."""

    layout: LedgerLayout
    """The layout in force."""


class ChangeIdReused(msgspec.Struct, frozen=True, kw_only=True, tag="reused"):
    """The team used the change id for another change."""

    change_id: ChangeId


class ChangeForbidden(msgspec.Struct, frozen=True, kw_only=True, tag="forbidden"):
    """The team doesn't own the section."""

    team: TeamName
    section: SectionName


class DocumentReplaced(msgspec.Struct, frozen=True, kw_only=True, tag="replaced"):
    """The submitted document is accepted, now or by an earlier copy of the command."""

    revision: Revision


class RevisionConflict(msgspec.Struct, frozen=True, kw_only=True, tag="revision_conflict"):
    """Another revision than the base is the newest."""

    newest: Revision


class DocumentMissing(msgspec.Struct, frozen=True, kw_only=True, tag="missing"):
    """The group has no document yet."""


ChangeResult = ChangeAccepted | ChangeConflict | ChangeInvalid | LedgerLayoutFixed
"""Answers that a resend gets again."""

DocumentResult = (
    DocumentInitialized
    | ChangeAccepted
    | ChangeConflict
    | ChangeInvalid
    | LedgerLayoutFixed
    | ChangeIdReused
    | ChangeForbidden
    | DocumentMissing
    | DocumentReplaced
    | RevisionConflict
)


class RecordedChange(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a change id."""

    team: TeamName
    change_id: ChangeId
    fingerprint: bytes
    """SHA-256 over section, base version and text."""

    answer: ChangeResult


class AcceptedSubmission(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One submitted document that was accepted."""

    digest: bytes
    revision: Revision


class SubmittedDocument(msgspec.Struct, frozen=True, kw_only=True):
    """The newest document that was submitted as a whole."""

    revision: Revision = Revision(0)
    submitted: bytes | None = None
    """Its text, compressed by zlib; None once a section was changed by itself."""

    accepted: tuple[AcceptedSubmission, ...] = ()
    """Submissions accepted lately, oldest first."""


class DocumentSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The whole replicated state of the document."""

    stamp: DocumentStamp
    floor: DocumentVersion
    sections: tuple[StoredSection, ...]
    tombstones: tuple[Tombstone, ...]
    remembered: tuple[RecordedChange, ...]
    history: tuple[ChangeRecord, ...]
    revisions: tuple[StoredSection, ...]
    """Texts of sections that the history can compare, oldest first."""

    submission: SubmittedDocument = SubmittedDocument()
