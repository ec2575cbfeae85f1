"""Errors of changes to the document."""

from samphirespring.process.document.commands import ChangeConflict
from samphirespring.process.errors import ErrorCode, SamphireError


class RevisionConflictError(SamphireError):
    """A submitted document isn't based on the newest revision."""

    code = ErrorCode.VERSION_CONFLICT


class VersionConflictError(SamphireError):
    """A change isn't based on the current version of its section.

    Args:
        conflict: The current version of the section, and the change that made it.
    """

    code = ErrorCode.VERSION_CONFLICT

    def __init__(self, conflict: ChangeConflict) -> None:
        winner = conflict.winner
        by = "" if winner is None else f" by team {winner.team} (change {winner.change_id})"
        super().__init__(f"section {conflict.section} has version {conflict.version}{by}")
        self.conflict = conflict


class ChangeIdReusedError(SamphireError):
    """The team already used the change id for another change."""

    code = ErrorCode.CHANGE_ID_REUSED


class LedgerLayoutFixedError(SamphireError):
    """A change of the fleet section would move workspaces to other ledger groups."""

    code = ErrorCode.LEDGER_LAYOUT_FIXED


class SectionUnknownError(SamphireError):
    """The document has no such section, or not in the requested version."""

    code = ErrorCode.SECTION_UNKNOWN


class DocumentMissingError(SamphireError):
    """The group has no document yet."""

    code = ErrorCode.NO_DOCUMENT
