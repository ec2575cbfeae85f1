import msgspec
from behave import given, then, when
from hypothesis import given as with_values
from hypothesis import settings
from hypothesis import strategies as st

from document.samples import make_team_section
from samphirespring.version import compilation
from samphirespring.version.compilation import Compiler, compile_sections
from samphirespring.version.section_set import SectionSet
from samphirespring.version.stamp import DocumentStamp

NAMES = ("a", "b", "c")
EMPTY = SectionSet(stamp=DocumentStamp(generation=1, version=0))


def put(sections, name, content):
    return sections.replace_section(name, msgspec.json.encode(content))


def compile_with(compiler, sections):
    steps = list(compiler.compile_steps(sections))
    return steps[-1], len(steps)


def read_all(compiled):
    """Return everything that requests can look up in a compiled document."""
    routes = {
        (name, number, method): compiled.find_route(
            host=f"{name}.example", method=method, path=f"/{number}/x"
        )
        for name in NAMES
        for number in range(5)
        for method in ("GET", "PUT")
    }
    workspaces = {
        f"{name}-{number}": compiled.find_workspace(f"{name}-{number}")
        for name in NAMES
        for number in range(5)
    }
    return routes, workspaces, dict(compiled.services), compiled.fleet, compiled.access


@when("{count:d} random series of section changes are compiled change by change")
def step_compile_random(context, count):
    context.compared = 0
    sizes = st.integers(0, 4)
    changes = st.lists(
        st.tuples(st.sampled_from(NAMES), sizes, sizes, st.sampled_from([0.5, 0.7, 0.9])),
        max_size=8,
    )

    @settings(max_examples=count)
    @with_values(changes, st.booleans())
    def compare(history, remove):
        compiler = Compiler()
        sections = EMPTY
        for name, routes, workspaces, floor in history:
            if remove and name in sections.sections and not routes:
                sections = sections.remove_section(name)
            else:
                content = make_team_section(name, routes=routes, workspaces=workspaces, floor=floor)
                sections = put(sections, name, content)
            compiled, _ = compile_with(compiler, sections)
            assert read_all(compiled) == read_all(compile_sections(sections))
            context.compared += 1

    compare()


@then("each version has the same routes, services and workspaces as a compilation from scratch")
def step_check_random(context):
    assert context.compared > 100


@given("a document of {count:d} sections with {routes:d} routes and {workspaces:d} workspaces each")
def step_make_document(context, count, routes, workspaces):
    context.sections = EMPTY
    context.size = (routes, workspaces)
    for number in range(count):
        content = make_team_section(f"t{number}", routes=routes, workspaces=workspaces)
        context.sections = put(context.sections, f"t{number}", content)
    context.compiler = Compiler()
    context.earlier, context.all_steps = compile_with(context.compiler, context.sections)


@when("one section changes")
def step_change_section(context):
    routes, workspaces = context.size
    content = make_team_section("t0", routes=routes + 1, workspaces=workspaces - 1, floor=0.9)
    context.sections = put(context.sections, "t0", content)
    context.compiled, context.steps = compile_with(context.compiler, context.sections)


@then("its compilation takes at most a fifth of the steps of the whole document")
def step_check_steps(context):
    assert context.steps * 5 <= context.all_steps, (context.steps, context.all_steps)


@then("no step decodes more than {limit:d} items")
def step_check_items(context, limit):
    assert max(compilation.ROUTES_PER_STEP, compilation.WORKSPACES_PER_STEP) <= limit


@then("the earlier version still has its routes and limits")
def step_check_earlier(context):
    def find(compiled):
        route = compiled.find_route(host="t0.example", method="GET", path="/3")
        return route, compiled.find_workspace("t0-2"), compiled.services["t0"].floor

    route, workspace, floor = find(context.earlier)
    assert (route, floor) == (None, 0.7)
    assert workspace is not None
    route, workspace, floor = find(context.compiled)
    assert route is not None
    assert (workspace, floor) == (None, 0.9)


@given("a section with a route to a service of another section")
def step_route_to_other_section(context):
    content = make_team_section("a")
    content["routes"][0]["service"] = "b"
    context.sections = put(put(EMPTY, "b", make_team_section("b")), "a", content)
    context.compiler = Compiler()
    context.earlier, _ = compile_with(context.compiler, context.sections)


@when("the other section changes the service")
def step_change_service(context):
    context.sections = put(context.sections, "b", make_team_section("b", floor=0.2))
    context.compiled, _ = compile_with(context.compiler, context.sections)


@then("the route has the new policy of the service")
def step_check_policy(context):
    def read_floor(compiled):
        return compiled.find_route(host="a.example", method="GET", path="/0").service.floor

    assert (read_floor(context.earlier), read_floor(context.compiled)) == (0.7, 0.2)
