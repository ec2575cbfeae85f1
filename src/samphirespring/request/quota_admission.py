"""Credit of one request: acquired before its first dispatch, given back if it reached no target."""

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from samphirespring.process.mailbox import Mailbox, ask
from samphirespring.process.quota.client import AcquireCredit, QuotaMessage, ReturnCredit
from samphirespring.process.quota.credit import (
    CreditDecision,
    CreditRefusal,
    QuotaCredit,
    RefusalCause,
)
from samphirespring.process.quota.terms import QuotaTerms
from samphirespring.request.earlier_requests import account_for_earlier_requests
from samphirespring.request.errors import (
    QuotaSpentError,
    QuotaUnavailableError,
    RequestError,
)
from samphirespring.request.states import Outcome
from samphirespring.version.ids import WorkspaceId

LONGEST_WAIT_S = 1.5
"""Longest wait of a request for credit while the leader answers, in seconds."""

LONGEST_LOST_WAIT_S = 5.0
"""Longest wait of a request for a leader that answers, in seconds; an election takes less."""

WAIT_SHARE = 0.5
"""Largest share of the time to a request's deadline that it waits for credit."""


@asynccontextmanager
async def hold_credit(
    quotas: Mailbox[QuotaMessage] | None,
    *,
    workspace: WorkspaceId,
    terms: QuotaTerms | None,
    remaining_ms: int,
    keyed: bool = False,
) -> AsyncIterator[None]:
    """Acquire credit before the body, and give it back if the body reports that nothing ran.

    Args:
        quotas: Inbox of the task that owns the credit; None applies no quotas.
        workspace: The request's workspace.
        terms: Its quota; None if it has none.
        remaining_ms: Time to the request's deadline, in milliseconds.
        keyed: Whether the ledger may know an earlier request with the same key.

    Raises:
        QuotaSpentError: The workspace is at its quota.
        QuotaUnavailableError: No leader of the control hosts answered in time.
    """
    if quotas is None or terms is None:
        yield
        return
    with account_for_earlier_requests(keyed=keyed):
        credit = await _acquire(quotas, workspace, terms, remaining_ms / 1_000 * WAIT_SHARE)
    try:
        yield
    except RequestError as error:
        if error.outcome is Outcome.NOT_RUN:
            quotas.post_always(ReturnCredit(credit=credit))
        raise


async def _acquire(
    quotas: Mailbox[QuotaMessage], workspace: WorkspaceId, terms: QuotaTerms, longest_s: float
) -> QuotaCredit:
    decision: CreditDecision = await ask(
        quotas,
        lambda reply: AcquireCredit(
            workspace=workspace,
            terms=terms,
            wait_s=min(LONGEST_WAIT_S, longest_s),
            lost_wait_s=min(LONGEST_LOST_WAIT_S, longest_s),
            reply=reply,
        ),
    )
    if isinstance(decision, QuotaCredit):
        return decision
    raise _make_error(decision)


def _make_error(refusal: CreditRefusal) -> RequestError:
    retry_after_s = max(1, math.ceil(refusal.retry_after_s))
    match refusal.cause:
        case RefusalCause.SPENT:
            return QuotaSpentError("the workspace is at its quota", retry_after_s=retry_after_s)
        case RefusalCause.NO_CONTROL:
            return QuotaUnavailableError(
                "no control host grants credit for the workspace's quota",
                retry_after_s=retry_after_s,
            )
