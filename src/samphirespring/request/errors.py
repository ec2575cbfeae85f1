"""Errors that end a request; each has a code and the outcome that the caller is told."""

from typing import ClassVar

from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.request.states import Outcome


class RequestError(SamphireError):
    """The request ends without the backend server's answer.

    Args:
        detail: What happened, for the caller.
        outcome: Whether the request ran.
        retry_after_s: When the caller may try again, in seconds.
    """

    status: ClassVar[int] = 500
    """HTTP status, or its counterpart in another front end."""

    def __init__(
        self, detail: str, *, outcome: Outcome = Outcome.NOT_RUN, retry_after_s: int | None = None
    ) -> None:
        super().__init__(detail)
        self.outcome = outcome
        self.retry_after_s = retry_after_s
        self.attempt_count = 0
        """Attempts made before the request ended."""


class MalformedRequestError(RequestError):
    """The request can't be understood."""

    code = ErrorCode.MALFORMED_REQUEST
    status = 400


class BodyTooLargeError(RequestError):
    """The body is larger than the settings allow."""

    code = ErrorCode.BODY_TOO_LARGE
    status = 413


class NoRouteError(RequestError):
    """No route matches host, method and path."""

    code = ErrorCode.NO_ROUTE
    status = 404


class NoDocumentError(RequestError):
    """This node has not received the document yet."""

    code = ErrorCode.NO_DOCUMENT
    status = 503


class NoTargetError(RequestError):
    """No target of the service can take the request."""

    code = ErrorCode.NO_TARGET
    status = 503


class DeadlineExpiredError(RequestError):
    """The deadline passed before an answer came."""

    code = ErrorCode.DEADLINE_EXPIRED
    status = 504


class RefusedError(RequestError):
    """Every attempt was refused before it started."""

    code = ErrorCode.REFUSED
    status = 503


class RateLimitedError(RequestError):
    """A limit of the workspace, or of the backend server, is spent."""

    code = ErrorCode.RATE_LIMITED
    status = 429


class OverloadedError(RequestError):
    """The front serves as many requests as it may."""

    code = ErrorCode.OVERLOADED
    status = 503


class AttemptFailedError(RequestError):
    """The last attempt failed at the backend server."""

    code = ErrorCode.ATTEMPT_FAILED
    status = 502


class OutcomeUnknownError(RequestError):
    """An action may have run; it is not tried again."""

    code = ErrorCode.OUTCOME_UNKNOWN
    status = 502


class ResponseCutError(RequestError):
    """The answer broke off after its beginning had gone to the caller."""

    code = ErrorCode.ANSWER_CUT
    status = 502
