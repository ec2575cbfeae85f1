"""Errors that end a request. Each has a code and the outcome that is reported to the caller."""

from typing import ClassVar

from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.request.states import Outcome

OVERLOAD_RETRY_AFTER_S = 1
"""Time after which a caller may ask an overloaded front again, in seconds."""


class RequestError(SamphireError):
    """The request ends without a complete response from a backend server.

    Args:
        detail: Description for the caller.
        outcome: Whether the request was executed.
        retry_after_s: Delay after which the caller may retry, in seconds; None to state none.
    """

    status: ClassVar[int] = 500
    """HTTP status, or the equivalent in another protocol."""

    def __init__(
        self, detail: str, *, outcome: Outcome = Outcome.NOT_RUN, retry_after_s: int | None = None
    ) -> None:
        super().__init__(detail)
        self.outcome = outcome
        self.retry_after_s = retry_after_s
        self.attempt_count = 0
        """Attempts made before the request ended."""


class MalformedRequestError(RequestError):
    """The request can't be parsed."""

    code = ErrorCode.MALFORMED_REQUEST
    status = 400


class BodyTooLargeError(RequestError):
    """The body is larger than the settings allow."""

    code = ErrorCode.BODY_TOO_LARGE
    status = 413


class RequestTimeoutError(RequestError):
    """The caller stopped sending its request."""

    code = ErrorCode.REQUEST_TIMEOUT
    status = 408


class NoRouteError(RequestError):
    """No route matches the host, method and path."""

    code = ErrorCode.NO_ROUTE
    status = 404


class ApiKeyUnknownError(RequestError):
    """The request carries no API key that a workspace holds."""

    code = ErrorCode.API_KEY_UNKNOWN
    status = 401


class KeyLeaseExpiredError(RequestError):
    """This node can't tell whether the request's API key is still valid."""

    code = ErrorCode.KEY_LEASE_EXPIRED
    status = 503


class NoDocumentError(RequestError):
    """This node has not received a document yet."""

    code = ErrorCode.NO_DOCUMENT
    status = 503


class NoTargetError(RequestError):
    """No target of the service can accept the request."""

    code = ErrorCode.NO_TARGET
    status = 503


class DeadlineExpiredError(RequestError):
    """The deadline passed before a response was complete."""

    code = ErrorCode.DEADLINE_EXPIRED
    status = 504


class RefusedError(RequestError):
    """The last attempt was refused before it started, and no retry is allowed."""

    code = ErrorCode.REFUSED
    status = 503


class RateLimitedError(RequestError):
    """A rate limit of the workspace or the backend server is exhausted."""

    code = ErrorCode.RATE_LIMITED
    status = 429


class QuotaSpentError(RequestError):
    """The workspace is at its quota, which applies to all fronts together."""

    code = ErrorCode.QUOTA_SPENT
    status = 429


class QuotaUnavailableError(RequestError):
    """No control host granted or refused credit for the workspace's quota in time."""

    code = ErrorCode.QUOTA_UNAVAILABLE
    status = 429


class OverloadedError(RequestError):
    """The front already serves its maximum number of concurrent requests."""

    code = ErrorCode.OVERLOADED
    status = 503


class NodeStoppingError(RequestError):
    """The node ends before it could complete the request."""

    code = ErrorCode.NODE_STOPPING
    status = 503


class AttemptFailedError(RequestError):
    """The last attempt failed at the backend server."""

    code = ErrorCode.ATTEMPT_FAILED
    status = 502


class OutcomeUnknownError(RequestError):
    """The action may have run, so it is not retried."""

    code = ErrorCode.OUTCOME_UNKNOWN
    status = 502


class ResponseCutError(RequestError):
    """The response was cut off after part of it had been sent to the caller."""

    code = ErrorCode.RESPONSE_TRUNCATED
    status = 502
