"""The task of one replicated group on one host, which accepts proposals and reads."""

from collections.abc import Callable, Mapping
from typing import Generic

import anyio
import anyio.lowlevel
import anyio.to_thread

from samphirespring.process.ids import GroupId, LogIndex, ReplicaId
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import Mailbox
from samphirespring.process.metrics.metric_names import Counter
from samphirespring.process.replication.context import ReplicationContext
from samphirespring.process.replication.entries import Membership
from samphirespring.process.replication.errors import DiskFailedError
from samphirespring.process.replication.failed_disk import serve_failed_disk
from samphirespring.process.replication.group_inbox import GroupInbox
from samphirespring.process.replication.group_messages import (
    ChangeKind,
    ChangeMembership,
    ConfirmLeadership,
    Depart,
    GroupApplied,
    ProposePayload,
    ReadStateMachine,
    ReadStatus,
    TransferLeadership,
    UseSeeds,
)
from samphirespring.process.replication.group_status import GroupOperations, GroupStatus
from samphirespring.process.replication.replica_files import OpenedFiles, open_files
from samphirespring.process.replication.session import GroupFormedError, GroupSession
from samphirespring.process.replication.state_machine import (
    CommandT,
    Proposer,
    ResultT,
    SnapshotT,
    StateMachine,
    ViewT,
)
from samphirespring.process.replication.state_machine_adapter import StateMachineAdapter
from samphirespring.process.replication.storage import GroupStorage
from samphirespring.process.states import DiskHealth
from samphirespring.process.tasks import OwnerTask

DISK_RETRY_S = 5.0
"""Time between two attempts to open the files after a disk failure, in seconds."""

FOLDER = "replication"

_log = EventLog()


class ReplicatedGroup(
    OwnerTask, GroupOperations, Proposer[CommandT, ResultT], Generic[CommandT, ResultT, SnapshotT]
):
    """Owns one replica, its files and its state machine.

    Args:
        context: Resources and settings that all groups of the process share.
        group: The group; its id is also a folder name, so it must be a plain word.
        state_machine: The state machine in its initial state; only this task uses it afterwards.
        placed: Replicas that are to hold the group; None for all replicas in the settings.
        by_heartbeat_round: Whether leadership is always confirmed by a round of messages to a
            quorum, not by the lease.
    """

    def __init__(
        self,
        *,
        context: ReplicationContext,
        group: GroupId,
        state_machine: StateMachine[CommandT, ResultT, SnapshotT],
        placed: tuple[ReplicaId, ...] | None = None,
        by_heartbeat_round: bool = False,
    ) -> None:
        self._group = group
        self._by_round = by_heartbeat_round
        self._placed = placed
        self._context = context
        self._adapter = StateMachineAdapter(state_machine)
        self._inbox = GroupInbox(
            name=self.name, request_batch_size=context.limits.request_batch_size
        )
        self._folder = find_folder(group)
        self._session_count = 0
        self._seeds: Mapping[ReplicaId, str] | None = None
        self._subscribers: list[Mailbox[GroupApplied]] = []
        context.transport.attach(group, self._inbox)

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return f"group_{self._group}"

    def subscribe(self, inbox: Mailbox[GroupApplied]) -> None:
        """Notify a task of each change of the state machine; a full inbox misses notifications.

        Args:
            inbox: Inbox of the task.
        """
        self._subscribers.append(inbox)

    async def propose(self, command: CommandT) -> ResultT:
        """Commit a command on a synced quorum and return its result.

        Args:
            command: The command.

        Raises:
            NotLeaderError: The command was not appended.
            NoQuorumError: The command was not appended.
            CommitUnknownError: The command may be committed now or later.
            BusyError: The command was not appended.
        """
        payload = self._adapter.encode_command(command)
        return await self._inbox.ask(lambda reply: ProposePayload(payload=payload, reply=reply))

    async def confirm_leadership(self, *, by_heartbeat_round: bool = False) -> None:
        """Return once this replica is leader with a valid lease and has applied all commits.

        Args:
            by_heartbeat_round: Whether a quorum must reply to a message sent after the call; the
                lease alone doesn't detect that the host was suspended.

        Raises:
            NotLeaderError: Another replica is the leader, or there is none.
            BusyError: Too many requests are queued.
        """
        needs_round = by_heartbeat_round or self._by_round
        await self._inbox.ask(
            lambda reply: ConfirmLeadership(by_heartbeat_round=needs_round, reply=reply)
        )

    def use_seeds(self, seeds: Mapping[ReplicaId, str]) -> None:
        """Replace the control hosts to which this host announces itself while outside the group.

        Args:
            seeds: Link addresses of the control hosts in the current settings.
        """
        self._seeds = seeds
        self._inbox.post(UseSeeds(seeds=seeds))

    async def read(self, view: Callable[[], ViewT]) -> ViewT:
        """Return a view of the state machine between two commands.

        The view shows the entries that this replica has applied; for a linearizable read, call
        `confirm_leadership` first.

        Args:
            view: Reads the state machine and returns values that later commands don't change.
        """
        return await self._inbox.ask(lambda reply: ReadStateMachine(view=view, reply=reply))

    async def add_learner(self, replica: ReplicaId) -> Membership:
        """Add a replica that announced itself as a learner; return the committed membership.

        Args:
            replica: The replica.

        Raises:
            NotLeaderError: This replica is not the leader.
            MemberUnknownError: The replica has not announced itself.
            MembershipChangePendingError: Another change isn't committed yet.
            MembershipChangeInvalidError: The replica is a member already.
        """
        return await self._change(ChangeKind.ADD_LEARNER, replica)

    async def replace(self, lost: ReplicaId, *, replacement: ReplicaId) -> Membership:
        """Replace a lost replica by one that announced itself.

        Returns once the replacement is a learner; the leader removes the lost replica and promotes
        the replacement as soon as the replacement has caught up.

        Args:
            lost: The replica to remove.
            replacement: The replica that replaces it.

        Raises:
            NotLeaderError: This replica is not the leader.
            MemberUnknownError: The lost replica is not a member, or the replacement has not
                announced itself.
            MembershipChangePendingError: Another change isn't committed yet.
            MembershipChangeInvalidError: The lost replica is the leader or the last voter, or the
                replacement is a member already.
        """
        return await self._change(ChangeKind.REPLACE, replacement, lost=lost)

    async def promote(self, replica: ReplicaId) -> Membership:
        """Promote a learner that has caught up to voter; return the committed membership.

        Args:
            replica: The learner.

        Raises:
            NotLeaderError: This replica is not the leader.
            MemberUnknownError: The replica is not a learner.
            MembershipChangePendingError: Another change isn't committed yet.
            MembershipChangeInvalidError: The learner has not caught up.
        """
        return await self._change(ChangeKind.PROMOTE, replica)

    async def remove(self, replica: ReplicaId) -> Membership:
        """Remove a member; return the committed membership.

        Args:
            replica: The member; never the leader or the last voter.

        Raises:
            NotLeaderError: This replica is not the leader.
            MemberUnknownError: The replica is not a member.
            MembershipChangePendingError: Another change isn't committed yet.
            MembershipChangeInvalidError: The member is the leader or the last voter.
        """
        return await self._change(ChangeKind.REMOVE, replica)

    async def transfer_leadership(self, to: ReplicaId | None = None) -> ReplicaId:
        """Transfer leadership to a voter that has caught up; return the voter.

        Args:
            to: The voter; None for the one with the longest log.

        Raises:
            NotLeaderError: This replica is not the leader.
            NoQuorumError: No such voter has caught up.
        """
        return await self._inbox.ask(lambda reply: TransferLeadership(to=to, reply=reply))

    async def depart(self) -> bool:
        """Hand over this replica's vote before a planned stop, and return whether it may stop now.

        If it may not, call again: the leader first gives the vote to a learner that has caught up.
        """
        return await self._inbox.ask(lambda reply: Depart(reply=reply))

    async def read_status(self) -> GroupStatus:
        """Return the replica's status for operators."""
        return await self._inbox.ask(lambda reply: ReadStatus(reply=reply))

    async def dump(self) -> GroupStatus:
        """Return the replica's state."""
        return await self.read_status()

    async def run(self) -> None:
        """Serve until cancelled; after a disk failure, reopen the files periodically."""
        while True:
            try:
                await self._run_session()
            except GroupFormedError:
                continue
            except DiskFailedError as error:
                await self._wait_for_disk(error)

    async def _run_session(self) -> None:
        storage = GroupStorage(disk=self._context.disk, folder=self._folder)
        try:
            self._session_count += 1
            opened = await anyio.to_thread.run_sync(self._open, storage)
            self._report(opened)
            stored = opened.stored
            covered = LogIndex(0) if stored.log.snapshot is None else stored.log.snapshot.index
            # Restores in short steps, so that other groups of the process can renew their leases.
            for _ in self._adapter.restore_steps(stored.snapshot_data, index=covered):
                await anyio.lowlevel.checkpoint()
            session = GroupSession(
                context=self._context,
                group=self._group,
                inbox=self._inbox,
                storage=storage,
                identity=opened.identity,
                stored=stored,
                adapter=self._adapter,
                subscribers=self._subscribers,
                number=self._session_count,
                seeds=self._seeds,
                placed=self._placed,
            )
            await session.run()
        finally:
            storage.close()

    def _open(self, storage: GroupStorage) -> OpenedFiles:
        discovery = self._context.discovery
        return open_files(
            storage,
            replica=self._context.replica,
            random=self._context.random,
            may_form=discovery is None or discovery.may_form,
        )

    def _report(self, opened: OpenedFiles) -> None:
        log = opened.stored.log
        if opened.stored.cut_bytes:
            _log.warning(
                LogEvent.LOG_TAIL_TRUNCATED, group=self._group, cut_bytes=opened.stored.cut_bytes
            )
        if opened.quarantined is not None:
            self._context.metrics.count(Counter.REPLICATION_LOG_CORRUPT)
            _log.error(
                LogEvent.LOG_CORRUPT,
                group=self._group,
                code=opened.quarantined.error.code.value,
                detail=opened.quarantined.error.detail,
                kept_as=opened.quarantined.kept_as,
            )
        _log.info(
            LogEvent.REPLICA_OPENED,
            group=self._group,
            member=opened.identity.member,
            last_index=log.last.index,
            snapshot_index=0 if log.snapshot is None else log.snapshot.index,
            term=opened.stored.hard_state.term,
        )

    async def _wait_for_disk(self, error: DiskFailedError) -> None:
        self._context.metrics.count(Counter.REPLICATION_DISK_FAILED)
        _log.error(
            LogEvent.DISK_FAILED, group=self._group, code=error.code.value, detail=error.detail
        )
        status = GroupStatus(
            group=self._group,
            replica=self._context.replica,
            member=None,
            disk=DiskHealth.FAILED,
            disk_error=error.detail,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_failed_disk, self._inbox, status)
            await self._context.timers.wait_for(DISK_RETRY_S)
            tasks.cancel_scope.cancel()

    async def _change(
        self, kind: ChangeKind, replica: ReplicaId, *, lost: ReplicaId | None = None
    ) -> Membership:
        return await self._inbox.ask(
            lambda reply: ChangeMembership(kind=kind, replica=replica, lost=lost, reply=reply),
        )


def find_folder(group: GroupId) -> str:
    """Return the folder of a group's files inside the data folder.

    Args:
        group: The group.
    """
    return f"{FOLDER}/{group}"
