import shutil
import tempfile
from dataclasses import replace
from random import Random

import anyio
from behave import given, then, when

from ledger.hosts import HostConfig, LedgerFleet
from replication.fake_disk import FakeDisk
from samphirespring.process.ids import GroupId, ReplicaId
from samphirespring.process.ledger.leader_search import LeaderCache
from samphirespring.process.ledger.shards import find_group_index
from samphirespring.process.replication.effects import FormGroup, Post
from samphirespring.process.replication.entries import Member
from samphirespring.process.replication.group_member import GroupMember
from samphirespring.process.replication.replica_files import open_files
from samphirespring.process.replication.storage import GroupStorage
from samphirespring.process.replication.timing import ReplicaTiming
from samphirespring.version.document import LedgerLayout
from samphirespring.version.ids import WorkspaceId

TICK_S = 0.1
LAYOUT = LedgerLayout(shards=60, groups=12)


def make_host_configs(hosts, domains):
    return [
        HostConfig(number=n, region=f"r{n % domains // 2}", domain=f"d{n % domains}")
        for n in range(hosts)
    ]


def list_groups(fleet):
    return [GroupId(f"ledger-{number}") for number in range(fleet.layout.groups)]


async def read_placement(fleet):
    await fleet.wait_until_open()
    host = next(iter(fleet.hosts.values()))
    return (await host.service.dump()).placed


@given("{hosts:d} control hosts in {domains:d} failure domains with {groups:d} ledger groups")
def step_make_fleet(context, hosts, domains, groups):
    context.folder = tempfile.mkdtemp(prefix="samphire-ledger-")
    context.add_cleanup(shutil.rmtree, context.folder)
    context.host_configs = make_host_configs(hosts, domains)
    context.group_count = groups
    context.steps = []


def run_steps(context):
    """Start the hosts, run all steps recorded so far, and stop the hosts."""

    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = LedgerFleet(
                context.host_configs, folder=context.folder, groups=context.group_count, tasks=tasks
            )
            await fleet.start()
            for step in context.steps:
                await step(fleet)
            await fleet.stop()
            fleet.close()

    anyio.run(main)


@when("{count:d} actions are claimed and ended")
def step_end_actions(context, count):
    context.steps.append(lambda fleet: fleet.claim_and_end_actions(count))


@then("each host runs only the groups that are placed on it, and each group runs on 3 hosts")
def step_check_hosts(context):
    async def check(fleet):
        placement = await read_placement(fleet)
        for group in list_groups(fleet):
            running = {name for name, host in fleet.hosts.items() if group in host.groups.groups}
            assert running == set(placement[group]) and len(running) == 3, (group, running)
            domains = {fleet.hosts[name].config.domain for name in running}
            assert len(domains) == 3, (group, running)

    context.steps.append(check)


@when("all hosts of one failure domain stop")
def step_stop_domain(context):
    async def stop(fleet):
        leader = (await fleet.read_leader_status(list_groups(fleet)[0])).replica
        await stop_domain(fleet, fleet.hosts[leader].config.domain)

    context.steps.append(stop)


async def stop_domain(fleet, domain):
    lost = [host.config for host in fleet.hosts.values() if host.config.domain == domain]
    assert lost
    await fleet.stop(*lost)


@then("the groups' leaders have recorded all {count:d} actions")
def step_check_actions(context, count):
    async def check(fleet):
        assert fleet.ended_count == count
        await fleet.check_ended_actions()

    context.steps.append(check)
    if context.scenario.steps[-1].name.endswith(f"recorded all {count} actions"):
        run_steps(context)


@when("one host is lost permanently, and the others restart with a new host in its place")
def step_replace_host(context):
    async def replace_host(fleet):
        # The lost host is the leader of a group, so that the group also loses its leader.
        lost = (await fleet.read_leader_status(list_groups(fleet)[0])).replica
        await fleet.stop()
        position = next(i for i, config in enumerate(fleet.configs) if config.name == lost)
        new_config = replace(fleet.configs[position], number=len(fleet.configs))
        fleet.configs[position] = new_config
        await fleet.start()

    context.steps.append(replace_host)


@when("all hosts restart in other failure domains")
def step_change_domains(context):
    async def change_domains(fleet):
        before = await read_placement(fleet)
        await fleet.stop()
        domains = [config.domain for config in fleet.configs]
        fleet.configs = [
            replace(config, domain=domains[n // 2]) for n, config in enumerate(fleet.configs)
        ]
        await fleet.start()
        after = await read_placement(fleet)
        assert any(set(before[group]) != set(after[group]) for group in before)

    context.steps.append(change_domains)


@then("each group moves to the hosts that it is placed on")
def step_check_moves(context):
    async def check(fleet):
        placement = await read_placement(fleet)
        for group in list_groups(fleet):
            await fleet.wait_for_voters(group, replicas=placement[group])

    context.steps.append(check)


@when("a second failure domain is lost")
def step_stop_second(context):
    async def stop(fleet):
        await stop_domain(fleet, "d1")

    context.steps.append(stop)


@when("a replica of each group loses its disk and is repaired")
def step_lose_disk(context):
    async def lose_disks(fleet):
        placement = await read_placement(fleet)
        groups = list_groups(fleet)
        # A host that holds both groups if there is one, otherwise the first host of each group.
        shared = set(placement[groups[0]]) & set(placement[groups[1]])
        hosts = [min(shared)] if shared else [placement[group][0] for group in groups]
        old = {group: await fleet.list_voters(group) for group in groups}
        lost = [fleet.hosts[name].config for name in hosts]
        # All hosts restart, since a server that stops in this process leaves its connections open.
        await fleet.stop()
        for config in lost:
            fleet.erase_disk(config)
        await fleet.start()
        for group in groups:
            gone = [old[group][name] for name in hosts if name in placement[group]]
            assert gone
            await fleet.wait_for_voters(group, replicas=placement[group], gone=gone)
        fleet.repaired_hosts.update(hosts)

    context.steps.append(lose_disks)


@when("another replica of each group stops permanently right afterwards")
def step_stop_another(context):
    async def stop(fleet):
        placement = await read_placement(fleet)
        sets = [set(replicas) - fleet.repaired_hosts for replicas in placement.values()]
        shared = set.intersection(*sets)
        lost = [min(shared)] if shared else [min(hosts) for hosts in sets]
        for name in lost:
            await fleet.stop(fleet.hosts[name].config)

    context.steps.append(stop)


class GroupFormationSimulation:
    """Hosts with empty disks that have each other's addresses; messages arrive immediately."""

    def __init__(self, placements):
        self.peers = {ReplicaId(name): name for name in placements}
        self.members = {name: self.make_member(name, placed) for name, placed in placements.items()}
        self.formed = {}
        self.now_s = 0.0

    def make_member(self, name, placed):
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

    def run(self, duration_s, *, stopped=()):
        for _ in range(int(duration_s / TICK_S)):
            self.now_s += TICK_S
            for name, member in self.members.items():
                if name not in stopped:
                    member.tick(self.now_s)
                    self.perform(name, stopped)

    def perform(self, name, stopped):
        for effect in self.members[name].pop_effects(self.now_s):
            if isinstance(effect, FormGroup):
                self.formed[name] = [m.replica for m in effect.membership.members]
            if isinstance(effect, Post) and effect.address not in stopped:
                receiver = self.members[effect.address]
                receiver.receive(effect.envelope, address=name, now_s=self.now_s)
                self.perform(effect.address, stopped)


@given("4 hosts with empty disks, of which one places a group on other hosts")
def step_make_disagreeing(context):
    placements = {f"h{n}": ("h1", "h2", "h3") for n in range(4)}
    context.hosts = GroupFormationSimulation({**placements, "h0": ("h0", "h1", "h2")})


@given("4 hosts with empty disks that place a group on 3 of them")
def step_make_agreeing(context):
    context.hosts = GroupFormationSimulation({f"h{n}": ("h1", "h2", "h3") for n in range(4)})


@when("they run for {duration_s:d} s of virtual time")
def step_run_hosts(context, duration_s):
    context.hosts.run(duration_s)


@when("they run for {duration_s:d} s of virtual time while the host without a replica is down")
def step_run_without(context, duration_s):
    context.hosts.run(duration_s, stopped=("h0",))


@then("no host has formed the group")
def step_check_unformed(context):
    assert context.hosts.formed == {}, context.hosts.formed


@then("one host has formed the group with these 3 hosts")
def step_check_formed(context):
    assert context.hosts.formed == {"h1": ["h1", "h2", "h3"]}, context.hosts.formed


@given("a front with the addresses of {count:d} control hosts")
def step_make_front(context, count):
    context.addresses = [f"host-{number}" for number in range(count)]
    context.leader_cache = LeaderCache(context.addresses)
    context.workspace = WorkspaceId("wheatsheaf")


@when("the first host redirects the front to the leader of a group")
def step_redirect(context):
    search = context.leader_cache.start_search(context.workspace)
    assert search.choose_next() == "host-0"
    context.leader_cache.update_layout(LAYOUT)
    search.apply_redirect(leader="host-9", replicas=("host-7", "host-8", "host-9"))
    assert search.choose_next() == "host-9"
    context.leader_cache.record_leader(context.workspace, "host-9")


@then("the front tries that leader first for each workspace of the group")
def step_check_first(context):
    group = find_group_index(context.workspace, LAYOUT)
    for number in range(100):
        workspace = WorkspaceId(f"w{number}")
        first = context.leader_cache.start_search(workspace).choose_next()
        same = find_group_index(workspace, LAYOUT) == group
        assert first == ("host-9" if same else "host-0"), (workspace, first)


@then("the front tries the hosts of the group next, and each host once")
def step_check_order(context):
    search = context.leader_cache.start_search(context.workspace)
    order = [search.choose_next()]
    search.apply_redirect(leader=None, replicas=("host-7", "host-8", "host-9"))
    while (address := search.choose_next()) is not None:
        order.append(address)
        search.apply_redirect(leader="host-9", replicas=("host-7", "host-8", "host-9"))
    assert order[:3] == ["host-9", "host-7", "host-8"], order
    assert sorted(order) == sorted(context.addresses), order
