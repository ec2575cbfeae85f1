"""Service that runs the ledger groups of one control host."""

from collections.abc import Awaitable, Callable, Mapping, Sequence

import anyio
import msgspec
from anyio.abc import TaskGroup

from samphirespring.connection.ledger_link import (
    PROPOSE_CLAIM,
    READ_CLAIM,
    LedgerRedirect,
    LedgerReply,
    ProposeClaim,
    ReadClaimState,
)
from samphirespring.connection.link_server import LinkHandler, UnaryHandler
from samphirespring.process.control_groups import ControlGroups
from samphirespring.process.errors import SamphireError
from samphirespring.process.ids import FailureDomainName, GroupId, RegionName, ReplicaId
from samphirespring.process.ledger.claim_state_machine import ClaimStateMachine
from samphirespring.process.ledger.fencer import AttemptFencer
from samphirespring.process.ledger.group_server import LedgerGroupServer, LedgerGroupServerDump
from samphirespring.process.ledger.placement import ControlHostLocation, place_groups
from samphirespring.process.ledger.shards import find_group_index
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.settings import ReplicaPeer
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.version.document import LedgerLayout
from samphirespring.version.ids import WorkspaceId

OPEN_RETRY_INTERVAL_S = 0.25
"""Interval between attempts to open the groups while the layout is unknown, in seconds."""

_log = EventLog()


class LedgerTopology(msgspec.Struct, frozen=True, kw_only=True):
    """The ledger groups of the fleet and the servers of those on this host; immutable.

    Attributes:
        layout: Distribution of the workspaces over the groups.
        placement: Control hosts on which each group is placed.
        servers: Servers of the groups on this host.
    """

    layout: LedgerLayout
    placement: Mapping[GroupId, tuple[ReplicaId, ...]]
    servers: Mapping[GroupId, LedgerGroupServer]


class LedgerServiceDump(StateDump, frozen=True, kw_only=True):
    """The ledger groups as this host places them; the layout is None until it has a document."""

    layout: LedgerLayout | None = None
    placed: dict[GroupId, tuple[ReplicaId, ...]]
    """Control hosts on which each group is placed."""

    keepers: dict[GroupId, LedgerGroupServerDump]
    """State of the groups on this host."""


class LedgerService(OwnerTask):
    """Runs the ledger groups of this host and routes each call to the group of its workspace.

    For a group on other hosts, the reply redirects the client to them.

    Args:
        groups: The host's replicated groups.
        own_replica: Id of this control host.
        peers: All control hosts.
        read_layout: Returns the ledger layout of the document in force on this host, or None.
        fencer: Queries agents for the fate of an attempt.
        timers: The timer service.
        metrics: The metrics to update.
    """

    def __init__(
        self,
        groups: ControlGroups,
        *,
        own_replica: ReplicaId,
        peers: Sequence[ReplicaPeer],
        read_layout: Callable[[], Awaitable[LedgerLayout | None]],
        fencer: AttemptFencer,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self._groups = groups
        self._own_replica = own_replica
        self._locations = tuple(_make_location(peer) for peer in peers)
        self._link_addresses = {peer.replica: peer.link_address for peer in peers}
        self._read_layout = read_layout
        self._fencer = fencer
        self._timers = timers
        self._metrics = metrics
        self._topology: LedgerTopology | None = None

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "ledger_desk"

    async def run(self) -> None:
        """Open the groups once a document defines their layout, and run them until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for _ in self._timers.subscribe(interval_s=OPEN_RETRY_INTERVAL_S):
                await self._try_open(tasks)
                if self._topology is not None:
                    break

    async def dump(self) -> LedgerServiceDump:
        """Return the state of the groups on this host."""
        topology = self._topology
        if topology is None:
            return LedgerServiceDump(placed={}, keepers={})
        return LedgerServiceDump(
            layout=topology.layout,
            placed=dict(topology.placement),
            keepers={group: await server.dump() for group, server in topology.servers.items()},
        )

    def make_handlers(self) -> list[LinkHandler]:
        """Return the handlers for the host's link server."""
        return [
            UnaryHandler(PROPOSE_CLAIM, self._propose),
            UnaryHandler(READ_CLAIM, self._read),
        ]

    async def _try_open(self, tasks: TaskGroup) -> None:
        try:
            layout = await self._read_layout()
            if layout is None:
                return
            groups = [GroupId(f"ledger-{number}") for number in range(layout.groups)]
            placement = place_groups(groups, self._locations)
            hosted = {
                g
                for g in groups
                if self._own_replica in placement[g] or await self._groups.has_files(g)
            }
        except SamphireError as error:
            _log.debug(LogEvent.LEDGER_NOT_OPENED, code=error.code.value)
            return
        for group in groups:
            if group not in hosted:
                responder = self._groups.make_non_member_responder(group, placed=placement[group])
                tasks.start_soon(responder.run, name=responder.name)
        servers = {
            group: self._start_server(group, placement[group], tasks) for group in sorted(hosted)
        }
        self._topology = LedgerTopology(layout=layout, placement=placement, servers=servers)
        _log.info(
            LogEvent.LEDGER_OPENED, groups=layout.groups, shards=layout.shards, here=sorted(hosted)
        )

    def _start_server(
        self, group: GroupId, replicas: tuple[ReplicaId, ...], tasks: TaskGroup
    ) -> LedgerGroupServer:
        state_machine = ClaimStateMachine()
        replica = self._groups.add(group, state_machine, placed=replicas)
        server = LedgerGroupServer(
            group=group,
            state_machine=state_machine,
            proposer=replica,
            link_addresses=self._link_addresses,
            fencer=self._fencer,
            timers=self._timers,
            metrics=self._metrics,
        )
        tasks.start_soon(replica.run, name=replica.name)
        tasks.start_soon(server.run, name=server.name)
        return server

    async def _propose(self, request: ProposeClaim) -> LedgerReply:
        return await self._route(
            request.command.key.workspace, lambda server: server.propose(request)
        )

    async def _read(self, request: ReadClaimState) -> LedgerReply:
        return await self._route(
            request.key.workspace,
            lambda server: server.read(request),
            requires_placement=request.any_replica,
        )

    async def _route(
        self,
        workspace: WorkspaceId,
        call_server: Callable[[LedgerGroupServer], Awaitable[LedgerReply]],
        *,
        requires_placement: bool = False,
    ) -> LedgerReply:
        topology = self._topology
        if topology is None:
            return LedgerRedirect(leader_address=None)
        group = GroupId(f"ledger-{find_group_index(workspace, topology.layout)}")
        replicas = topology.placement[group]
        server = topology.servers.get(group)
        reply: LedgerReply = LedgerRedirect(leader_address=None)
        # The replica of a host on which the group is no longer placed stays stale forever, so it
        # must not serve reads for which any replica is acceptable.
        if server is not None and (self._own_replica in replicas or not requires_placement):
            reply = await call_server(server)
        if not isinstance(reply, LedgerRedirect):
            return reply
        addresses = tuple(self._link_addresses[replica] for replica in replicas)
        return msgspec.structs.replace(reply, replica_addresses=addresses, layout=topology.layout)


def _make_location(peer: ReplicaPeer) -> ControlHostLocation:
    domain = FailureDomainName(peer.replica)
    return ControlHostLocation(
        replica=peer.replica,
        region=RegionName("") if peer.region is None else peer.region,
        failure_domain=domain if peer.failure_domain is None else peer.failure_domain,
    )
