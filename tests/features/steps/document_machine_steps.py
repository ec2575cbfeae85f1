from unittest.mock import patch

import msgspec
from behave import given, then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from document.replicas import ReplicatedDocument
from document.samples import (
    make_change,
    make_document,
    make_initialize_command,
    make_state_machine,
    make_team_section,
)
from samphirespring.process.document.change_results import ChangeResultTable
from samphirespring.process.document.commands import (
    ChangeAccepted,
    ChangeConflict,
    ChangeForbidden,
    ChangeInvalid,
    DocumentInitialized,
    DocumentSnapshot,
    LedgerLayoutFixed,
)
from samphirespring.process.document.state_machine import DocumentStateMachine
from samphirespring.process.ids import LogIndex
from samphirespring.version.document import LedgerLayout
from samphirespring.version.section_set import SectionSet, StoredSection


def apply(context, command):
    context.index = getattr(context, "index", 1) + 1
    context.result = context.state_machine.apply(index=LogIndex(context.index), command=command)
    return context.result


def change(context, section, content, *, team, base=1, change_id="c"):
    command = make_change(section, base=base, change_id=change_id, content=content, team=team)
    return apply(context, command)


@when("{count:d} random histories of the replicated document run")
def step_run_histories(context, count):
    run_state_machine_as_test(
        ReplicatedDocument, settings=settings(max_examples=count, stateful_step_count=40)
    )


@then("no history breaks an invariant of the document")
def step_check_histories(context):
    pass  # A broken invariant fails the previous step, with a minimal history that shows it.


@given("an initialized document")
def step_initialize(context):
    context.state_machine = make_state_machine()


@given("an initialized document that records the results of {count:d} changes")
def step_initialize_with_capacity(context, count):
    context.state_machine = make_state_machine(change_results=ChangeResultTable(capacity=count))


@when('team "{team}" puts a section with three problems')
def step_put_invalid(context, team):
    content = make_team_section(team, floor=1.5)
    content["routes"][0]["path_prefix"] = "no-slash"
    content["routes"][0]["retry"] = {"attempts": 3}
    change(context, team, content, team=team)


@given('team "{team}" routes to service "{service}"')
def step_route_to(context, team, service):
    content = make_team_section(team)
    content["routes"][0]["service"] = service
    assert isinstance(change(context, team, content, team=team, change_id="r"), ChangeAccepted)


@when('team "{team}" deletes its section')
def step_delete(context, team):
    change(context, team, None, team=team)


@when('team "{team}" puts its section with service "{new}" in place of "{old}"')
def step_rename_service(context, team, new, old):
    content = make_team_section(team)
    content["services"][new] = content["services"].pop(old)
    for route in content["routes"]:
        route["service"] = new
    change(context, team, content, team=team)


@when('team "{team}" puts a section with a route of section "{other}"')
def step_copy_route(context, team, other):
    content = make_team_section(team)
    content["routes"] = make_team_section(other)["routes"]
    content["routes"][0]["service"] = team
    change(context, team, content, team=team)


@then("the change is invalid with the paths")
def step_check_paths(context):
    assert isinstance(context.result, ChangeInvalid), context.result
    paths = [problem.rpartition("`")[0].rpartition("`")[2] for problem in context.result.problems]
    assert sorted(paths) == sorted(row["path"] for row in context.table), context.result


@when("a change and {count:d} others are accepted, and the first one is sent again")
def step_resend_after_drop(context, count):
    first = change(context, "bread", make_team_section("bread", routes=2), team="bread")
    assert isinstance(first, ChangeAccepted)
    for number in range(count):
        content = make_team_section("soup", routes=number)
        change(context, "soup", content, team="soup", change_id=f"o{number}")
    change(context, "bread", make_team_section("bread", routes=2), team="bread")


@then("the resend gets a conflict")
def step_check_conflict(context):
    assert isinstance(context.result, ChangeConflict), context.result


@when("it is initialized again with another document")
def step_initialize_again(context):
    context.before = context.state_machine.sections
    document = make_document()
    del document["soup"]
    assert isinstance(
        apply(context, make_initialize_command(document, generation=2)), DocumentInitialized
    )


@then("the first document stays")
def step_check_first(context):
    assert context.state_machine.sections == context.before


@when(
    "{count:d} changes are accepted and a replica restarts from its snapshot"
    " and {tail:d} log entries"
)
def step_restart(context, count, tail):
    log = []
    for number in range(count):
        team = ("bread", "soup")[number % 2]
        base = context.state_machine.sections.sections[team].version
        content = make_team_section(team, routes=number % 4, floor=number / count)
        log.append(make_change(team, base=base, change_id=str(number), content=content, team=team))
        assert isinstance(apply(context, log[-1]), ChangeAccepted), context.result
        if number == count - tail - 1:
            snapshot = msgspec.msgpack.encode(context.state_machine.capture_snapshot())
    context.restarted = DocumentStateMachine()
    context.restarted.restore_snapshot(msgspec.msgpack.decode(snapshot, type=DocumentSnapshot))
    for number, command in enumerate(log[-tail:]):
        context.restarted.apply(index=LogIndex(count - tail + number), command=command)
    context.log = log


@when("another replica restores its snapshot in steps")
def step_restore_in_steps(context):
    snapshot = context.state_machine.capture_snapshot()
    context.restarted = DocumentStateMachine()
    context.read_counts = []
    read_text = StoredSection.read_text
    with patch.object(StoredSection, "read_text", autospec=True, side_effect=read_text) as reads:
        for _ in context.restarted.restore_snapshot_steps(snapshot):
            context.read_counts.append(reads.call_count)
            reads.reset_mock()
            assert context.restarted.sections == SectionSet()


@then("each step reads one section at most, and both replicas end with the same document")
def step_check_restore(context):
    sections = context.state_machine.sections
    assert max(context.read_counts) == 1, context.read_counts
    assert sum(context.read_counts) == len(sections.sections), context.read_counts
    assert context.restarted.sections == sections
    assert context.restarted.access == context.state_machine.access


@then("both replicas have the same document, history and results")
def step_compare(context):
    assert context.restarted.sections == context.state_machine.sections
    assert context.restarted.capture_snapshot() == context.state_machine.capture_snapshot()
    for number, command in enumerate(context.log):
        index = LogIndex(2_000 + number)
        results = [
            m.apply(index=index, command=command)
            for m in (context.state_machine, context.restarted)
        ]
        assert results[0] == results[1]
        assert isinstance(results[0], ChangeAccepted)


@when('team "{team}" changes section "{section}"')
def step_change_foreign(context, team, section):
    change(context, section, make_team_section(section), team=team)


@then("the change is forbidden")
def step_check_forbidden(context):
    assert isinstance(context.result, ChangeForbidden), context.result


@when("the operators put a fleet section with {field} {value:d}")
def step_put_fleet(context, field, value):
    change(context, "fleet", {field: value}, team="operators", change_id=f"{field} {value}")


@then("the change is rejected because it would move claims")
def step_check_layout_rejected(context):
    assert isinstance(context.result, LedgerLayoutFixed), context.result


@then("the change is accepted and the ledger has {shards:d} shards and {groups:d} groups")
def step_check_layout(context, shards, groups):
    assert isinstance(context.result, ChangeAccepted), context.result
    assert context.state_machine.ledger_layout == LedgerLayout(shards=shards, groups=groups)
