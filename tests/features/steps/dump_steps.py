import io
import random
from collections import Counter
from types import SimpleNamespace
from unittest.mock import patch
from urllib.parse import urlsplit

import anyio
import msgspec
from behave import given, then, when
from hypothesis import given as with_values
from hypothesis import settings
from hypothesis import strategies as st
from rich.console import Console

from document.asgi import call_app
from document.samples import OPERATORS, make_access, make_token
from samphirespring.connection.local_http import LocalApp
from samphirespring.process.mailbox import Mailbox, ReplySlot, ask
from samphirespring.process.operation.dump_reader import read_dump
from samphirespring.process.operation.dump_tables import make_dump_tables
from samphirespring.process.paging import FIRST_CURSOR, DumpList, PagedList
from samphirespring.process.rate_limiter import SHARD_COUNT, RateLimiter
from samphirespring.process.retry_budget import RetryKind
from samphirespring.process.runtime import run_tasks
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.target_table import TargetTable
from samphirespring.process.target_table_messages import (
    ApplyDelta,
    SelectTarget,
    UseServicePolicies,
)
from samphirespring.process.targets import (
    HostRecord,
    Locality,
    RegistryDelta,
    TargetLoad,
    TargetRecord,
)
from samphirespring.process.timers import ManualTimerService
from samphirespring.process.traffic_limiter import (
    BUCKET_CAPACITY,
    AcquireRetry,
    AdmitRequest,
    TrafficLimiter,
)
from samphirespring.request.selection import NearestOfTwoSelector
from samphirespring.request.target_source import SelectionTerms
from samphirespring.version.document import AccessSection, RateLimit, ServicePolicy

TARGETS_PER_HOST = 9
SLOW = RateLimit(requests_per_s=0.001, burst=1)
POST_BATCH_SIZE = 5_000


def make_target(number, service, *, severity=0.0):
    is_unhealthy = severity > 0.0
    load = TargetLoad(
        phase=TargetPhase.SERVING,
        condition=TargetCondition.UNHEALTHY if is_unhealthy else TargetCondition.HEALTHY,
        free_slots=5,
        slots=5,
        severity=severity,
    )
    return TargetRecord(target=f"target-{number}", service=service, load=load)


def make_host(number, targets):
    return HostRecord(
        locality=Locality(region="r", failure_domain="d", host=f"host-{number:04}"),
        incarnation=1_700_000_000_000_000_000,
        link_address="10.20.30.40:7001",
        sequence=1,
        targets=tuple(targets),
    )


def make_request(workspace, service, reply, *, limit=SLOW):
    return AdmitRequest(
        service=service,
        bucket=workspace,
        workspace_limit=limit,
        route_name="",
        route_limit=None,
        reply=reply,
    )


class FrontDumpFixture:
    """The target table and the traffic limiter of a front, and its dump over HTTP."""

    def __init__(self, hosts, *, floor=0.7):
        self.timers = ManualTimerService()
        self.table = TargetTable(
            NearestOfTwoSelector(random.Random(1)),
            locality=Locality(region="r", failure_domain="d", host="front"),
            timers=self.timers,
            generator=random.Random(2),
        )
        self.limiter = TrafficLimiter(timers=self.timers)
        self.tasks = (self.table, self.limiter)
        access = msgspec.convert(make_access(), AccessSection)
        front = SimpleNamespace(read_document=lambda: SimpleNamespace(access=access))
        self.app = LocalApp(Mailbox(name="agent", capacity=1), self.tasks, front).make_app()
        self.hosts = hosts
        self.floor = floor
        self.workspace_count = 0
        self.page_sizes = []

    async def fill(self):
        services = {target.service for host in self.hosts for target in host.targets}
        policies = {service: ServicePolicy(floor=self.floor) for service in services}
        self.table.inbox.post(UseServicePolicies(policies=policies))
        delta = RegistryDelta(since=0, version=2, complete=True, hosts=tuple(self.hosts))
        self.table.inbox.post(ApplyDelta(delta=delta))
        names = sorted(services)
        for first in range(0, self.workspace_count, POST_BATCH_SIZE):
            for number in range(first, first + POST_BATCH_SIZE):
                self.limiter.inbox.post(
                    make_request(f"workspace-{number}", names[number % len(names)], ReplySlot())
                )
            # The reply shows that the limiter has processed the requests before it.
            await self.limiter.dump()

    async def admit(self, workspace, service, limit=SLOW):
        return await ask(
            self.limiter.inbox, lambda reply: make_request(workspace, service, reply, limit=limit)
        )

    async def acquire_retry(self, service, policy):
        return await ask(
            self.limiter.inbox,
            lambda reply: AcquireRetry(
                service=service, policy=policy, kind=RetryKind.EXECUTION, reply=reply
            ),
        )

    async def select(self, service):
        await ask(
            self.table.inbox,
            lambda reply: SelectTarget(terms=SelectionTerms(service=service), reply=reply),
        )

    async def call(self, path, *, team=OPERATORS):
        token = None if team is None else make_token(team)
        parts = urlsplit(path)
        return await call_app(self.app, "GET", parts.path, token=token, query=parts.query)

    async def fetch(self, path):
        response = await self.call(f"/v1/dump{path}")
        assert response.status == 200, response.body
        self.page_sizes.append(len(response.body))
        return response.body

    def run_steps(self, steps=None):
        """Run the tasks, then the steps, and return the whole dump."""

        async def main():
            async with run_tasks(self.tasks):
                await self.fill()
                if steps is not None:
                    await steps()
                # The reader blocks, as it is part of a separate program; here it runs in a thread.
                return await anyio.to_thread.run_sync(
                    lambda: read_dump(lambda path: anyio.from_thread.run(self.fetch, path))
                )

        return anyio.run(main)


@given("a front whose table has {hosts:d} hosts with {targets:d} targets in {services:d} services")
def step_fill_table(context, hosts, targets, services):
    assert hosts * TARGETS_PER_HOST == targets
    # The first target of each service is unhealthy, so that each service has an ejection.
    records = []
    for number in range(hosts):
        slots = range(number * TARGETS_PER_HOST, (number + 1) * TARGETS_PER_HOST)
        records.append(
            make_host(
                number,
                [
                    make_target(
                        slot, f"service-{slot % services}", severity=2.0 * (slot < services)
                    )
                    for slot in slots
                ],
            )
        )
    context.fixture = FrontDumpFixture(records, floor=0.5)
    context.services = services


@given("{count:d} workspaces with rate limited requests, and retry budgets for all services")
def step_limit(context, count):
    context.fixture.workspace_count = count


@when("an operator reads its dump and all pages")
def step_read(context):
    context.keys_seen, context.lengths = Counter(), []
    find_keys, read_page = PagedList._find_keys_in_part, PagedList.read_page

    def count_keys(entries, part, after, count):
        context.keys_seen[entries._name, len(context.lengths)] += len(entries._read_keys(part))
        return find_keys(entries, part, after, count)

    def count_items(entries, *args, **options):
        page = read_page(entries, *args, **options)
        context.lengths.append(len(page.items))
        return page

    with (
        patch.object(PagedList, "_find_keys_in_part", count_keys),
        patch.object(PagedList, "read_page", count_items),
    ):
        context.dump = context.fixture.run_steps(
            lambda: select_from_all(context.fixture, context.services)
        )


async def select_from_all(fixture, services):
    for number in range(services):
        await fixture.select(f"service-{number}")


@then("the dump and each page have at most {entries:d} entries of a list and {size:d} bytes")
def step_check_bytes(context, entries, size):
    assert max(context.lengths) == entries, max(context.lengths)
    assert max(context.fixture.page_sizes) <= size, max(context.fixture.page_sizes)
    print(
        f"  measured: {len(context.fixture.page_sizes)} responses,"
        f" largest {max(context.fixture.page_sizes)} bytes"
    )


@then("no page reads more than {limit:d} keys, or more than two shards of buckets")
def step_check_keys(context, limit):
    shard = BUCKET_CAPACITY // SHARD_COUNT
    for (name, _), count in context.keys_seen.items():
        key_limit = 2 * shard if name is DumpList.BUCKETS else limit
        assert count <= key_limit, (name, count)


@then("each host, service with an ejection, bucket and budget is in the pages exactly once")
def step_check_whole(context):
    table, limiter = context.dump["target_table"], context.dump["traffic_gate"]
    hosts = [host["locality"]["host"] for host in table["hosts"]]
    assert sorted(hosts) == [host.locality.host for host in context.fixture.hosts]
    services = [view["service"] for view in table["advice"]["services"]]
    assert len(services) == len(set(services)) == context.services, len(services)
    buckets = [bucket["bucket"] for bucket in limiter["buckets"]]
    assert len(buckets) == len(set(buckets)) == SHARD_COUNT * (BUCKET_CAPACITY // SHARD_COUNT)
    budgets = [budget["service"] for budget in limiter["retry_budgets"]]
    assert len(budgets) == len(set(budgets)) == context.services


@given("random lists with one or several parts, which change between pages")
def step_random_lists(context):
    context.runs = 0
    keys = st.text("ab\n", min_size=1, max_size=3)

    @settings(max_examples=200)
    @with_values(
        parts=st.lists(st.sets(keys), min_size=1, max_size=4),
        changes=st.lists(st.tuples(st.integers(0, 3), keys), max_size=20),
        size=st.integers(1, 3),
    )
    def read_pages(parts, changes, size):
        unchanged = {(number, key) for number, part in enumerate(parts) for key in part}
        seen, cursor = Counter(), FIRST_CURSOR
        while cursor is not None:
            listed = PagedList(
                DumpList.BUCKETS,
                total=sum(map(len, parts)),
                part_count=len(parts),
                read_keys=lambda part: list(parts[part]),
                make_item=lambda part, key: (part, key),
            )
            page = listed.read_page(cursor, size=size)
            assert len(page.items) <= size
            seen.update(page.items)
            cursor = page.info.next
            if changes:
                number, key = changes.pop()
                part = parts[number % len(parts)]
                unchanged.discard((number % len(parts), key))
                part.symmetric_difference_update({key})
        assert all(seen[entry] == 1 for entry in unchanged), (unchanged, seen)
        context.runs += 1

    read_pages()


@then("each entry that stayed throughout is in exactly one page")
def step_check_lists(context):
    assert context.runs >= 200


@given("a workspace with {rate:d} request per second and a burst of {burst:d}")
def step_limit_workspace(context, rate, burst):
    context.fixture = FrontDumpFixture([])
    context.limit = RateLimit(requests_per_s=rate, burst=burst)


@when("it sends {count:d} requests at the same time")
def step_send(context, count):
    async def send():
        context.waits = [
            await context.fixture.admit("bakery", "orders", context.limit) for _ in range(count)
        ]

    context.dump = context.fixture.run_steps(send)


@then("the dump names the workspace, its limit, its bucket and the wait of the refused request")
def step_check_refused(context):
    limiter = context.dump["traffic_gate"]
    assert context.waits[:2] == [0.0, 0.0]
    assert limiter["latest_limited"] == [
        {
            "at_s": limiter["now_s"],
            "service": "orders",
            "bucket": "bakery",
            "route": None,
            "limit": {"requests_per_s": 1.0, "burst": 2},
            "wait_s": context.waits[2],
        }
    ]
    assert limiter["buckets"] == [{"bucket": "bakery", "route": None, "full_in_s": 2.0}]


@given("a service with a retry share of 0 and a retry floor of {floor:d}")
def step_budget(context, floor):
    context.fixture = FrontDumpFixture([])
    context.policy = ServicePolicy(retry_share=0.0, retry_floor=float(floor))


@when("{count:d} retries are requested")
def step_request_retries(context, count):
    async def acquire():
        context.granted = [
            await context.fixture.acquire_retry("orders", context.policy) for _ in range(count)
        ]

    context.dump = context.fixture.run_steps(acquire)


@then("the dump names the service, its budget and the retries spent when the second was denied")
def step_check_denied(context):
    assert context.granted == [True, False]
    (denied,) = context.dump["traffic_gate"]["latest_denied"]
    assert (denied["kind"], denied["share"], denied["floor"]) == ("execution", 0.0, 1.0)
    budget = denied["budget"]
    assert (budget["service"], budget["requests"], budget["spent_executions"]) == ("orders", 0, 1)


@given("a front with {count:d} targets of a service whose floor is {floor:f}")
def step_front(context, count, floor):
    hosts = [make_host(number, [make_target(number, "s")]) for number in range(count)]
    context.fixture = FrontDumpFixture(hosts, floor=floor)


@when("two of them are reported as unhealthy, the second with the weaker evidence")
def step_report_unhealthy(context):
    for number, severity in ((0, 3.0), (1, 2.0)):
        target = make_target(number, "s", severity=severity)
        context.fixture.hosts[number] = make_host(number, [target])

    async def select():
        await context.fixture.select("s")

    context.dump = context.fixture.run_steps(select)


@then("the dump names the ejected target, the spared one, their evidence, the floor and the slots")
def step_check_ejected(context):
    (view,) = context.dump["target_table"]["advice"]["services"]
    assert view["ejected"] == ["target-0"] and view["spared"] == ["target-1"], view
    assert (view["floor"], view["slots"]) == (0.7, 20)
    assert view["suspects"] == [
        {"target": "target-0", "condition": "sick", "severity": 3.0, "slots": 5},
        {"target": "target-1", "condition": "sick", "severity": 2.0, "slots": 5},
    ]


@then("requests for pages get these responses")
def step_check_pages(context):
    async def request_pages():
        for row in context.table:
            team = None if row["token"] == "none" else OPERATORS
            response = await context.fixture.call(row["path"], team=team)
            assert response.status == int(row["status"]), (row, response)
            assert response.read_json().get("code", "") == row["code"], response.body

    context.dump = context.fixture.run_steps(request_pages)


@then("the dump holds no token")
def step_check_secrets(context):
    assert make_token(OPERATORS) not in str(context.dump)


@then("its tables have a row for each of the {count:d} hosts")
def step_check_tables(context, count):
    console = Console(file=io.StringIO(), width=400)
    for table in make_dump_tables(context.dump):
        console.print(table)
    text = console.file.getvalue()
    assert all(f"host-{number:04}" in text for number in range(count))
    assert f"target_table.hosts: {count}" in text


@given("a limiter whose buckets are all in use and none is full")
def step_fill_limiter(context):
    context.limiter = RateLimiter(capacity=10 * SHARD_COUNT)
    for number in range(40 * SHARD_COUNT):
        context.limiter.acquire("", f"w{number}", limit=SLOW, now_s=0.0)
    context.full = context.limiter.bucket_count
    assert context.full == 10 * SHARD_COUNT


@when("{count:d} more workspaces send requests at the same time")
def step_more(context, count):
    with patch.object(RateLimiter, "_sweep_shard", autospec=True) as sweep:
        for number in range(count):
            context.limiter.acquire("", f"more{number}", limit=SLOW, now_s=1.0)
    context.sweeps = sweep.call_count


@then("no shard is searched for full buckets, and the number of buckets stays the same")
def step_check_no_search(context):
    assert context.sweeps == 0, context.sweeps
    assert context.limiter.bucket_count == context.full


@then("a workspace that arrives once they are full gets a bucket after one search")
def step_check_room(context):
    context.limiter.acquire("", "late", limit=SLOW, now_s=10_000.0)
    assert context.limiter.bucket_count == context.full - 9
