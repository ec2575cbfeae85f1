"""Selects targets by this process's own target table."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from samphirespring.process.ids import WorkKind
from samphirespring.process.mailbox import Mailbox, ReplySlot
from samphirespring.process.target_table_messages import (
    ReleaseTarget,
    SelectTarget,
    TableMessage,
    UpdateLoad,
)
from samphirespring.process.targets import TargetLoad
from samphirespring.request.selection import Candidate
from samphirespring.request.target_source import Selection, SelectionTerms, TargetSource


class LocalSelection(Selection):
    """A target that the own table selected.

    Args:
        candidate: The target.
        table: Inbox of the table.
        kind: Kind of the request; None if it isn't known.
    """

    def __init__(
        self, candidate: Candidate, table: Mailbox[TableMessage], *, kind: WorkKind | None = None
    ) -> None:
        self._candidate = candidate
        self._table = table
        self._kind = kind

    @property
    def candidate(self) -> Candidate:
        """The target."""
        return self._candidate

    def report_load(self, load: TargetLoad) -> None:
        """Pass on the target's load to the table."""
        self._table.post_always(
            UpdateLoad(target=self._candidate.target, load=load, kind=self._kind)
        )


class LocalTargetSource(TargetSource):
    """Asks the own target table.

    Args:
        table: Inbox of the table.
    """

    def __init__(self, table: Mailbox[TableMessage]) -> None:
        self._table = table

    @asynccontextmanager
    async def select(
        self, terms: SelectionTerms, *, is_shared: bool = False
    ) -> AsyncIterator[Selection | None]:
        """Select the target of the next attempt, or None; leaving the context releases it.

        Args:
            terms: What the attempt needs.
            is_shared: Whether other fronts ask the table, too.
        """
        slot: ReplySlot[Candidate | None] = ReplySlot()
        self._table.post(SelectTarget(terms=terms, is_shared=is_shared, reply=slot))
        try:
            candidate = await slot.wait()
            if candidate is None:
                yield None
            else:
                yield LocalSelection(candidate, self._table, kind=terms.kind)
        finally:
            slot.abandoned = True
            selected = slot.read()
            if selected is not None:
                self._table.post_always(ReleaseTarget(target=selected.target))
