import random
from contextlib import contextmanager

import anyio
import anyio.lowlevel
from behave import given, then, when
from hypothesis import given as given_random
from hypothesis import settings
from hypothesis import strategies as st

from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.connection.registry_link import BatchReply, HostReport, ReportBatch
from samphirespring.process.agent import Agent
from samphirespring.process.agent_messages import Announcement, AnnounceTarget
from samphirespring.process.control_client import ControlClient
from samphirespring.process.document.sources import SourceChooser
from samphirespring.process.mailbox import ask
from samphirespring.process.metrics import NullMetrics
from samphirespring.process.registry.commands import ChangeHosts, HostRemoval
from samphirespring.process.registry.initial_table import InitialTableSearch
from samphirespring.process.registry.report_sender import ReportSender, TreeReportSender
from samphirespring.process.registry.state_machine import RegistryStateMachine
from samphirespring.process.registry_client import RegistryClient
from samphirespring.process.registry_service import RegistryService
from samphirespring.process.replication.errors import BusyError
from samphirespring.process.replication.state_machine import LocalProposer, NotLeaderError
from samphirespring.process.runtime import run_tasks
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.target_table import TargetTable
from samphirespring.process.targets import (
    NO_DELTA,
    HostRecord,
    Locality,
    TargetLoad,
    TargetRecord,
)
from samphirespring.process.timers import ManualTimerService
from samphirespring.request.selection import NearestOfTwoSelector

LEASE_S = 5.0
STEP_S = 0.5
SETTLE_TURNS = 40
ANNOUNCE = "announce"


def make_record(number, *, incarnation=1, sequence=1):
    locality = Locality(region="r", failure_domain="d", host=f"h{number}")
    return HostRecord(
        locality=locality,
        incarnation=incarnation,
        link_address=f"127.0.0.1:{number + 1}",
        sequence=sequence,
    )


def make_removal(number, *, incarnation=1, sequence=1):
    return HostRemoval(host=f"h{number}", incarnation=incarnation, sequence=sequence)


def follow(known, delta):
    if delta.complete:
        known.clear()
    known.update({record.locality.host: record for record in delta.hosts})
    for host in delta.gone:
        known.pop(host, None)


def read_hosts(machine):
    return {record.locality.host: record for record in machine.read_table().hosts}


async def settle():
    """Let all tasks handle their messages."""
    for _ in range(SETTLE_TURNS):
        await anyio.lowlevel.checkpoint()


changes = st.tuples(
    st.integers(0, 9), st.integers(1, 3), st.integers(1, 4), st.booleans(), st.integers(0, 3)
)


def apply_change(machine, index, change):
    number, incarnation, sequence, removes, _ = change
    if removes:
        removal = make_removal(number, incarnation=incarnation, sequence=sequence)
        command = ChangeHosts(removals=(removal,))
    else:
        record = make_record(number, incarnation=incarnation, sequence=sequence)
        command = ChangeHosts(records=(record,))
    machine.apply(index=index, command=command)


@when("{count:d} random histories of hosts are applied and followed by deltas from random versions")
def step_follow(context, count):
    context.mismatches = []
    context.small_deltas = 0

    @settings(max_examples=count)
    @given_random(history=st.lists(changes, max_size=60))
    def run_history(history):
        machine = RegistryStateMachine(removal_capacity=3)
        followers = [({}, 0) for _ in range(4)]
        for index, change in enumerate(history, start=1):
            apply_change(machine, index, change)
            known, version = followers[change[4]]
            delta = machine.read_delta(version)
            follow(known, delta)
            followers[change[4]] = (known, delta.version)
            if known != read_hosts(machine):
                context.mismatches.append(history)
            if version == machine.version - 1 and not delta.complete:
                context.small_deltas += len(delta.hosts) + len(delta.gone) == 1

    run_history()


@then("each follower's table equals the leader's, and small changes come as small deltas")
def step_check_follow(context):
    assert context.mismatches == [], context.mismatches[0]
    assert context.small_deltas > 20, context.small_deltas


@when("{count:d} random histories are snapshotted and restored")
def step_snapshot(context, count):
    context.pairs = []

    @settings(max_examples=count)
    @given_random(history=st.lists(changes, max_size=60))
    def run_history(history):
        machine = RegistryStateMachine(removal_capacity=3)
        for index, change in enumerate(history, start=1):
            apply_change(machine, index, change)
        restored = RegistryStateMachine(removal_capacity=3)
        restored.restore_snapshot(machine.capture_snapshot())
        context.pairs.append((machine, restored))

    run_history()


@then("the restored registry gives the same table and the same deltas")
def step_check_snapshot(context):
    for machine, restored in context.pairs:
        assert machine.read_table() == restored.read_table()
        for version in range(machine.version + 1):
            assert machine.read_delta(version) == restored.read_delta(version)


@given("a registry that knows a host with incarnation {incarnation:d} and number {number:d}")
def step_known_host(context, incarnation, number):
    context.machine = RegistryStateMachine()
    context.record = make_record(0, incarnation=incarnation, sequence=number)
    context.machine.apply(index=1, command=ChangeHosts(records=(context.record,)))


@then("a record with incarnation {incarnation:d} and number {number:d} changes nothing")
def step_old_record(context, incarnation, number):
    before = context.machine.read_table()
    record = make_record(0, incarnation=incarnation, sequence=number)
    result = context.machine.apply(index=2, command=ChangeHosts(records=(record,)))
    assert result.changed == () and context.machine.read_table() == before


@then("a removal after number {number:d} changes nothing")
def step_old_removal(context, number):
    removal = make_removal(0, incarnation=5, sequence=number)
    result = context.machine.apply(index=3, command=ChangeHosts(removals=(removal,)))
    assert result.changed == () and len(context.machine.read_table().hosts) == 1


@then("a removal after number {number:d} removes it, and the same record brings it back")
def step_removal(context, number):
    removal = make_removal(0, incarnation=5, sequence=number)
    context.machine.apply(index=4, command=ChangeHosts(removals=(removal,)))
    assert context.machine.read_table().hosts == ()
    context.machine.apply(index=5, command=ChangeHosts(records=(context.record,)))
    assert context.machine.read_table().hosts == (context.record,)


class CountingProposer(LocalProposer):
    """Counts commands, and can lose the lead."""

    def __init__(self, machine):
        super().__init__(machine)
        self.command_count = 0
        self.leads = True
        self.leader = None
        self.is_busy = False

    async def propose(self, command):
        await self.confirm_lead()
        self.command_count += 1
        return await super().propose(command)

    async def confirm_lead(self):
        if self.is_busy:
            raise BusyError("too many questions")
        if not self.leads:
            raise NotLeaderError("another replica leads", leader=self.leader)


class KeeperWorld:
    """A registry keeper, and the reports of many hosts."""

    def __init__(self):
        self.timers = ManualTimerService()
        self.machine = RegistryStateMachine()
        self.proposer = CountingProposer(self.machine)
        self.keeper = RegistryService(
            machine=self.machine,
            proposer=self.proposer,
            lease_s=LEASE_S,
            timers=self.timers,
            metrics=NullMetrics(),
            find_link=self.find_link,
        )

    async def find_link(self, replica):
        return f"link-of-{replica}"

    async def report(self, number, *, incarnation=1, full=True):
        record = make_record(number, incarnation=incarnation) if full else None
        report = HostReport(host=f"h{number}", incarnation=incarnation, sequence=1, record=record)
        reply = await self.keeper.report(
            ReportBatch(known_version=self.machine.version, reports=(report,))
        )
        if reply.unknown:
            await self.report(number, incarnation=incarnation)

    async def advance(self, span_s, reporting=()):
        for _ in range(round(span_s / STEP_S)):
            for number in reporting:
                await self.report(number, full=False)
            self.timers.advance(STEP_S)
            await settle()

    async def read(self):
        await settle()
        return await self.keeper.dump()


def run_keeper(context, play):
    async def main():
        context.world = world = KeeperWorld()
        async with anyio.create_task_group() as group:
            group.start_soon(world.keeper.run)
            await settle()
            await play(world)
            group.cancel_scope.cancel()

    anyio.run(main)


@given("a registry keeper over a log that counts its commands")
def step_keeper(context):
    context.checks = []
    context.moves = []


def play_moves(context, *moves):
    """Run all moves of the scenario so far from the start, and keep the last state."""
    context.moves.extend(moves)

    async def play(world):
        for move in context.moves:
            await move(world)
        context.state = await world.read()

    run_keeper(context, play)


@when("{count:d} hosts report once in full and then {times:d} times by renewal")
def step_renew(context, count, times):
    async def move(world):
        for number in range(count):
            await world.report(number)
        await world.advance(times * STEP_S, reporting=range(count))

    play_moves(context, move)


@then("the log holds at most {commands:d} commands and all {count:d} hosts are present")
def step_check_commands(context, commands, count):
    assert 0 < context.world.proposer.command_count <= commands
    assert len(context.state.hosts) == count


@when("{count:d} hosts report, and {silent:d} of them stop for {span:d} s")
def step_some_stop(context, count, silent, span):
    context.count = count
    context.silent = silent

    async def move(world):
        for number in range(count):
            await world.report(number)
        await world.advance(span, reporting=range(silent, count))

    play_moves(context, move)


@when("{more:d} more stop for {span:d} s")
def step_more_stop(context, more, span):
    reporting = range(context.silent + more, context.count)

    async def move(world):
        await world.advance(span, reporting=reporting)

    play_moves(context, move)


@when("all hosts report again")
def step_all_report(context):
    async def move(world):
        await world.advance(2.0, reporting=range(context.count))

    play_moves(context, move)


@then("{count:d} hosts are present and none is held")
def step_check_present(context, count):
    assert (len(context.state.hosts), context.state.held) == (count, ()), context.state


@then("{count:d} hosts are present and {held:d} are held")
def step_check_held(context, count, held):
    assert (len(context.state.hosts), len(context.state.held)) == (count, held), context.state


@when("{count:d} hosts report, and the lead is lost for {span:d} s and regained")
def step_lose_lead(context, count, span):
    context.count = count

    async def move(world):
        for number in range(count):
            await world.report(number)
        await settle()
        world.proposer.leads = False
        await world.advance(span)
        world.proposer.leads = True
        await world.advance(1.0, reporting=range(1, count))

    play_moves(context, move)


@when("{count:d} hosts report, one stops, and the log is busy for {span:d} s")
def step_busy_log(context, count, span):
    async def move(world):
        for number in range(count):
            await world.report(number)
        await world.advance(3.0, reporting=range(1, count))
        world.proposer.is_busy = True
        await world.advance(span)
        world.proposer.is_busy = False
        await world.advance(1.0, reporting=range(1, count))

    play_moves(context, move)


@then("no host expires within {grace:d} s, and a silent one has expired after {span:d} s")
def step_check_grace(context, grace, span):
    async def wait(world):
        await world.advance(grace - 1, reporting=range(1, context.count))

    async def wait_longer(world):
        await world.advance(span - grace, reporting=range(1, context.count))

    play_moves(context, wait)
    assert len(context.state.hosts) == context.count
    play_moves(context, wait_longer)
    assert len(context.state.hosts) == context.count - 1


@when("{count:d} hosts restart {times:d} times each, with old reports arriving late")
def step_storm(context, count, times):
    async def move(world):
        for incarnation in range(1, times + 1):
            for number in range(count):
                await world.report(number, incarnation=incarnation)
                if incarnation > 2:
                    await world.report(number, incarnation=incarnation - 2)
            await world.advance(STEP_S)

    play_moves(context, move)


@then("{count:d} hosts are present with their {incarnation:d}th incarnation")
def step_check_storm(context, count, incarnation):
    hosts = context.world.machine.read_table().hosts
    assert len(hosts) == count
    assert {record.incarnation for record in hosts} == {incarnation}


class FakeUplink(ReportSender):
    """A way to the registry that can be cut off."""

    def __init__(self, machine):
        self.machine = machine
        self.reachable = True

    async def send(self, batch):
        if not self.reachable:
            raise LinkUnavailableError("no control host answers", sent=True)
        return BatchReply(delta=self.machine.read_delta(batch.known_version))


@given("a front that follows a registry of {count:d} hosts")
def step_front(context, count):
    context.machine = RegistryStateMachine()
    records = tuple(make_record(number) for number in range(count))
    context.machine.apply(index=1, command=ChangeHosts(records=records))
    context.control = FakeUplink(context.machine)
    context.moves = []


def make_agent(here, timers):
    return Agent(
        locality=here,
        link_address="127.0.0.1:1",
        lease_s=LEASE_S,
        timers=timers,
        metrics=NullMetrics(),
    )


def make_table(here, timers):
    return TargetTable(NearestOfTwoSelector(random.Random(1)), here=here, timers=timers)


def play_front(context, *moves):
    context.moves.extend(moves)
    context.control = FakeUplink(context.machine)

    async def main():
        timers = ManualTimerService()
        here = Locality(region="r", failure_domain="d", host="h0")
        agent = make_agent(here, timers)
        table = make_table(here, timers)
        client = RegistryClient(
            sender=context.control,
            agent=agent.inbox,
            table=table.inbox,
            timers=timers,
            interval_s=1.0,
        )
        async with run_tasks((agent, table, client)):
            await settle()
            for move in context.moves:
                move()
                for _ in range(4):
                    timers.advance(3600.0)
                    await settle()
            context.known = await table.dump()
            context.client = await client.dump()

    anyio.run(main)


@when("the registry is unreachable for {hours:d} hours")
def step_unreachable(context, hours):
    def move():
        context.control.reachable = False

    play_front(context, move)


@then("the front still knows {count:d} hosts and its lease is not acknowledged")
def step_check_frozen(context, count):
    assert len(context.known.hosts) == count
    assert not context.client.reachable


@when("the registry comes back with {gone:d} hosts gone and {new:d} new ones")
def step_back(context, gone, new):
    def move():
        context.control.reachable = True
        removals = tuple(make_removal(number) for number in range(gone))
        records = tuple(make_record(100 + number) for number in range(new))
        context.machine.apply(index=2, command=ChangeHosts(records=records, removals=removals))

    play_front(context, move)


@then("the front knows {count:d} hosts")
def step_check_back(context, count):
    assert len(context.known.hosts) == count


@when('a host reports to it while "{leader}" leads')
def step_report_elsewhere(context, leader):
    async def play(world):
        world.proposer.leads = False
        world.proposer.leader = leader
        report = HostReport(host="h1", incarnation=1, sequence=1, record=make_record(1))
        batch = ReportBatch(known_version=0, reports=(report,))
        context.reply = await world.keeper.report(batch)
        context.hosts = (await world.read()).hosts

    run_keeper(context, play)


@then("it is told the leader's link address, and nothing is renewed")
def step_check_leader_link(context):
    assert context.reply.leader_link == "link-of-b"
    assert context.hosts == ()


class NamingPool:
    """Links to control hosts of which only one leads."""

    def __init__(self, leader):
        self.leader = leader
        self.calls = []

    @contextmanager
    def use(self, address):
        yield NamingLink(self, address)


class NamingLink:
    def __init__(self, pool, address):
        self.pool = pool
        self.address = address

    async def call(self, method, request, *, timeout_s):
        self.pool.calls.append(self.address)
        if self.address == self.pool.leader:
            return BatchReply(delta=NO_DELTA)
        return BatchReply(delta=NO_DELTA, leader_link=self.pool.leader)


@when('a node reports that knows control host "a" alone, and "a" names "b", which leads')
def step_report_to_follower(context):
    context.pool = NamingPool("b")
    sender = TreeReportSender(
        domain="d",
        own="h1",
        search=InitialTableSearch(own_address="x", seeds=()),
        chooser=SourceChooser(domain="d", own="h1", control=(), seeds=()),
        control=ControlClient(context.pool, ("a",)),
        links=context.pool,
        table=None,
        timers=ManualTimerService(),
    )
    batch = ReportBatch(known_version=0, reports=())
    for _ in range(2):
        anyio.run(sender.send, batch)


@then('"b" has the report, and the next one goes to "b" at once')
def step_check_calls(context):
    assert context.pool.calls == ["a", "b", "b"], context.pool.calls


def make_host_record(host, link_address, incarnation):
    return HostRecord(
        locality=Locality(region="r", failure_domain="d", host=host),
        incarnation=incarnation,
        link_address=link_address,
        sequence=1,
    )


def report_host(context, host, link_address, incarnation):
    context.known_version = context.machine.version
    context.index = getattr(context, "index", 0) + 1
    record = make_host_record(host, link_address, incarnation)
    context.machine.apply(index=context.index, command=ChangeHosts(records=(record,)))


@given(
    'a registry that knows host "{first}" at "{first_address}"'
    ' and host "{second}" at "{address}"'
)
def step_two_hosts(context, first, first_address, second, address):
    context.machine = RegistryStateMachine()
    report_host(context, first, first_address, 50)
    report_host(context, second, address, 50)


@when('host "{host}" reports from "{address}" with an earlier clock')
def step_take_over(context, host, address):
    report_host(context, host, address, 40)


@when('the registry is restored from a snapshot and host "{host}" reports from "{address}"')
def step_restore_and_take_over(context, host, address):
    snapshot = context.machine.capture_snapshot()
    context.machine = RegistryStateMachine()
    context.machine.restore_snapshot(snapshot)
    report_host(context, host, address, 60)


@then('hosts "{present}" are present, and a reader\'s delta tells that "{gone}" is gone')
def step_check_holders(context, present, gone):
    hosts = {entry.host for entry in context.machine.list_present()}
    assert hosts == set(present.split(", ")), hosts
    assert context.machine.read_delta(context.known_version).gone == (gone,)


class RestartedHost:
    """An agent and a registry client after a restart, with a registry of its own."""

    def __init__(self):
        self.timers = ManualTimerService()
        here = Locality(region="r", failure_domain="d", host="h0")
        self.agent = make_agent(here, self.timers)
        self.machine = RegistryStateMachine()
        load = TargetLoad(
            phase=TargetPhase.SERVING, condition=TargetCondition.HEALTHY, free_slots=1, slots=1
        )
        before = HostRecord(
            locality=here,
            incarnation=self.agent.incarnation - 1,
            link_address="127.0.0.1:1",
            sequence=9,
            targets=(TargetRecord(target="t", service="s", load=load),),
        )
        self.machine.apply(index=1, command=ChangeHosts(records=(before,)))
        self.client = RegistryClient(
            sender=ApplyingUplink(self.machine),
            agent=self.agent.inbox,
            table=make_table(here, self.timers).inbox,
            timers=self.timers,
            interval_s=1.0,
        )

    async def play(self, moves):
        async with run_tasks((self.agent, self.client)):
            await settle()
            for move in moves:
                if move == ANNOUNCE:
                    await ask(self.agent.inbox, make_announcement)
                else:
                    await self.pass_time(move)

    async def pass_time(self, span_s):
        for _ in range(round(span_s / 0.1)):
            self.timers.advance(0.1)
            await settle()


class ApplyingUplink(ReportSender):
    """A registry that takes each record of a batch at once."""

    def __init__(self, machine):
        self.machine = machine
        self.index = 1

    async def send(self, batch):
        records = tuple(report.record for report in batch.reports if report.record is not None)
        self.index += 1
        self.machine.apply(index=self.index, command=ChangeHosts(records=records))
        return BatchReply(delta=self.machine.read_delta(batch.known_version))


def make_announcement(reply):
    return AnnounceTarget(
        target="t",
        announcement=Announcement(
            service="s", address="127.0.0.1:2", slots=1, phase=TargetPhase.SERVING
        ),
        reply=reply,
    )


@given("an agent that has just started and a registry that knows its target of before")
def step_restarted(context):
    context.moves = []


def play_restarted(context):
    context.restarted = RestartedHost()
    anyio.run(context.restarted.play, context.moves)
    entry = context.restarted.machine.read_entry("h0")
    return entry.record


@when("{span:f} s pass without an announcement")
def step_pass_unannounced(context, span):
    context.moves.append(span)


@when("the target announces itself and {span:f} s pass")
def step_announce_and_pass(context, span):
    context.moves += [ANNOUNCE, span]


@then("the registry still has the target")
def step_check_old_target(context):
    record = play_restarted(context)
    assert record.sequence == 9 and len(record.targets) == 1, record


@then("the registry has the target with the new incarnation")
def step_check_new_target(context):
    record = play_restarted(context)
    assert record.incarnation == context.restarted.agent.incarnation
    assert [target.target for target in record.targets] == ["t"]


@then("the registry has the host without targets")
def step_check_no_target(context):
    record = play_restarted(context)
    assert record.incarnation == context.restarted.agent.incarnation
    assert record.targets == ()
