"""Errors as JSON problem details (RFC 9457)."""

import msgspec

from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.request.errors import RequestError
from samphirespring.request.ids import RequestId
from samphirespring.request.states import Outcome

PROBLEM_CONTENT_TYPE = b"application/problem+json"


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Problem details of one error."""

    title: str
    status: int
    code: str
    detail: str
    outcome: Outcome | None = None
    request: RequestId | None = None
    error: str | None = None
    """Error code of an exceeded rate limit, by which clients and other proxies recognize it."""

    retry_after_seconds: int | None = None


def make_problem(error: SamphireError, *, status: int, request: RequestId | None = None) -> Problem:
    """Return the problem details of an error.

    Args:
        error: The error.
        status: HTTP status.
        request: The request that failed.
    """
    outcome = error.outcome if isinstance(error, RequestError) else None
    # Clients take the `error` member to mean that nothing ran.
    is_rate_limited = error.code is ErrorCode.RATE_LIMITED and outcome is Outcome.NOT_RUN
    return Problem(
        title=error.code.value.replace("_", " "),
        status=status,
        code=error.code.value,
        detail=error.detail,
        outcome=outcome,
        request=request,
        error=error.code.value if is_rate_limited else None,
        retry_after_seconds=error.retry_after_s if isinstance(error, RequestError) else None,
    )


def encode_problem(problem: Problem) -> bytes:
    """Return a problem as JSON.

    Args:
        problem: The problem.
    """
    return msgspec.json.encode(problem)
