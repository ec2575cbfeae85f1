"""Selects a target and counts an attempt on it until the attempt ends."""

from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager

from samphirespring.process.ids import TargetId
from samphirespring.process.mailbox import Mailbox, ReplySlot
from samphirespring.process.target_table import ReleaseTarget, SelectTarget, TableMessage
from samphirespring.request.selection import Candidate
from samphirespring.version.ids import ServiceName


@asynccontextmanager
async def acquire_target(
    table: Mailbox[TableMessage],
    *,
    service: ServiceName,
    tried: Collection[TargetId],
    idempotent: bool,
    suspected: Collection[TargetId] = (),
) -> AsyncIterator[Candidate | None]:
    """Select the target of the next attempt, or None; leaving the context releases it.

    Args:
        table: Inbox of the target table.
        service: The service.
        tried: Targets of earlier attempts of the request.
        idempotent: Whether the request is idempotent; others never go to targets on trial.
        suspected: Targets that refused the request because others seemed better.
    """
    slot: ReplySlot[Candidate | None] = ReplySlot()
    table.post(
        SelectTarget(
            service=service,
            tried=tried,
            reply=slot,
            idempotent=idempotent,
            suspected=suspected,
        )
    )
    try:
        yield await slot.wait()
    finally:
        slot.abandoned = True
        candidate = slot.read()
        if candidate is not None:
            table.post(ReleaseTarget(target=candidate.target))
