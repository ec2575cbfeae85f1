"""Session of one replica: from when its files are opened until a write fails."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Generic

import anyio
import anyio.lowlevel
import anyio.to_thread
import msgspec

from samphirespring.process.errors import SamphireError
from samphirespring.process.ids import GroupId, ReplicaId
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import Mailbox, ReplySlot
from samphirespring.process.replication.applier import Applier
from samphirespring.process.replication.context import ReplicationContext
from samphirespring.process.replication.effects import (
    Apply,
    Effect,
    FormGroup,
    InstallSnapshot,
    Persist,
    Post,
    SendSnapshotChunk,
    WriteIdentity,
)
from samphirespring.process.replication.entries import Identity, Member
from samphirespring.process.replication.errors import DiskFailedError
from samphirespring.process.replication.group_inbox import GroupInbox
from samphirespring.process.replication.group_member import GroupMember
from samphirespring.process.replication.group_messages import (
    ChangeMembership,
    ConfirmLeadership,
    Depart,
    GroupApplied,
    GroupInput,
    PeerMessage,
    ProposePayload,
    ReadStateMachine,
    ReadStatus,
    TickDue,
    TransferLeadership,
    UseSeeds,
    WriteDone,
    WriteFailed,
)
from samphirespring.process.replication.messages import SnapshotChunk
from samphirespring.process.replication.state_machine import (
    CommandT,
    CommitUnknownError,
    NoQuorumError,
    NotLeaderError,
    ResultT,
    SnapshotT,
)
from samphirespring.process.replication.state_machine_adapter import StateMachineAdapter
from samphirespring.process.replication.status_view import describe_member, find_leader
from samphirespring.process.replication.storage import GroupStorage, StoredState
from samphirespring.process.replication.write_jobs import (
    FirstMembershipWritten,
    SnapshotWritten,
    WriteOutcome,
    WritesSynced,
)
from samphirespring.process.replication.writer import GroupWriter

TICK_INTERVAL_S = 0.1
SNAPSHOT_CHUNK_BYTES = 256 << 10

_log = EventLog()


class GroupFormedError(SamphireError):
    """The first membership was written; the files must be reopened."""


class _PendingConfirmation(msgspec.Struct, frozen=True, kw_only=True):
    """A pending request to confirm that this replica is the leader.

    Attributes:
        reply: Receives None, or an error.
        contact_after_s: A quorum must have replied to a message that was sent after this monotonic
            time, in seconds; None relies on the lease.
    """

    reply: ReplySlot[None]
    contact_after_s: float | None

    def is_satisfied_by(self, contact_at_s: float | None) -> bool:
        """Return whether a valid lease with this quorum contact proves leadership.

        Args:
            contact_at_s: Latest send time of messages to which a quorum has replied, in seconds;
                None if there is none.
        """
        return self.contact_after_s is None or (
            contact_at_s is not None and contact_at_s > self.contact_after_s
        )


class GroupSession(Generic[CommandT, ResultT, SnapshotT]):
    """Performs the effects of one member and serves requests to it.

    Args:
        context: Resources and settings that all groups of the process share.
        group: The group.
        inbox: Inbox of the group's task.
        storage: The replica's files, owned by this session.
        identity: Member identity stored in the files.
        stored: State loaded from the files.
        adapter: The state machine; it has been restored from the loaded snapshot.
        subscribers: Inboxes to notify of each change of the state machine.
        number: Number of this session in the process.
        seeds: Link addresses of the control hosts in the current settings; None uses the context's
            peers.
        placed: Replicas that are to hold the group; None for all peers.
    """

    def __init__(
        self,
        *,
        context: ReplicationContext,
        group: GroupId,
        inbox: GroupInbox,
        storage: GroupStorage,
        identity: Identity,
        stored: StoredState,
        adapter: StateMachineAdapter[CommandT, ResultT, SnapshotT],
        subscribers: Sequence[Mailbox[GroupApplied]],
        number: int,
        seeds: Mapping[ReplicaId, str] | None = None,
        placed: tuple[ReplicaId, ...] | None = None,
    ) -> None:
        self._context = context
        self._group = group
        self._inbox = inbox
        self._storage = storage
        self._subscribers = subscribers
        self._number = number
        self._timers = context.timers
        self._member = GroupMember(
            group=group,
            own=Member(
                member=identity.member,
                replica=context.replica,
                link_address=context.link_address,
                failure_domain=context.failure_domain,
            ),
            identity=identity,
            stored=stored,
            peers=context.peers if seeds is None else seeds,
            placed=placed,
            discovery=context.discovery,
            timing=context.timing,
            random=context.random,
            now_s=context.timers.read_now_s(),
        )
        self._replica = self._member.replica
        self._writer = GroupWriter(
            storage=storage,
            owner=inbox,
            session=number,
            batch_limit=context.limits.write_batch_size,
            timers=context.timers,
            metrics=context.metrics,
        )
        self._applier = Applier(adapter=adapter, limits=context.limits)
        self._pending_confirmations: list[_PendingConfirmation] = []
        self._failure: SamphireError | None = None
        self._has_led = False
        """Whether this replica led its group when its effects were performed last."""

    async def run(self) -> None:
        """Serve messages and ticks until a write fails or the group is formed.

        Raises:
            DiskFailedError: A write failed.
            GroupFormedError: The first membership was written.
        """
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._tick)
                tasks.start_soon(self._writer.run)
                await self._serve(tasks.cancel_scope)
        finally:
            self._applier.fail_pending(CommitUnknownError("the replica is stopping"))
            self._fail_confirmations(NotLeaderError("the replica is stopping"))
        if self._failure is not None:
            raise self._failure

    # Incoming messages.

    async def _serve(self, scope: anyio.CancelScope) -> None:
        while self._failure is None:
            for message in await self._inbox.receive_batch():
                self._handle(message)
            await self._perform_effects()
        scope.cancel()

    async def _tick(self) -> None:
        async for _ in self._timers.subscribe(interval_s=TICK_INTERVAL_S):
            self._inbox.post(TickDue())

    def _handle(self, message: GroupInput) -> None:
        now_s = self._timers.read_now_s()
        match message:
            case TickDue():
                self._member.tick(now_s)
            case PeerMessage():
                self._member.receive(message.envelope, address=message.sender_address, now_s=now_s)
            case ProposePayload():
                self._on_propose(message, now_s)
            case ConfirmLeadership():
                self._on_confirm_leadership(message, now_s)
            case UseSeeds():
                self._member.use_seeds(message.seeds)
            case ReadStateMachine():
                _reply_with_view(message.reply, message.view)
            case ReadStatus():
                message.reply.send(describe_member(self._member, group=self._group, now_s=now_s))
            case ChangeMembership():
                self._on_change(message, now_s)
            case TransferLeadership():
                self._on_transfer(message, now_s)
            case Depart():
                message.reply.send(self._member.depart(now_s))
            case WriteDone() if message.session == self._number:
                self._on_write_done(message.outcome, now_s)
            case WriteFailed() if message.session == self._number:
                self._failure = message.error

    def _on_propose(self, message: ProposePayload, now_s: float) -> None:
        if self._replica.leadership is None:
            message.reply.fail(self._make_not_leader_error())
        elif not self._replica.may_propose(now_s):
            message.reply.fail(NoQuorumError("the leader has no contact with a quorum"))
        else:
            self._applier.register_proposal(self._replica.propose(message.payload), message.reply)

    def _on_confirm_leadership(self, message: ConfirmLeadership, now_s: float) -> None:
        contact_after_s = now_s if message.by_heartbeat_round else None
        self._pending_confirmations.append(
            _PendingConfirmation(reply=message.reply, contact_after_s=contact_after_s)
        )
        leadership = self._replica.leadership
        if message.by_heartbeat_round and leadership is not None:
            leadership.request_heartbeats()

    def _on_change(self, message: ChangeMembership, now_s: float) -> None:
        if not self._replica.may_propose(now_s):
            message.reply.fail(self._make_not_leader_error())
            return
        try:
            membership = self._member.membership_coordinator.plan_requested(message, now_s=now_s)
        except SamphireError as error:
            message.reply.fail(error)
            return
        index = self._replica.propose_membership(membership)
        self._applier.register_membership_change(index, message.reply)

    def _on_transfer(self, message: TransferLeadership, now_s: float) -> None:
        if self._replica.leadership is None:
            message.reply.fail(self._make_not_leader_error())
            return
        chosen = self._member.membership_coordinator.transfer_leadership(message.to, now_s=now_s)
        if chosen is None:
            message.reply.fail(NoQuorumError("no voter has caught up"))
            return
        _log.info(LogEvent.LEADERSHIP_TRANSFERRED, group=self._group, replica=chosen)
        message.reply.send(chosen)

    def _on_write_done(self, outcome: WriteOutcome, now_s: float) -> None:
        match outcome:
            case WritesSynced():
                self._replica.mark_persisted(outcome.token, now_s=now_s)
            case SnapshotWritten(mark=mark):
                retained = self._context.limits.retained_entries
                self._replica.compact_log(mark, retained_entries=retained)
                self._applier.record_snapshot_written()
                _log.info(
                    LogEvent.SNAPSHOT_WRITTEN,
                    group=self._group,
                    index=mark.index,
                    size_bytes=mark.size_bytes,
                )
            case FirstMembershipWritten():
                self._failure = GroupFormedError("the group is formed")

    # Effects.

    async def _perform_effects(self) -> None:
        self._log_leadership()
        applied_before = self._applier.applied_index
        for effect in self._member.pop_effects(self._timers.read_now_s()):
            await self._perform(effect)
        self._resolve_confirmations()
        if self._replica.leadership is None:
            error = CommitUnknownError("leadership was lost before the commit was observed")
            self._applier.fail_pending(error)
        if self._applier.applied_index != applied_before:
            self._notify_subscribers()
            self._start_snapshot_if_due()

    def _log_leadership(self) -> None:
        leads = self._replica.leadership is not None
        if leads is not self._has_led:
            self._has_led = leads
            event = LogEvent.GROUP_LEADERSHIP_GAINED if leads else LogEvent.GROUP_LEADERSHIP_LOST
            _log.info(event, group=self._group, term=self._replica.term)

    async def _perform(self, effect: Effect) -> None:
        match effect:
            case Post():
                self._context.transport.send(effect.address, effect.envelope)
            case SendSnapshotChunk():
                await self._send_snapshot_chunk(effect)
            case Persist() | WriteIdentity() | FormGroup():
                self._writer.inbox.post(effect)
            case InstallSnapshot():
                for _ in self._applier.restore_steps(effect.data, index=effect.mark.index):
                    await anyio.lowlevel.checkpoint()
                self._writer.inbox.post(effect)
                _log.info(LogEvent.SNAPSHOT_INSTALLED, group=self._group, index=effect.mark.index)
            case Apply():
                self._applier.apply(effect.entries)

    def _notify_subscribers(self) -> None:
        for inbox in self._subscribers:
            if inbox.waiting_count < inbox.capacity:
                inbox.post(GroupApplied(index=self._applier.applied_index))

    def _start_snapshot_if_due(self) -> None:
        job = self._applier.start_snapshot_if_due(self._replica.log)
        if job is not None:
            self._writer.inbox.post(job)

    async def _send_snapshot_chunk(self, effect: SendSnapshotChunk) -> None:
        try:
            data = await anyio.to_thread.run_sync(
                self._storage.read_snapshot_part, effect.mark, effect.offset, SNAPSHOT_CHUNK_BYTES
            )
        except DiskFailedError as error:
            self._failure = error
            return
        if data is None:
            return
        chunk = SnapshotChunk(
            term=self._replica.term,
            mark=effect.mark,
            offset=effect.offset,
            data=data,
            sent_at_s=effect.sent_at_s,
        )
        self._member.send(effect.to, chunk)

    # Confirmations of leadership.

    def _resolve_confirmations(self) -> None:
        now_s = self._timers.read_now_s()
        if self._replica.has_lease(now_s):
            contact_at_s = self._replica.find_last_contact_at_s(now_s)
            still_pending = []
            for confirmation in self._pending_confirmations:
                if confirmation.is_satisfied_by(contact_at_s):
                    confirmation.reply.send(None)
                else:
                    still_pending.append(confirmation)
            self._pending_confirmations = still_pending
        elif self._replica.leadership is None:
            self._fail_confirmations(self._make_not_leader_error())

    def _fail_confirmations(self, error: SamphireError) -> None:
        for confirmation in self._pending_confirmations:
            confirmation.reply.fail(error)
        self._pending_confirmations.clear()

    def _make_not_leader_error(self) -> SamphireError:
        leader = find_leader(self._replica)
        return NotLeaderError(f"the leader is {leader or 'unknown'}", leader=leader)


def _reply_with_view(reply: ReplySlot[Any], view: Callable[[], Any]) -> None:
    try:
        reply.send(view())
    except SamphireError as error:
        reply.fail(error)
