"""Control hosts with ledger groups, and a front's calls to them, over loopback links."""

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
from samphirespring.process.metrics import NullMetrics
from samphirespring.process.runtime import run_tasks
from samphirespring.process.settings import ControlSettings, LocalitySettings, ReplicaPeer
from samphirespring.process.states import MemberStanding
from samphirespring.process.timers import MonotonicTimerService
from samphirespring.version.document import LedgerLayout

BASE_PORT = 18520 + int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
WAIT_S = 60.0
RETENTION_MS = 86_400_000


class SilentFencer(AttemptFencer):
    """Agents that never answer: no claim is resolved in the time of a test."""

    async def fence(self, place):
        return None


@dataclass(frozen=True, kw_only=True)
class Place:
    """One control host and where it stands."""

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

    def __init__(self, place, *, places, folder, layout):
        self.place = place
        self.layout = layout
        timers = MonotonicTimerService()
        settings = ControlSettings(
            locality=LocalitySettings(
                region=RegionName(place.region),
                failure_domain=FailureDomainName(place.domain),
                host=HostId(place.name),
            ),
            replica=place.name,
            link_listen=place.address,
            operator_listen="127.0.0.1:1",
            peers=tuple(other.make_peer() for other in places),
            data_folder=str(Path(folder) / place.name),
        )
        self.groups = ControlGroups(settings, timers=timers, metrics=NullMetrics())
        self.desk = LedgerService(
            self.groups,
            own=place.name,
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
        """Stop without a transfer of leads, as a crash does."""
        self._scope.cancel()
        await self._stopped.wait()

    @asynccontextmanager
    async def _serve(self):
        handlers = [*self.groups.make_handlers(), *self.desk.make_handlers()]
        async with (
            serve_link(handlers, address=self.place.address),
            run_tasks((*self.groups.tasks, self.desk)),
        ):
            yield


class LedgerFleet:
    """Control hosts that can be stopped, restarted, emptied and placed anew, and one front."""

    def __init__(self, places, *, folder, groups, tasks):
        self.places = list(places)
        self.layout = LedgerLayout(shards=64, groups=groups)
        self.hosts = {}
        self.ended = 0
        self.repaired = set()
        self._folder = folder
        self._tasks = tasks
        self._links = LinkPool(capacity=100)
        self._client = None

    async def start(self, *places):
        """Start control hosts, all of them unless some are named."""
        for place in places or self.places:
            host = LedgerHost(place, places=self.places, folder=self._folder, layout=self.layout)
            await self._tasks.start(host.run)
            self.hosts[place.name] = host
        self._renew_front()

    async def stop(self, *places):
        for place in places or [host.place for host in tuple(self.hosts.values())]:
            await self.hosts.pop(place.name).stop()
        self._renew_front()

    def close(self):
        self._links.close()

    def _renew_front(self):
        # A server that stops inside this process leaves its connections open, unlike a process.
        self._links.close()
        self._links = LinkPool(capacity=100)
        self._client = LedgerClient(self._links, [place.address for place in self.places])

    def empty_disk(self, place):
        shutil.rmtree(Path(self._folder) / place.name)

    async def end_actions(self, count):
        """Claim and end actions of as many workspaces."""
        async with anyio.create_task_group() as tasks:
            for number in range(self.ended, self.ended + count):
                tasks.start_soon(self._end_action, number)
        self.ended += count

    async def check_ended(self):
        """Read all actions ended so far from the groups' leaders."""
        for number in range(self.ended):
            result = await self._repeat(
                lambda number=number: self._client.read(
                    make_key(number), wait_s=0.0, any_replica=False
                )
            )
            assert result == ClaimDone(answer=make_answer(number)), (number, result)

    async def read_leader_status(self, group):
        """Return what the group's leader tells, once one has a lease."""
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
        return {m.replica: m.member for m in status.members if m.standing is MemberStanding.VOTER}

    async def wait_for_voters(self, group, *, replicas, gone=()):
        """Wait until a group has exactly these hosts as members, and none of the old members."""
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
            while not all([(await host.desk.dump()).layout for host in self.hosts.values()]):
                await anyio.sleep(0.05)

    async def _end_action(self, number):
        granted = await self._repeat(lambda: self._client.propose(make_claim(number)))
        assert granted == ClaimGranted(attempt=f"a{number}"), granted
        end = EndAttempt(
            key=make_key(number),
            attempt=f"a{number}",
            state=ClaimState.DONE,
            answer=make_answer(number),
        )
        ended = await self._repeat(lambda: self._client.propose(end))
        assert isinstance(ended, ClaimDone), ended

    async def _repeat(self, call):
        with anyio.fail_after(WAIT_S):
            while isinstance(result := await call(), LedgerOutage):
                await anyio.sleep(0.05)
            return result


def make_key(number):
    return ClaimKey(workspace=f"workspace-{number}", service="orders", key=f"key-{number}")


def make_answer(number):
    return StoredResponse(status=200, headers=(), body=f"answer {number}".encode())


def make_claim(number):
    place = AttemptAssignment(
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
        place=place,
        run_limit_ms=1_000,
        retention_ms=RETENTION_MS,
    )
