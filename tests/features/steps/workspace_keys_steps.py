import hashlib

import msgspec
from behave import given, then, when
from hypothesis import given as with_values
from hypothesis import settings
from hypothesis import strategies as st

from samphirespring.connection.caller_dialect import SamphireCallerDialect
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.targets import Locality, TargetLoad
from samphirespring.request.attempt import make_attempt_request
from samphirespring.request.authentication import authenticate
from samphirespring.request.body import WholeBody
from samphirespring.request.errors import RequestError
from samphirespring.request.selection import Candidate
from samphirespring.request.states import Outcome
from samphirespring.version.compilation import Compiler, compile_document
from samphirespring.version.document import (
    Document,
    FleetSection,
    RoutePolicy,
    ServicePolicy,
    TeamSection,
    WorkspacePolicy,
)
from samphirespring.version.key_table import make_fingerprint
from samphirespring.version.parser import DocumentInvalidError, parse_document
from samphirespring.version.section_set import SectionSet
from samphirespring.version.stamp import DocumentStamp
from samphirespring.version.validated_sections import ValidatedSections

HOST = "a.example"
LOAD = TargetLoad(
    phase=TargetPhase.SERVING, condition=TargetCondition.HEALTHY, free_slots=5, slots=5
)
LOCALITY = Locality(region="r", failure_domain="d", host="h")
OPEN_PATH = "/open"
KEY_HEADER = b"samphire-api-key"
WORKSPACE_HEADER = b"x-workspace"
OTHER_HEADERS = [(b"host", HOST.encode()), (b"accept", b"text/plain")]


def hash_keys(*keys):
    return tuple(hashlib.sha256(key.encode()).hexdigest() for key in keys)


def make_document(workspaces, *, version=1, **fleet):
    routes = (
        RoutePolicy(host=HOST, service="orders", rank=7),
        RoutePolicy(host=HOST, path_prefix=OPEN_PATH, service="orders", rank=7, key_exempt=True),
    )
    team = TeamSection(
        services={"orders": ServicePolicy()}, routes=routes, workspaces=dict(workspaces)
    )
    return compile_document(
        Document(version=version, fleet=FleetSection(**fleet), teams={"team": team})
    )


def receive(compiled, *, keys=(), claimed=None, path="/x"):
    headers = list(OTHER_HEADERS)
    headers += [(KEY_HEADER, key.encode()) for key in keys]
    if claimed is not None:
        headers.append((WORKSPACE_HEADER, claimed.encode()))
    scope = {
        "method": "GET",
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": headers,
        "client": ("10.0.0.1", 5),
    }
    return SamphireCallerDialect().make_request("r1", scope, WholeBody(b""), compiled)


def check(context, **sent):
    context.received = receive(context.compiled, **sent)
    route = context.compiled.find_route(host=HOST, method="GET", path=context.received.path)
    try:
        context.request = authenticate(context.received, route=route, compiled=context.compiled)
        context.error = None
    except RequestError as error:
        context.request, context.error = None, error


@given('a document in which "acme" holds the keys "k1" and "k2", and "idle" holds none')
def step_make_document(context):
    context.compiled = make_document(
        {
            "acme": WorkspacePolicy(api_keys=hash_keys("k1", "k2"), rank=3),
            "plain": WorkspacePolicy(api_keys=hash_keys("k9")),
            "idle": WorkspacePolicy(),
        }
    )


@given("a document without keys")
def step_make_open_document(context):
    context.compiled = make_document({"acme": WorkspacePolicy(rank=3)})


@given("a document without keys that requires them")
def step_make_closed_document(context):
    context.compiled = make_document({"acme": WorkspacePolicy()}, api_keys_required=True)


@when('a request comes with the key "{key}"')
def step_send_key(context, key):
    check(context, keys=[key])


@when('a request claims "{claimed}" and comes with the key "{key}"')
def step_send_claim_and_key(context, claimed, key):
    check(context, keys=[key], claimed=claimed)


@when("a request comes without a key")
def step_send_no_key(context):
    check(context)


@when("a request comes with an empty key")
def step_send_empty_key(context):
    check(context, keys=[""])


@when("a request comes with a key of {count:d} characters")
def step_send_long_key(context, count):
    check(context, keys=["k" * count])


@when('a request comes with the keys "{first}" and "{second}"')
def step_send_two_keys(context, first, second):
    check(context, keys=[first, second])


@when('a request for an exempt route comes with the key "{key}"')
def step_send_key_to_exempt(context, key):
    check(context, keys=[key], path=OPEN_PATH)


@when("a request for an exempt route comes without a key")
def step_send_no_key_to_exempt(context):
    check(context, path=OPEN_PATH)


@when('a request for an exempt route claims the workspace "{claimed}"')
def step_claim_at_exempt(context, claimed):
    check(context, claimed=claimed, path=OPEN_PATH)


def check_passed_on(context, workspace_headers):
    assert context.error is None, context.error
    others = [(header.name, header.value) for header in context.request.headers]
    assert others == [*OTHER_HEADERS, *workspace_headers], others


@then('it runs for the workspace "{workspace}"')
def step_check_workspace(context, workspace):
    check_passed_on(context, [(WORKSPACE_HEADER, workspace.encode())])
    assert context.request.workspace == workspace
    assert context.request.api_key in (make_fingerprint(b"k1"), make_fingerprint(b"k2"))


@then("it runs without a workspace")
def step_check_no_workspace(context):
    check_passed_on(context, [])
    assert context.request.workspace == ""
    assert context.request.api_key is None


@then("it is refused with 401, not run")
def step_check_refused(context):
    assert context.error is not None
    assert (context.error.status, context.error.code.value) == (401, "api_key_unknown")
    assert context.error.outcome is Outcome.NOT_RUN


@then("the request is passed on unchanged")
def step_check_unchanged(context):
    assert context.request == context.received
    assert context.request.workspace == "acme"
    names = [header.name for header in context.request.headers]
    assert KEY_HEADER in names and WORKSPACE_HEADER in names


def make_attempt(context, key):
    check(context, keys=[key])
    route = context.compiled.find_route(host=HOST, method="GET", path="/x")
    candidate = Candidate(
        target="t1",
        link_address="10.0.0.2:7001",
        locality=LOCALITY,
        incarnation=1,
        load=LOAD,
        admissible=True,
    )
    return make_attempt_request(
        context.request,
        policy=route.policy,
        candidate=candidate,
        document_version=1,
        remaining_ms=1_000,
    )


@then(
    "attempts for a route of rank {route_rank:d} have rank {rank:d} for a workspace of rank 3,"
    " and 7 for one without"
)
def step_check_rank(context, route_rank, rank):
    ranked, plain = make_attempt(context, "k1"), make_attempt(context, "k9")
    assert (ranked.rank, plain.rank) == (rank, route_rank)
    assert (ranked.workspace, plain.workspace) == ("acme", "plain")
    assert ranked.api_key == make_fingerprint(b"k1")


SECTIONS = ("s0", "s1", "s2")
KEYS = tuple(f"k{number}" for number in range(12))


@when("{count:d} random series of changes move keys between the workspaces of 3 sections")
def step_move_keys(context, count):
    context.checked = 0
    holders = st.lists(
        st.sampled_from([(s, w) for s in SECTIONS for w in ("a", "b")]) | st.none(),
        min_size=len(KEYS),
        max_size=len(KEYS),
    )

    @settings(max_examples=count)
    @with_values(st.lists(holders, max_size=6))
    def compare(history):
        compiler = Compiler()
        sections = SectionSet(stamp=DocumentStamp(generation=1, version=0))
        for holder_list in history:
            holding = dict(zip(KEYS, holder_list, strict=True))
            for section in SECTIONS:
                workspaces = {
                    f"{section}-{name}": WorkspacePolicy(
                        api_keys=hash_keys(*(k for k in KEYS if holding[k] == (section, name)))
                    )
                    for name in ("a", "b")
                }
                text = msgspec.json.encode(TeamSection(workspaces=workspaces))
                sections = sections.replace_section(section, text)
            *_, compiled = compiler.compile_steps(sections)
            assert compiled.requires_keys == any(holder_list)
            for key, holder in holding.items():
                found = compiled.find_key_holder(make_fingerprint(key.encode()))
                assert found == (None if holder is None else "-".join(holder)), (key, found)
                context.checked += 1

    compare()


@then("after each change every key belongs to the workspace that holds it, and to no other")
def step_check_moves(context):
    assert context.checked > 500, context.checked


def make_section(**keys):
    return {"workspaces": {name: {"api_keys": hash_keys(key)} for name, key in keys.items()}}


FAULTS = {
    "two workspaces of a section hold the same key": {"s": make_section(a="k1", b="k1")},
    "workspaces of two sections hold the same key": {
        "s": make_section(a="k1"),
        "t": make_section(b="k1"),
    },
    "the id of a workspace with a key contains a line": {
        "s": {"workspaces": {"a\r\nx-other: 1": {"api_keys": hash_keys("k1")}}}
    },
}


@when("a document is checked in which {fault}")
def step_check_fault(context, fault):
    try:
        parse_document(msgspec.json.encode(FAULTS[fault]), version=1)
        context.problems = ()
    except DocumentInvalidError as error:
        context.problems = error.problems


@then('it is rejected, and a problem says "{problem}"')
def step_check_problem(context, problem):
    assert any(problem in found for found in context.problems), context.problems


def put(sections, name, section):
    try:
        sections.put(name, msgspec.json.encode(section))
    except DocumentInvalidError:
        return False
    return True


@then(
    "a section can't take a key that another section's workspace holds until that one gives it up"
)
def step_check_handover(context):
    sections = ValidatedSections()
    assert put(sections, "s", make_section(a="k1"))
    assert not put(sections, "t", make_section(b="k1"))
    assert put(sections, "s", make_section(a="k2"))
    assert put(sections, "t", make_section(b="k1"))
    assert not put(sections, "s", make_section(a="k1"))
