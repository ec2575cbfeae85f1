import json

import anyio
from behave import given, then, when
from hypothesis import given as with_values
from hypothesis import settings
from hypothesis import strategies as st

from document.operators import FollowerProposer, run_operators
from document.samples import OPERATORS, make_team_section, make_token
from samphirespring.connection.registry_link import HostReport, ReportBatch
from samphirespring.process.document.in_force import InForceReport, VersionCount
from samphirespring.process.errors import ErrorCode
from samphirespring.process.targets import HostRecord, Locality
from samphirespring.version.stamp import DocumentStamp

ENDPOINTS = (
    ("GET", "/v1/document"),
    ("GET", "/v1/document/sections/bread"),
    ("PUT", "/v1/document/sections/bread"),
    ("DELETE", "/v1/document/sections/bread"),
    ("GET", "/v1/document/sections/bread/diff"),
    ("GET", "/v1/document/history"),
    ("GET", "/v1/document/in-force"),
    ("GET", "/v1/status"),
    ("GET", "/v1/hosts"),
    ("GET", "/v1/hosts/h/dump"),
    ("PUT", "/v1/hosts/h/drain"),
    ("PUT", "/v1/targets/t/drain"),
    ("PUT", "/v1/groups/document/replicas/b/replacement"),
    ("GET", "/v1/dump"),
    ("GET", "/v1/dump/registry_keeper/hosts"),
    ("GET", "/v1/hosts/h/dump/target_table/hosts"),
)
CODES = {code.value for code in ErrorCode}


def run(context, requests, **options):
    """Send the requests of earlier steps, then new ones, and keep the responses to the new ones."""

    async def main():
        async with run_operators(**context.options) as fixture:
            for request in context.requests:
                await fixture.call(**request)
            context.responses = [await fixture.call(**request) for request in requests]
            context.version = fixture.state_machine.sections.stamp.version

    anyio.run(main)
    context.requests.extend(requests)


def put(section, *, team, base, change_id, content=None):
    content = make_team_section(section, routes=2) if content is None else content
    body = {"base_version": base, "change_id": change_id, "content": content}
    return {
        "method": "PUT",
        "path": f"/v1/document/sections/{section}",
        "team": team,
        "body": body,
    }


@given("the operator API of one control host")
def step_leader(context):
    context.options = {}
    context.requests = []


@given("the operator API of a follower")
def step_follower(context):
    context.options = {"proposer_type": FollowerProposer}
    context.requests = []


def check_rejected(context, status, code, **credential):
    requests = [
        {"method": method, "path": path, "team": None, "body": {}, **credential}
        for method, path in ENDPOINTS
    ]
    run(context, requests)
    for response in context.responses:
        assert response.status == status, response
        assert response.read_json()["code"] == code, response


@then('every endpoint rejects a request without a token with {status:d} "{code}"')
def step_no_token(context, status, code):
    check_rejected(context, status, code)


@then('every endpoint rejects an unknown token with {status:d} "{code}"')
def step_unknown_token(context, status, code):
    check_rejected(context, status, code, token="token-nobody")
    check_rejected(context, status, code, token="\u00e9")


@then("the document is unchanged")
def step_unchanged(context):
    assert context.version == 1


@then('these requests of team "{team}" are rejected with {status:d} "{code}"')
def step_forbidden(context, team, status, code):
    run(
        context,
        [
            {"method": row["method"], "path": row["path"], "team": team, "body": {}}
            for row in context.table
        ],
    )
    for response in context.responses:
        assert response.status == status, response
        assert response.read_json()["code"] == code, response


@when('team "{team}" puts its section with base version {base:d} as change "{change_id}", twice')
def step_put_twice(context, team, base, change_id):
    run(context, [put(team, team=team, base=base, change_id=change_id)] * 2)


@when('team "{team}" puts its section with base version {base:d} as change "{change_id}"')
def step_put(context, team, base, change_id):
    run(context, [put(team, team=team, base=base, change_id=change_id)])


@when('team "{team}" puts section "{section}" with base version {base:d} as change "{change_id}"')
def step_put_section(context, team, section, base, change_id):
    run(context, [put(section, team=team, base=base, change_id=change_id)])


@when('team "{team}" puts different content with base version {base:d} as change "{change_id}"')
def step_put_other(context, team, base, change_id):
    content = make_team_section(team, routes=3)
    run(context, [put(team, team=team, base=base, change_id=change_id, content=content)])


@then("both responses have status {status:d} and version {version:d}")
def step_check_both(context, status, version):
    assert [response.status for response in context.responses] == [status] * 2, context.responses
    assert context.responses[0].body == context.responses[1].body
    assert context.responses[0].read_json()["version"] == version


@then('the history shows team "{team}" and change "{change_id}"')
def step_check_history(context, team, change_id):
    run(context, [{"method": "GET", "path": "/v1/document/history"}])
    (change,) = context.responses[0].read_json()["changes"]
    assert (change["team"], change["change_id"]) == (team, change_id)
    assert change["at"].startswith("2027-01-15T08:00:00")


@then('version {version:d} by team "{team}" is reported with {status:d} "{code}"')
def step_check_conflict(context, status, code, version, team):
    (response,) = context.responses
    problem = response.read_json()
    assert (response.status, problem["code"]) == (status, code), response
    assert (problem["current_version"], problem["winner"]["team"]) == (version, team)


@then('the response is {status:d} "{code}"')
def step_check_response(context, status, code):
    (response,) = context.responses
    assert (response.status, response.read_json()["code"]) == (status, code), response


@when('team "{team}" puts a section with two problems')
def step_put_problems(context, team):
    content = make_team_section(team, floor=2)
    content["extra"] = 1
    run(context, [put(team, team=team, base=1, change_id="c", content=content)])


@then('{count:d} problems below "{path}" are reported with {status:d} "{code}"')
def step_check_problems(context, status, code, count, path):
    (response,) = context.responses
    problem = response.read_json()
    assert (response.status, problem["code"]) == (status, code), response
    assert len(problem["problems"]) == count
    assert all(f"`{path}" in text for text in problem["problems"]), problem


@then("the response is a redirect to the leader")
def step_check_redirect(context):
    (response,) = context.responses
    assert response.status == 307
    assert response.headers["location"] == "http://127.0.0.2:99/v1/document/sections/bread"
    assert response.read_json()["code"] == "not_leader"


@then("the diff from {old:d} to {new:d} shows the new route")
def step_check_diff(context, old, new):
    path = "/v1/document/sections/bread/diff"
    run(context, [{"method": "GET", "path": path, "query": f"from={old}&to={new}"}])
    added = [line for line in context.responses[0].body.decode().splitlines() if line[:1] == "+"]
    assert any('"path_prefix": "/1"' in line for line in added), context.responses


@when('team "{team}" deletes its section with base version {base:d} as change "{change_id}"')
def step_delete(context, team, base, change_id):
    query = f"base_version={base}&change_id={change_id}"
    path = f"/v1/document/sections/{team}"
    run(context, [{"method": "DELETE", "path": path, "team": team, "query": query}])
    assert context.responses[0].status == 200, context.responses


@then('reading section "{section}" returns {status:d} "{code}"')
def step_read_section(context, section, status, code):
    run(context, [{"method": "GET", "path": f"/v1/document/sections/{section}"}])
    step_check_response(context, status, code)


async def register(fixture, number, stamp):
    locality = Locality(region="r", failure_domain="d", host=f"h{number}")
    record = HostRecord(
        locality=locality, incarnation=1, link_address=f"127.0.0.1:{number + 1}", sequence=1
    )
    report = HostReport(host=locality.host, incarnation=1, sequence=1, record=record)
    await fixture.registry.report(ReportBatch(known_version=0, reports=(report,)))
    if stamp is not None:
        await report_in_force(fixture, number, stamp)


async def report_in_force(fixture, number, stamp):
    counts = (VersionCount(stamp=stamp, hosts=1),)
    await fixture.store.record_report(
        InForceReport(region="r", failure_domain="d", host=f"h{number}", counts=counts)
    )


@when("{total:d} hosts of a domain are in the registry and {count:d} report version {version:d}")
def step_report(context, total, count, version):
    async def main():
        async with run_operators() as fixture:
            stamp = DocumentStamp(generation=1, version=version)
            for number in range(total):
                await register(fixture, number, stamp if number < count else None)
            path = "/v1/document/in-force"
            context.before = await fixture.call("GET", path, query=f"version={version}")
            await report_in_force(fixture, total - 1, stamp)
            context.after = await fixture.call("GET", path, query=f"version={version}")

    anyio.run(main)


@then("version {version:d} is in force on {count:d} of {total:d} hosts and not complete")
def step_check_progress(context, version, count, total):
    view = context.before.read_json()
    (domain,) = view["domains"]
    assert not view["complete"]
    assert (domain["in_force"], domain["hosts"]) == (count, total)


@then("version {version:d} is complete once the third host reports it")
def step_check_complete(context, version):
    assert context.after.read_json()["complete"]


@when("{count:d} random requests are sent to the operator API")
def step_fuzz(context, count):
    texts = st.text(max_size=30)
    values = st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | texts,
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3),
        max_leaves=8,
    )
    sections = st.fixed_dictionaries(
        {},
        optional={
            "services": st.dictionaries(texts, values, max_size=2) | values,
            "routes": st.lists(values, max_size=2) | values,
            "workspaces": st.dictionaries(texts, values, max_size=2) | values,
        },
    )
    bodies = st.fixed_dictionaries(
        {
            "base_version": st.integers(-1, 3) | values,
            "change_id": texts | values,
            "content": sections | values,
        }
    )
    encoded = bodies.map(lambda value: json.dumps(value).encode()) | st.binary(max_size=50)
    names = st.sampled_from(["bread", "common", "access", "x" * 300, "é", "a b"])
    queries = st.sampled_from(["", "base_version=1&change_id=q", "from=1&to=x", "limit=-1"])
    context.fuzzed = []

    async def main():
        async with run_operators() as fixture:

            @settings(max_examples=count)
            @with_values(
                st.sampled_from(ENDPOINTS),
                names,
                queries,
                encoded,
                st.sampled_from(["bread", OPERATORS]),
            )
            def collect(endpoint, name, query, body, team):
                method, path = endpoint
                context.fuzzed.append(
                    {
                        "method": method,
                        "path": path.replace("bread", name),
                        "query": query,
                        "body": body,
                        "token": make_token(team),
                    }
                )

            collect()
            context.responses = [await fixture.call(**request) for request in context.fuzzed]

    anyio.run(main)


@then("each response has a status below {status:d} and every error has a code")
def step_check_fuzz(context, status):
    assert len(context.responses) >= 100
    for request, response in zip(context.fuzzed, context.responses, strict=True):
        assert response.status < status, (request, response)
        if response.status >= 300:
            assert response.read_json()["code"] in CODES, (request, response)
