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
"""Retry delay reported to the caller of an action that did not run, in seconds."""


class KeyRequiredError(RequestError):
    """The service requires an `Idempotency-Key` for actions."""

    code = ErrorCode.KEY_REQUIRED
    status = 400


class WorkspaceRequiredError(RequestError):
    """An `Idempotency-Key` identifies an action only within a workspace."""

    code = ErrorCode.WORKSPACE_REQUIRED
    status = 400


class KeyReusedError(RequestError):
    """The key belongs to a request with another method, path or body."""

    code = ErrorCode.KEY_REUSED
    status = 422


class LedgerUnavailableError(RequestError):
    """No quorum of the ledger could be reached; no attempt of this request was started."""

    code = ErrorCode.LEDGER_UNAVAILABLE
    status = 503


class ResponseNotStoredError(RequestError):
    """The action already ran; its response was too large to store, or was lost."""

    code = ErrorCode.RESPONSE_NOT_STORED
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
    """Return the error to report to the caller.

    Args:
        conclusion: A conclusion with an error.
    """
    if conclusion.error is None:
        raise InternalError("the action has a response")
    error_type = _ERRORS_BY_CODE[conclusion.error]
    retry_after_s = RETRY_AFTER_S if error_type.status == _RETRYABLE_STATUS else None
    return error_type(conclusion.detail, outcome=conclusion.outcome, retry_after_s=retry_after_s)
