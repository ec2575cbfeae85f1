import random

import anyio
from behave import given, then, when

from features.steps.registry_steps import make_record, settle
from samphirespring.process.mailbox import ask
from samphirespring.process.runtime import run_tasks
from samphirespring.process.target_table import TargetTable
from samphirespring.process.target_table_messages import ApplyDelta, SelectTarget
from samphirespring.process.targets import Locality, RegistryDelta
from samphirespring.process.timers import ManualTimerService
from samphirespring.request.selection import NearestOfTwoSelector
from samphirespring.request.target_source import SelectionTerms

HERE = Locality(region="r", failure_domain="d", host="front")


def make_table_delta(numbers, *, complete, version):
    hosts = tuple(make_record(number) for number in numbers)
    return RegistryDelta(since=0, version=version, complete=complete, hosts=hosts)


@given("a target table with {count:d} hosts")
def step_table(context, count):
    context.host_count = count
    context.actions = [make_table_delta(range(count), complete=True, version=50)]


@when("an empty whole table arrives")
def step_empty_table(context):
    context.actions.append(make_table_delta((), complete=True, version=1))


@when("a whole table without {count:d} of the hosts arrives")
def step_table_without_hosts(context, count):
    numbers = range(count, context.host_count)
    context.actions.append(make_table_delta(numbers, complete=True, version=60))


@when("the registry reports {count:d} of the hosts again, and {duration_s:g} s pass")
def step_report_again(context, count, duration_s):
    context.actions += [
        make_table_delta((number,), complete=False, version=2 + number) for number in range(count)
    ]
    context.actions.append(duration_s)


@when("the target table waits {duration_s:g} s")
def step_wait(context, duration_s):
    context.actions.append(duration_s)


@then("the target table has {count:d} hosts")
def step_check_hosts(context, count):
    """Run all actions of the scenario so far from the start."""

    async def main():
        timers = ManualTimerService()
        table = TargetTable(NearestOfTwoSelector(random.Random(1)), locality=HERE, timers=timers)
        async with run_tasks((table,)):
            for action in context.actions:
                if isinstance(action, RegistryDelta):
                    table.inbox.post(ApplyDelta(delta=action))
                else:
                    timers.advance(action)
                await settle()
            await ask(
                table.inbox,
                lambda reply: SelectTarget(terms=SelectionTerms(service="s"), reply=reply),
            )
            return (await table.dump()).hosts

    hosts = anyio.run(main)
    assert len(hosts) == count, [record.locality.host for record in hosts]
