"""The operator API of one control host, with fakes of replication and the registry's log."""

from contextlib import asynccontextmanager

from document.asgi import call_app
from document.samples import OPERATORS, make_state_machine, make_token
from samphirespring.connection.link_pool import LinkPool
from samphirespring.connection.operator_http import OperatorApp
from samphirespring.process.document.service import DocumentService
from samphirespring.process.document.store import DocumentStore
from samphirespring.process.ids import GroupId, ReplicaId
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.node_operations_client import NodeOperationsClient
from samphirespring.process.registry.state_machine import RegistryStateMachine
from samphirespring.process.registry_service import RegistryService
from samphirespring.process.replication.group_status import GroupOperations, GroupStatus
from samphirespring.process.replication.state_machine import LocalProposer, NotLeaderError
from samphirespring.process.runtime import run_tasks
from samphirespring.process.states import DiskHealth
from samphirespring.process.timers import ManualTimerService


class FollowerProposer(LocalProposer):
    """Proposer of a replica that isn't the leader."""

    async def propose(self, command):
        raise NotLeaderError("replica b leads", leader=ReplicaId("b"))

    async def confirm_leadership(self):
        raise NotLeaderError("replica b leads", leader=ReplicaId("b"))


class FixedStatusGroup(GroupOperations):
    """Replication group whose status is fixed."""

    async def read_status(self):
        return GroupStatus(
            group=GroupId("document"),
            replica=ReplicaId("a"),
            member=None,
            disk=DiskHealth.HEALTHY,
        )

    async def replace(self, lost, *, replacement):
        raise NotLeaderError("replica b leads", leader=ReplicaId("b"))


class OperatorApiFixture:
    def __init__(self, *, state_machine=None, proposer_type=LocalProposer):
        self.timers = ManualTimerService(start_wall_ns=1_800_000_000_000_000_000)
        self.store = DocumentStore(timers=self.timers)
        self.state_machine = make_state_machine() if state_machine is None else state_machine
        hosts = RegistryStateMachine()
        self.registry = RegistryService(
            state_machine=hosts,
            proposer=LocalProposer(hosts),
            lease_s=5.0,
            timers=self.timers,
            metrics=NullMetrics(),
        )
        self.tasks = (self.store, self.registry)
        service = DocumentService(
            state_machine=self.state_machine,
            proposer=proposer_type(self.state_machine),
            timers=self.timers,
        )
        self.app = OperatorApp(
            replica=ReplicaId("a"),
            documents=service,
            store=self.store,
            groups={GroupId("document"): FixedStatusGroup()},
            hosts=NodeOperationsClient(registry=self.registry, links=LinkPool(capacity=1)),
            tasks=self.tasks,
            operator_addresses={ReplicaId("b"): "127.0.0.2:99"},
        ).make_app()

    async def call(self, method, path, *, team=OPERATORS, token=None, **options):
        token = make_token(team) if token is None and team is not None else token
        return await call_app(self.app, method, path, token=token, **options)


@asynccontextmanager
async def run_operators(**options):
    fixture = OperatorApiFixture(**options)
    async with run_tasks(fixture.tasks):
        yield fixture
