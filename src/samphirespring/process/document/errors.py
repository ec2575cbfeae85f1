"""Errors of changes to the document."""

from samphirespring.process.document.commands import ChangeConflict
from samphirespring.process.errors import ErrorCode, SamphireError


class RevisionConflictError(SamphireError):
    """A submitted document was made from another revision than the newest."""

    code = ErrorCode.VERSION_CONFLICT


class VersionConflictError(SamphireError):
    """Another change of the section came first.

    Args:
        conflict: The version that won, and its change.
    """

    code = ErrorCode.VERSION_CONFLICT

    def __init__(self, conflict: ChangeConflict) -> None:
        winner = conflict.winner
        by = "" if winner is None else f" by team {winner.team} (change {winner.change_id})"
        super().__init__(f"section {conflict.section} has version {conflict.version}{by}")
        self.conflict = conflict


class ChangeIdReusedError(SamphireError):
    """The team used the change id for another change."""

    code = ErrorCode.CHANGE_ID_REUSED


class LedgerLayoutFixedError(SamphireError):
    """A change of the fleet section would move workspaces to other ledger groups."""

    code = ErrorCode.LEDGER_LAYOUT_FIXED


class SectionUnknownError(SamphireError):
    """The document has no such section, or not in that version."""

    code = ErrorCode.SECTION_UNKNOWN


class DocumentMissingError(SamphireError):
    """The group has no document yet."""

    code = ErrorCode.NO_DOCUMENT
