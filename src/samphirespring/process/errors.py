"""Base class of all errors, and the error codes that operators and callers see."""

from enum import Enum
from typing import ClassVar

import msgspec

DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError)
"""What decoders raise for bytes that are malformed, nested too deeply or not UTF-8."""


class ErrorCode(Enum):
    """Stable codes; docs/OPERATIONS.md says what to do about each."""

    # Settings and startup.
    SETTINGS_INVALID = "settings_invalid"
    ADDRESS_UNAVAILABLE = "address_unavailable"
    INBOX_FULL = "inbox_full"
    REQUEST_NOT_LOGGED = "request_not_logged"
    INTERNAL = "internal"

    # Caller requests.
    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    NO_ROUTE = "no_route"
    API_KEY_UNKNOWN = "api_key_unknown"
    KEY_LEASE_EXPIRED = "key_lease_expired"
    NO_DOCUMENT = "no_document"
    NO_TARGET = "no_target"
    DEADLINE_EXPIRED = "deadline_expired"
    REFUSED = "refused"
    RATE_LIMITED = "rate_limited"
    QUOTA_SPENT = "quota_spent"
    QUOTA_UNAVAILABLE = "quota_unavailable"
    OVERLOADED = "overloaded"
    NODE_STOPPING = "node_stopping"
    ATTEMPT_FAILED = "attempt_failed"
    RESPONSE_TRUNCATED = "answer_cut"
    KEY_REQUIRED = "key_required"
    WORKSPACE_REQUIRED = "workspace_required"
    KEY_REUSED = "key_reused"
    OUTCOME_UNKNOWN = "outcome_unknown"
    LEDGER_UNAVAILABLE = "ledger_unavailable"
    RESPONSE_NOT_STORED = "answer_not_stored"

    # Links, announcements and membership.
    LINK_UNAVAILABLE = "link_unavailable"
    LINK_MESSAGE_INVALID = "link_message_invalid"
    ANNOUNCEMENT_INVALID = "announcement_invalid"
    TARGET_UNKNOWN = "target_unknown"
    DEPARTURE_UNRECORDED = "departure_unrecorded"
    HOST_UNKNOWN = "host_unknown"
    LIST_UNKNOWN = "list_unknown"
    GROUP_UNKNOWN = "group_unknown"

    # Replicated log and storage.
    NOT_LEADER = "not_leader"
    COMMIT_UNKNOWN = "commit_unknown"
    NO_QUORUM = "no_quorum"
    BUSY = "busy"
    LOG_CORRUPT = "log_corrupt"
    DISK_FAILED = "disk_failed"
    MEMBERSHIP_CHANGE_PENDING = "membership_change_pending"
    MEMBERSHIP_CHANGE_INVALID = "membership_change_invalid"
    MEMBER_UNKNOWN = "member_unknown"

    # Document and operator API.
    DOCUMENT_INVALID = "document_invalid"
    VERSION_CONFLICT = "version_conflict"
    CHANGE_ID_REUSED = "change_id_reused"
    LEDGER_LAYOUT_FIXED = "ledger_layout_fixed"
    SECTION_UNKNOWN = "section_unknown"
    DELTA_INVALID = "delta_invalid"
    DOCUMENT_FILE_INVALID = "document_file_invalid"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"

    # Replay.
    TRACE_INVALID = "trace_invalid"


class SamphireError(Exception):
    """Base class of the project's errors; each subclass has a code.

    Args:
        detail: What happened, for an operator; never contains secrets.
    """

    code: ClassVar[ErrorCode] = ErrorCode.INTERNAL

    def __init__(self, detail: str) -> None:
        super().__init__(f"{self.code.value}: {detail}")
        self.detail = detail


class InternalError(SamphireError):
    """A state that should be impossible: a defect in the code."""

    code = ErrorCode.INTERNAL
