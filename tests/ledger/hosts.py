"""Control hosts with ledger groups, and a front that calls them over loopback links."""

import os
import shutil
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import anyio

from samphirespring.connection.link_pool import LinkPool
from samphirespring.connection.link_server import serve_link
from samphirespring.process.control_groups import ControlGroups
from samphirespring.process.ids import FailureDomainName, HostId, Incarnation, RegionName, ReplicaId
from samphirespring.process.ledger.action_ledger import LedgerOutage
from samphirespring.process.ledger.claims import AttemptAssignment, ClaimKey, StoredResponse
from samphirespring.process.ledger.client import LedgerClient
from samphirespring.process.ledger.commands import ClaimAction, ClaimDone, ClaimGranted, EndAttempt
from samphirespring.process.ledger.fencer import AttemptFencer
from samphirespring.process.ledger.service import LedgerService
from samphirespring.process.ledger.states import ClaimState
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.runtime import run_tasks
from samphirespring.process.settings import ControlSettings, LocalitySettings, ReplicaPeer
from samphirespring.process.states import MemberStanding
from samphirespring.process.timers import MonotonicTimerService
from samphirespring.version.document import LedgerLayout

BASE_PORT = 18520 + int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
WAIT_S = 60.0
RETENTION_MS = 86_400_000


class SilentFencer(AttemptFencer):
    """Agents that never reply, so that no claim is resolved during a test."""

    async def fence(self, assignment):
        return None


@dataclass(frozen=True, kw_only=True)
class HostConfig:
    """Name, address and location of one control host."""

    number: int
    region: str
    domain: str

    @property
    def name(self):
        return ReplicaId(f"host-{self.number}")

    @property
    def address(self):
        return f"127.0.0.1:{BASE_PORT + self.number}"

    def make_peer(self):
        return ReplicaPeer(
            replica=self.name,
            link_address=self.address,
            region=RegionName(self.region),
            failure_domain=FailureDomainName(self.domain),
        )


class LedgerHost:
    """One process of a control host."""

    def __init__(self, config, *, configs, folder, layout):
        self.config = config
        self.layout = layout
        timers = MonotonicTimerService()
        settings = ControlSettings(
            locality=LocalitySettings(
                region=RegionName(config.region),
                failure_domain=FailureDomainName(config.domain),
                host=HostId(config.name),
            ),
            replica=config.name,
            link_listen=config.address,
            operator_listen="127.0.0.1:1",
            peers=tuple(other.make_peer() for other in configs),
            data_folder=str(Path(folder) / config.name),
        )
        self.groups = ControlGroups(settings, timers=timers, metrics=NullMetrics())
        self.service = LedgerService(
            self.groups,
            own_replica=config.name,
            peers=settings.peers,
            read_layout=self.read_layout,
            fencer=SilentFencer(),
            timers=timers,
            metrics=NullMetrics(),
        )
        self._scope = anyio.CancelScope()
        self._stopped = anyio.Event()

    async def read_layout(self):
        return self.layout

    async def run(self, *, task_status):
        with self._scope:
            async with self._serve():
                task_status.started()
                await anyio.sleep_forever()
        self._stopped.set()

    async def stop(self):
        """Stop without a transfer of leadership, like a crash."""
        self._scope.cancel()
        await self._stopped.wait()

    @asynccontextmanager
    async def _serve(self):
        handlers = [*self.groups.make_handlers(), *self.service.make_handlers()]
        async with (
            serve_link(handlers, address=self.config.address),
            run_tasks((*self.groups.tasks, self.service)),
        ):
            yield


class LedgerFleet:
    """Control hosts, which can be stopped, restarted, moved and lose their disks, and one front."""

    def __init__(self, configs, *, folder, groups, tasks):
        self.configs = list(configs)
        self.layout = LedgerLayout(shards=64, groups=groups)
        self.hosts = {}
        self.ended_count = 0
        self.repaired_hosts = set()
        self._folder = folder
        self._tasks = tasks
        self._links = LinkPool(capacity=100)
        self._client = None

    async def start(self, *configs):
        """Start the given control hosts, or all of them if none are given."""
        for config in configs or self.configs:
            host = LedgerHost(config, configs=self.configs, folder=self._folder, layout=self.layout)
            await self._tasks.start(host.run)
            self.hosts[config.name] = host
        self._recreate_client()

    async def stop(self, *configs):
        for config in configs or [host.config for host in tuple(self.hosts.values())]:
            await self.hosts.pop(config.name).stop()
        self._recreate_client()

    def close(self):
        self._links.close()

    def _recreate_client(self):
        # Unlike a process that ends, a server that stops inside this process leaves its connections
        # open.
        self._links.close()
        self._links = LinkPool(capacity=100)
        self._client = LedgerClient(self._links, [config.address for config in self.configs])

    def erase_disk(self, config):
        shutil.rmtree(Path(self._folder) / config.name)

    async def claim_and_end_actions(self, count):
        """Claim and end `count` actions, each of its own workspace."""
        async with anyio.create_task_group() as tasks:
            for number in range(self.ended_count, self.ended_count + count):
                tasks.start_soon(self._claim_and_end_action, number)
        self.ended_count += count

    async def check_ended_actions(self):
        """Check that the groups' leaders have recorded all actions that ended so far."""
        for number in range(self.ended_count):
            result = await self._retry(
                lambda number=number: self._client.read(
                    make_key(number), wait_s=0.0, any_replica=False
                )
            )
            assert result == ClaimDone(answer=make_response(number)), (number, result)

    async def read_leader_status(self, group):
        """Return the status of the group's leader, once it has a lease."""
        with anyio.fail_after(WAIT_S):
            while True:
                for host in self.hosts.values():
                    replica = host.groups.groups.get(group)
                    status = None if replica is None else await replica.read_status()
                    if status is not None and status.has_lease:
                        return status
                await anyio.sleep(0.05)

    async def list_voters(self, group):
        status = await self.read_leader_status(group)
        return {
            member.replica: member.member
            for member in status.members
            if member.standing is MemberStanding.VOTER
        }

    async def wait_for_voters(self, group, *, replicas, gone=()):
        """Wait until a group has exactly these hosts as voters and no member that is in `gone`."""
        with anyio.fail_after(WAIT_S):
            while True:
                status = await self.read_leader_status(group)
                voters = await self.list_voters(group)
                if (
                    len(status.members) == len(voters)
                    and set(voters) == set(replicas)
                    and not set(gone) & set(voters.values())
                ):
                    return
                await anyio.sleep(0.05)

    async def wait_until_open(self):
        with anyio.fail_after(WAIT_S):
            while not all([(await host.service.dump()).layout for host in self.hosts.values()]):
                await anyio.sleep(0.05)

    async def _claim_and_end_action(self, number):
        granted = await self._retry(lambda: self._client.propose(make_claim(number)))
        assert granted == ClaimGranted(attempt=f"a{number}"), granted
        end = EndAttempt(
            key=make_key(number),
            attempt=f"a{number}",
            state=ClaimState.DONE,
            answer=make_response(number),
        )
        ended = await self._retry(lambda: self._client.propose(end))
        assert isinstance(ended, ClaimDone), ended

    async def _retry(self, call):
        with anyio.fail_after(WAIT_S):
            while isinstance(result := await call(), LedgerOutage):
                await anyio.sleep(0.05)
            return result


def make_key(number):
    return ClaimKey(workspace=f"workspace-{number}", service="orders", key=f"key-{number}")


def make_response(number):
    return StoredResponse(status=200, headers=(), body=f"answer {number}".encode())


def make_claim(number):
    assignment = AttemptAssignment(
        attempt=f"a{number}",
        target="t",
        link_address="127.0.0.1:1",
        incarnation=Incarnation(1),
        start_by_wall_ms=0,
    )
    return ClaimAction(
        key=make_key(number),
        digest=b"d",
        request=f"r{number}",
        place=assignment,
        run_limit_ms=1_000,
        retention_ms=RETENTION_MS,
    )
