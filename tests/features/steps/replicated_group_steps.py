import os
import shutil
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
from behave import given, then, when

from replication.line_list import AddLine
from replication.loopback import Host, find_leader, propose
from samphirespring.process.ids import GroupId
from samphirespring.process.replication.context import GroupLimits
from samphirespring.process.states import DiskHealth, MemberStanding

BASE_PORT = 18500
"""Stays, with every offset, below the ports that the system assigns to outgoing connections."""
WAIT_S = 30.0


class Cluster:
    """Control hosts on loopback links; each run starts them anew from the same folders."""

    def __init__(self, *, count, groups, folder, limits=None):
        self.limits = limits
        self.count = count
        self.groups = groups
        self.folder = folder
        self.port = BASE_PORT + int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))

    def make_host(self, number):
        return Host(
            number,
            count=self.count,
            folder=self.folder,
            port=self.port,
            groups=self.groups,
            limits=self.limits,
        )

    def run(self, *steps):
        """Start all hosts, run the steps, and stop all hosts."""

        async def main():
            async with AsyncExitStack() as stack:
                hosts = [self.make_host(number) for number in range(self.count)]
                for host in hosts:
                    await stack.enter_async_context(host.serve())
                for step in steps:
                    await step(hosts)

        anyio.run(main)


async def wait_for_lines(hosts, *, group, count):
    with anyio.fail_after(WAIT_S):
        while not all(len(host.line_lists[group].lines) == count for host in hosts):
            await anyio.sleep(0.02)
    assert len({tuple(host.line_lists[group].lines) for host in hosts}) == 1


@given("{count:d} control hosts with {groups:d} groups each")
def step_make_cluster(context, count, groups):
    folder = tempfile.mkdtemp(prefix="samphire-groups-")
    context.add_cleanup(shutil.rmtree, folder)
    context.cluster = Cluster(count=count, groups=groups, folder=folder)
    context.steps = []


@when("{count:d} lines are proposed to each group at once")
def step_propose_at_once(context, count):
    async def run(hosts):
        async with anyio.create_task_group() as tasks:
            for group in range(context.cluster.groups):
                for number in range(count):
                    tasks.start_soon(propose_line, hosts, group, f"at once {number}")

    context.steps.append(run)


async def propose_line(hosts, group, text):
    await propose(hosts, AddLine(text=text), group=group)


@when("the leadership of group {group:d} is transferred")
def step_transfer(context, group):
    async def run(hosts):
        leader = await find_leader(hosts, group=group)
        chosen = await leader.replicas[group].transfer_leadership()
        assert (await find_leader(hosts, group=group)).groups.groups[
            GroupId(f"lines-{group}")
        ] is not None
        assert chosen != f"host-{leader.number}"

    context.steps.append(run)


@when("{count:d} lines are proposed to group {group:d} one after the other")
def step_propose_in_turn(context, count, group):
    async def run(hosts):
        for number in range(count):
            await propose_line(hosts, group, f"in turn {number}")

    context.steps.append(run)


@then("every host has {first:d} lines in group 0 and {second:d} in group 1")
def step_check_lines(context, first, second):
    async def run(hosts):
        await wait_for_lines(hosts, group=0, count=first)
        await wait_for_lines(hosts, group=1, count=second)

    context.cluster.run(*context.steps, run)


@then(
    "after a restart of all hosts every host has {first:d} lines in group 0 and {second:d} in"
    " group 1"
)
def step_check_restart(context, first, second):
    async def run(hosts):
        await wait_for_lines(hosts, group=0, count=first)
        await wait_for_lines(hosts, group=1, count=second)

    context.cluster.run(run)


@when("a follower's data folder is emptied and it starts again")
def step_lose_disk(context):
    async def run(hosts):
        leader = await find_leader(hosts)
        context.lost_number = next(h.number for h in hosts if h.number != leader.number)
        context.old_member = (await hosts[context.lost_number].replicas[0].read_status()).member

    context.cluster.run(*context.steps, run)
    shutil.rmtree(Path(context.cluster.folder) / f"host-{context.lost_number}")


@then("it becomes a voter as a new member, with {count:d} lines, after the old member was removed")
def step_check_repair(context, count):
    async def run(hosts):
        await find_leader(hosts)
        repaired = hosts[context.lost_number]
        with anyio.fail_after(WAIT_S):
            while not await is_voter(hosts, repaired, old=context.old_member):
                await anyio.sleep(0.02)
        await wait_for_lines(hosts, group=0, count=count)

    context.cluster.run(run)


async def is_voter(hosts, repaired, *, old):
    member = (await repaired.replicas[0].read_status()).member
    assert member != old
    leader = await find_leader(hosts)
    status = await leader.replicas[0].read_status()
    standings = {m.member: m.standing for m in status.members}
    if standings.get(member) is MemberStanding.VOTER:
        assert old not in standings
        return True
    return False


@when("the leader's disk fails and {count:d} lines are proposed to each group at once")
def step_fail_disk(context, count):
    async def run(hosts):
        context.failed_host = await find_leader(hosts)
        context.failed_host.disk.is_failed = True
        replica = context.failed_host.replicas[0]
        # The open segment file can still be written; the next change of term or segment detects the
        # failure.
        await replica.transfer_leadership()
        with anyio.fail_after(WAIT_S):
            while (await replica.read_status()).disk is not DiskHealth.FAILED:
                await anyio.sleep(0.02)
        others = [host for host in hosts if host is not context.failed_host]
        for number in range(count):
            await propose(others, AddLine(text=f"after the failure {number}"))

    context.steps.append(run)


@then("that host reports a failed disk, and another host is leader")
def step_check_failed(context):
    async def run(hosts):
        status = await context.failed_host.replicas[0].read_status()
        assert status.disk is DiskHealth.FAILED and status.role is None
        assert (await find_leader(hosts)) is not context.failed_host
        context.failed_host.disk.is_failed = False

    context.steps.append(run)


@then("after its disk works again every host has {count:d} lines in group 0")
def step_check_disk_back(context, count):
    async def run(hosts):
        await wait_for_lines(hosts, group=0, count=count)

    context.cluster.run(*context.steps, run)


@given("{count:d} control hosts with {groups:d} groups each and a snapshot after {lines:d} lines")
def step_make_cluster_with_snapshots(context, count, groups, lines):
    step_make_cluster(context, count, groups)
    context.cluster.limits = GroupLimits(snapshot_entries=lines, retained_entries=10)


@when("a follower's data folder is emptied before {count:d} more lines are proposed")
def step_lose_disk_before(context, count):
    async def run(hosts):
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(propose_line, hosts, 0, f"later {number}")
        with anyio.fail_after(WAIT_S):
            while not await all_have_snapshots(hosts):
                await anyio.sleep(0.02)

    context.steps.append(run)
    step_lose_disk(context)


async def all_have_snapshots(hosts):
    statuses = [await host.replicas[0].read_status() for host in hosts]
    return all(status.snapshot_index > 0 for status in statuses)
