import json
import tempfile
from pathlib import Path

from behave import given, then, when
from typer.testing import CliRunner

from samphirespring.process.programs.ctl import app

DAY = "2026-03-20T"


@given('the log of "{process}" has these lines')
def step_log(context, process):
    if "folder" not in context:
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.folder = Path(folder.name)
        context.logs = []
    path = context.folder / f"{process}.log"
    lines = [
        json.dumps(
            {
                **json.loads(row["fields"]),
                "event": row["event"],
                "level": "info",
                "timestamp": f"{DAY}{row['at']}000Z",
            }
        )
        for row in context.table
    ]
    path.write_text("".join(f"{line}\n" for line in lines))
    context.logs.append(path)


def run_explain(context, request, paths, *, as_json=True):
    options = ["--json"] if as_json else []
    command = [*options, "explain", request, *map(str, paths)]
    return CliRunner().invoke(app, command, env={"COLUMNS": "200"})


@when('an operator asks for the explanation of "{request}"')
def step_explain(context, request):
    context.request = request
    context.result = run_explain(context, request, context.logs)


@when('an operator asks for the explanation of "{request}" in a file that is missing')
def step_explain_missing(context, request):
    context.result = run_explain(context, request, [context.folder / "missing.log"])


@when("other text stands between the lines, and the collector's words before them")
def step_prefix(context):
    for path in context.logs:
        lines = path.read_text().splitlines()
        text = "".join(f"  4.8 {path.stem} {line}\nno log {{\n\n" for line in lines)
        path.write_text(text)
        path.rename(path.with_suffix(".txt"))
    context.logs = [path.with_suffix(".txt") for path in context.logs]


@then("these are its steps")
def step_check_steps(context):
    assert context.result.exit_code == 0, context.result.output
    steps = json.loads(context.result.stdout)
    rows = [(row["at"], row["process"], row["step"]) for row in context.table]
    found = [(s["at"][len(DAY) :][:12].ljust(12, "0"), s["process"], s["step"]) for s in steps]
    assert [row[1:] for row in rows] == [row[1:] for row in found], found
    for row, step in zip(context.table, steps, strict=True):
        assert row["at"].rstrip("0").rstrip(".") in step["at"], (row["at"], step["at"])
        text = json.dumps(step["details"])
        assert all(name in text for name in row["names"].split()), (row["names"], text)


@then('the table names the targets "{first}" and "{second}"')
def step_check_table(context, first, second):
    shown = run_explain(context, context.request, context.logs, as_json=False)
    assert shown.exit_code == 0, shown.output
    assert first in shown.stdout and second in shown.stdout, shown.stdout


@then("the command ends with {status:d} and says where lines may be missing")
def step_check_unknown(context, status):
    assert context.result.exit_code == status, context.result.output
    assert "request_lines_omitted" in context.result.output


@then("the command ends with {status:d}")
def step_check_status(context, status):
    assert context.result.exit_code == status, context.result.output


@then("it has {count:d} steps")
def step_check_step_count(context, count):
    assert len(json.loads(context.result.stdout)) == count, context.result.output
