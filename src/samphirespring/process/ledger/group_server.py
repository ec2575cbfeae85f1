"""Server of one ledger group on a control host."""

from collections import defaultdict
from collections.abc import Mapping

import anyio
import msgspec
from anyio.abc import TaskGroup

from samphirespring.connection.ledger_link import (
    LedgerCommitUnknown,
    LedgerRedirect,
    LedgerReply,
    LedgerResultReply,
    ProposeClaim,
    ReadClaimState,
)
from samphirespring.process.errors import SamphireError
from samphirespring.process.ids import GroupId, ReplicaId
from samphirespring.process.ledger.claim_state_machine import ClaimStateMachine
from samphirespring.process.ledger.claims import Claim, ClaimKey
from samphirespring.process.ledger.clock import LedgerClock
from samphirespring.process.ledger.commands import ClaimRunning, LedgerCommand, LedgerResult
from samphirespring.process.ledger.fencer import AttemptFencer
from samphirespring.process.ledger.ids import LedgerTime
from samphirespring.process.ledger.resolution import decide_resolution, is_resolution_due
from samphirespring.process.ledger.states import ClaimState
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import Mailbox, ReplySlot, ask
from samphirespring.process.metrics.metric_names import Counter, Gauge
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.replication.state_machine import (
    CommitUnknownError,
    NotLeaderError,
    Proposer,
)
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService

INBOX_CAPACITY = 10_000
RESOLVE_INTERVAL_S = 1.0
CONCURRENT_FENCES = 50
"""Largest number of agents that are queried at the same time."""

_log = EventLog()


class ServeProposal(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the commit of a command from a front."""

    request: ProposeClaim
    reply: ReplySlot[LedgerReply]


class ServeRead(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the state of a claim for a front."""

    request: ReadClaimState
    reply: ReplySlot[LedgerReply]


GroupServerMessage = ServeProposal | ServeRead


class LedgerGroupServerDump(StateDump, frozen=True, kw_only=True):
    """State of one ledger group as this replica has applied it."""

    clock_ms: LedgerTime
    claims: dict[str, int]
    """Number of claims in each state."""

    waiting_reads: int


class LedgerGroupServer(OwnerTask):
    """Timestamps and proposes commands, serves reads, and ends claims whose front recorded no end.

    Args:
        group: Id of the group.
        state_machine: The group's state machine; it is only read through the proposer.
        proposer: Commits commands to the group's log and runs reads on its state.
        link_addresses: Link addresses of the control hosts.
        fencer: Queries agents for the fate of an attempt.
        timers: The timer service.
        metrics: The metrics to update.
    """

    def __init__(
        self,
        *,
        group: GroupId,
        state_machine: ClaimStateMachine,
        proposer: Proposer[LedgerCommand, LedgerResult],
        link_addresses: Mapping[ReplicaId, str],
        fencer: AttemptFencer,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self._group = group
        self.inbox: Mailbox[GroupServerMessage] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._state_machine = state_machine
        self._proposer = proposer
        self._link_addresses = link_addresses
        self._fencer = fencer
        self._timers = timers
        self._metrics = metrics
        self._clock = LedgerClock()
        self._fence_limiter = anyio.Semaphore(CONCURRENT_FENCES)
        self._committed_ms = LedgerTime(0)
        self._waiting_reads: defaultdict[ClaimKey, list[anyio.Event]] = defaultdict(list)

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return f"ledger_keeper_{self._group}"

    async def run(self) -> None:
        """Serve messages until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._resolve_claims)
            await self._serve_messages(tasks)

    async def dump(self) -> LedgerGroupServerDump:
        """Return the group's state on this replica."""
        counts = await self._proposer.read(lambda: self._state_machine.state_counts)
        clock_ms = await self._proposer.read(lambda: self._state_machine.clock_ms)
        return LedgerGroupServerDump(
            clock_ms=clock_ms,
            claims={state.value: count for state, count in counts.items()},
            waiting_reads=sum(len(events) for events in self._waiting_reads.values()),
        )

    async def propose(self, request: ProposeClaim) -> LedgerReply:
        """Commit a command from a front.

        Args:
            request: The command.
        """
        return await ask(self.inbox, lambda reply: ServeProposal(request=request, reply=reply))

    async def read(self, request: ReadClaimState) -> LedgerReply:
        """Return the state of a claim.

        Args:
            request: The claim to read, and how long to wait for its final state.
        """
        return await ask(self.inbox, lambda reply: ServeRead(request=request, reply=reply))

    async def _serve_messages(self, tasks: TaskGroup) -> None:
        while True:
            message = await self.inbox.receive()
            match message:
                case ServeProposal():
                    tasks.start_soon(self._serve_proposal, message)
                case ServeRead():
                    tasks.start_soon(self._serve_read, message)

    async def _serve_proposal(self, message: ServeProposal) -> None:
        message.reply.send(await self._propose(message.request.command))

    async def _propose(self, command: LedgerCommand) -> LedgerReply:
        timestamp_ms = self._clock.read(
            committed_ms=self._committed_ms, now_s=self._timers.read_now_s()
        )
        timestamped = msgspec.structs.replace(command, now_ms=timestamp_ms)
        try:
            result = await self._proposer.propose(timestamped)
        except CommitUnknownError:
            return LedgerCommitUnknown()
        except SamphireError as error:
            return self._make_redirect(error)
        self._wake_readers(command.key)
        self._metrics.count(Counter.LEDGER_RESULTS, type(result).__name__)
        return LedgerResultReply(result=result)

    def _make_redirect(self, error: SamphireError) -> LedgerRedirect:
        leader = error.leader if isinstance(error, NotLeaderError) else None
        address = None if leader is None else self._link_addresses.get(leader)
        return LedgerRedirect(leader_address=address)

    def _wake_readers(self, key: ClaimKey) -> None:
        for event in self._waiting_reads.pop(key, ()):
            event.set()

    async def _serve_read(self, message: ServeRead) -> None:
        message.reply.send(await self._read(message.request))

    async def _read(self, request: ReadClaimState) -> LedgerReply:
        deadline_s = self._timers.read_now_s() + request.wait_ms / 1_000
        while True:
            event = anyio.Event()
            self._waiting_reads[request.key].append(event)
            try:
                if not request.any_replica:
                    await self._proposer.confirm_leadership()
                result = await self._proposer.read(lambda: self._state_machine.read(request.key))
            except SamphireError as error:
                self._stop_waiting(request.key, event)
                return self._make_redirect(error)
            remaining_s = deadline_s - self._timers.read_now_s()
            if remaining_s <= 0 or not isinstance(result, ClaimRunning):
                self._stop_waiting(request.key, event)
                return LedgerResultReply(result=result)
            with anyio.move_on_after(remaining_s):
                await event.wait()
            self._stop_waiting(request.key, event)

    def _stop_waiting(self, key: ClaimKey, event: anyio.Event) -> None:
        events = self._waiting_reads.get(key, [])
        if event in events:
            events.remove(event)
        if not events:
            self._waiting_reads.pop(key, None)

    async def _resolve_claims(self) -> None:
        async for _ in self._timers.subscribe(interval_s=RESOLVE_INTERVAL_S):
            try:
                await self._resolve_due_claims()
            except SamphireError as error:
                _log.debug(
                    LogEvent.LEDGER_LEADER_ELSEWHERE, group=self._group, code=error.code.value
                )

    async def _resolve_due_claims(self) -> None:
        await self._proposer.confirm_leadership()
        self._committed_ms = await self._proposer.read(lambda: self._state_machine.clock_ms)
        clock_ms = self._clock.read(
            committed_ms=self._committed_ms, now_s=self._timers.read_now_s()
        )
        due_claims = await self._proposer.read(lambda: self._list_due_claims(clock_ms))
        async with anyio.create_task_group() as tasks:
            for claim in due_claims:
                tasks.start_soon(self._resolve, claim, clock_ms)
        await self._report_counts()

    def _list_due_claims(self, clock_ms: LedgerTime) -> list[Claim]:
        return [
            claim
            for claim in self._state_machine.iterate_open_claims()
            if is_resolution_due(claim, clock_ms=clock_ms)
        ]

    async def _resolve(self, claim: Claim, clock_ms: LedgerTime) -> None:
        if claim.place is None:
            return
        async with self._fence_limiter:
            fence_reply = await self._fencer.fence(claim.place)
        end = decide_resolution(claim, fence_reply, clock_ms=clock_ms)
        if end is None:
            return
        reply = await self._propose(end)
        _log.info(
            LogEvent.CLAIM_RESOLVED,
            group=self._group,
            attempt=end.attempt,
            state=end.state.value,
            recorded=isinstance(reply, LedgerResultReply),
        )

    async def _report_counts(self) -> None:
        counts = await self._proposer.read(lambda: self._state_machine.state_counts)
        for state in ClaimState:
            self._metrics.set_gauge(
                Gauge.LEDGER_CLAIMS, self._group, state.value, value=counts[state]
            )
