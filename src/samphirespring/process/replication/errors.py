"""Errors of the replicated log."""

from samphirespring.process.errors import ErrorCode, SamphireError


class LogCorruptError(SamphireError):
    """Synced state on disk doesn't match its checksum or has gaps."""

    code = ErrorCode.LOG_CORRUPT


class DiskFailedError(SamphireError):
    """State can't be written or read."""

    code = ErrorCode.DISK_FAILED


class BusyError(SamphireError):
    """Too many requests wait for the replica; this one was rejected."""

    code = ErrorCode.BUSY


class MembershipChangePendingError(SamphireError):
    """An earlier membership change isn't committed yet."""

    code = ErrorCode.MEMBERSHIP_CHANGE_PENDING


class MemberUnknownError(SamphireError):
    """The replica isn't a member, or hasn't announced itself."""

    code = ErrorCode.MEMBER_UNKNOWN


class MembershipChangeInvalidError(SamphireError):
    """The change would leave the group without a leader or without a caught-up voter."""

    code = ErrorCode.MEMBERSHIP_CHANGE_INVALID
