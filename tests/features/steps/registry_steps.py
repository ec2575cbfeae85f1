import random
from contextlib import contextmanager

import anyio
import anyio.lowlevel
import msgspec
from behave import given, then, when
from hypothesis import given as given_random
from hypothesis import settings
from hypothesis import strategies as st

from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.connection.registry_link import (
    BatchReply,
    DeparturesReply,
    HostReport,
    ReadDepartures,
    RecordDeparture,
    ReportBatch,
)
from samphirespring.process.agent.agent import Agent
from samphirespring.process.agent.agent_messages import Announcement, AnnounceTarget
from samphirespring.process.control_client import ControlClient
from samphirespring.process.document.sources import SourceChooser
from samphirespring.process.errors import SamphireError
from samphirespring.process.mailbox import ask
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.registry.commands import (
    ChangeHosts,
    HostDeparture,
    HostDrain,
    HostRemoval,
    RegistrySnapshot,
)
from samphirespring.process.registry.departure_table import DepartureTable
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
    TargetDeparture,
    TargetLoad,
    TargetRecord,
)
from samphirespring.process.timers import ManualTimerService
from samphirespring.request.selection import NearestOfTwoSelector

LEASE_S = 5.0
STEP_S = 0.5
SETTLE_CHECKPOINTS = 40
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


def apply_delta(records, delta):
    if delta.complete:
        records.clear()
    records.update({record.locality.host: record for record in delta.hosts})
    for host in delta.gone:
        records.pop(host, None)


def read_hosts(state_machine):
    return {record.locality.host: record for record in state_machine.read_table().hosts}


async def settle():
    """Wait until all tasks have handled their messages."""
    for _ in range(SETTLE_CHECKPOINTS):
        await anyio.lowlevel.checkpoint()


changes = st.tuples(
    st.integers(0, 9), st.integers(1, 3), st.integers(1, 4), st.booleans(), st.integers(0, 3)
)


def apply_change(state_machine, index, change):
    number, incarnation, sequence, removes, _ = change
    if removes:
        removal = make_removal(number, incarnation=incarnation, sequence=sequence)
        command = ChangeHosts(removals=(removal,))
    else:
        record = make_record(number, incarnation=incarnation, sequence=sequence)
        command = ChangeHosts(records=(record,))
    state_machine.apply(index=index, command=command)


@when("{count:d} random sequences of changes are applied and read by deltas from random versions")
def step_follow(context, count):
    context.mismatches = []
    context.small_deltas = 0

    @settings(max_examples=count)
    @given_random(drawn_changes=st.lists(changes, max_size=60))
    def run_changes(drawn_changes):
        state_machine = RegistryStateMachine(removal_capacity=3)
        readers = [({}, 0) for _ in range(4)]
        for index, change in enumerate(drawn_changes, start=1):
            apply_change(state_machine, index, change)
            records, version = readers[change[4]]
            delta = state_machine.read_delta(version)
            apply_delta(records, delta)
            readers[change[4]] = (records, delta.version)
            if records != read_hosts(state_machine):
                context.mismatches.append(drawn_changes)
            if version == state_machine.version - 1 and not delta.complete:
                context.small_deltas += len(delta.hosts) + len(delta.gone) == 1

    run_changes()


@then("each reader's table equals the leader's, and small changes result in small deltas")
def step_check_follow(context):
    assert context.mismatches == [], context.mismatches[0]
    assert context.small_deltas > 20, context.small_deltas


@when("{count:d} random sequences of changes are applied, snapshotted and restored")
def step_snapshot(context, count):
    context.pairs = []

    @settings(max_examples=count)
    @given_random(drawn_changes=st.lists(changes, max_size=60))
    def run_changes(drawn_changes):
        state_machine = RegistryStateMachine(removal_capacity=3)
        for index, change in enumerate(drawn_changes, start=1):
            apply_change(state_machine, index, change)
        restored = RegistryStateMachine(removal_capacity=3)
        restored.restore_snapshot(state_machine.capture_snapshot())
        context.pairs.append((state_machine, restored))

    run_changes()


@then("the restored registry returns the same table and the same deltas")
def step_check_snapshot(context):
    for state_machine, restored in context.pairs:
        assert state_machine.read_table() == restored.read_table()
        for version in range(state_machine.version + 1):
            assert state_machine.read_delta(version) == restored.read_delta(version)


@given(
    "a registry with the record of a host with incarnation {incarnation:d} and sequence {number:d}"
)
def step_recorded_host(context, incarnation, number):
    context.state_machine = RegistryStateMachine()
    context.record = make_record(0, incarnation=incarnation, sequence=number)
    context.state_machine.apply(index=1, command=ChangeHosts(records=(context.record,)))


@then("a record with incarnation {incarnation:d} and sequence {number:d} changes nothing")
def step_old_record(context, incarnation, number):
    before = context.state_machine.read_table()
    record = make_record(0, incarnation=incarnation, sequence=number)
    result = context.state_machine.apply(index=2, command=ChangeHosts(records=(record,)))
    assert result.changed == () and context.state_machine.read_table() == before


@then("a removal for sequence {number:d} changes nothing")
def step_old_removal(context, number):
    removal = make_removal(0, incarnation=5, sequence=number)
    result = context.state_machine.apply(index=3, command=ChangeHosts(removals=(removal,)))
    assert result.changed == () and len(context.state_machine.read_table().hosts) == 1


@then("a removal for sequence {number:d} removes the host, and the same record adds it again")
def step_removal(context, number):
    removal = make_removal(0, incarnation=5, sequence=number)
    context.state_machine.apply(index=4, command=ChangeHosts(removals=(removal,)))
    assert context.state_machine.read_table().hosts == ()
    context.state_machine.apply(index=5, command=ChangeHosts(records=(context.record,)))
    assert context.state_machine.read_table().hosts == (context.record,)


class CountingProposer(LocalProposer):
    """Counts commands, and can lose leadership or be busy."""

    def __init__(self, state_machine):
        super().__init__(state_machine)
        self.command_count = 0
        self.is_leader = True
        self.leader = None
        self.is_busy = False

    async def propose(self, command):
        await self.confirm_leadership()
        self.command_count += 1
        return await super().propose(command)

    async def confirm_leadership(self, *, by_heartbeat_round=False):
        if self.is_busy:
            raise BusyError("the log is busy")
        if not self.is_leader:
            raise NotLeaderError("another replica leads", leader=self.leader)


class RegistrySimulation:
    """A registry service and the reports of many hosts, under manual time."""

    def __init__(self):
        self.timers = ManualTimerService()
        self.state_machine = RegistryStateMachine()
        self.proposer = CountingProposer(self.state_machine)
        self.service = RegistryService(
            state_machine=self.state_machine,
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
        reply = await self.service.report(
            ReportBatch(known_version=self.state_machine.version, reports=(report,))
        )
        if reply.hosts_without_record:
            await self.report(number, incarnation=incarnation)

    async def advance(self, duration_s, reporting=()):
        for _ in range(round(duration_s / STEP_S)):
            for number in reporting:
                await self.report(number, full=False)
            self.timers.advance(STEP_S)
            await settle()

    async def read(self):
        await settle()
        return await self.service.dump()


def run_service(context, run):
    async def main():
        context.simulation = simulation = RegistrySimulation()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(simulation.service.run)
            await settle()
            await run(simulation)
            tasks.cancel_scope.cancel()

    anyio.run(main)


@given("a registry service with a log that counts its commands")
def step_make_service(context):
    context.checks = []
    context.actions = []


def run_actions(context, *actions):
    """Run all actions of the scenario so far from the start, and store the final state."""
    context.actions.extend(actions)

    async def run(simulation):
        for action in context.actions:
            await action(simulation)
        context.state = await simulation.read()

    run_service(context, run)


@when("{count:d} hosts report once in full and then {times:d} times by renewal")
def step_renew(context, count, times):
    async def action(simulation):
        for number in range(count):
            await simulation.report(number)
        await simulation.advance(times * STEP_S, reporting=range(count))

    run_actions(context, action)


@then("the log holds at most {commands:d} commands and all {count:d} hosts are present")
def step_check_commands(context, commands, count):
    assert 0 < context.simulation.proposer.command_count <= commands
    assert len(context.state.hosts) == count


@when("{count:d} hosts report, and {silent:d} of them stop for {duration_s:d} s")
def step_some_stop(context, count, silent, duration_s):
    context.count = count
    context.silent = silent

    async def action(simulation):
        for number in range(count):
            await simulation.report(number)
        await simulation.advance(duration_s, reporting=range(silent, count))

    run_actions(context, action)


@when("{more:d} more stop for {duration_s:d} s")
def step_more_stop(context, more, duration_s):
    reporting = range(context.silent + more, context.count)

    async def action(simulation):
        await simulation.advance(duration_s, reporting=reporting)

    run_actions(context, action)


@when("all hosts report again")
def step_all_report(context):
    async def action(simulation):
        await simulation.advance(2.0, reporting=range(context.count))

    run_actions(context, action)


@then("{count:d} hosts are present and none is held")
def step_check_present(context, count):
    assert (len(context.state.hosts), context.state.held) == (count, ()), context.state


@then("{count:d} hosts are present and {held:d} are held")
def step_check_held(context, count, held):
    assert (len(context.state.hosts), len(context.state.held)) == (count, held), context.state


@when("{count:d} hosts report, and leadership is lost for {duration_s:d} s and regained")
def step_lose_leadership(context, count, duration_s):
    context.count = count

    async def action(simulation):
        for number in range(count):
            await simulation.report(number)
        await settle()
        simulation.proposer.is_leader = False
        await simulation.advance(duration_s)
        simulation.proposer.is_leader = True
        await simulation.advance(1.0, reporting=range(1, count))

    run_actions(context, action)


@when("{count:d} hosts report, one stops, and the log is busy for {duration_s:d} s")
def step_busy_log(context, count, duration_s):
    async def action(simulation):
        for number in range(count):
            await simulation.report(number)
        await simulation.advance(3.0, reporting=range(1, count))
        simulation.proposer.is_busy = True
        await simulation.advance(duration_s)
        simulation.proposer.is_busy = False
        await simulation.advance(1.0, reporting=range(1, count))

    run_actions(context, action)


@then(
    "no host expires within {grace:d} s, and a host without reports has expired after {wait_s:d} s"
)
def step_check_grace(context, grace, wait_s):
    async def wait(simulation):
        await simulation.advance(grace - 1, reporting=range(1, context.count))

    async def wait_longer(simulation):
        await simulation.advance(wait_s - grace, reporting=range(1, context.count))

    run_actions(context, wait)
    assert len(context.state.hosts) == context.count
    run_actions(context, wait_longer)
    assert len(context.state.hosts) == context.count - 1


@when("{count:d} hosts restart {times:d} times each, with old reports arriving late")
def step_storm(context, count, times):
    async def action(simulation):
        for incarnation in range(1, times + 1):
            for number in range(count):
                await simulation.report(number, incarnation=incarnation)
                if incarnation > 2:
                    await simulation.report(number, incarnation=incarnation - 2)
            await simulation.advance(STEP_S)

    run_actions(context, action)


@then("{count:d} hosts are present with their {incarnation:d}th incarnation")
def step_check_storm(context, count, incarnation):
    hosts = context.simulation.state_machine.read_table().hosts
    assert len(hosts) == count
    assert {record.incarnation for record in hosts} == {incarnation}


class FakeReportSender(ReportSender):
    """Sends reports directly to a state machine; the connection can be cut."""

    def __init__(self, state_machine):
        self.state_machine = state_machine
        self.reachable = True

    async def send(self, batch):
        if not self.reachable:
            raise LinkUnavailableError("no control host replies", sent=True)
        return BatchReply(delta=self.state_machine.read_delta(batch.known_version))


@given("a front that follows a registry of {count:d} hosts")
def step_front(context, count):
    context.state_machine = RegistryStateMachine()
    records = tuple(make_record(number) for number in range(count))
    context.state_machine.apply(index=1, command=ChangeHosts(records=records))
    context.report_sender = FakeReportSender(context.state_machine)
    context.actions = []


def make_agent(here, timers):
    return Agent(
        locality=here,
        link_address="127.0.0.1:1",
        lease_s=LEASE_S,
        timers=timers,
        metrics=NullMetrics(),
    )


def make_table(here, timers):
    return TargetTable(NearestOfTwoSelector(random.Random(1)), locality=here, timers=timers)


def run_front(context, *actions):
    context.actions.extend(actions)
    context.report_sender = FakeReportSender(context.state_machine)

    async def main():
        timers = ManualTimerService()
        here = Locality(region="r", failure_domain="d", host="h0")
        agent = make_agent(here, timers)
        table = make_table(here, timers)
        client = RegistryClient(
            sender=context.report_sender,
            agent=agent.inbox,
            table=table.inbox,
            timers=timers,
            interval_s=1.0,
        )
        async with run_tasks((agent, table, client)):
            await settle()
            for action in context.actions:
                action()
                for _ in range(4):
                    timers.advance(3600.0)
                    await settle()
            context.table_dump = await table.dump()
            context.client = await client.dump()

    anyio.run(main)


@when("the registry is unreachable for {hours:d} hours")
def step_unreachable(context, hours):
    def action():
        context.report_sender.reachable = False

    run_front(context, action)


@then("the front still has {count:d} hosts and the registry is marked as unreachable")
def step_check_frozen(context, count):
    assert len(context.table_dump.hosts) == count
    assert not context.client.reachable


@when("the registry becomes reachable with {gone:d} hosts removed and {new:d} added")
def step_back(context, gone, new):
    def action():
        context.report_sender.reachable = True
        removals = tuple(make_removal(number) for number in range(gone))
        records = tuple(make_record(100 + number) for number in range(new))
        context.state_machine.apply(
            index=2, command=ChangeHosts(records=records, removals=removals)
        )

    run_front(context, action)


@then("the front has {count:d} hosts")
def step_check_back(context, count):
    assert len(context.table_dump.hosts) == count


@when('a host reports to the service while "{leader}" is the leader')
def step_report_elsewhere(context, leader):
    async def run(simulation):
        simulation.proposer.is_leader = False
        simulation.proposer.leader = leader
        report = HostReport(host="h1", incarnation=1, sequence=1, record=make_record(1))
        batch = ReportBatch(known_version=0, reports=(report,))
        context.reply = await simulation.service.report(batch)
        context.hosts = (await simulation.read()).hosts

    run_service(context, run)


@then("the reply has the leader's link address, and no host is recorded")
def step_check_leader_link(context):
    assert context.reply.leader_link == "link-of-b"
    assert context.hosts == ()


class RedirectingPool:
    """Links to control hosts, which redirect calls to the one that is the leader."""

    def __init__(self, leader):
        self.leader = leader
        self.calls = []

    @contextmanager
    def use(self, address):
        yield RedirectingLink(self, address)


class RedirectingLink:
    def __init__(self, pool, address):
        self.pool = pool
        self.address = address

    async def call(self, method, request, *, timeout_s):
        self.pool.calls.append(self.address)
        if self.address == self.pool.leader:
            return BatchReply(delta=NO_DELTA)
        return BatchReply(delta=NO_DELTA, leader_link=self.pool.leader)


@when('a node reports to control host "a", which redirects it to the leader "b"')
def step_report_to_follower(context):
    context.pool = RedirectingPool("b")
    sender = TreeReportSender(
        domain="d",
        own_host="h1",
        search=InitialTableSearch(own_address="x", seeds=()),
        chooser=SourceChooser(domain="d", own_host="h1", control=(), seeds=()),
        control=ControlClient(context.pool, ("a",)),
        links=context.pool,
        table=None,
        timers=ManualTimerService(),
    )
    batch = ReportBatch(known_version=0, reports=())
    for _ in range(2):
        anyio.run(sender.send, batch)


@then('"b" receives the report, and the next report goes to "b" directly')
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
    context.known_version = context.state_machine.version
    context.index = getattr(context, "index", 0) + 1
    record = make_host_record(host, link_address, incarnation)
    context.state_machine.apply(index=context.index, command=ChangeHosts(records=(record,)))


@given('a registry with host "{first}" at "{first_address}"' ' and host "{second}" at "{address}"')
def step_two_hosts(context, first, first_address, second, address):
    context.state_machine = RegistryStateMachine()
    report_host(context, first, first_address, 50)
    report_host(context, second, address, 50)


@when('host "{host}" reports from "{address}" with an earlier clock')
def step_report_from_address(context, host, address):
    report_host(context, host, address, 40)


@when('the registry is restored from a snapshot and host "{host}" reports from "{address}"')
def step_restore_and_report(context, host, address):
    snapshot = context.state_machine.capture_snapshot()
    context.state_machine = RegistryStateMachine()
    context.state_machine.restore_snapshot(snapshot)
    report_host(context, host, address, 60)


@then('hosts "{present}" are present, and a reader\'s delta contains the removal of "{gone}"')
def step_check_holders(context, present, gone):
    hosts = {entry.host for entry in context.state_machine.list_present()}
    assert hosts == set(present.split(", ")), hosts
    assert context.state_machine.read_delta(context.known_version).gone == (gone,)


class RestartedHost:
    """An agent and a registry client after a restart, with their own registry."""

    def __init__(self):
        self.timers = ManualTimerService()
        here = Locality(region="r", failure_domain="d", host="h0")
        self.agent = make_agent(here, self.timers)
        self.state_machine = RegistryStateMachine()
        load = TargetLoad(
            phase=TargetPhase.SERVING, condition=TargetCondition.HEALTHY, free_slots=1, slots=1
        )
        previous_record = HostRecord(
            locality=here,
            incarnation=self.agent.incarnation - 1,
            link_address="127.0.0.1:1",
            sequence=9,
            targets=(TargetRecord(target="t", service="s", load=load),),
        )
        self.state_machine.apply(index=1, command=ChangeHosts(records=(previous_record,)))
        self.client = RegistryClient(
            sender=ApplyingReportSender(self.state_machine),
            agent=self.agent.inbox,
            table=make_table(here, self.timers).inbox,
            timers=self.timers,
            interval_s=1.0,
        )

    async def run(self, actions):
        async with run_tasks((self.agent, self.client)):
            await settle()
            for action in actions:
                if action == ANNOUNCE:
                    await ask(self.agent.inbox, make_announcement)
                else:
                    await self.pass_time(action)

    async def pass_time(self, duration_s):
        for _ in range(round(duration_s / 0.1)):
            self.timers.advance(0.1)
            await settle()


class ApplyingReportSender(ReportSender):
    """Sends reports to a registry that applies each record of a batch immediately."""

    def __init__(self, state_machine):
        self.state_machine = state_machine
        self.index = 1

    async def send(self, batch):
        records = tuple(report.record for report in batch.reports if report.record is not None)
        self.index += 1
        self.state_machine.apply(index=self.index, command=ChangeHosts(records=records))
        return BatchReply(delta=self.state_machine.read_delta(batch.known_version))


def make_announcement(reply):
    return AnnounceTarget(
        target="t",
        announcement=Announcement(
            service="s", address="127.0.0.1:2", slots=1, phase=TargetPhase.SERVING
        ),
        reply=reply,
    )


@given("an agent that has just restarted and a registry with its target from before the restart")
def step_restarted(context):
    context.actions = []


def run_restarted(context):
    context.restarted = RestartedHost()
    anyio.run(context.restarted.run, context.actions)
    entry = context.restarted.state_machine.read_entry("h0")
    return entry.record


@when("{duration_s:f} s pass without an announcement")
def step_pass_unannounced(context, duration_s):
    context.actions.append(duration_s)


@when("the target announces itself and {duration_s:f} s pass")
def step_announce_and_pass(context, duration_s):
    context.actions += [ANNOUNCE, duration_s]


@then("the registry still has the target")
def step_check_old_target(context):
    record = run_restarted(context)
    assert record.sequence == 9 and len(record.targets) == 1, record


@then("the registry has the target with the new incarnation")
def step_check_new_target(context):
    record = run_restarted(context)
    assert record.incarnation == context.restarted.agent.incarnation
    assert [target.target for target in record.targets] == ["t"]


@then("the registry has the host without targets")
def step_check_no_target(context):
    record = run_restarted(context)
    assert record.incarnation == context.restarted.agent.incarnation
    assert record.targets == ()


@given("a registry service that records departures")
def step_make_recording_service(context):
    context.registry = RegistrySimulation()


def make_departure(target, *, started_ms=1, sequence=1):
    return TargetDeparture(target=target, started_ms=started_ms, sequence=sequence)


def record_departures(context, *departures):
    async def main():
        for departure in departures:
            request = RecordDeparture(host="h1", departure=departure)
            context.reply = await context.registry.service.record_departure(request)

    anyio.run(main)


def read_departures(context, host):
    request = ReadDepartures(host=host)
    return anyio.run(context.registry.service.read_departures, request)


@when(
    'target "t" of host "h1" leaves with start {ms:d} and sequence {first:d},'
    " and then with sequence {second:d}"
)
def step_leave(context, ms, first, second):
    record_departures(
        context,
        make_departure("t", started_ms=ms, sequence=first),
        make_departure("t", started_ms=ms, sequence=second),
    )


def record_drains(context, *drains):
    async def main():
        for target, draining in drains:
            drain = HostDrain(host="h1", target=target, draining=draining)
            await context.registry.service.record_drain(drain)

    anyio.run(main)


@when('operators drain target "t" and all of host "h1", and target "u" whose drain ends again')
def step_drain(context):
    record_drains(context, ("t", True), ("u", True), (None, True), ("u", False), ("t", True))


@when("operators drain a target at a control host that isn't the leader")
def step_drain_at_follower(context):
    context.registry.proposer.is_leader = False
    try:
        record_drains(context, ("t", True))
    except SamphireError as error:
        context.error = error


@then('a restarted node of host "{host}" reads that "t" and the whole host are drained')
def step_check_drained(context, host):
    assert read_departures(context, host).drained == ("t", None)


@when('host "h1" is removed, and the registry is restored from its snapshot')
def step_remove_and_restore(context):
    state_machine = context.registry.state_machine
    state_machine.apply(index=1, command=ChangeHosts(records=(make_record(1),)))
    state_machine.apply(index=2, command=ChangeHosts(removals=(make_removal(1),)))
    snapshot = msgspec.msgpack.encode(state_machine.capture_snapshot())
    state_machine.restore_snapshot(msgspec.msgpack.decode(snapshot, type=RegistrySnapshot))


@then(
    'a restarted node of host "{host}" reads the departure of "{target}"'
    " with start {ms:d} and sequence {sequence:d}"
)
def step_check_departure(context, host, target, ms, sequence):
    expected = make_departure(target, started_ms=ms, sequence=sequence)
    assert read_departures(context, host).departures == (expected,)


@then('a restarted node of host "{host}" reads no departure')
def step_check_no_departure(context, host):
    assert read_departures(context, host) == DeparturesReply()


@when("targets of 10,050 hosts leave, and then {count:d} targets of one more host")
def step_leave_many(context, count):
    context.departure_table = DepartureTable()
    hosts = [f"h{number}" for number in range(1, 10_051)] + ["h0"] * count
    for number, host in enumerate(hosts):
        departure = make_departure(f"t{number}")
        context.departure_table.record(HostDeparture(host=host, departure=departure))


@then("the registry keeps the latest {count:d} of that host, and 10,000 hosts")
def step_check_kept(context, count):
    kept = [departure.target for departure in context.departure_table.list_host("h0")]
    assert kept == [f"t{number}" for number in range(10_090 - count, 10_090)], kept
    assert len({entry.host for entry in context.departure_table.capture()}) == 10_000


@when('a departure is recorded and read while "{leader}" is the leader')
def step_record_at_follower(context, leader):
    context.registry.proposer.is_leader = False
    context.registry.proposer.leader = leader
    record_departures(context, make_departure("t"))
    context.read_reply = read_departures(context, "h1")


@then("both replies have the leader's link address, and nothing is recorded")
def step_check_departure_redirect(context):
    for reply in (context.reply, context.read_reply):
        assert reply == DeparturesReply(leader_link="link-of-b"), reply
    assert context.registry.state_machine.list_departures("h1") == ()


@when("a departure with sequence 2^63 is recorded")
def step_record_odd(context):
    try:
        record_departures(context, make_departure("t", sequence=1 << 63))
    except SamphireError as error:
        context.error = error


@then('it is refused with "{code}", and nothing is recorded')
def step_check_odd(context, code):
    assert context.error.code.value == code
    assert context.registry.state_machine.list_departures("h1") == ()
    assert context.registry.state_machine.list_drained("h1") == ()
