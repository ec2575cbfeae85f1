"""Exit statuses of `samphirectl`."""

from enum import Enum

from samphirespring.connection.operator_client import NoControlHostError, OperatorApiError
from samphirespring.process.errors import ErrorCode, SamphireError


class ExitStatus(Enum):
    """Result of a command, for use in scripts."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    INVALID = 4
    NOT_ALLOWED = 5
    NOT_FOUND = 6
    UNAVAILABLE = 7
    WAIT_EXPIRED = 8


_STATUS_BY_CODE = {
    ErrorCode.VERSION_CONFLICT: ExitStatus.CONFLICT,
    ErrorCode.CHANGE_ID_REUSED: ExitStatus.CONFLICT,
    ErrorCode.LEDGER_LAYOUT_FIXED: ExitStatus.CONFLICT,
    ErrorCode.DOCUMENT_INVALID: ExitStatus.INVALID,
    ErrorCode.MALFORMED_REQUEST: ExitStatus.INVALID,
    ErrorCode.BODY_TOO_LARGE: ExitStatus.INVALID,
    ErrorCode.UNAUTHENTICATED: ExitStatus.NOT_ALLOWED,
    ErrorCode.FORBIDDEN: ExitStatus.NOT_ALLOWED,
    ErrorCode.SECTION_UNKNOWN: ExitStatus.NOT_FOUND,
    ErrorCode.HOST_UNKNOWN: ExitStatus.NOT_FOUND,
    ErrorCode.TARGET_UNKNOWN: ExitStatus.NOT_FOUND,
    ErrorCode.REQUEST_NOT_LOGGED: ExitStatus.NOT_FOUND,
    ErrorCode.LINK_UNAVAILABLE: ExitStatus.UNAVAILABLE,
}


def choose_exit_status(error: SamphireError) -> ExitStatus:
    """Return the status for an error.

    Args:
        error: The error that ended the command.
    """
    if isinstance(error, NoControlHostError):
        return ExitStatus.UNAVAILABLE
    if isinstance(error, OperatorApiError):
        return _STATUS_BY_CODE.get(ErrorCode(error.problem.code), ExitStatus.FAILED)
    return _STATUS_BY_CODE.get(error.code, ExitStatus.FAILED)
