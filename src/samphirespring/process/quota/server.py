"""Grants credit to fronts on the control host that leads the document's group."""

import math
from collections.abc import Sequence

import anyio
import anyio.lowlevel
import msgspec

from samphirespring.connection.quota_link import AskQuota, QuotaReply
from samphirespring.process.document.commands import DocumentCommand, DocumentResult
from samphirespring.process.document.state_machine import DocumentStateMachine
from samphirespring.process.errors import SamphireError
from samphirespring.process.ids import Term
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import Mailbox, ReplySlot, ask
from samphirespring.process.metrics.metric_names import Counter
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.quota.allocator import QuotaAllocator
from samphirespring.process.quota.quota_reader import QuotaReader
from samphirespring.process.replication.group_status import GroupOperations
from samphirespring.process.replication.leader_link import FindLink, find_leader_link
from samphirespring.process.replication.state_machine import NotLeaderError, Proposer
from samphirespring.process.states import ReplicaRole
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.version.section_set import SectionSet

INBOX_CAPACITY = 10_000
CHECK_INTERVAL_S = 0.25
"""Time between two checks whether this host has begun to lead, in seconds."""

_log = EventLog()


class ServeAsk(msgspec.Struct, frozen=True, kw_only=True):
    """Requests credit for a front."""

    request: AskQuota
    reply: ReplySlot[QuotaReply]


class CheckLeadership(msgspec.Struct, frozen=True, kw_only=True):
    """Starts a leadership of the allocator if this host has begun to lead."""


QuotaServerMessage = ServeAsk | CheckLeadership


class QuotaServerDump(StateDump, frozen=True, kw_only=True):
    """State of the allocator."""

    term: Term | None
    """Term of the leadership in which this host granted credit last."""

    quotas: int
    buckets: int
    """Buckets that aren't full."""

    granted: int
    waiting_messages: int


class QuotaServer(OwnerTask):
    """Owns the allocator; grants nothing before a quorum confirms that this host still leads.

    Args:
        state_machine: The document's state machine; it is only read through the proposer.
        proposer: The document's replicated log.
        group: The document's group.
        find_link: Returns the link address of a control host.
        timers: The timer service.
        metrics: The metrics to update.
    """

    def __init__(
        self,
        *,
        state_machine: DocumentStateMachine,
        proposer: Proposer[DocumentCommand, DocumentResult],
        group: GroupOperations,
        find_link: FindLink,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self.inbox: Mailbox[QuotaServerMessage] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._state_machine = state_machine
        self._proposer = proposer
        self._group = group
        self._find_link = find_link
        self._timers = timers
        self._metrics = metrics
        self._allocator = QuotaAllocator()
        self._reader = QuotaReader()
        self._sections: SectionSet | None = None
        self._quota_count = 0
        self._term: Term | None = None
        self._granted = 0

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "quota_server"

    async def run(self) -> None:
        """Serve asks until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._post_checks)
            while True:
                messages = await self.inbox.receive_all()
                asks = [message for message in messages if isinstance(message, ServeAsk)]
                if asks:
                    await self._serve(asks)
                if len(asks) < len(messages):
                    await self._check_leadership()

    async def dump(self) -> QuotaServerDump:
        """Return the allocator's state."""
        return QuotaServerDump(
            term=self._term,
            quotas=self._quota_count,
            buckets=self._allocator.bucket_count,
            granted=self._granted,
            waiting_messages=self.inbox.waiting_count,
        )

    async def ask(self, request: AskQuota) -> QuotaReply:
        """Return what a front is granted.

        Args:
            request: What it asks for.

        Raises:
            SamphireError: This host can't tell whether it leads.
        """
        return await ask(self.inbox, lambda reply: ServeAsk(request=request, reply=reply))

    async def _post_checks(self) -> None:
        async for _ in self._timers.subscribe(interval_s=CHECK_INTERVAL_S):
            self.inbox.post_always(CheckLeadership())

    async def _serve(self, messages: Sequence[ServeAsk]) -> None:
        """Serve all asks that are waiting by one round of messages to a quorum."""
        try:
            await self._proposer.confirm_leadership(by_heartbeat_round=True)
            leads = await self._follow_group()
        except NotLeaderError as error:
            await self._redirect(messages, error)
        except SamphireError as error:
            _fail_all(messages, error)
        else:
            if leads:
                self._grant([message for message in messages if not message.reply.abandoned])
            else:
                _fail_all(messages, NotLeaderError("this host leads no more"))

    async def _check_leadership(self) -> None:
        try:
            await self._follow_group()
        except SamphireError as error:
            _log.debug(LogEvent.LEADER_CONTACT_UNKNOWN, code=error.code.value)
        self._allocator.drop_full(self._timers.read_boottime_s())

    async def _follow_group(self) -> bool:
        """Apply the document and the term of this replica, and return whether it leads."""
        status = await self._group.read_status()
        if status.role is not ReplicaRole.LEADER:
            return False
        if status.term != self._term:
            self._term = status.term
            self._allocator.start_leadership(status.term, now_s=self._timers.read_boottime_s())
            _log.info(LogEvent.QUOTA_LEADERSHIP_STARTED, term=status.term)
        await self._read_quotas()
        return True

    async def _read_quotas(self) -> None:
        sections = await self._proposer.read(lambda: self._state_machine.sections)
        if sections is self._sections:
            return
        for _ in self._reader.read_steps(sections):
            await anyio.lowlevel.checkpoint()
        quotas = self._reader.list_terms()
        self._allocator.use_quotas(quotas, now_s=self._timers.read_boottime_s())
        self._quota_count = len(quotas)
        self._sections = sections

    def _grant(self, messages: Sequence[ServeAsk]) -> None:
        now_s = self._timers.read_boottime_s()
        delay_s = self._allocator.find_start_delay_s(now_s)
        if delay_s > 0.0:
            starting = QuotaReply(starts_in_ms=math.ceil(delay_s * 1_000))
            for message in messages:
                message.reply.send(starting)
            return
        asks = [ask for message in messages for ask in message.request.asks]
        grants = self._allocator.grant(asks, now_s=now_s)
        granted = sum(grant.credit for grant in grants)
        self._granted += granted
        self._metrics.count(Counter.QUOTA_ALLOCATED, amount=granted)
        start = 0
        for message in messages:
            end = start + len(message.request.asks)
            message.reply.send(QuotaReply(grants=grants[start:end]))
            start = end

    async def _redirect(self, messages: Sequence[ServeAsk], error: NotLeaderError) -> None:
        try:
            link = await find_leader_link(error, self._find_link)
        except SamphireError:
            link = None
        if link is None:
            _fail_all(messages, error)
            return
        for message in messages:
            message.reply.send(QuotaReply(leader_link=link))


def _fail_all(messages: Sequence[ServeAsk], error: SamphireError) -> None:
    for message in messages:
        message.reply.fail(error)
