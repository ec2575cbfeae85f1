"""The latest requests and retries that a front turned away, with the numbers that decided it."""

from collections import deque

import msgspec

from samphirespring.process.retry_budget import RetryBudgetDump, RetryKind
from samphirespring.version.document import RateLimit
from samphirespring.version.ids import ServiceName

HISTORY_SIZE = 50


class LimitedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a limit turned away."""

    at_s: float
    """Monotonic time, in seconds."""

    service: ServiceName
    bucket: str
    """Name of the workspace, or what stands for it."""

    route: str | None
    """Route whose limit it is; None stands for the workspace's own limit."""

    limit: RateLimit
    wait_s: float
    """Time until the bucket has a token again, in seconds."""


class DeniedRetry(msgspec.Struct, frozen=True, kw_only=True):
    """An additional attempt for which the budget had nothing left."""

    at_s: float
    """Monotonic time, in seconds."""

    kind: RetryKind
    share: float
    """Additional executions allowed per request."""

    floor: float
    """Additional attempts that this front may make in a window beyond the share."""

    budget: RetryBudgetDump
    """The budget at that moment."""


class RefusalHistory:
    """Keeps the latest refusals, so that an operator finds the cause after the fact."""

    def __init__(self) -> None:
        self._limited: deque[LimitedRequest] = deque(maxlen=HISTORY_SIZE)
        self._denied: deque[DeniedRetry] = deque(maxlen=HISTORY_SIZE)

    @property
    def limited(self) -> tuple[LimitedRequest, ...]:
        """Requests that a limit turned away, oldest first."""
        return tuple(self._limited)

    @property
    def denied(self) -> tuple[DeniedRetry, ...]:
        """Retries that a budget turned away, oldest first."""
        return tuple(self._denied)

    def record_limited(self, entry: LimitedRequest) -> None:
        """Take a request that a limit turned away.

        Args:
            entry: The request.
        """
        self._limited.append(entry)

    def record_denied(self, entry: DeniedRetry) -> None:
        """Take a retry that a budget turned away.

        Args:
            entry: The retry.
        """
        self._denied.append(entry)
