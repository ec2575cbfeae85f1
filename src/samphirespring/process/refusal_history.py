"""The latest requests and retries that a front rejected, with the figures behind each decision."""

from collections import deque

import msgspec

from samphirespring.process.retry_budget import RetryBudgetDump, RetryKind
from samphirespring.version.document import RateLimit
from samphirespring.version.ids import ServiceName

HISTORY_SIZE = 50


class LimitedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a rate limit rejected."""

    at_s: float
    """Monotonic time, in seconds."""

    service: ServiceName
    bucket: str
    """Name of the workspace, or the caller's address if the request has none."""

    route: str | None
    """Route that the limit belongs to; None for the workspace's own limit."""

    limit: RateLimit
    wait_s: float
    """Time until the bucket has a token again, in seconds."""


class DeniedRetry(msgspec.Struct, frozen=True, kw_only=True):
    """An additional attempt that the exhausted retry budget rejected."""

    at_s: float
    """Monotonic time, in seconds."""

    kind: RetryKind
    share: float
    """Additional executions allowed per request."""

    floor: float
    """Additional attempts that this front may make per window beyond the share."""

    budget: RetryBudgetDump
    """State of the budget at that time."""


class RefusalHistory:
    """Keeps the latest refusals, so that an operator can find their cause later."""

    def __init__(self) -> None:
        self._limited: deque[LimitedRequest] = deque(maxlen=HISTORY_SIZE)
        self._denied: deque[DeniedRetry] = deque(maxlen=HISTORY_SIZE)

    @property
    def limited(self) -> tuple[LimitedRequest, ...]:
        """Requests that a rate limit rejected, oldest first."""
        return tuple(self._limited)

    @property
    def denied(self) -> tuple[DeniedRetry, ...]:
        """Retries that a budget rejected, oldest first."""
        return tuple(self._denied)

    def record_limited(self, entry: LimitedRequest) -> None:
        """Record a request that a rate limit rejected.

        Args:
            entry: The request.
        """
        self._limited.append(entry)

    def record_denied(self, entry: DeniedRetry) -> None:
        """Record a retry that a budget rejected.

        Args:
            entry: The retry.
        """
        self._denied.append(entry)
