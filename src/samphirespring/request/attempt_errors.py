"""Maps the result of the last attempt to the error that is reported to the caller."""

import math

import msgspec

from samphirespring.request.errors import (
    ApiKeyUnknownError,
    AttemptFailedError,
    DeadlineExpiredError,
    OutcomeUnknownError,
    RateLimitedError,
    RefusedError,
    RequestError,
)
from samphirespring.request.messages import AttemptFailed, AttemptRefused
from samphirespring.request.states import FailureKind, Outcome, RefusalCode
from samphirespring.version.document import RoutePolicy

DEFAULT_RETRY_AFTER_S = 1
"""Retry delay reported to the caller if the refusal states none, in seconds."""


def make_request_error(
    result: AttemptRefused | AttemptFailed, *, policy: RoutePolicy
) -> RequestError:
    """Return the error for a request whose last attempt was refused or failed.

    Args:
        result: Result of the last attempt.
        policy: Policy of the route.
    """
    if isinstance(result, AttemptRefused):
        return _make_refusal_error(result)
    if result.started and not policy.idempotent:
        return OutcomeUnknownError("the action may have run", outcome=Outcome.UNKNOWN)
    outcome = Outcome.UNKNOWN if result.started else Outcome.NOT_RUN
    if result.kind is FailureKind.TIMEOUT:
        return DeadlineExpiredError("no response before the deadline", outcome=outcome)
    return AttemptFailedError(f"the attempt failed: {result.kind.value}", outcome=outcome)


def state_retry_after(
    result: AttemptRefused | AttemptFailed, wait_s: float
) -> AttemptRefused | AttemptFailed:
    """Return a result that states after which time a retry of the request may be granted.

    Args:
        result: Result of the last attempt.
        wait_s: The time, in seconds; 0.0 if it isn't known.
    """
    if wait_s <= 0.0 or not isinstance(result, AttemptRefused):
        return result
    return msgspec.structs.replace(result, retry_after_ms=math.ceil(wait_s * 1_000))


def _make_refusal_error(result: AttemptRefused) -> RequestError:
    if result.code is RefusalCode.API_KEY_UNKNOWN:
        return ApiKeyUnknownError("no workspace holds the API key any more")
    if result.code is RefusalCode.EXPIRED:
        return DeadlineExpiredError("the deadline passed before the attempt could start")
    retry_after_s = DEFAULT_RETRY_AFTER_S
    if result.retry_after_ms is not None:
        retry_after_s = max(1, math.ceil(result.retry_after_ms / 1_000))
    detail = f"the target refused the request: {result.code.value}"
    if result.code is RefusalCode.RATE_LIMITED:
        return RateLimitedError(detail, retry_after_s=retry_after_s)
    return RefusedError(detail, retry_after_s=retry_after_s)
