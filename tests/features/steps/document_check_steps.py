import copy
import json
import tempfile
from pathlib import Path

from behave import given, then, when
from typer.testing import CliRunner

from samphirespring.process.programs.ctl import app
from samphirespring.version.document_changes import compare_documents
from samphirespring.version.document_check import check_document
from samphirespring.version.parser import parse_document

SOUND = {
    "t": {
        "services": {"s": {}},
        "routes": [{"host": "a.example", "service": "s"}],
        "workspaces": {
            "w": {
                "api_keys": ["0" * 64],
                "limit": {"requests_per_s": 5, "burst": 9},
                "quota": {"requests_per_s": 5, "burst": 9},
            }
        },
    }
}


def parse(content):
    return parse_document(json.dumps(content).encode(), version=1)


@given("a document without likely mistakes")
def step_sound(context):
    context.content = copy.deepcopy(SOUND)


@when("{entry} is set to {value}")
def step_set(context, entry, value):
    *names, last = entry.split(".")
    part = context.content
    for name in names:
        part = part[int(name)] if isinstance(part, list) else part.setdefault(name, {})
    part[last] = json.loads(value)


@then('the check finds "{kind}" at "{path}"')
def step_check_finding(context, kind, path):
    findings = check_document(parse(context.content))
    assert [(f.kind.value, f.path) for f in findings] == [(kind, path)], findings


@then("the check finds nothing")
def step_check_none(context):
    assert check_document(parse(context.content)) == ()


@then("against one with another deadline, a service more and no workspace it shows")
def step_check_changes(context):
    after = copy.deepcopy(context.content)
    after["t"]["routes"][0]["deadline_ms"] = 1_000
    after["t"]["services"]["new"] = {}
    after["t"]["workspaces"] = {}
    changes = compare_documents(parse(context.content), parse(after))
    shown = [(c.kind.value, c.entry, ", ".join(c.fields)) for c in changes]
    assert shown == [(r["change"], r["entry"], r["fields"]) for r in context.table], shown


@when('"samphirectl check" runs on its file, and on one more with <content>')
def step_prepare(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    folder = Path(folder.name)
    context.files = [folder / "first.json", folder / "second.json"]
    context.files[0].write_text(json.dumps(context.content))


@then("it exits with these statuses and says")
def step_check_command(context):
    first, second = map(str, context.files)
    for row in context.table:
        context.files[1].write_text(row["content"])
        result = CliRunner().invoke(app, ["--json", "check", first, second, "--against", first])
        assert result.exit_code == int(row["status"]), result.output
        assert row["says"] in result.output, result.output
