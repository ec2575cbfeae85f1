import random
from contextlib import contextmanager

import anyio
import anyio.lowlevel
from behave import given, then, when

from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.connection.path_link import PingReply
from samphirespring.process.mailbox import ask
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.path_prober import PathProber
from samphirespring.process.runtime import run_tasks
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.target_table import TargetTable
from samphirespring.process.target_table_messages import (
    ApplyDelta,
    ReleaseTarget,
    SelectTarget,
    UpdateLoad,
)
from samphirespring.process.targets import (
    HostRecord,
    Locality,
    RegistryDelta,
    TargetLoad,
    TargetRecord,
)
from samphirespring.process.timers import ManualTimerService
from samphirespring.request.selection import NearestOfTwoSelector
from samphirespring.request.target_source import SelectionTerms

STEP_S = 0.25
SETTLE_CHECKPOINTS = 20


async def settle():
    """Let all tasks handle their messages."""
    for _ in range(SETTLE_CHECKPOINTS):
        await anyio.lowlevel.checkpoint()


class PartitionedLinks:
    """Links with one direction to a host cut; either direction ends in a timeout."""

    def __init__(self):
        self.cut_to = set()
        self.cut_from = set()
        self.delivered = []

    @contextmanager
    def use(self, address):
        yield PartitionedLink(self, address)


class PartitionedLink:
    def __init__(self, links, address):
        self._links = links
        self._address = address

    async def call(self, method, request, *, timeout_s):
        if self._address in self._links.cut_to:
            raise LinkUnavailableError("no reply in time", sent=True)
        self._links.delivered.append(self._address)
        if self._address in self._links.cut_from:
            raise LinkUnavailableError("no reply in time", sent=True)
        return PingReply()


def make_load(condition=TargetCondition.HEALTHY):
    severity = 1.0 if condition is TargetCondition.UNHEALTHY else 0.0
    return TargetLoad(
        phase=TargetPhase.SERVING, condition=condition, free_slots=5, slots=5, severity=severity
    )


def make_address(host):
    return f"127.0.0.1:{int(host[1:]) + 1}"


class SimulatedFront:
    def __init__(self, count):
        locality = Locality(region="r", failure_domain="d", host="front")
        self.timers = ManualTimerService()
        self.links = PartitionedLinks()
        self.table = TargetTable(
            NearestOfTwoSelector(random.Random(1)),
            locality=locality,
            timers=self.timers,
            generator=random.Random(2),
        )
        self.prober = PathProber(
            inbox=self.table.path_prober_inbox,
            table=self.table.inbox,
            links=self.links,
            timers=self.timers,
            metrics=NullMetrics(),
        )
        hosts = tuple(
            HostRecord(
                locality=Locality(region="r", failure_domain="d", host=f"h{number}"),
                incarnation=1,
                link_address=make_address(f"h{number}"),
                sequence=1,
                targets=(TargetRecord(target=f"t{number}", service="s", load=make_load()),),
            )
            for number in range(count)
        )
        delta = RegistryDelta(since=0, version=2, complete=True, hosts=hosts)
        self.table.inbox.post(ApplyDelta(delta=delta))

    async def advance(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            self.timers.advance(STEP_S)
            await settle()

    async def attempt(self, *, responding):
        candidate = await ask(
            self.table.inbox,
            lambda reply: SelectTarget(
                terms=SelectionTerms(service="s", idempotent=False), reply=reply
            ),
        )
        await self.end_attempt(candidate.target, responded=candidate.locality.host in responding)
        return candidate.locality.host

    async def end_attempt(self, target, *, responded):
        self.timers.advance(0.2)
        if responded:
            self.table.inbox.post(UpdateLoad(target=target, load=make_load()))
        self.table.inbox.post(ReleaseTarget(target=target))
        await settle()

    async def read_advice(self):
        return (await self.table.dump()).advice


@given("a front with {count:d} hosts and a path prober")
def step_make_front(context, count):
    context.count = count
    context.operations = []


def replay(context, *operations):
    """Replay all operations of the scenario from its start, with new ones appended."""
    context.operations.extend(operations)

    async def main():
        front = SimulatedFront(context.count)
        async with run_tasks((front.table, front.prober)):
            await settle()
            for operation in context.operations:
                await operation(front)

    anyio.run(main)


@when('the path "{direction}" host "{host}" is cut and an attempt on it ends without a response')
def step_cut(context, direction, host):
    context.direction = direction

    async def operation(front):
        cut = front.links.cut_to if direction == "to" else front.links.cut_from
        cut.add(make_address(host))
        await front.end_attempt(f"t{host[1:]}", responded=False)

    replay(context, operation)


@then('the front avoids "{host}" and no other host')
def step_check_avoided(context, host):
    async def check(front):
        assert (await front.read_advice()).avoided_hosts == (host,)
        delivered = make_address(host) in front.links.delivered
        assert delivered is (context.direction == "from")

    replay(context, check)


@then('no attempt goes to "{host}" while the path is cut, and no target is ejected')
def step_check_no_attempt(context, host):
    others = {f"h{number}" for number in range(context.count)} - {host}

    async def check(front):
        used = {await front.attempt(responding=others) for _ in range(40)}
        assert used == others, used
        await front.advance(20.0)
        advice = await front.read_advice()
        assert advice.avoided_hosts == (host,) and advice.services == ()

    replay(context, check)


@when("the path recovers")
def step_restore_path(context):
    async def operation(front):
        front.links.cut_to.clear()
        front.links.cut_from.clear()

    replay(context, operation)


@then('the front avoids no host within {duration:f} s and uses "{host}" again')
def step_check_recovered(context, duration, host):
    hosts = {f"h{number}" for number in range(context.count)}

    async def check(front):
        await front.advance(duration)
        assert (await front.read_advice()).avoided_hosts == ()
        used = {await front.attempt(responding=hosts) for _ in range(40)}
        assert host in used

    replay(context, check)


@when('host "{host}" reports its target as unhealthy')
def step_report_unhealthy(context, host):
    async def operation(front):
        load = make_load(TargetCondition.UNHEALTHY)
        front.table.inbox.post(UpdateLoad(target=f"t{host[1:]}", load=load))
        await front.attempt(responding={"h0", "h2", "h3"})

    replay(context, operation)


@then('the target of "{host}" is spared, because of the floor of 0.7')
def step_check_spared(context, host):
    async def check(front):
        (service,) = (await front.read_advice()).services
        assert service.ejected == () and service.spared == (f"t{host[1:]}",)

    replay(context, check)


@when('control fails, and "{first}" and "{second}" stop responding')
def step_fail_two(context, first, second):
    async def operation(front):
        for host in (first, second):
            front.links.cut_to.add(make_address(host))
            await front.end_attempt(f"t{host[1:]}", responded=False)

    replay(context, operation)


@then('{count:d} requests all go to "{first}" and "{second}"')
def step_check_others(context, count, first, second):
    async def check(front):
        used = {await front.attempt(responding={first, second}) for _ in range(count)}
        assert used == {first, second}

    replay(context, check)
