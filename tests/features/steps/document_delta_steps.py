import contextlib
import tempfile
from pathlib import Path
from unittest.mock import patch

import msgspec
from behave import given, then, when

from document.samples import (
    make_change,
    make_initialize_command,
    make_state_machine,
    make_team_section,
)
from samphirespring.process.document.file import DocumentFile, DocumentFileInvalidError
from samphirespring.process.document.state_machine import DocumentStateMachine
from samphirespring.process.ids import LogIndex
from samphirespring.version.section_set import (
    DeltaInvalidError,
    SectionSet,
    StoredSection,
)


def deliver(context, delta, *, at):
    node = context.versions[at]
    try:
        context.node = node.apply_delta(delta)
        context.error = None
    except DeltaInvalidError as error:
        context.node = node
        context.error = error


@given("a document of {count:d} versions")
def step_make_versions(context, count):
    context.state_machine = make_state_machine()
    context.versions = {1: context.state_machine.sections}
    for number in range(2, count + 1):
        content = make_team_section("bread", routes=number)
        base = context.state_machine.sections.sections["bread"].version
        put = make_change("bread", base=base, change_id=str(number), content=content, team="bread")
        context.state_machine.apply(index=LogIndex(number), command=put)
        context.versions[number] = context.state_machine.sections


@when("a node at version {at:d} gets the complete document of version {version:d}")
def step_deliver_complete(context, at, version):
    deliver(context, context.versions[version].make_delta(SectionSet().stamp), at=at)


@when("a node at version {at:d} gets the delta to version {version:d} without one section")
def step_deliver_partial(context, at, version):
    delta = context.versions[version].make_delta(context.versions[at].stamp)
    deliver(context, msgspec.structs.replace(delta, sections=()), at=at)


@when("a node at version {at:d} gets the delta from version {start:d} to version {version:d}")
def step_deliver_gap(context, at, start, version):
    delta = context.versions[version].make_delta(context.versions[start].stamp)
    # The delta contains all changes, so only its start version is wrong.
    deliver(context, delta, at=at)


@then("the node stays at version {version:d}")
def step_check_version(context, version):
    assert context.node.stamp.version == version, context.node.stamp


@then('the delta is rejected with "{code}"')
def step_check_rejected(context, code):
    assert context.error is not None
    assert context.error.code.value == code


@when('section "{name}" is deleted and a node at version {at:d} gets the delta')
def step_delete(context, name, at):
    delete = make_change(name, base=1, change_id="delete", content=None, team=name)
    context.state_machine.apply(index=LogIndex(9), command=delete)
    deliver(context, context.state_machine.sections.make_delta(context.versions[at].stamp), at=at)


@then('the node has the sections "{names}"')
def step_check_sections(context, names):
    assert context.error is None
    assert sorted(context.node.sections) == sorted(names.split(", "))


@when("{count:d} sections are added and deleted")
def step_add_and_delete(context, count):
    sections = context.versions[1]
    for number in range(count):
        sections = sections.replace_section(f"s{number}", b"{}").remove_section(f"s{number}")
    context.newest = sections


@then("a node at version {at:d} gets the complete document")
def step_check_complete(context, at):
    delta = context.newest.make_delta(context.versions[at].stamp)
    assert delta.complete
    assert context.versions[at].apply_delta(delta).sections == context.newest.sections


@then("the delta from version {old:d} to version {new:d} has {count:d} section")
def step_check_size(context, old, new, count):
    delta = context.versions[new].make_delta(context.versions[old].stamp)
    assert not delta.complete
    assert len(delta.sections) == count


@when("the group is initialized again and a node at version {at:d} gets its first version")
def step_initialize_again(context, at):
    state_machine = DocumentStateMachine()
    state_machine.apply(index=LogIndex(1), command=make_initialize_command(generation=2))
    deliver(context, state_machine.sections.make_delta(context.versions[at].stamp), at=at)


@then("the node has the new generation")
def step_check_generation(context):
    assert context.error is None
    assert context.node.stamp.generation == 2


@when("a new node applies the complete document in steps")
def step_apply_in_steps(context):
    delta = context.versions[3].make_delta(SectionSet().stamp)
    context.checked_counts = []
    read_text = StoredSection.read_text
    with patch.object(StoredSection, "read_text", autospec=True, side_effect=read_text) as reads:
        for context.node in SectionSet().apply_delta_steps(delta):
            context.checked_counts.append(reads.call_count)
            reads.reset_mock()


@then("each step has checked at most one section, and the node has the document")
def step_check_steps(context):
    sections = context.versions[3].sections
    assert context.checked_counts == [1] * len(sections) + [0], context.checked_counts
    assert context.node.sections == sections


@when("the document is saved and each byte of its file is corrupted in turn")
def step_corrupt(context):
    context.loaded = []
    with tempfile.TemporaryDirectory() as folder:
        file = DocumentFile(Path(folder))
        file.save(context.state_machine.sections)
        assert file.load().sections == context.state_machine.sections.sections
        path = next(Path(folder).iterdir())
        original = path.read_bytes()
        for position in range(len(original)):
            path.write_bytes(
                original[:position] + bytes([original[position] ^ 0x40]) + original[position + 1 :]
            )
            with contextlib.suppress(DocumentFileInvalidError):
                context.loaded.append(file.load())
        path.write_bytes(original[: len(original) // 2])
        with contextlib.suppress(DocumentFileInvalidError):
            context.loaded.append(file.load())


@then("no corrupted file is loaded as a document")
def step_check_corrupt(context):
    assert context.loaded == []
