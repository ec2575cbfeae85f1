import json
import os
import socket
import subprocess
import tempfile
from pathlib import Path

from behave import given, then, when

from fleet.example import REPOSITORY, place_example
from fleet.processes import PROGRAM_FOLDER
from samphirespring.process.settings import ControlSettings, NodeSettings, load_settings
from samphirespring.version.ids import DocumentVersion
from samphirespring.version.parser import parse_document


def _run_program(program, settings):
    return subprocess.run(
        [str(PROGRAM_FOLDER / program), "--settings", str(settings)],
        capture_output=True,
        text=True,
        timeout=30,
        cwd=REPOSITORY,
    )


@when('"{program}" starts with "{name}" in which "{path}" is {value}')
def step_start_invalid(context, program, name, path, value):
    settings = json.loads((REPOSITORY / "examples" / "wheatsheaf" / name).read_text())
    member = settings
    *parents, last = path.split(".")
    for parent in parents:
        member = member.setdefault(parent, {})
    member[last] = json.loads(value)
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / name
        file.write_text(json.dumps(settings))
        context.completed = _run_program(program, file)


@given("another process listens at an address")
def step_listen(context):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.used_address = listener.getsockname()


@when('"{program}" starts with "{name}" whose "{path}" is that address')
def step_start_with_used_address(context, program, name, path):
    offset = int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
    with tempfile.TemporaryDirectory() as folder:
        example = place_example("wheatsheaf", Path(folder), port_offset=offset)
        file = next(p for p in (*example.nodes, *example.controls) if p.name == name)
        settings = json.loads(file.read_text())
        settings[path] = f"127.0.0.1:{context.used_address[1]}"
        file.write_text(json.dumps(settings))
        context.completed = _run_program(program, file)


@then("it exits with status {status:d} and its log names the address")
def step_check_used_address(context, status):
    assert context.completed.returncode == status, context.completed
    events = [json.loads(line) for line in context.completed.stdout.splitlines()]
    failed = [event for event in events if event["event"] == "listen_failed"]
    assert [event["port"] for event in failed] == [context.used_address[1]], events


@when('"{program}" starts with a settings file that doesn\'t exist')
def step_start_missing(context, program):
    context.completed = _run_program(program, Path("/nonexistent/settings.json"))


@then('it exits with status {status:d} and prints one line with "{text}"')
def step_check_exit(context, status, text):
    assert context.completed.returncode == status, context.completed
    lines = context.completed.stderr.splitlines()
    assert len(lines) == 1, lines
    assert lines[0].startswith("settings_invalid: "), lines
    assert text in lines[0], lines


@then('the settings and the document of "{example}" are valid')
def step_check_example(context, example):
    folder = REPOSITORY / "examples" / example
    context.nodes = [load_settings(p, NodeSettings) for p in sorted(folder.glob("node-*.json"))]
    controls = [load_settings(p, ControlSettings) for p in sorted(folder.glob("control-*.json"))]
    assert len(controls) == 3
    assert all(len(control.peers) == 3 for control in controls)


@then('the document of "{example}" defines services {services} with {slots:d} slots')
def step_check_document(context, example, services, slots):
    text = (REPOSITORY / "examples" / example / "document.json").read_bytes()
    document = parse_document(text, version=DocumentVersion(1))
    found = {
        name: policy for team in document.teams.values() for name, policy in team.services.items()
    }
    assert sorted(found) == sorted(services.split(", ")), found
    assert all(policy.slots == slots for policy in found.values())


@then('the settings of "{example}" name {regions:d} regions and {domains:d} failure domains')
def step_check_localities(context, example, regions, domains):
    localities = [node.locality for node in context.nodes]
    assert len({locality.region for locality in localities}) == regions
    assert len({locality.failure_domain for locality in localities}) == domains
