"""Simulates a failure domain whose hosts report through a tree of relays, with a manual clock."""

from collections import Counter
from contextlib import contextmanager

import anyio

from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.process.agent.agent_messages import ReadHostRecord
from samphirespring.process.document.relay_tree import Peer
from samphirespring.process.document.sources import SourceChooser
from samphirespring.process.mailbox import Mailbox
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.registry.initial_table import InitialTableSearch
from samphirespring.process.registry.report_sender import TreeReportSender
from samphirespring.process.registry.state_machine import RegistryStateMachine
from samphirespring.process.registry_client import RegistryClient
from samphirespring.process.registry_service import RegistryService
from samphirespring.process.replication.state_machine import LocalProposer
from samphirespring.process.target_table_messages import ApplyDelta, ReadPeers
from samphirespring.process.targets import HostRecord, Locality
from samphirespring.process.timers import ManualTimerService

DOMAIN = "d"
STEP_S = 0.2
INTERVAL_S = 1.0


class DomainSimulation:
    """Hosts of one failure domain, a registry, and links; hosts can be made unreachable."""

    def __init__(self, count, *, lease_s, seeds=()):
        self.timers = ManualTimerService()
        self.state_machine = RegistryStateMachine()
        self.service = RegistryService(
            state_machine=self.state_machine,
            proposer=LocalProposer(self.state_machine),
            lease_s=lease_s,
            timers=self.timers,
            metrics=NullMetrics(),
        )
        self.leader_calls = 0
        self.control_tables = 0
        self.peer_tables = Counter()
        self.renewed_at_s = {}
        self.longest_gap_s = {}
        self.unreachable = set()
        self.hosts = [FakeHost(self, number, seeds) for number in range(count)]
        self.late_hosts = []

    async def run(self, scenario):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.service.run)
            self.tasks = tasks
            self.start(host for host in self.hosts if host not in self.late_hosts)
            await anyio.wait_all_tasks_blocked()
            await scenario(self)
            tasks.cancel_scope.cancel()

    def start(self, hosts):
        for host in hosts:
            for task in (host.run_agent, host.run_table, host.client.run):
                self.tasks.start_soon(task)

    async def advance(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            self.timers.advance(STEP_S)
            await anyio.wait_all_tasks_blocked()

    async def call(self, method, batch):
        """Handle a call to the control hosts."""
        self.leader_calls += 1
        now_s = self.timers.read_now_s()
        for report in batch.reports:
            last_renewal_s = self.renewed_at_s.get(report.host, now_s)
            gap_s = max(self.longest_gap_s.get(report.host, 0.0), now_s - last_renewal_s)
            self.longest_gap_s[report.host] = gap_s
            self.renewed_at_s[report.host] = now_s
        reply = await self.service.report(batch)
        self.control_tables += reply.delta.complete
        return reply

    async def call_leader(self, method, batch):
        """Handle a call to the leader, which this fake is."""
        return await self.call(method, batch)

    @contextmanager
    def use(self, address):
        """Provide a link to a host, as a link pool does."""
        yield FakeLink(self, address)


class FakeLink:
    def __init__(self, simulation, address):
        self.simulation = simulation
        self.address = address

    async def call(self, method, request, *, timeout_s):
        host = next(host for host in self.simulation.hosts if host.address == self.address)
        if host.name in self.simulation.unreachable:
            raise LinkUnavailableError("the host is down", sent=False)
        reply = await host.client.relay(request)
        self.simulation.peer_tables[host.name] += reply.delta.complete
        return reply


class FakeHost:
    """One host: its registry client, and fakes of its agent and its target table."""

    def __init__(self, simulation, number, seeds):
        self.name = f"h{number}"
        self.address = f"10.0.0.{number}:1"
        self.agent = Mailbox(name="agent", capacity=1_000)
        self.table = Mailbox(name="table", capacity=1_000)
        self.records = {}
        self.version = 0
        locality = Locality(region="r", failure_domain=DOMAIN, host=self.name)
        self.record = HostRecord(
            locality=locality, incarnation=1, link_address=self.address, sequence=1
        )
        self.client = RegistryClient(
            sender=TreeReportSender(
                domain=DOMAIN,
                own_host=self.name,
                search=InitialTableSearch(own_address=self.address, seeds=seeds),
                chooser=SourceChooser(
                    domain=DOMAIN, own_host=self.name, control=("c",), seeds=(), chained=True
                ),
                control=simulation,
                links=simulation,
                table=self.table,
                timers=simulation.timers,
            ),
            agent=self.agent,
            table=self.table,
            timers=simulation.timers,
            interval_s=INTERVAL_S,
        )

    async def run_agent(self):
        while True:
            message = await self.agent.receive()
            assert isinstance(message, ReadHostRecord)
            message.reply.send(self.record)

    async def run_table(self):
        while True:
            message = await self.table.receive()
            match message:
                case ApplyDelta():
                    self.apply(message.delta)
                case ReadPeers():
                    peers = [
                        Peer(host=host, link_address=record.link_address)
                        for host, record in self.records.items()
                    ]
                    message.reply.send(tuple(peers))

    def apply(self, delta):
        assert delta.complete or delta.version > self.version
        if delta.complete:
            self.records.clear()
        for record in delta.hosts:
            self.records[record.locality.host] = record
        for host in delta.gone:
            self.records.pop(host, None)
        self.version = delta.version
