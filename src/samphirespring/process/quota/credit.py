"""Credit of one request, and why a request gets none."""

from enum import Enum
from typing import Generic, TypeVar

import msgspec

from samphirespring.process.quota.terms import QuotaTerms
from samphirespring.version.ids import WorkspaceId

TicketT = TypeVar("TicketT")


class QuotaCredit(msgspec.Struct, frozen=True, kw_only=True):
    """Permission for one request of a workspace to reach backend servers.

    Attributes:
        workspace: The workspace.
        returnable_until_s: Time until which it may be given back, in seconds since the host booted.
        is_offline: Whether the front let the request pass without asking.
    """

    workspace: WorkspaceId
    returnable_until_s: float
    is_offline: bool = False


class RefusalCause(Enum):
    """Why a request gets no credit."""

    SPENT = "spent"
    """The workspace is at its quota."""

    NO_CONTROL = "no_control"
    """No leader of the control hosts answered in time."""


class CreditRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """A request gets no credit.

    Attributes:
        cause: Why.
        retry_after_s: Time until there may be credit, in seconds.
    """

    cause: RefusalCause
    retry_after_s: float


CreditDecision = QuotaCredit | CreditRefusal


class CreditRequest(msgspec.Struct, Generic[TicketT], frozen=True, kw_only=True):
    """A request that needs credit.

    Attributes:
        ticket: Returned with the decision.
        workspace: The workspace.
        terms: The workspace's quota.
        give_up_at_s: Time until which the request may wait while the leader answers, in seconds.
        give_up_lost_at_s: Time until which it may wait for a leader that answers, in seconds.
    """

    ticket: TicketT
    workspace: WorkspaceId
    terms: QuotaTerms
    give_up_at_s: float
    give_up_lost_at_s: float


class SettledTicket(msgspec.Struct, Generic[TicketT], frozen=True, kw_only=True):
    """Decision about a request that waited."""

    ticket: TicketT
    decision: CreditDecision
