import json
import re
from collections import Counter
from pathlib import Path
from unittest.mock import patch

import anyio
import anyio.lowlevel
import msgspec
from behave import given, then, when

from document.asgi import call_app
from front.fakes import make_attempt_message
from samphirespring.connection.http_server import ACCEPTED_REQUEST_TIMEOUT_S
from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.platform import operator_http
from samphirespring.platform.announcements import AnnouncementApp, parse_heartbeat
from samphirespring.platform.backend_dialect import PlatformBackendDialect
from samphirespring.platform.caller_dialect import PlatformCallerDialect
from samphirespring.platform.configuration import (
    OPERATOR_SECTION,
    DeploymentDefaults,
    translate_configuration,
)
from samphirespring.platform.control_adapter import read_defaults
from samphirespring.platform.operator_http import ConfigurationApp
from samphirespring.platform.settings import PlatformControlSettings, PlatformNodeSettings
from samphirespring.platform.units import parse_seconds
from samphirespring.process.agent.agent import Agent
from samphirespring.process.agent.agent_messages import AnnounceTarget, SetDrain
from samphirespring.process.agent.departure_store import DepartureStore
from samphirespring.process.document.commands import ChangeSection, DocumentSnapshot
from samphirespring.process.document.service import DocumentService
from samphirespring.process.document.state_machine import DocumentStateMachine
from samphirespring.process.mailbox import ask
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.node_readiness import NodeReadiness
from samphirespring.process.replication.state_machine import LocalProposer, NotLeaderError
from samphirespring.process.states import TargetPhase
from samphirespring.process.targets import LeaveRecord, Locality
from samphirespring.process.timers import ManualTimerService
from samphirespring.request.authentication import authenticate
from samphirespring.request.body import EMPTY_BODY, WholeBody
from samphirespring.request.caller import ResponseMetadata
from samphirespring.request.errors import ApiKeyUnknownError, DeadlineExpiredError, RefusedError
from samphirespring.request.messages import Header, ResponseHead
from samphirespring.request.states import Outcome
from samphirespring.version.compilation import compile_document, compile_sections
from samphirespring.version.document import FleetSection
from samphirespring.version.key_table import compute_digest, shorten_digest
from samphirespring.version.parser import build_document_steps
from samphirespring.version.states import PriorityClass

DEPLOY = Path(__file__).resolve().parents[3] / "deploy"
ADDRESS = "10.1.0.41:8628"
SERVICE_DEFAULTS = DeploymentDefaults()
STRICT_DEFAULTS = DeploymentDefaults(key_lease_ms=4_750, quota_overshoot=0.1, quota_slack=20)


def make_heartbeat(state="ready", sequence=1, started_ms=1000):
    return {
        "address": ADDRESS,
        "born": started_ms,
        "info": {"service": "orders", "version": "v1", "zone": "a", "slots": 5},
        "status": {"state": state, "sequence": sequence, "cold-remaining": "0ms"},
    }


def make_invalid_heartbeat(fault):
    heartbeat = make_heartbeat()
    match fault:
        case "the service is missing":
            del heartbeat["info"]["service"]
        case "the slots are a string":
            heartbeat["info"]["slots"] = "many"
        case 'the state is "resting"':
            heartbeat["status"]["state"] = "resting"
        case "the body isn't JSON":
            return b"\xff\x00{"
        case "the cold time has no unit":
            heartbeat["status"]["cold-remaining"] = "12"
        case "the address is another host's":
            heartbeat["address"] = "10.9.9.9:8628"
        case "the address is 8,000 nested arrays":
            return b'{"address": %s}' % (b"[" * 8_000 + b"]" * 8_000)
        case "the address is 3,000 nested objects":
            return b'{"address": %s0%s}' % (b'{"":' * 3_000, b"}" * 3_000)
        case "the start is 2^70":
            heartbeat["born"] = 1 << 70
        case "the sequence is 2^64":
            heartbeat["status"]["sequence"] = 1 << 64
        case "the cold time has 400 digits":
            heartbeat["status"]["cold-remaining"] = "9" * 400 + "ms"
        case "the slots are 10^30":
            heartbeat["info"]["slots"] = 10**30
        case "the service has 9,000 letters":
            heartbeat["info"]["service"] = "s" * 9_000
    return heartbeat


class MemoryDepartures(DepartureStore):
    """Keeps departures as the registry does, and can be out of reach."""

    def __init__(self):
        self.departures = {}
        self.drained = ()
        self.is_reachable = True

    async def record(self, departure):
        self._check_reachable()
        self.departures[departure.target] = departure

    async def read(self):
        self._check_reachable()
        return LeaveRecord(departures=tuple(self.departures.values()), drained=self.drained)

    def _check_reachable(self):
        if not self.is_reachable:
            raise LinkUnavailableError("no control host replied", sent=True)


def make_agent(departures=None, timers=None):
    return Agent(
        locality=Locality(region="r", failure_domain="a", host="h"),
        link_address="10.1.0.41:7600",
        lease_s=5.0,
        timers=timers or ManualTimerService(),
        metrics=NullMetrics(),
        departures=departures,
    )


def run_with_agent(context, call):
    """Await `call(app)` while the agent's task runs; keep the response and the agent's dump."""
    if not hasattr(context, "agent"):
        context.agent = make_agent()
    app = AnnouncementApp(
        context.agent.inbox,
        readiness=NodeReadiness(has_document=lambda: True, has_table=lambda: True),
        target_address=ADDRESS,
    ).make_app()

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(context.agent.run)
            context.response = await call(app)
            context.agent_dump = await context.agent.dump()
            group.cancel_scope.cancel()

    anyio.run(main)


def post(context, path, body):
    run_with_agent(context, lambda app: call_app(app, "POST", path, body=body))


@when("a heartbeat is received in which {fault}")
def step_receive_invalid_heartbeat(context, fault):
    post(context, "/api/instances/i-1/heartbeat", make_invalid_heartbeat(fault))


@then('it is rejected with "{code}" and the agent has no target')
def step_check_rejected_heartbeat(context, code):
    assert context.response.status == 400, context.response
    assert context.response.read_json()["code"] == code
    assert context.agent_dump.targets == ()


@when(
    'a heartbeat of "{target}" is received with state "{state}", sequence {sequence:d}'
    " and start {ms:d}"
)
def step_receive_heartbeat(context, target, state, sequence, ms):
    post(context, f"/api/instances/{target}/heartbeat", make_heartbeat(state, sequence, ms))
    assert context.response.status == 200, context.response


@when('"{target}" deregisters with start {ms:d}')
def step_deregister(context, target, ms):
    post(context, f"/api/instances/{target}/deregister", {"born": ms})
    assert context.response.status == 200, context.response


@when('"{target}" deregisters without a body')
def step_deregister_without_body(context, target):
    post(context, f"/api/instances/{target}/deregister", b"")
    assert context.response.status == 200, context.response


@then('the agent\'s target "{target}" is "{phase}"')
def step_check_phase(context, target, phase):
    phases = {t.target: t.announcement.phase.value for t in context.agent_dump.targets}
    assert phases.get(target) == phase, phases


@then("the agent has no target")
def step_check_no_target(context):
    assert context.agent_dump.targets == ()


@then("the agent has {count:d} target")
def step_check_count(context, count):
    assert len(context.agent_dump.targets) == count, context.agent_dump.targets


@then("the readiness check returns 503, and 200 once the node has a document and a table")
def step_check_readiness(context):
    available = {"document": False, "table": False}
    context.readiness = NodeReadiness(
        has_document=lambda: available["document"], has_table=lambda: available["table"]
    )
    assert read_readiness(context) == 503
    available["document"] = True
    assert read_readiness(context) == 503
    available["table"] = True
    assert read_readiness(context) == 200


@then("it returns 503 again once the node begins to stop")
def step_check_readiness_when_stopping(context):
    context.readiness.mark_stopping()
    assert read_readiness(context) == 503


def read_readiness(context):
    app = AnnouncementApp(None, readiness=context.readiness, target_address=ADDRESS).make_app()
    return anyio.run(call_app, app, "GET", "/api/readiness").status


def make_configuration(version):
    route = {
        "host": "a.example",
        "path-prefix": "/read/",
        "kind": "safe",
        "timeout": "3000ms",
        "aim": "1s",
        "priority": 2,
        "service": "orders",
        "max-attempts": 2,
    }
    split = {k: v for k, v in route.items() if k != "service"} | {
        "path-prefix": "/split/",
        "traffic-split": [
            {"service": "orders", "weight": 90},
            {"service": "recipes", "weight": 10},
        ],
    }
    limits = {"max-header-bytes": 16384, "idle-timeout": "15000ms"}
    return {
        "version": version,
        "resources": [
            {"type": "routes", "metadata": {"name": "r1"}, "spec": route},
            {"type": "routes", "metadata": {"name": "r2"}, "spec": split},
            {"type": "services", "metadata": {"name": "orders"}, "spec": {"tls": False}},
            {"type": "services", "metadata": {"name": "recipes"}, "spec": {"tls": False}},
            {"type": "limits", "metadata": {}, "spec": limits},
        ],
    }


def make_tenant(name, *, keys=("key-1",), **spec):
    spec = {"api-keys": list(keys), **spec}
    return {"type": "tenants", "metadata": {"name": name}, "spec": spec}


def add_tenants(configuration, *tenants):
    configuration["resources"] += tenants


def make_invalid_configuration(fault):
    configuration = make_configuration(6)
    route = configuration["resources"][0]["spec"]
    split = configuration["resources"][1]["spec"]
    match fault:
        case "a route names an unknown service":
            route["service"] = "nobody"
        case "a split names an unknown service":
            split["traffic-split"][1]["service"] = "nobody"
        case "an unknown service has no weight":
            split["traffic-split"].append({"service": "nobody", "weight": 0})
        case "a timeout is 0":
            route["timeout"] = "0ms"
        case "a timeout is over ten minutes":
            route["timeout"] = "601s"
        case "a timeout is just over ten minutes":
            route["timeout"] = "600000.4ms"
        case "an aim is a minute above the timeout":
            route["aim"] = "63000ms"
        case "a route has no attempts":
            route["max-attempts"] = 0
        case "the version is not above 5":
            configuration["version"] = 5
        case "the text is truncated":
            return json.dumps(configuration).encode()[:-20]
        case "the kind is unknown":
            route["kind"] = "careless"
        case "two tenants have the same key":
            add_tenants(configuration, make_tenant("a"), make_tenant("b"))
        case "two tenants have the same name":
            add_tenants(configuration, make_tenant("a"), make_tenant("a", keys=["other"]))
        case "a tenant has a negative rate":
            add_tenants(configuration, make_tenant("a", **{"rate-per-s": -1}))
        case "a tenant has a negative burst":
            add_tenants(configuration, make_tenant("a", burst=-0.5))
        case "a tenant's key is empty":
            add_tenants(configuration, make_tenant("a", keys=[""]))
        case "a tenant's name contains a line":
            add_tenants(configuration, make_tenant("a\r\nx-other: 1"))
        case _:
            raise AssertionError(fault)
    return json.dumps(configuration).encode()


@when('a configuration with a route of kind "{kind}" is translated')
def step_translate_kind(context, kind):
    configuration = make_configuration(6)
    configuration["resources"][0]["spec"]["kind"] = kind
    translate(context, configuration, SERVICE_DEFAULTS)


@then("requests of the route {may} run more than once")
def step_check_repeats(context, may):
    route = context.compiled.find_route(host="a.example", method="GET", path="/read/1")
    assert route.policy.idempotent is (may == "may")


@when(
    'a configuration is translated whose split gives "{twice}" the weights {first:d} and {second:d}'
    ' and "{once}" {third:d}'
)
def step_translate_split(context, twice, first, second, once, third):
    configuration = make_configuration(6)
    configuration["resources"][1]["spec"]["traffic-split"] = [
        {"service": twice, "weight": first},
        {"service": once, "weight": third},
        {"service": twice, "weight": second},
    ]
    translate(context, configuration)


@then('the route sends {first:d} of 100 requests to "{one}" and {second:d} to "{other}"')
def step_check_split(context, first, one, second, other):
    route = context.compiled.find_route(host="a.example", method="GET", path="/split/1")
    parts = [route.choose_part((drawn + 0.5) / 100) for drawn in range(100)]
    counts = Counter(part.policy.service for part in parts)
    assert counts == {one: first, other: second}, counts


@when("a configuration with a tenant of rate {rate} and burst {burst} is translated")
def step_translate_quota(context, rate, burst):
    sent = {"rate-per-s": rate, "burst": burst}
    spec = {name: float(value) for name, value in sent.items() if value != "omitted"}
    context.configuration = make_configuration(6)
    add_tenants(context.configuration, make_tenant("a", **spec))
    translate(context, context.configuration)


@then("the tenant's quota is {quota}")
def step_check_quota(context, quota):
    (found,) = (t.workspaces["a"].quota for t in context.document.teams.values() if t.workspaces)
    text = "none" if found is None else f"{found.requests_per_s}/s with burst {found.burst}"
    assert text == quota, text


def translate(context, configuration, defaults=STRICT_DEFAULTS):
    """Translate a configuration, and check the sections as a control host does."""
    text = json.dumps(configuration).encode()
    context.submission = translate_configuration(text, defaults=defaults)
    *_, context.document = build_document_steps(context.submission.sections.items(), version=1)
    context.compiled = compile_document(context.document)


@when("the settings of a control host have the bounds {bounds}")
def step_set_bounds(context, bounds):
    settings = msgspec.convert(
        {
            "host": "core-1",
            "failure_domain": "sask-a",
            "region": "sask",
            "address": "10.1.0.1",
            "link_port": 7600,
            "metrics_port": 9465,
            "seeds": [],
            "bounds": json.loads(bounds),
            "operator_listen": "10.1.0.1:8620",
            "data_folder": "data",
            "first_start": True,
        },
        PlatformControlSettings,
    )
    context.defaults = read_defaults(settings.bounds)


@then("hosts run requests with keys for {limit_ms:d} ms without a confirmation")
def step_check_bound(context, limit_ms):
    assert context.defaults.key_lease_ms == limit_ms, context.defaults


@when("a configuration without tenants is translated for a deployment with strict revocation")
def step_translate_without_tenants(context):
    context.configuration = make_configuration(6)
    translate(context, context.configuration)


@then("its sections are those of a deployment without it")
def step_check_same_sections(context):
    text = json.dumps(context.configuration).encode()
    plain = translate_configuration(text, defaults=SERVICE_DEFAULTS)
    assert plain == context.submission
    fleet = context.document.fleet
    policy = fleet.caller_connections
    assert fleet == FleetSection(caller_connections=policy, ledger_groups=0)


@then("no request needs a key")
def step_check_no_key_needed(context):
    assert not context.compiled.requires_keys


@then("a request with a key and a tenant reaches its target with neither")
def step_check_stripped(context):
    sent = [(b"X-Api-Key", b"key-1"), (b"X-Tenant", b"forged"), (b"x-kept", b"1")]
    request = authenticate_request(context, "/read/1", *sent)
    names = {header.name for header in request.headers}
    assert b"x-kept" in names and not names & {b"x-api-key", b"x-tenant"}, names


@when('a configuration with the tenant "{name}" of priority {priority:d} is translated')
def step_translate_tenant(context, name, priority):
    configuration = make_configuration(6)
    configuration["resources"][1]["spec"]["auth-exempt"] = True
    add_tenants(configuration, make_tenant(name, priority=priority))
    context.tenant = (name, priority)
    translate(context, configuration)


@when("a configuration is translated whose only tenant has no key")
def step_translate_tenant_without_key(context):
    configuration = make_configuration(6)
    add_tenants(configuration, make_tenant("a", keys=[]))
    translate(context, configuration)


def authenticate_request(context, path, *headers):
    scope = {
        "method": "GET",
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [(b"host", b"a.example"), *headers],
        "client": ("10.0.0.1", 5),
    }
    dialect = PlatformCallerDialect("recipes")
    request = dialect.make_request("r1", scope, WholeBody(b""), context.compiled)
    route = context.compiled.find_route(host="a.example", method="GET", path=path)
    return authenticate(request, route=route, compiled=context.compiled)


def read_tenant_headers(request):
    names = (b"x-tenant", b"x-api-key")
    return [(header.name, header.value) for header in request.headers if header.name in names]


@then("a request with its key reaches its target with the tenant's name and without the key")
def step_check_tenant_header(context):
    name, priority = context.tenant
    sent = [(b"x-api-key", b"key-1"), (b"X-Tenant", b"forged"), (b"x-tenant", b"too")]
    request = authenticate_request(context, "/read/1", *sent)
    assert read_tenant_headers(request) == [(b"x-tenant", name.encode())]
    assert (request.workspace, request.rank) == (name, priority)


@then("a request with an unknown key gets 401, whatever tenant it names")
def step_check_unknown_key(context):
    name = context.tenant[0].encode()
    check_unauthorized(context, (b"x-api-key", b"key-2"), (b"x-tenant", name))
    check_unauthorized(context, (b"x-tenant", name))


def check_unauthorized(context, *headers):
    try:
        authenticate_request(context, "/read/1", *headers)
    except ApiKeyUnknownError as error:
        dialect = PlatformCallerDialect("recipes")
        assert dialect.make_error_head(error, error.status, "r1", body_length=0).status == 401
    else:
        raise AssertionError("the request was accepted")


@then("a request for a route without authentication reaches its target without a tenant")
def step_check_exempt(context):
    for key in (b"key-1", b"key-2"):
        sent = [(b"x-api-key", key), (b"x-tenant", b"forged")]
        request = authenticate_request(context, "/split/1", *sent)
        assert read_tenant_headers(request) == []
        assert request.workspace == ""


@then("a request with any key gets 401")
def step_check_any_key(context):
    check_unauthorized(context, (b"x-api-key", b"key-1"))


@then("hosts run requests with keys for at most {limit:d} ms without a confirmation")
def step_check_lease(context, limit):
    assert context.compiled.fleet.key_lease_ms == limit


def make_app(proposer, document_machine):
    documents = DocumentService(
        state_machine=document_machine,
        proposer=proposer,
        timers=ManualTimerService(start_wall_ns=7),
    )
    return ConfigurationApp(documents, defaults=SERVICE_DEFAULTS, operator_port=8620).make_app()


def submit(context, text, base):
    async def main():
        return await call_with_base(context.app, text, base)

    context.response = anyio.run(main)
    if context.response.status == 200:
        context.submitted_texts[json.loads(text)["version"]] = text


@when("{count:d} configurations based on {base:d} are submitted at once")
def step_submit_at_once(context, count, base):
    context.translated_at = []
    iterations = 0

    async def count_iterations():
        nonlocal iterations
        while True:
            iterations += 1
            await anyio.lowlevel.checkpoint()

    def record_translation(*arguments, **options):
        context.translated_at.append(iterations)
        return translate_configuration(*arguments, **options)

    async def main():
        async with anyio.create_task_group() as counting:
            counting.start_soon(count_iterations)
            async with anyio.create_task_group() as calls:
                for number in range(count):
                    text = json.dumps(make_configuration(base + 1 + number)).encode()
                    calls.start_soon(call_with_base, context.app, text, base)
            counting.cancel_scope.cancel()

    with patch.object(operator_http, "translate_configuration", record_translation):
        anyio.run(main)
    assert len(context.translated_at) == count, context.translated_at


@then("no two of them are translated in one iteration of the event loop")
def step_check_iterations(context):
    assert len(set(context.translated_at)) == len(context.translated_at), context.translated_at


async def call_with_base(app, text, base):
    async def app_with_base(scope, receive, send):
        scope["headers"].append((b"x-base-version", str(base).encode()))
        await app(scope, receive, send)

    return await call_app(app_with_base, "POST", "/api/config/replace", body=text)


@given("a document state machine with revision {version:d}")
def step_make_document_machine(context, version):
    context.document_machine = DocumentStateMachine()
    context.app = make_app(LocalProposer(context.document_machine), context.document_machine)
    context.submitted_texts = {}
    submit(context, json.dumps(make_configuration(version)).encode(), 0)
    assert context.response.status == 200, context.response


@when("a configuration based on {base:d} is submitted in which {fault}")
def step_submit_invalid(context, base, fault):
    submit(context, make_invalid_configuration(fault), base)


@when("a configuration based on {base:d} is submitted with the timeout {timeout} and the aim {aim}")
def step_submit_times(context, base, timeout, aim):
    configuration = make_configuration(base + 1)
    configuration["resources"][0]["spec"] |= {"timeout": timeout, "aim": aim}
    submit(context, json.dumps(configuration).encode(), base)


@when(
    "a configuration based on {base:d} is submitted with {routes:d} more routes and {tenants:d}"
    " tenants"
)
def step_submit_grown(context, base, routes, tenants):
    context.configuration = make_configuration(base + 1)
    spec = context.configuration["resources"][0]["spec"]
    for number in range(routes):
        moved = {"host": f"{number % 6}.example", "path-prefix": f"/added/{number:032x}/"}
        route = {"type": "routes", "metadata": {"name": f"a{number}"}, "spec": spec | moved}
        context.configuration["resources"].append(route)
    added = (make_tenant(f"t{number}", keys=[f"key-{number}"]) for number in range(tenants))
    add_tenants(context.configuration, *added)
    submit(context, json.dumps(context.configuration).encode(), base)


@when("a configuration based on {base:d} is submitted that moves one of these routes")
def step_submit_moved(context, base):
    context.sections_before = context.document_machine.sections
    context.configuration["version"] = base + 1
    context.configuration["resources"][-1 - len(list_tenants(context))]["spec"]["timeout"] = "4s"
    submit(context, json.dumps(context.configuration).encode(), base)


def list_tenants(context):
    resources = context.configuration["resources"]
    return [resource for resource in resources if resource["type"] == "tenants"]


@then("all of its routes and keys are in force")
def step_check_grown(context):
    compiled = compile_sections(context.document_machine.sections)
    for resource in context.configuration["resources"]:
        if resource["type"] == "routes":
            spec = resource["spec"]
            path = f"{spec['path-prefix']}1"
            route = compiled.find_route(host=spec["host"], method="GET", path=path)
            assert route.policy.path_prefix == spec["path-prefix"], spec
    for tenant in list_tenants(context):
        key = tenant["spec"]["api-keys"][0].encode()
        holder = compiled.find_key_holder(shorten_digest(compute_digest(key)))
        assert holder == tenant["metadata"]["name"], tenant


@then("nodes get fewer than {limit:d} bytes for it")
def step_check_delta(context, limit):
    delta = context.document_machine.sections.make_delta(context.sections_before.stamp)
    size = sum(len(section.data) for section in delta.sections)
    assert 0 < size < limit, size
    assert len(delta.sections) == 1, [section.name for section in delta.sections]


@when("revision {version:d} based on {base:d} is submitted")
def step_submit(context, version, base):
    submit(context, json.dumps(make_configuration(version)).encode(), base)


@then("the response is {status:d} and revision {version:d} is read back unchanged")
def step_check_read(context, status, version):
    assert context.response.status == status, context.response
    read = anyio.run(call_app, context.app, "GET", "/api/config/read")
    assert read.status == 200
    assert read.body == context.submitted_texts[version]


@when("the document state machine is restored from its snapshot")
def step_restore(context):
    encoded = msgspec.msgpack.encode(context.document_machine.capture_snapshot())
    context.document_machine = DocumentStateMachine()
    context.document_machine.restore_snapshot(
        msgspec.msgpack.decode(encoded, type=DocumentSnapshot)
    )
    context.app = make_app(LocalProposer(context.document_machine), context.document_machine)


@when("a team changes a single section")
def step_change_section(context):
    # The submitted document grants no team access, so the command skips the access check.
    section = next(iter(context.document_machine.sections.sections.values()))
    command = ChangeSection(
        section=section.name,
        base_version=section.version,
        change_id="c",
        text=section.read_text(),
        team="t",
        at_ns=1,
    )
    context.document_machine._accept(command)


@then("no submitted text can be read back")
def step_check_no_submitted_text(context):
    assert anyio.run(call_app, context.app, "GET", "/api/config/read").status == 503


class FollowerProposer(LocalProposer):
    """Rejects all proposals, because another replica is the leader."""

    def __init__(self, document_machine, leader):
        super().__init__(document_machine)
        self.leader = leader

    async def propose(self, command):
        raise NotLeaderError("another replica is the leader", leader=self.leader)


@when('a configuration is submitted to a control host that follows "{leader}"')
def step_submit_to_follower(context, leader):
    document_machine = DocumentStateMachine()
    context.app = make_app(FollowerProposer(document_machine, leader), document_machine)
    context.submitted_texts = {}
    submit(context, json.dumps(make_configuration(1)).encode(), 0)


@then('the operator is redirected to "{location}"')
def step_check_location(context, location):
    assert context.response.status == 307
    assert context.response.headers["location"] == location


def make_attempt(headers=()):
    return make_attempt_message(
        request="r-1",
        attempt="a-1",
        target="i-1",
        service="orders",
        method=b"GET",
        path=b"/read/1?x=%2F",
        headers=headers,
        remaining_ms=1234,
        priority=PriorityClass.INTERACTIVE.value,
        idempotent=True,
    )


@when("a request with forged headers is forwarded")
def step_forward(context):
    scope = {
        "method": "GET",
        "path": "/read/1",
        "raw_path": b"/read/1",
        "query_string": b"x=%2F",
        "client": ("10.1.0.41", 1),
        "headers": [
            (b"host", b"A.example:80"),
            (b"x-request-id", b"r-1"),
            (b"x-request-deadline", b"9000"),
            (b"x-caller-service", b"forged"),
            (b"x-expected-instance", b"forged"),
            (b"connection", b"x-hop"),
            (b"x-hop", b"1"),
            (b"accept", b"*/*"),
        ],
    }
    request = PlatformCallerDialect("recipes").make_request("r-1", scope, EMPTY_BODY, None)
    assert (request.host, request.target, request.deadline_ms) == (
        "a.example",
        b"/read/1?x=%2F",
        9000,
    )
    context.forwarded_headers = PlatformBackendDialect().make_headers(make_attempt(request.headers))


@then("its target receives each header once, with the values that the system sets")
def step_check_forwarded_headers(context):
    assert sorted(context.forwarded_headers) == [
        (b"accept", b"*/*"),
        (b"host", b"A.example:80"),
        (b"x-caller-service", b"recipes"),
        (b"x-expected-instance", b"i-1"),
        (b"x-request-deadline", b"1234"),
        (b"x-request-id", b"r-1"),
    ]


HEADERS_BY_TEXT = {
    "the request id": Header(b"x-request-id", b"r-1"),
    "another request id": Header(b"x-request-id", b"r-2"),
    "a seal": Header(b"x-server-seal", b"s"),
    "an encoding": Header(b"content-encoding", b"gzip"),
    "a not-executed header": Header(b"x-not-executed", b"1"),
    "no headers": None,
}


@when(r"a target responds with status {status:d} {text}")
def step_target_responds(context, status, text):
    names = {"the request id", "a seal"}
    if text.startswith("without"):
        names.discard(text.removeprefix("without ").replace("a seal", "a seal"))
    else:
        names = set(re.split(", | and ", text.removeprefix("with ")))
    headers = tuple(h for h in (HEADERS_BY_TEXT[name] for name in sorted(names)) if h is not None)
    context.head = ResponseHead(attempt="a-1", status=status, headers=headers, body_length=0)


@then("the response belongs to {match}")
def step_check_belongs(context, match):
    dialect = PlatformBackendDialect()
    belongs = dialect.is_response_to(context.head, make_attempt(), is_first=True)
    assert belongs == (match == "the request")


@then("on a connection that was used before it belongs to {match}")
def step_check_belongs_later(context, match):
    dialect = PlatformBackendDialect()
    belongs = dialect.is_response_to(context.head, make_attempt(), is_first=False)
    assert belongs == (match == "the request")


@then("the response is classified as {name}")
def step_check_refusal(context, name):
    reader = PlatformBackendDialect().make_refusal_reader()
    reader.feed_head(context.head)
    refusal = reader.read()
    assert (name == "no refusal") if refusal is None else (refusal.code.value == name)


@when("the response to a caller is made from {source}")
def step_make_response(context, source):
    dialect = PlatformCallerDialect("recipes")
    if source.startswith("a target's"):
        status = int(source.split()[2])
        headers = (Header(b"x-server-seal", b"s"),)
        metadata = ResponseMetadata(request="r-1", outcome=Outcome.RAN, attempt_count=1)
        context.caller_head = dialect.make_response_head(status, headers, metadata)
        has_seal = Header(b"x-server-seal", b"s") in context.caller_head.headers
        assert has_seal == (context.caller_head.status == status)
        return
    outcome = Outcome.UNKNOWN if "unknown" in source else Outcome.NOT_RUN
    error_type = RefusedError if "503" in source else DeadlineExpiredError
    error = error_type("d", outcome=outcome, retry_after_s=1)
    context.caller_head = dialect.make_error_head(error, error.status, "r-1", body_length=0)


@then("the caller receives status {status:d}")
def step_check_status(context, status):
    assert context.caller_head.status == status, context.caller_head


@when(
    "a configuration is submitted to a deployment with the contract {contract} and the bounds"
    " {bounds}"
)
def step_submit_with_bounds(context, contract, bounds):
    values = dict(bound.split("=") for bound in bounds.split(", "))
    defaults = read_defaults(values, contracts=(contract,))
    resource = {"type": "services", "metadata": {"name": "s"}, "spec": {}}
    text = json.dumps({"version": 1, "resources": [resource]}).encode()
    sections = translate_configuration(text, defaults=defaults).sections
    context.service = json.loads(sections[OPERATOR_SECTION])["services"]["s"]


@then(
    "its service allows {share:g} retries a request, {pooled:g} if many fronts share them,"
    " and {floor:g} more in {window:g} s, planned {plan}"
)
def step_check_retry_budget(context, share, pooled, floor, window, plan):
    service = context.service
    values = [service[name] for name in ("retry_share", "retry_floor", "retry_window_s")]
    assert [round(value, 6) for value in values] == [share, floor, window], service
    assert service["retry_plan"] == plan, service
    assert round(service["retry_share"] * service["pooled_retry_factor"], 6) == pooled, service


@when("the deployment templates are rendered")
def step_render_templates(context):
    values = {
        "node": "h-1",
        "zone": "a",
        "region": "r",
        "ip": "10.1.0.41",
        "internal-ports.0": 7600,
        "internal-ports.1": 7615,
        "seeds": ["10.2.0.9:8620", "10.1.0.41:8620"],
        "bounds": {"grace": "6s", "retry-budget-slack": 56, "floor-share": 0.7},
        "contracts": ["base", "pressure"],
        "limits.memory-mb": 200,
        "listen.outbound": "10.1.0.41:8629",
        "listen.control": "10.1.0.41:8620",
        "listen.ready": "10.1.0.41:8625",
        "app-addr": ADDRESS,
        "service": "orders",
        "data-dir": "/data/x",
        "bootstrap": True,
        "fault-tolerance.machines": 2,
    }
    context.rendered = {
        name: re.sub(
            r"{{([^}|]+)\|json}}",
            lambda match: json.dumps(values[match[1]]),
            (DEPLOY / name).read_text(),
        ).encode()
        for name in ("node.json", "control.json")
    }


@then("they are valid settings of a node and of a control host")
def step_check_templates(context):
    node_settings = msgspec.json.decode(context.rendered["node.json"], type=PlatformNodeSettings)
    node = node_settings.make_node_settings()
    assert node.control_links == ("10.1.0.41:7600", "10.2.0.9:7600")
    assert node.drain_grace_s + node.drain_timeout_s < 6.0
    assert node.limits.held_bytes == 50_000_000
    control_settings = msgspec.json.decode(
        context.rendered["control.json"], type=PlatformControlSettings
    )
    control = control_settings.make_control_settings()
    assert control.replica == "10.1.0.41:7600"
    assert control.discovery.voters == 5 and control.discovery.first_start
    assert control_settings.operator_port == 8620


@given("a node that records departures")
def step_recording_node(context):
    context.departures = MemoryDepartures()
    context.agent = make_agent(context.departures)


DRAINABLE = {'target "i-1"': "i-1", 'target "i-2"': "i-2", "the whole host": None}


@given("a node that records departures, and operators drain {drained}")
def step_drained_node(context, drained):
    step_recording_node(context)
    context.departures.drained = (DRAINABLE[drained],)


@when("the node starts, and reads that after operators end the drain of {ended}")
def step_end_drain(context, ended):
    if ended == "nothing":
        return
    target = DRAINABLE[ended]

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(context.agent.run)
            await ask(
                context.agent.inbox,
                lambda reply: SetDrain(target=target, draining=False, reply=reply),
            )
            group.cancel_scope.cancel()

    context.departures.is_reachable = False
    anyio.run(main)
    context.departures.is_reachable = True


@then('fronts are told that target "{target}" is "{phase}"')
def step_check_reported_phase(context, target, phase):
    phases = {entry.target: entry.load.phase.value for entry in context.agent_dump.targets}
    assert phases == {target: phase}, phases


@when("the node restarts")
def step_restart_node(context):
    context.agent = make_agent(context.departures)


@when("no control host can be reached")
def step_lose_control(context):
    context.departures.is_reachable = False


@when('"{target}" sends a heartbeat with state "{state}", sequence {sequence:d} and start {ms:d}')
def step_send_heartbeat(context, target, state, sequence, ms):
    step_receive_heartbeat(context, target, state, sequence, ms)


@when('"{target}" tries to deregister with start {ms:d}')
def step_try_to_deregister(context, target, ms):
    post(context, f"/api/instances/{target}/deregister", {"born": ms})


@then('the departure is refused with "{code}"')
def step_check_unconfirmed(context, code):
    assert context.response.status == 503, context.response
    assert context.response.read_json()["code"] == code


@then("the agent has no target in use")
def step_check_no_target_in_use(context):
    phases = [target.announcement.phase for target in context.agent_dump.targets]
    assert TargetPhase.SERVING not in phases, context.agent_dump


@when(
    'the node restarts, and heartbeats of "{target}" come after'
    " {first:g}, {second:g} and {third:g} s"
)
def step_send_series(context, target, first, second, third):
    timers = ManualTimerService()
    agent = make_agent(context.departures, timers)
    context.used_after = []

    async def announce(sequence):
        text = json.dumps(make_heartbeat(sequence=sequence)).encode()
        await ask(
            agent.inbox,
            lambda reply: AnnounceTarget(
                target=target, announcement=parse_heartbeat(text), reply=reply
            ),
        )

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(agent.run)
            for sequence, at_s in enumerate((first, second, third), start=4):
                timers.advance(at_s - timers.read_now_s())
                await announce(sequence)
                context.used_after.append(len((await agent.dump()).targets))
            group.cancel_scope.cancel()

    anyio.run(main)


@then("the target is in use after the last of them only")
def step_check_used_after(context):
    assert context.used_after == [0, 0, 1], context.used_after


@when("a node's settings are read with a grace of {grace}")
def step_read_grace(context, grace):
    settings = PlatformNodeSettings(
        host="h",
        failure_domain="d",
        region="r",
        address="10.1.0.41",
        link_port=7600,
        metrics_port=9464,
        seeds=("10.2.0.9:8620",),
        bounds={"grace": grace},
        caller_listen="10.1.0.41:8629",
        announcement_listen="10.1.0.41:8620",
        readiness_listen="10.1.0.41:8625",
        target_address=ADDRESS,
        service="orders",
    )
    context.grace_s = parse_seconds(grace)
    context.node_settings = settings.make_node_settings()


@then("the node stops accepting requests at most {limit_s:g} s after SIGTERM")
def step_check_accepting(context, limit_s):
    # A connection that was just accepted has a little longer to send its request.
    accepting_s = context.node_settings.drain_grace_s + ACCEPTED_REQUEST_TIMEOUT_S
    assert accepting_s <= limit_s, accepting_s


@then("accepted requests may run until {end_s:g} s after SIGTERM, and no longer than the grace")
def step_check_running(context, end_s):
    settings = context.node_settings
    running_s = settings.drain_grace_s + settings.drain_timeout_s
    assert end_s <= running_s < context.grace_s, running_s
