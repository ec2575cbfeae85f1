"""A front's target table and a pool of agents whose targets can stall, in virtual time."""

import random
from contextlib import asynccontextmanager

import anyio

from front.fakes import CountingMetrics
from front.virtual_time import VirtualLoop, VirtualTimerService
from samphirespring.connection.upstream import UpstreamClient
from samphirespring.connection.upstream_pool import UpstreamPool
from samphirespring.process.action_guard import ActionGuard
from samphirespring.process.agent.agent import Agent
from samphirespring.process.agent.agent_messages import Announcement, AnnounceTarget, ReadHostRecord
from samphirespring.process.attempt_runner import AttemptRunner
from samphirespring.process.mailbox import ask
from samphirespring.process.runtime import run_tasks
from samphirespring.process.target_table import TargetTable
from samphirespring.process.target_table_messages import (
    ApplyDelta,
    ReleaseTarget,
    SelectTarget,
    UpdateLoad,
    UseServicePolicies,
)
from samphirespring.process.targets import Locality, RegistryDelta
from samphirespring.process.timers import MonotonicTimerService
from samphirespring.request.messages import AttemptRequest, ResponseChunk, ResponseHead
from samphirespring.request.selection import NearestOfTwoSelector
from samphirespring.request.target_source import SelectionTerms
from samphirespring.version.document import DetectionPolicy, ResponseCheck, ServicePolicy
from samphirespring.version.states import PriorityClass

SERVICE = "s"
MEDIAN_S = 0.04
SIGMA = 0.6
FLOOR = 0.7
SLOTS = 5
SLOW_START_S = 1.0
REPORT_INTERVAL_S = 1.0


class StallingUpstream(UpstreamClient):
    """Responds after a random latency; during a stall it accepts requests without responding."""

    def __init__(self, draw_latency_s):
        super().__init__(UpstreamPool(MonotonicTimerService()))
        self._draw_latency_s = draw_latency_s
        self._resumed = anyio.Event()
        self._resumed.set()
        self.started = 0

    def stall(self):
        """Stop responding."""
        self._resumed = anyio.Event()

    def resume(self):
        """Respond again, also to the requests that wait."""
        self._resumed.set()

    @asynccontextmanager
    async def exchange(self, request, body, *, address, refusal_reader):
        self.started += 1
        yield self._respond(request)

    async def _respond(self, request):
        await anyio.sleep(self._draw_latency_s())
        await self._resumed.wait()
        yield ResponseHead(attempt=request.attempt, status=200, headers=(), body_length=2)
        yield ResponseChunk(data=b"ok")


class PooledHost:
    """One host with one target."""

    def __init__(self, number, draw_latency_s, metrics):
        self.target = f"t{number}"
        self.locality = Locality(region="r", failure_domain="d", host=f"h{number}")
        self.link_address = f"127.0.0.1:{number + 1}"
        self.upstream = StallingUpstream(draw_latency_s)
        timers = VirtualTimerService()
        self.agent = Agent(
            locality=self.locality,
            link_address=self.link_address,
            lease_s=1e6,
            timers=timers,
            metrics=metrics,
        )
        guard = ActionGuard(incarnation=self.agent.incarnation, timers=timers)
        self.runner = AttemptRunner(
            agent=self.agent.inbox, guard=guard.inbox, timers=timers, upstream=self.upstream
        )
        self.tasks = (self.agent, guard, self.runner)

    async def announce(self):
        """Announce the target."""
        announcement = Announcement(service=SERVICE, address="127.0.0.1:1", slots=SLOTS)
        await ask(
            self.agent.inbox,
            lambda reply: AnnounceTarget(
                target=self.target, announcement=announcement, reply=reply
            ),
        )


class StallingPool:
    """Sends reads to the pool as a front does, and records the targets that the front ejects."""

    def __init__(
        self, *, mode, seed, count=12, rate_per_s=120.0, deadline_s=60.0, draw_latency_s=None
    ):
        self.mode = mode
        self.count = count
        self.rate_per_s = rate_per_s
        self.deadline_s = deadline_s
        self.metrics = CountingMetrics()
        self.generator = random.Random(seed)
        self.draw_latency_s = draw_latency_s or (lambda g: MEDIAN_S * g.lognormvariate(0.0, SIGMA))
        self.first_ejected_at_s = {}
        """Time at which the front first ejected each target, in seconds."""

        self.fewest_available = count

    def run(self, main):
        """Run a coroutine function beside the pool and its load."""
        anyio.run(self._run, main, backend_options={"loop_factory": VirtualLoop})

    async def _run(self, main):
        self.timers = VirtualTimerService()
        draw_latency_s = self.draw_latency_s
        self.hosts = [
            PooledHost(number, lambda: draw_latency_s(self.generator), self.metrics)
            for number in range(self.count)
        ]
        self.table = TargetTable(
            NearestOfTwoSelector(self.generator),
            locality=Locality(region="r", failure_domain="d", host="front"),
            timers=self.timers,
            generator=self.generator,
        )
        tasks = [task for host in self.hosts for task in host.tasks]
        async with run_tasks((self.table, *tasks)) as group:
            policy = ServicePolicy(
                floor=FLOOR,
                slow_start_s=SLOW_START_S,
                detection=DetectionPolicy(mode=self.mode),
            )
            self.table.inbox.post(UseServicePolicies(policies={SERVICE: policy}))
            for host in self.hosts:
                await host.announce()
            for host in self.hosts:
                group.start_soon(self._report, host)
            group.start_soon(self._send_steadily)
            await main()
            group.cancel_scope.cancel()

    async def _report(self, host):
        previous = None
        while True:
            record = await ask(host.agent.inbox, lambda reply: ReadHostRecord(reply=reply))
            if record != previous:
                previous = record
                delta = RegistryDelta(since=0, version=1, complete=False, hosts=(record,))
                self.table.inbox.post(ApplyDelta(delta=delta))
            await anyio.sleep(REPORT_INTERVAL_S * self.generator.uniform(0.9, 1.1))

    async def _send_steadily(self):
        async with anyio.create_task_group() as group:
            number = 0
            while True:
                number += 1
                group.start_soon(self._send, f"a{number}")
                await anyio.sleep(self.generator.expovariate(self.rate_per_s))

    async def _send(self, attempt):
        candidate = await ask(
            self.table.inbox,
            lambda reply: SelectTarget(terms=SelectionTerms(service=SERVICE), reply=reply),
        )
        if candidate is None:
            return
        host = self.hosts[int(candidate.target[1:])]
        frame = None
        async for batch in host.runner.handle_attempt(self._make_request(attempt, candidate)):
            frame = batch.frames[-1]
        if frame.load is not None:
            self.table.inbox.post(UpdateLoad(target=candidate.target, load=frame.load))
        self.table.inbox.post(ReleaseTarget(target=candidate.target))
        await self._record_ejections()

    async def _record_ejections(self):
        advice = (await self.table.dump()).advice
        for service in advice.services:
            self.fewest_available = min(self.fewest_available, self.count - len(service.ejected))
            for target in service.ejected:
                self.first_ejected_at_s.setdefault(target, self.timers.read_now_s())

    def _make_request(self, attempt, candidate):
        return AttemptRequest(
            request=attempt,
            attempt=attempt,
            target=candidate.target,
            service=SERVICE,
            document_version=1,
            method=b"GET",
            path=b"/",
            headers=(),
            body=b"",
            remaining_ms=round(self.deadline_s * 1_000),
            priority=PriorityClass.INTERACTIVE,
            idempotent=True,
            answer=ResponseCheck(),
            terms=candidate.terms,
        )
