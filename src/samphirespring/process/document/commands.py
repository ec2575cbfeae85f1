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
    """Gives a group without a document its first one; an existing document stays."""

    generation: Generation
    sections: tuple[InitialSection, ...]


class ChangeSection(msgspec.Struct, frozen=True, kw_only=True, tag="change"):
    """Replaces, adds or deletes one section."""

    section: SectionName
    base_version: SectionVersion
    """Version of the section that the change is based on; 0 adds a section."""

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
    """Revision that the document is based on; 0 for the first one."""

    revision: Revision
    digest: bytes
    """SHA-256 of base and submitted text, which identifies a resend."""

    submitted: bytes
    """The text as it was submitted, compressed by zlib; a read returns it unchanged."""

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
    """The group has a document, from this command or an earlier one."""

    stamp: DocumentStamp


class ChangeAccepted(msgspec.Struct, frozen=True, kw_only=True, tag="accepted"):
    """The change is part of the document."""

    section: SectionName
    version: SectionVersion
    """Version of the section: the document version that introduced its text."""

    change_id: ChangeId


class ChangeConflict(msgspec.Struct, frozen=True, kw_only=True, tag="conflict"):
    """The change isn't based on the current version of the section."""

    section: SectionName
    version: SectionVersion
    """Current version of the section; 0 if there is no such section."""

    winner: ChangeRecord | None
    """The change that made the current version.

    None if the version is from the first document, or the change is no longer in the history.
    """


class ChangeInvalid(msgspec.Struct, frozen=True, kw_only=True, tag="invalid"):
    """The whole document would be invalid."""

    problems: tuple[str, ...]


class LedgerLayoutFixed(msgspec.Struct, frozen=True, kw_only=True, tag="moves_claims"):
    """The change would alter the ledger's layout, which is fixed by the first document."""

    layout: LedgerLayout
    """The layout in force."""


class ChangeIdReused(msgspec.Struct, frozen=True, kw_only=True, tag="reused"):
    """The team already used the change id for another change."""

    change_id: ChangeId


class ChangeForbidden(msgspec.Struct, frozen=True, kw_only=True, tag="forbidden"):
    """The team doesn't own the section."""

    team: TeamName
    section: SectionName


class DocumentReplaced(msgspec.Struct, frozen=True, kw_only=True, tag="replaced"):
    """The submitted document is accepted, now or by an earlier copy of the command."""

    revision: Revision


class RevisionConflict(msgspec.Struct, frozen=True, kw_only=True, tag="revision_conflict"):
    """The submitted document isn't based on the newest revision."""

    newest: Revision


class DocumentMissing(msgspec.Struct, frozen=True, kw_only=True, tag="missing"):
    """The group has no document yet."""


ChangeResult = ChangeAccepted | ChangeConflict | ChangeInvalid | LedgerLayoutFixed
"""Results that are recorded, so that a resend gets the same one."""

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
    """A change and its result."""

    team: TeamName
    change_id: ChangeId
    fingerprint: bytes
    """SHA-256 of section, base version and text."""

    answer: ChangeResult


class AcceptedSubmission(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One submitted document that was accepted."""

    digest: bytes
    revision: Revision


class SubmittedDocument(msgspec.Struct, frozen=True, kw_only=True):
    """The newest document that was submitted as a whole."""

    revision: Revision = Revision(0)
    submitted: bytes | None = None
    """Its text, compressed by zlib; None once a single section was changed."""

    accepted: tuple[AcceptedSubmission, ...] = ()
    """Recently accepted submissions, oldest first."""


class DocumentSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The whole replicated state of the document."""

    stamp: DocumentStamp
    floor: DocumentVersion
    sections: tuple[StoredSection, ...]
    tombstones: tuple[Tombstone, ...]
    remembered: tuple[RecordedChange, ...]
    history: tuple[ChangeRecord, ...]
    revisions: tuple[StoredSection, ...]
    """Earlier and current texts of sections, for diffs; oldest first."""

    submission: SubmittedDocument = SubmittedDocument()
