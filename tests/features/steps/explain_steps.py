import json
import tempfile
from pathlib import Path

from behave import given, then, when
from typer.testing import CliRunner

from samphirespring.process.programs.ctl import app

DAY = "2026-03-20T"


@given('the log of "{process}" contains these lines')
def step_write_log(context, process):
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


@when('an operator explains request "{request}"')
def step_explain(context, request):
    context.request = request
    context.result = run_explain(context, request, context.logs)


@when('an operator explains request "{request}" from a missing file')
def step_explain_missing(context, request):
    context.result = run_explain(context, request, [context.folder / "missing.log"])


@when("the log lines have a collector's prefix and other text between them")
def step_add_other_text(context):
    for path in context.logs:
        lines = path.read_text().splitlines()
        text = "".join(f"  4.8 {path.stem} {line}\nno log {{\n\n" for line in lines)
        path.write_text(text)
        path.rename(path.with_suffix(".txt"))
    context.logs = [path.with_suffix(".txt") for path in context.logs]


@then("the explanation has these steps")
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


@then('the table contains the targets "{first}" and "{second}"')
def step_check_table(context, first, second):
    result = run_explain(context, context.request, context.logs, as_json=False)
    assert result.exit_code == 0, result.output
    assert first in result.stdout and second in result.stdout, result.stdout


@then("the command exits with {status:d} and names the event that marks omitted lines")
def step_check_request_not_logged(context, status):
    assert context.result.exit_code == status, context.result.output
    assert "request_lines_omitted" in context.result.output


@then("the command exits with {status:d}")
def step_check_status(context, status):
    assert context.result.exit_code == status, context.result.output


@then("the explanation has {count:d} steps")
def step_check_step_count(context, count):
    assert len(json.loads(context.result.stdout)) == count, context.result.output
