from behave import given, then

from document.field_pages import COMMAND, list_fields, make_pages, read_meanings
from document.operations_page import PAGE, find_problems, find_untyped_loggers, find_unused_names
from samphirespring.process import settings
from samphirespring.version import document


@then("every field of the document and of the settings has a docstring")
def step_check_meanings(context):
    for module in (document, settings):
        documented = read_meanings(module)
        missing = [field for field in list_fields(module) if field not in documented]
        assert missing == [], f"docstrings are missing below these fields: {missing}"


@then("the pages in the repository are the ones generated from the code")
def step_check_pages(context):
    for path, text in make_pages().items():
        assert path.read_text() == text, f"{path.name} differs from the code: run {COMMAND}"


@then(
    "the operators' page lists each error code, refusal, log event and metric of the code "
    "and no other"
)
def step_check_operations_page(context):
    problems = find_problems(PAGE.read_text())
    assert problems == [], "\n".join(problems)


@then("the code uses each of these names, and no others for log events and metrics")
def step_check_names(context):
    assert find_unused_names() == []
    assert find_untyped_loggers() == []


@given('a copy of the operators\' page without the row of "{name}"')
def step_copy_page(context, name):
    lines = PAGE.read_text().splitlines()
    context.page = [line for line in lines if not line.startswith(f"| `{name}`")]


@given('with a row for the code "{name}" that doesn\'t say what to do')
def step_add_row(context, name):
    context.page += ["", "| code | meaning | what to do |", "|---|---|---|", f"| `{name}` | x | |"]


@then("the problems reported are")
def step_check_problems(context):
    problems = find_problems("\n".join(context.page))
    assert problems == [row["problem"] for row in context.table], problems
