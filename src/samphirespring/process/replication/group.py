"""One replicated group on one host: the task that other parts propose to and read from."""

from collections.abc import Callable, Mapping
from typing import Generic

import anyio
import anyio.lowlevel
import anyio.to_thread

from samphirespring.process.event_log import EventLog
from samphirespring.process.ids import GroupId, LogIndex, ReplicaId
from samphirespring.process.log_events import LogEvent
from samphirespring.process.mailbox import Mailbox
from samphirespring.process.metric_names import Counter
from samphirespring.process.replication.context import ReplicationContext
from samphirespring.process.replication.entries import Membership
from samphirespring.process.replication.errors import DiskFailedError
from samphirespring.process.replication.group_inbox import GroupInbox
from samphirespring.process.replication.group_messages import (
    ChangeKind,
    ChangeMembership,
    ConfirmLead,
    GroupApplied,
    ProposePayload,
    ReadMachine,
    ReadStatus,
    TransferLead,
    UseSeeds,
)
from samphirespring.process.replication.group_status import GroupOperations, GroupStatus
from samphirespring.process.replication.machine_host import MachineHost
from samphirespring.process.replication.opening import OpenedFiles, open_files
from samphirespring.process.replication.outage import serve_outage
from samphirespring.process.replication.session import GroupFormedError, GroupSession
from samphirespring.process.replication.state_machine import (
    CommandT,
    Proposer,
    ResultT,
    SnapshotT,
    StateMachine,
    ViewT,
)
from samphirespring.process.replication.storage import GroupStorage
from samphirespring.process.states import DiskHealth
from samphirespring.process.tasks import OwnerTask

DISK_RETRY_S = 5.0
"""Time between two attempts to open the files after a failure."""

FOLDER = "replication"

_log = EventLog()


class ReplicatedGroup(
    OwnerTask, GroupOperations, Proposer[CommandT, ResultT], Generic[CommandT, ResultT, SnapshotT]
):
    """Owns one replica, its files and its state machine.

    Args:
        context: What all groups of the process share.
        group: The group; it names the folder, so it is a plain word.
        machine: The state machine in its first state; only this task touches it afterwards.
        placed: Replicas that are to hold the group; None for all that the settings name.
        by_round: Whether each question for the lead is answered by a round of messages, not by a
            lease.
    """

    def __init__(
        self,
        *,
        context: ReplicationContext,
        group: GroupId,
        machine: StateMachine[CommandT, ResultT, SnapshotT],
        placed: tuple[ReplicaId, ...] | None = None,
        by_round: bool = False,
    ) -> None:
        self._group = group
        self._by_round = by_round
        self._placed = placed
        self._context = context
        self._host = MachineHost(machine)
        self._inbox = GroupInbox(name=self.name, question_batch=context.limits.batch_questions)
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
        """Tell a task of each change of the state machine; a full inbox misses some.

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
        payload = self._host.encode_command(command)
        return await self._inbox.ask(lambda reply: ProposePayload(payload=payload, reply=reply))

    async def confirm_lead(self, *, by_round: bool = False) -> None:
        """Return once this replica leads under a valid lease and has applied all commits.

        Args:
            by_round: Whether a quorum must answer a message sent after the call; the lease alone
                doesn't notice that the host was suspended.

        Raises:
            NotLeaderError: Another replica leads, or none.
            BusyError: Too many questions wait.
        """
        asks_round = by_round or self._by_round
        await self._inbox.ask(lambda reply: ConfirmLead(by_round=asks_round, reply=reply))

    def use_seeds(self, seeds: Mapping[ReplicaId, str]) -> None:
        """Announce this host to other control hosts from now on, while it is outside of the group.

        Args:
            seeds: Link addresses of the control hosts that the settings name now.
        """
        self._seeds = seeds
        self._inbox.post(UseSeeds(seeds=seeds))

    async def read(self, view: Callable[[], ViewT]) -> ViewT:
        """Return a view of the state machine between two commands.

        The view is what this replica has applied; ask `confirm_lead` first for the newest state.

        Args:
            view: Reads the state machine and returns values that later commands don't change.
        """
        return await self._inbox.ask(lambda reply: ReadMachine(view=view, reply=reply))

    async def add_learner(self, replica: ReplicaId) -> Membership:
        """Add a replica that announced itself, without a vote; return the committed membership.

        Args:
            replica: The replica.

        Raises:
            NotLeaderError: Ask the leader.
            MemberUnknownError: The replica has not announced itself.
            MembershipChangePendingError: Another change isn't committed yet.
            MembershipChangeInvalidError: The replica is a member already.
        """
        return await self._change(ChangeKind.ADD_LEARNER, replica)

    async def replace(self, lost: ReplicaId, *, replacement: ReplicaId) -> Membership:
        """Put a replica that announced itself in the place of a lost one.

        Returns once the replacement is a learner; the leader removes the lost replica and promotes
        the replacement as soon as that has caught up.

        Args:
            lost: The replica that leaves.
            replacement: The replica that takes its place.

        Raises:
            NotLeaderError: Ask the leader.
            MemberUnknownError: Either replica isn't known.
            MembershipChangePendingError: Another change isn't committed yet.
            MembershipChangeInvalidError: The lost replica leads, or the other is a member.
        """
        return await self._change(ChangeKind.REPLACE, replacement, lost=lost)

    async def promote(self, replica: ReplicaId) -> Membership:
        """Give a vote to a learner that has caught up; return the committed membership.

        Args:
            replica: The learner.

        Raises:
            NotLeaderError: Ask the leader.
            MemberUnknownError: The replica is no learner.
            MembershipChangePendingError: Another change isn't committed yet.
            MembershipChangeInvalidError: The learner has not caught up.
        """
        return await self._change(ChangeKind.PROMOTE, replica)

    async def remove(self, replica: ReplicaId) -> Membership:
        """Remove a member; return the committed membership.

        Args:
            replica: The member; never the leader or the last voter.

        Raises:
            NotLeaderError: Ask the leader.
            MemberUnknownError: The replica is no member.
            MembershipChangePendingError: Another change isn't committed yet.
            MembershipChangeInvalidError: The member leads or is the last voter.
        """
        return await self._change(ChangeKind.REMOVE, replica)

    async def transfer_lead(self, to: ReplicaId | None = None) -> ReplicaId:
        """Give the lead to a voter that has caught up; return the voter.

        Args:
            to: The voter; None for the one that has most.

        Raises:
            NotLeaderError: This replica doesn't lead.
            NoQuorumError: No such voter has caught up.
        """
        return await self._inbox.ask(lambda reply: TransferLead(to=to, reply=reply))

    async def read_status(self) -> GroupStatus:
        """Return what an operator sees of this replica."""
        return await self._inbox.ask(lambda reply: ReadStatus(reply=reply))

    async def dump(self) -> GroupStatus:
        """Return the replica's state."""
        return await self.read_status()

    async def run(self) -> None:
        """Serve until cancelled; after a failure of the disk, try to open the files again."""
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
            # Other groups of the process keep their leases meanwhile.
            for _ in self._host.restore_steps(stored.snapshot_data, index=covered):
                await anyio.lowlevel.checkpoint()
            session = GroupSession(
                context=self._context,
                group=self._group,
                inbox=self._inbox,
                storage=storage,
                identity=opened.identity,
                stored=stored,
                host=self._host,
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
            may_found=discovery is None or discovery.may_found,
        )

    def _report(self, opened: OpenedFiles) -> None:
        log = opened.stored.log
        if opened.stored.cut_bytes:
            _log.warning(
                LogEvent.LOG_TAIL_TRUNCATED, group=self._group, cut_bytes=opened.stored.cut_bytes
            )
        if opened.set_aside is not None:
            self._context.metrics.count(Counter.REPLICATION_LOG_CORRUPT)
            _log.error(
                LogEvent.LOG_CORRUPT,
                group=self._group,
                code=opened.set_aside.error.code.value,
                detail=opened.set_aside.error.detail,
                kept_as=opened.set_aside.kept_as,
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
            tasks.start_soon(serve_outage, self._inbox, status)
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
