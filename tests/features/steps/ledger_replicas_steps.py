import shutil
import tempfile
from dataclasses import replace
from random import Random

import anyio
from behave import given, then, when

from ledger.hosts import LedgerFleet, Place
from replication.fake_disk import FakeDisk
from samphirespring.process.ids import GroupId, ReplicaId
from samphirespring.process.ledger.leader_search import LeaderCache
from samphirespring.process.ledger.shards import find_group_index
from samphirespring.process.replication.effects import FormGroup, Post
from samphirespring.process.replication.entries import Member
from samphirespring.process.replication.group_member import GroupMember
from samphirespring.process.replication.opening import open_files
from samphirespring.process.replication.storage import GroupStorage
from samphirespring.process.replication.timing import ReplicaTiming
from samphirespring.version.document import LedgerLayout
from samphirespring.version.ids import WorkspaceId

TICK_S = 0.1
LAYOUT = LedgerLayout(shards=60, groups=12)


def make_places(hosts, domains):
    return [
        Place(number=n, region=f"r{n % domains // 2}", domain=f"d{n % domains}")
        for n in range(hosts)
    ]


def list_groups(fleet):
    return [GroupId(f"ledger-{number}") for number in range(fleet.layout.groups)]


async def read_placement(fleet):
    await fleet.wait_until_open()
    host = next(iter(fleet.hosts.values()))
    return (await host.desk.dump()).placed


@given("{hosts:d} control hosts in {domains:d} failure domains with {groups:d} ledger groups")
def step_make_fleet(context, hosts, domains, groups):
    context.folder = tempfile.mkdtemp(prefix="samphire-ledger-")
    context.add_cleanup(shutil.rmtree, context.folder)
    context.places = make_places(hosts, domains)
    context.group_count = groups
    context.steps = []


def run_steps(context):
    """Start the hosts, take all steps so far, and stop the hosts."""

    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = LedgerFleet(
                context.places, folder=context.folder, groups=context.group_count, tasks=tasks
            )
            await fleet.start()
            for step in context.steps:
                await step(fleet)
            await fleet.stop()
            fleet.close()

    anyio.run(main)


@when("{count:d} actions are claimed and ended")
def step_end_actions(context, count):
    context.steps.append(lambda fleet: fleet.end_actions(count))


@then("each host runs only the groups that are placed on it, and each group runs on 3 hosts")
def step_check_hosts(context):
    async def check(fleet):
        placed = await read_placement(fleet)
        for group in list_groups(fleet):
            running = {name for name, h in fleet.hosts.items() if group in h.groups.groups}
            assert running == set(placed[group]) and len(running) == 3, (group, running)
            domains = {fleet.hosts[name].place.domain for name in running}
            assert len(domains) == 3, (group, running)

    context.steps.append(check)


@when("all hosts of one failure domain stop")
def step_stop_domain(context):
    async def stop(fleet):
        leader = (await fleet.read_leader_status(list_groups(fleet)[0])).replica
        await stop_domain(fleet, fleet.hosts[leader].place.domain)

    context.steps.append(stop)


async def stop_domain(fleet, domain):
    lost = [host.place for host in fleet.hosts.values() if host.place.domain == domain]
    assert lost
    await fleet.stop(*lost)


@then("the groups' leaders know all {count:d} actions")
def step_check_actions(context, count):
    async def check(fleet):
        assert fleet.ended == count
        await fleet.check_ended()

    context.steps.append(check)
    if context.scenario.steps[-1].name.endswith(f"know all {count} actions"):
        run_steps(context)


@when("one host is lost for good, and all others start again with another one in its place")
def step_replace_host(context):
    async def replace_host(fleet):
        # The leader of a group, so that a lead is lost, too.
        lost = (await fleet.read_leader_status(list_groups(fleet)[0])).replica
        await fleet.stop()
        position = next(i for i, p in enumerate(fleet.places) if p.name == lost)
        new = replace(fleet.places[position], number=len(fleet.places))
        fleet.places[position] = new
        await fleet.start()

    context.steps.append(replace_host)


@when("all hosts start again with other failure domains")
def step_place_anew(context):
    async def place_anew(fleet):
        before = await read_placement(fleet)
        await fleet.stop()
        domains = [place.domain for place in fleet.places]
        fleet.places = [
            replace(place, domain=domains[n // 2]) for n, place in enumerate(fleet.places)
        ]
        await fleet.start()
        after = await read_placement(fleet)
        assert any(set(before[group]) != set(after[group]) for group in before)

    context.steps.append(place_anew)


@then("each group moves to the hosts that it is placed on")
def step_check_moves(context):
    async def check(fleet):
        placed = await read_placement(fleet)
        for group in list_groups(fleet):
            await fleet.wait_for_voters(group, replicas=placed[group])

    context.steps.append(check)


@when("a second failure domain is lost")
def step_stop_second(context):
    async def stop(fleet):
        await stop_domain(fleet, "d1")

    context.steps.append(stop)


@when("a replica of each group loses its disk and is repaired")
def step_lose_disk(context):
    async def lose(fleet):
        placed = await read_placement(fleet)
        groups = list_groups(fleet)
        # One host that both groups have, if there is one; else the first of each.
        shared = set(placed[groups[0]]) & set(placed[groups[1]])
        hosts = [min(shared)] if shared else [placed[group][0] for group in groups]
        old = {group: await fleet.list_voters(group) for group in groups}
        lost = [fleet.hosts[name].place for name in hosts]
        # All start anew, since a server that stops in this process leaves its connections open.
        await fleet.stop()
        for place in lost:
            fleet.empty_disk(place)
        await fleet.start()
        for group in groups:
            gone = [old[group][name] for name in hosts if name in placed[group]]
            assert gone
            await fleet.wait_for_voters(group, replicas=placed[group], gone=gone)
        fleet.repaired.update(hosts)

    context.steps.append(lose)


@when("another replica of each group stops for good at once")
def step_stop_another(context):
    async def stop(fleet):
        placed = await read_placement(fleet)
        sets = [set(replicas) - fleet.repaired for replicas in placed.values()]
        shared = set.intersection(*sets)
        lost = [min(shared)] if shared else [min(hosts) for hosts in sets]
        for name in lost:
            await fleet.stop(fleet.hosts[name].place)

    context.steps.append(stop)


class FoundingHosts:
    """Hosts with empty disks that all know each other; messages arrive at once."""

    def __init__(self, placements):
        self.peers = {ReplicaId(name): name for name in placements}
        self.members = {name: self.make(name, placed) for name, placed in placements.items()}
        self.formed = {}
        self.now_s = 0.0

    def make(self, name, placed):
        random = Random(name)
        storage = GroupStorage(disk=FakeDisk(), folder="group")
        opened = open_files(storage, replica=ReplicaId(name), random=random)
        return GroupMember(
            group=GroupId("group"),
            own=Member(member=opened.identity.member, replica=ReplicaId(name), link_address=name),
            identity=opened.identity,
            stored=opened.stored,
            peers=self.peers,
            placed=placed,
            timing=ReplicaTiming(),
            random=random,
            now_s=0.0,
        )

    def run(self, span_s, *, away=()):
        for _ in range(int(span_s / TICK_S)):
            self.now_s += TICK_S
            for name, member in self.members.items():
                if name not in away:
                    member.tick(self.now_s)
                    self.perform(name, away)

    def perform(self, name, away):
        for effect in self.members[name].take_effects(self.now_s):
            if isinstance(effect, FormGroup):
                self.formed[name] = [m.replica for m in effect.membership.members]
            if isinstance(effect, Post) and effect.address not in away:
                receiver = self.members[effect.address]
                receiver.receive(effect.envelope, address=name, now_s=self.now_s)
                self.perform(effect.address, away)


@given("4 hosts with empty disks, of which one places a group otherwise")
def step_make_disagreeing(context):
    placements = {f"h{n}": ("h1", "h2", "h3") for n in range(4)}
    context.hosts = FoundingHosts({**placements, "h0": ("h0", "h1", "h2")})


@given("4 hosts with empty disks that place a group on 3 of them")
def step_make_agreeing(context):
    context.hosts = FoundingHosts({f"h{n}": ("h1", "h2", "h3") for n in range(4)})


@when("they run for {span:d} s of virtual time")
def step_run_hosts(context, span):
    context.hosts.run(span)


@when("they run for {span:d} s of virtual time while the one that holds no replica is away")
def step_run_without(context, span):
    context.hosts.run(span, away=("h0",))


@then("no host has formed the group")
def step_check_unformed(context):
    assert context.hosts.formed == {}, context.hosts.formed


@then("one host has formed the group of the 3")
def step_check_formed(context):
    assert context.hosts.formed == {"h1": ["h1", "h2", "h3"]}, context.hosts.formed


@given("a front that knows {count:d} control hosts")
def step_make_front(context, count):
    context.addresses = [f"host-{number}" for number in range(count)]
    context.memory = LeaderCache(context.addresses)
    context.workspace = WorkspaceId("wheatsheaf")


@when("the first one sends it on to the leader of a group")
def step_send_on(context):
    search = context.memory.start_search(context.workspace)
    assert search.choose_next() == "host-0"
    context.memory.update_layout(LAYOUT)
    search.apply_hint(leader="host-9", replicas=("host-7", "host-8", "host-9"))
    assert search.choose_next() == "host-9"
    context.memory.record_leader(context.workspace, "host-9")


@then("it asks that leader first for each workspace of the group")
def step_check_first(context):
    group = find_group_index(context.workspace, LAYOUT)
    for number in range(100):
        workspace = WorkspaceId(f"w{number}")
        first = context.memory.start_search(workspace).choose_next()
        same = find_group_index(workspace, LAYOUT) == group
        assert first == ("host-9" if same else "host-0"), (workspace, first)


@then("it asks the hosts that hold the group next, and each host once")
def step_check_order(context):
    search = context.memory.start_search(context.workspace)
    order = [search.choose_next()]
    search.apply_hint(leader=None, replicas=("host-7", "host-8", "host-9"))
    while (address := search.choose_next()) is not None:
        order.append(address)
        search.apply_hint(leader="host-9", replicas=("host-7", "host-8", "host-9"))
    assert order[:3] == ["host-9", "host-7", "host-8"], order
    assert sorted(order) == sorted(context.addresses), order
