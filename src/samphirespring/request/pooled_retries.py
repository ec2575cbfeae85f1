"""Asks for retries from the joint budget of many fronts."""

from abc import ABC, abstractmethod

import msgspec

from samphirespring.process.shedding.retry_pool import FrontAccount, RetryGrant
from samphirespring.version.document import ServicePolicy
from samphirespring.version.ids import ServiceName


class RetryAsk(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Request for one retry from the joint budget of a service.

    Attributes:
        service: The service.
        account: What the front adds to the budget.
        rank: Rank of the request; lower ones are more urgent.
        max_wait_s: Longest wait after which the retry is still useful, in seconds.
        has_waited: Whether the request asks again, as it was told to.
    """

    service: ServiceName
    account: FrontAccount
    rank: int
    max_wait_s: float
    has_waited: bool = False


class RetryTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What a request needs of a retry.

    Attributes:
        service: The service.
        rank: Rank of the request; lower ones are more urgent.
        max_wait_s: Longest wait after which the retry is still useful, in seconds.
        has_waited: Whether the request asks again, as it was told to.
    """

    service: ServiceName
    rank: int
    max_wait_s: float
    has_waited: bool = False


class RetrySource(ABC):
    """Grants retries from joint budgets."""

    @abstractmethod
    async def acquire(self, terms: RetryTerms, *, policy: ServicePolicy) -> RetryGrant | None:
        """Return the decision on a retry; None if nobody decides in time.

        Args:
            terms: What the request needs.
            policy: Policy of the service.
        """


class NoRetrySource(RetrySource):
    """Joint budgets of a front that knows no other: each front spends its own."""

    async def acquire(self, terms: RetryTerms, *, policy: ServicePolicy) -> RetryGrant | None:
        """Return None."""
        return None
