"""Selects targets by the table of the host that schedules the service for its neighbours.

What one front sees of a target is seconds old in a large fleet. The fronts of a failure domain, or
of a region, therefore ask the table of one host: it counts all their attempts, and hears how each
ended. It only advises: without a reply in time, a front selects by its own table.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import msgspec

from samphirespring.connection.channel_client import AttemptChannel, ChannelSelection
from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.process.document.relay_tree import Peer
from samphirespring.process.local_targets import LocalTargetSource
from samphirespring.process.mailbox import Mailbox, ask
from samphirespring.process.target_table_messages import FindScheduler, TableMessage, UpdateLoad
from samphirespring.process.targets import Locality, TargetLoad
from samphirespring.process.timers import TimerService
from samphirespring.request.selection import Candidate
from samphirespring.request.target_source import Selection, SelectionTerms, TargetSource
from samphirespring.version.ids import ServiceName

REPLY_TIMEOUT_S = 0.08
"""Longest wait for a scheduler; a selection by the own table costs at most a few refusals."""

AVOID_S = 2.0
"""How long a scheduler that didn't reply isn't asked, in seconds."""

CHOICE_SPAN_S = 1.0
"""How long the choice of a scheduler holds, in seconds, so that it isn't made for each request."""


class _SchedulerChoice(msgspec.Struct, frozen=True, kw_only=True):
    """Scheduler of one service.

    Attributes:
        peer: The host, which may be the own one; None if the own table selects for this front only.
        until_s: End of the choice, in seconds of monotonic time.
    """

    peer: Peer | None
    until_s: float


class ScheduledSelection(Selection):
    """A target that a scheduler selected.

    Args:
        candidate: The target.
        selection: The selection on the channel to the scheduler.
        table: Inbox of the own table, which learns from the attempt, too.
    """

    def __init__(
        self, candidate: Candidate, selection: ChannelSelection, table: Mailbox[TableMessage]
    ) -> None:
        self._candidate = candidate
        self._selection = selection
        self._table = table

    @property
    def candidate(self) -> Candidate:
        """The target."""
        return self._candidate

    def report_load(self, load: TargetLoad) -> None:
        """Pass on the target's load to the scheduler and the own table."""
        self._selection.load = load
        self._table.post_always(UpdateLoad(target=self._candidate.target, load=load))


class ScheduledTargetSource(TargetSource):
    """Asks the scheduler of a service, or the own table.

    Args:
        local: Selects by the own table.
        table: Inbox of the own table.
        find_channel: Returns the channel to an address.
        locality: Locality of this process.
        timers: The timer service.
        reply_timeout_s: Longest wait for a scheduler, in seconds.
    """

    def __init__(
        self,
        local: LocalTargetSource,
        *,
        table: Mailbox[TableMessage],
        find_channel: Callable[[str], AttemptChannel],
        locality: Locality,
        timers: TimerService,
        reply_timeout_s: float = REPLY_TIMEOUT_S,
    ) -> None:
        self._local = local
        self._table = table
        self._find_channel = find_channel
        self._locality = locality
        self._timers = timers
        self._reply_timeout_s = reply_timeout_s
        self._choices: dict[ServiceName, _SchedulerChoice] = {}

    @asynccontextmanager
    async def select(self, terms: SelectionTerms) -> AsyncIterator[Selection | None]:
        """Select the target of the next attempt; leaving the context ends the selection."""
        peer = await self._find_scheduler(terms.service)
        is_own = peer is not None and peer.host == self._locality.host
        async with AsyncExitStack() as stack:
            if peer is not None and not is_own:
                scheduled = await self._ask(peer, terms, stack)
                if scheduled is not None:
                    yield scheduled
                    return
            yield await stack.enter_async_context(self._local.select(terms, is_shared=is_own))

    async def _ask(
        self, peer: Peer, terms: SelectionTerms, stack: AsyncExitStack
    ) -> ScheduledSelection | None:
        """Return the scheduler's selection, or None without a reply in time or a target."""
        channel = self._find_channel(peer.link_address)
        try:
            with anyio.fail_after(self._reply_timeout_s):
                selection = await stack.enter_async_context(
                    channel.select(terms, locality=self._locality)
                )
        except (LinkUnavailableError, TimeoutError):
            self._avoid(terms.service)
            return None
        if selection.candidate is None:
            return None
        return ScheduledSelection(selection.candidate, selection, self._table)

    async def _find_scheduler(self, service: ServiceName) -> Peer | None:
        now_s = self._timers.read_now_s()
        choice = self._choices.get(service)
        if choice is not None and choice.until_s > now_s:
            return choice.peer
        peer: Peer | None = await ask(
            self._table, lambda reply: FindScheduler(service=service, reply=reply)
        )
        self._choices[service] = _SchedulerChoice(peer=peer, until_s=now_s + CHOICE_SPAN_S)
        return peer

    def _avoid(self, service: ServiceName) -> None:
        until_s = self._timers.read_now_s() + AVOID_S
        self._choices[service] = _SchedulerChoice(peer=None, until_s=until_s)
