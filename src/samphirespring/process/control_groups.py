"""The replicated groups of one control host.

A state machine is added with one call where the control host is assembled. The returned group
accepts proposals, reads and subscriptions:

    ledger = groups.add(GroupId("ledger-0"), state_machine)

All control hosts must add the same groups; a host that never held a replica of a group runs a
non-member responder for it instead. The groups share the data folder and one link to each peer;
each has its own leader.
"""

import ssl
from collections.abc import Mapping, Sequence
from pathlib import Path
from random import SystemRandom
from types import MappingProxyType
from typing import Any

import anyio.to_thread

from samphirespring.connection.link_server import LinkHandler
from samphirespring.process.errors import SamphireError
from samphirespring.process.ids import GroupId, ReplicaId
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.replication.context import GroupLimits, ReplicationContext
from samphirespring.process.replication.discovery import Discovery
from samphirespring.process.replication.disk import Disk, FolderDisk
from samphirespring.process.replication.errors import BusyError
from samphirespring.process.replication.group import ReplicatedGroup, find_folder
from samphirespring.process.replication.non_member_responder import NonMemberResponder
from samphirespring.process.replication.state_machine import (
    CommandT,
    ResultT,
    SnapshotT,
    StateMachine,
)
from samphirespring.process.replication.timing import ROUND_TIMING, ReplicaTiming
from samphirespring.process.replication.transport import ReplicationTransport
from samphirespring.process.settings import ControlSettings, DiscoverySettings
from samphirespring.process.states import ReplicaRole
from samphirespring.process.tasks import OwnerTask
from samphirespring.process.timers import TimerService
from samphirespring.process.tls import make_client_context

HANDOVER_TIMEOUT_S = 3.0
"""Longest time that a stopping host waits for the handover of its votes, in seconds."""

HANDOVER_POLL_S = 0.05

_log = EventLog()


class ControlGroups:
    """Creates the groups of one control host, which share one transport.

    Args:
        settings: The settings.
        timers: The timer service.
        metrics: Records metrics.
        tls: Context of the links that this host opens; None makes one from the settings.
        timing: Timeouts and intervals of the consensus protocol.
        limits: Bounds of each replica.
        disk: Storage of the replicas; None uses the data folder of the settings.
    """

    def __init__(
        self,
        settings: ControlSettings,
        *,
        timers: TimerService,
        metrics: Metrics,
        tls: ssl.SSLContext | None = None,
        timing: ReplicaTiming | None = None,
        limits: GroupLimits | None = None,
        disk: Disk | None = None,
    ) -> None:
        peers = _list_peers(settings)
        own_address = peers.get(settings.replica, settings.link_listen)
        if tls is None and settings.link_tls is not None:
            tls = make_client_context(settings.link_tls)
        self._transport = ReplicationTransport(
            own_address=own_address, timers=timers, metrics=metrics, tls=tls
        )
        self._context = ReplicationContext(
            replica=settings.replica,
            link_address=own_address,
            peers=peers,
            disk=disk or FolderDisk(Path(settings.data_folder)),
            transport=self._transport,
            timers=timers,
            random=SystemRandom(),
            metrics=metrics,
            timing=timing or (ReplicaTiming() if settings.lease_reads else ROUND_TIMING),
            limits=limits or GroupLimits(),
            discovery=_make_discovery(settings.discovery),
            failure_domain=settings.locality.failure_domain,
        )
        self._lease_reads = settings.lease_reads
        self._groups: dict[GroupId, ReplicatedGroup[Any, Any, Any]] = {}

    @property
    def tasks(self) -> tuple[OwnerTask, ...]:
        """The transport and all groups added so far."""
        return (self._transport, *self._groups.values())

    @property
    def groups(self) -> Mapping[GroupId, ReplicatedGroup[Any, Any, Any]]:
        """All groups by id; the view includes groups that are added later."""
        return MappingProxyType(self._groups)

    def add(
        self,
        group: GroupId,
        state_machine: StateMachine[CommandT, ResultT, SnapshotT],
        *,
        placed: tuple[ReplicaId, ...] | None = None,
        allow_stale_reads: bool = False,
    ) -> ReplicatedGroup[CommandT, ResultT, SnapshotT]:
        """Add a group and return it; the caller must run its task.

        Args:
            group: Id of the group, a single word; the same on all control hosts.
            state_machine: The state machine in its initial state.
            placed: Control hosts that should hold a replica of the group; None for all.
            allow_stale_reads: Whether reads may be served by a leader that was just replaced.
        """
        added = ReplicatedGroup(
            context=self._context,
            group=group,
            state_machine=state_machine,
            placed=placed,
            by_heartbeat_round=not (self._lease_reads or allow_stale_reads),
        )
        self._groups[group] = added
        return added

    def make_non_member_responder(
        self, group: GroupId, *, placed: tuple[ReplicaId, ...]
    ) -> NonMemberResponder:
        """Return the task that replies to announcements of a group that this host never held.

        Args:
            group: Id of the group.
            placed: Control hosts that should hold a replica of the group.
        """
        return NonMemberResponder(context=self._context, group=group, placed=placed)

    def use_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the control hosts to which this host announces itself while outside a group.

        Args:
            seeds: Link addresses of control hosts.
        """
        if self._context.discovery is None:
            # The settings name all control hosts; only operators change the membership.
            return
        for group in self._groups.values():
            group.use_seeds({ReplicaId(seed): seed for seed in seeds})

    async def has_files(self, group: GroupId) -> bool:
        """Return whether the data folder contains files of a group.

        Args:
            group: Id of the group.

        Raises:
            DiskFailedError: The folder can't be read.
        """
        folder = find_folder(group)
        return bool(await anyio.to_thread.run_sync(self._context.disk.list_names, folder))

    def make_handlers(self) -> list[LinkHandler]:
        """Return the handlers to register with the host's link server."""
        return self._transport.make_handlers()

    async def transfer_leadership(self) -> None:
        """Transfer the leadership of each group that this host leads, before a planned stop."""
        for group in tuple(self._groups.values()):
            status = await group.read_status()
            if status.role is not ReplicaRole.LEADER:
                continue
            try:
                await group.transfer_leadership()
            except SamphireError as error:
                _log.info(
                    LogEvent.LEADERSHIP_NOT_TRANSFERRED, group=status.group, detail=error.detail
                )

    async def hand_over_votes(self) -> None:
        """Give the vote of each group to another host if one is ready, before a planned stop.

        A host that stops for good would otherwise count towards the quorum until it is found to be
        lost, and several such hosts could take the quorum with them.
        """
        async with anyio.create_task_group() as tasks:
            for group_id, group in tuple(self._groups.items()):
                tasks.start_soon(self._hand_over_vote, group_id, group)

    async def _hand_over_vote(
        self, group_id: GroupId, group: ReplicatedGroup[Any, Any, Any]
    ) -> None:
        may_stop = False
        with anyio.move_on_after(HANDOVER_TIMEOUT_S):
            while not may_stop:
                may_stop = await self._depart(group)
                if not may_stop:
                    await self._context.timers.wait_for(HANDOVER_POLL_S)
        _log.info(LogEvent.VOTE_RELEASED, group=group_id, in_time=may_stop)

    async def _depart(self, group: ReplicatedGroup[Any, Any, Any]) -> bool:
        try:
            return await group.depart()
        except BusyError:
            return False


def _list_peers(settings: ControlSettings) -> dict[ReplicaId, str]:
    """Return the link addresses of the control hosts that the settings name."""
    if settings.discovery is None:
        return {peer.replica: peer.link_address for peer in settings.peers}
    return {ReplicaId(seed): seed for seed in settings.discovery.seeds}


def _make_discovery(settings: DiscoverySettings | None) -> Discovery | None:
    if settings is None:
        return None
    return Discovery(
        seeds=tuple(ReplicaId(seed) for seed in settings.seeds),
        may_form=settings.first_start,
        voter_goal=settings.voters,
    )
