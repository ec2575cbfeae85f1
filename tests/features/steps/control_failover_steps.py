import os
import tempfile
import time
from pathlib import Path
from random import Random

import anyio
import anyio.to_thread
from behave import given, then, when

from fleet.change_series import ChangeSeries
from fleet.example import place_example
from fleet.leaders import find_leader, wait_until_initialized
from fleet.processes import Fleet
from fleet.soak_edits import SectionEditor

EDIT_ATTEMPTS = 200
"""Enough for two consecutive elections: the second kill may follow right after an election."""

TEAMS = ("recipes", "orders")


@given("the three control processes of the example site")
def step_start_controls(context):
    folder = tempfile.TemporaryDirectory(prefix="failover-")
    context.add_cleanup(folder.cleanup)
    offset = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
    example = place_example("wheatsheaf", Path(folder.name), port_offset=offset)
    context.fleet = Fleet(example)
    context.add_cleanup(context.fleet.stop_all)
    for settings in example.controls:
        context.fleet.start_control(settings)
    wait_until_initialized(context.fleet, team=TEAMS[0])
    context.editors = [
        SectionEditor(
            fleet=context.fleet, team=team, generator=Random(team), max_sends=EDIT_ATTEMPTS
        )
        for team in TEAMS
    ]
    context.edit_count = 0


def restart_leader(fleet):
    leader = find_leader(fleet)
    fleet.kill(leader.stem)
    time.sleep(0.5)
    fleet.start_control(leader)


@when(
    "two teams edit {count:d} times each while the leader is killed and restarted {kills:d} times"
)
def step_edit_during_kills(context, count, kills):
    async def edit(editor):
        for _ in range(count):
            await editor.edit()

    async def kill():
        for _ in range(kills):
            await anyio.to_thread.run_sync(restart_leader, context.fleet)

    async def main():
        async with anyio.create_task_group() as tasks:
            for editor in context.editors:
                tasks.start_soon(edit, editor)
            tasks.start_soon(kill)

    anyio.run(main)
    context.edit_count = count


@then("every edit was accepted and is still stored")
def step_check_edits(context):
    async def check():
        for editor in context.editors:
            await editor.check_last()

    anyio.run(check)
    for editor in context.editors:
        assert not editor.violations, editor.violations
        assert editor.accepted_count == context.edit_count, (
            editor.accepted_count,
            editor.unresolved_count,
        )


@when("all control processes are killed and started again")
def step_restart_all(context):
    context.fleet.restart_controls()
    find_leader(context.fleet)


@when("one team makes {count:d} changes")
def step_make_changes(context, count):
    context.series = ChangeSeries(context.fleet, team=TEAMS[0])
    context.series.make(count)


@then("the last change is stored, and resent changes get their original responses")
def step_check_series(context):
    context.series.check()
