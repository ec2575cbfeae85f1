"""Errors that end an action."""

from samphirespring.process.errors import ErrorCode, InternalError
from samphirespring.request.action_messages import Conclude
from samphirespring.request.errors import (
    DeadlineExpiredError,
    NoTargetError,
    OutcomeUnknownError,
    RefusedError,
    RequestError,
)

RETRY_AFTER_S = 1
"""What a caller is told to wait before it sends an action that was not run again, in seconds."""


class KeyRequiredError(RequestError):
    """The service takes no action without an `Idempotency-Key`."""

    code = ErrorCode.KEY_REQUIRED
    status = 400


class WorkspaceRequiredError(RequestError):
    """An `Idempotency-Key` names an action only within a workspace."""

    code = ErrorCode.WORKSPACE_REQUIRED
    status = 400


class KeyReusedError(RequestError):
    """The key belongs to a request with another method, path or body."""

    code = ErrorCode.KEY_REUSED
    status = 422


class LedgerUnavailableError(RequestError):
    """No quorum of the ledger could be reached; nothing of this request was started."""

    code = ErrorCode.LEDGER_UNAVAILABLE
    status = 503


class ResponseNotStoredError(RequestError):
    """The action ran before; its answer is too large to be kept, or was lost."""

    code = ErrorCode.ANSWER_NOT_STORED
    status = 409


_ERRORS: tuple[type[RequestError], ...] = (
    ResponseNotStoredError,
    DeadlineExpiredError,
    KeyReusedError,
    LedgerUnavailableError,
    NoTargetError,
    OutcomeUnknownError,
    RefusedError,
)
_ERRORS_BY_CODE = {error.code: error for error in _ERRORS}
_RETRYABLE_STATUS = 503


def make_action_error(conclusion: Conclude) -> RequestError:
    """Return the error that a caller is told.

    Args:
        conclusion: A conclusion with an error.
    """
    if conclusion.error is None:
        raise InternalError("the action has an answer")
    error_type = _ERRORS_BY_CODE[conclusion.error]
    retry_after_s = RETRY_AFTER_S if error_type.status == _RETRYABLE_STATUS else None
    return error_type(conclusion.detail, outcome=conclusion.outcome, retry_after_s=retry_after_s)
