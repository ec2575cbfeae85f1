import anyio
import msgspec
from behave import then, when
from platform_steps import run_with_agent
from registry_steps import LEASE_S, make_record, settle

from document.asgi import call_app
from front.fakes import HERE, LOAD
from samphirespring.connection.local_http import LocalApp
from samphirespring.connection.refusals import BodyRefusalReader
from samphirespring.connection.registry_link import HostReport, ReportBatch
from samphirespring.process.detection.classification import ResponseInspector
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.mailbox import ask
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.registry.state_machine import RegistryStateMachine
from samphirespring.process.registry_service import RegistryService
from samphirespring.process.replication.state_machine import LocalProposer
from samphirespring.process.target_table import TargetTable
from samphirespring.process.target_table_messages import ApplyDelta, SelectTarget
from samphirespring.process.targets import RegistryDelta, TargetRecord
from samphirespring.process.timers import ManualTimerService
from samphirespring.request.messages import Header, ResponseHead
from samphirespring.request.selection import NearestOfTwoSelector
from samphirespring.request.target_source import SelectionTerms
from samphirespring.version.document import ResponseCheck

NESTED = b"[" * 2_000 + b"]" * 2_000


@when("a target is announced with {fault}")
def step_announce_odd(context, fault):
    announcement = {"service": "orders", "address": "127.0.0.1:8080"}
    name = "orders-1"
    match fault:
        case "port 0":
            announcement["address"] = "127.0.0.1:0"
        case "port 99999":
            announcement["address"] = "127.0.0.1:99999"
        case "no address":
            announcement["address"] = ""
        case "an IP that doesn't exist":
            announcement["address"] = "127.0.0.999:80"
        case "a start of 2^70":
            announcement["started_ms"] = 1 << 70
        case "a sequence of 2^64":
            announcement["sequence"] = 1 << 64
        case "a name of 9,000 letters":
            name = "n" * 9_000
    body = NESTED if fault == "2,000 nested arrays" else announcement

    async def announce(_):
        app = LocalApp(context.agent.inbox, (), None).make_app()
        return await call_app(app, "PUT", f"/v1/targets/{name}", body=body)

    run_with_agent(context, announce)


@then('the announcement is rejected with "{code}" and the agent has no target')
def step_check_rejected(context, code):
    assert context.response.status == 400, context.response
    assert context.response.read_json()["code"] == code, context.response
    assert context.agent_dump.targets == ()


def make_target(name, **load):
    return TargetRecord(target=name, service="orders", load=msgspec.structs.replace(LOAD, **load))


def make_odd_record(fault):
    record = make_record(9)
    replace = msgspec.structs.replace
    match fault:
        case "a link address with port 99999":
            return replace(record, link_address="127.0.0.1:99999")
        case "a link address without a port":
            return replace(record, link_address="127.0.0.1")
        case "a host name of 9,000 letters":
            return replace(record, locality=replace(record.locality, host="h" * 9_000))
        case "a target name of 9,000 letters":
            return replace(record, targets=(make_target("t" * 9_000),))
        case "more free slots than slots":
            return replace(record, targets=(make_target("t", free_slots=6),))
        case "a negative sequence":
            return replace(record, sequence=-1)
    raise AssertionError(fault)


@when("a host reports a record with {fault} beside 3 sound hosts")
def step_report_odd(context, fault):
    sound = [
        msgspec.structs.replace(make_record(n), targets=(make_target(f"t{n}"),)) for n in range(3)
    ]
    context.records = [*sound[:2], make_odd_record(fault), sound[2]]
    reports = tuple(
        HostReport(
            host=record.locality.host,
            incarnation=record.incarnation,
            sequence=record.sequence,
            record=record,
        )
        for record in context.records
    )

    state_machine = RegistryStateMachine()
    service = RegistryService(
        state_machine=state_machine,
        proposer=LocalProposer(state_machine),
        lease_s=LEASE_S,
        timers=ManualTimerService(),
        metrics=NullMetrics(),
    )

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(service.run)
            for _ in range(2):
                context.reply = await service.report(ReportBatch(known_version=0, reports=reports))
                await settle()
            group.cancel_scope.cancel()

    anyio.run(main)


@then("only the 3 sound hosts are in the registry, and the reports are answered")
def step_check_registry(context):
    present = {record.locality.host for record in context.reply.delta.hosts}
    assert present == {"h0", "h1", "h2"}, present


@then(
    "a target table that gets the odd record in a delta has the 3 sound hosts and selects targets"
)
def step_check_table(context):
    delta = RegistryDelta(since=0, version=5, complete=True, hosts=tuple(context.records))
    table = TargetTable(NearestOfTwoSelector(None), locality=HERE, timers=ManualTimerService())

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(table.run)
            table.inbox.post(ApplyDelta(delta=delta))
            dump = await table.dump()
            candidate = await ask(
                table.inbox,
                lambda reply: SelectTarget(
                    terms=SelectionTerms(service="orders", tried=frozenset({"t0", "t1"})),
                    reply=reply,
                ),
            )
            group.cancel_scope.cancel()
        return dump, candidate

    dump, candidate = anyio.run(main)
    assert [host.locality.host for host in dump.hosts] == ["h0", "h1", "h2"], dump.hosts
    assert candidate.target == "t2", candidate


@then("a refusal reader and a response inspector read 2,000 nested arrays without an exception")
def step_read_nested_body(context):
    body = b'{"error": %s}' % NESTED
    head = ResponseHead(
        attempt="a",
        status=503,
        headers=(Header(b"content-type", b"application/json"),),
        body_length=len(body),
    )
    reader = BodyRefusalReader()
    reader.feed_head(head)
    reader.feed_chunk(body)
    assert reader.read() is None
    inspector = ResponseInspector(ResponseCheck(statuses=(503,), required_members=("id",)))
    inspector.feed_head(head)
    inspector.feed_chunk(body)
    assert inspector.classify() is ObservedOutcome.WRONG
