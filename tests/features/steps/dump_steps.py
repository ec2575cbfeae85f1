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
from samphirespring.process.target_table import ApplyDelta, SelectTarget, TargetTable, UsePolicies
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
from samphirespring.version.document import AccessSection, RateLimit, ServicePolicy

TARGETS_PER_HOST = 9
SLOW = RateLimit(requests_per_s=0.001, burst=1)
CHUNK = 5_000


def make_target(number, service, *, severity=0.0):
    sick = severity > 0.0
    load = TargetLoad(
        phase=TargetPhase.SERVING,
        condition=TargetCondition.UNHEALTHY if sick else TargetCondition.HEALTHY,
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
        route_group="",
        route_limit=None,
        reply=reply,
    )


class DumpWorld:
    """The tasks of a front with long lists, and its dump over HTTP."""

    def __init__(self, hosts, *, floor=0.7):
        self.timers = ManualTimerService()
        self.table = TargetTable(
            NearestOfTwoSelector(random.Random(1)),
            here=Locality(region="r", failure_domain="d", host="front"),
            timers=self.timers,
            generator=random.Random(2),
        )
        self.gate = TrafficLimiter(timers=self.timers)
        self.tasks = (self.table, self.gate)
        access = msgspec.convert(make_access(), AccessSection)
        front = SimpleNamespace(read_document=lambda: SimpleNamespace(access=access))
        self.app = LocalApp(Mailbox(name="agent", capacity=1), self.tasks, front).make_app()
        self.hosts = hosts
        self.floor = floor
        self.workspaces = 0
        self.sizes = []

    async def fill(self):
        services = {target.service for host in self.hosts for target in host.targets}
        policies = {service: ServicePolicy(floor=self.floor) for service in services}
        self.table.inbox.post(UsePolicies(policies=policies))
        delta = RegistryDelta(since=0, version=2, complete=True, hosts=tuple(self.hosts))
        self.table.inbox.post(ApplyDelta(delta=delta))
        names = sorted(services)
        for first in range(0, self.workspaces, CHUNK):
            for number in range(first, first + CHUNK):
                self.gate.inbox.post(
                    make_request(f"workspace-{number}", names[number % len(names)], ReplySlot())
                )
            # Its answer says that those before it were served.
            await self.gate.dump()

    async def admit(self, workspace, service, limit=SLOW):
        return await ask(
            self.gate.inbox, lambda reply: make_request(workspace, service, reply, limit=limit)
        )

    async def take_retry(self, service, policy):
        return await ask(
            self.gate.inbox,
            lambda reply: AcquireRetry(
                service=service, policy=policy, kind=RetryKind.EXECUTION, reply=reply
            ),
        )

    async def select(self, service):
        await ask(
            self.table.inbox,
            lambda reply: SelectTarget(service=service, tried=(), reply=reply, idempotent=True),
        )

    async def call(self, path, *, team=OPERATORS):
        token = None if team is None else make_token(team)
        parts = urlsplit(path)
        return await call_app(self.app, "GET", parts.path, token=token, query=parts.query)

    async def fetch(self, path):
        answer = await self.call(f"/v1/dump{path}")
        assert answer.status == 200, answer.body
        self.sizes.append(len(answer.body))
        return answer.body

    def play(self, steps=None):
        """Run the tasks, then the steps, and return the whole dump."""

        async def main():
            async with run_tasks(self.tasks):
                await self.fill()
                if steps is not None:
                    await steps()
                # The reader is a program of its own and blocks; here it runs in a thread.
                return await anyio.to_thread.run_sync(
                    lambda: read_dump(lambda path: anyio.from_thread.run(self.fetch, path))
                )

        return anyio.run(main)


@given("a front that knows {hosts:d} hosts with {targets:d} targets in {services:d} services")
def step_make_full(context, hosts, targets, services):
    assert hosts * TARGETS_PER_HOST == targets
    # The first target of each service is sick, so that each service has something to show.
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
    context.world = DumpWorld(records, floor=0.5)
    context.services = services


@given("{count:d} workspaces whose requests it has limited, and budgets for all services")
def step_limit(context, count):
    context.world.workspaces = count


@when("an operator reads its dump and follows every page")
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
        context.dump = context.world.play(lambda: judge_all(context.world, context.services))


async def judge_all(world, services):
    for number in range(services):
        await world.select(f"service-{number}")


@then("the dump and each page have at most {entries:d} entries of a list and {size:d} bytes")
def step_check_bytes(context, entries, size):
    assert max(context.lengths) == entries, max(context.lengths)
    assert max(context.world.sizes) <= size, max(context.world.sizes)
    print(
        f"  measured: {len(context.world.sizes)} answers, largest {max(context.world.sizes)} bytes"
    )


@then("no page looks at more keys than {hosts:d} hosts, or at more than two shards of buckets")
def step_check_keys(context, hosts):
    shard = BUCKET_CAPACITY // SHARD_COUNT
    for (name, _), count in context.keys_seen.items():
        limit = 2 * shard if name is DumpList.BUCKETS else hosts
        assert count <= limit, (name, count)


@then("the pages hold each host, each service with an ejection, each bucket and each budget once")
def step_check_whole(context):
    table, gate = context.dump["target_table"], context.dump["traffic_gate"]
    hosts = [host["locality"]["host"] for host in table["hosts"]]
    assert sorted(hosts) == [host.locality.host for host in context.world.hosts]
    services = [view["service"] for view in table["advice"]["services"]]
    assert len(services) == len(set(services)) == context.services, len(services)
    buckets = [bucket["bucket"] for bucket in gate["buckets"]]
    assert len(buckets) == len(set(buckets)) == SHARD_COUNT * (BUCKET_CAPACITY // SHARD_COUNT)
    budgets = [budget["service"] for budget in gate["retry_budgets"]]
    assert len(budgets) == len(set(budgets)) == context.services


@given("random lists of one part and of several, that change between pages")
def step_random_lists(context):
    context.runs = 0
    keys = st.text("ab\n", min_size=1, max_size=3)

    @settings(max_examples=200)
    @with_values(
        parts=st.lists(st.sets(keys), min_size=1, max_size=4),
        moves=st.lists(st.tuples(st.integers(0, 3), keys), max_size=20),
        size=st.integers(1, 3),
    )
    def play(parts, moves, size):
        stayed = {(number, key) for number, part in enumerate(parts) for key in part}
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
            if moves:
                number, key = moves.pop()
                part = parts[number % len(parts)]
                stayed.discard((number % len(parts), key))
                part.symmetric_difference_update({key})
        assert all(seen[entry] == 1 for entry in stayed), (stayed, seen)
        context.runs += 1

    play()


@then("each entry that stayed throughout is in exactly one page")
def step_check_lists(context):
    assert context.runs >= 200


@given("a workspace with {rate:d} request per second and a burst of {burst:d}")
def step_limit_workspace(context, rate, burst):
    context.world = DumpWorld([])
    context.limit = RateLimit(requests_per_s=rate, burst=burst)


@when("it sends {count:d} requests within one moment")
def step_send(context, count):
    async def send():
        context.waits = [
            await context.world.admit("bakery", "orders", context.limit) for _ in range(count)
        ]

    context.dump = context.world.play(send)


@then("the dump names the workspace, its limit, its bucket and the wait of the refused request")
def step_check_refused(context):
    gate = context.dump["traffic_gate"]
    assert context.waits[:2] == [0.0, 0.0]
    assert gate["latest_limited"] == [
        {
            "at_s": gate["now_s"],
            "service": "orders",
            "bucket": "bakery",
            "route": None,
            "limit": {"requests_per_s": 1.0, "burst": 2},
            "wait_s": context.waits[2],
        }
    ]
    assert gate["buckets"] == [{"bucket": "bakery", "route": None, "full_in_s": 2.0}]


@given("a service without a share of retries and with a floor of {floor:d}")
def step_budget(context, floor):
    context.world = DumpWorld([])
    context.policy = ServicePolicy(retry_share=0.0, retry_floor=float(floor))


@when("{count:d} retries are asked for")
def step_ask_retries(context, count):
    async def take():
        context.granted = [
            await context.world.take_retry("orders", context.policy) for _ in range(count)
        ]

    context.dump = context.world.play(take)


@then("the dump names the service, its budget and what was spent when the second was denied")
def step_check_denied(context):
    assert context.granted == [True, False]
    (denied,) = context.dump["traffic_gate"]["latest_denied"]
    assert (denied["kind"], denied["share"], denied["floor"]) == ("execution", 0.0, 1.0)
    budget = denied["budget"]
    assert (budget["service"], budget["requests"], budget["spent_executions"]) == ("orders", 0, 1)


@given("a front with {count:d} targets of a service whose floor is {floor:f}")
def step_front(context, count, floor):
    hosts = [make_host(number, [make_target(number, "s")]) for number in range(count)]
    context.world = DumpWorld(hosts, floor=floor)


@when("two of them are told to be sick, the second with the weaker evidence")
def step_sicken(context):
    for number, severity in ((0, 3.0), (1, 2.0)):
        target = make_target(number, "s", severity=severity)
        context.world.hosts[number] = make_host(number, [target])

    async def judge():
        await context.world.select("s")

    context.dump = context.world.play(judge)


@then("the dump names the ejected target, the spared one, their evidence, the floor and the slots")
def step_check_ejected(context):
    (view,) = context.dump["target_table"]["advice"]["services"]
    assert view["ejected"] == ["target-0"] and view["spared"] == ["target-1"], view
    assert (view["floor"], view["slots"]) == (0.7, 20)
    assert view["suspects"] == [
        {"target": "target-0", "condition": "sick", "severity": 3.0, "slots": 5},
        {"target": "target-1", "condition": "sick", "severity": 2.0, "slots": 5},
    ]


@then("a page is answered thus")
def step_check_pages(context):
    async def ask_all():
        for row in context.table:
            team = None if row["token"] == "none" else OPERATORS
            answer = await context.world.call(row["path"], team=team)
            assert answer.status == int(row["status"]), (row, answer)
            assert answer.read_json().get("code", "") == row["code"], answer.body

    context.dump = context.world.play(ask_all)


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


@given("a limiter whose buckets are all taken and none is full")
def step_fill_limiter(context):
    context.limiter = RateLimiter(capacity=10 * SHARD_COUNT)
    for number in range(40 * SHARD_COUNT):
        context.limiter.acquire("", f"w{number}", limit=SLOW, now_s=0.0)
    context.full = context.limiter.bucket_count
    assert context.full == 10 * SHARD_COUNT


@when("{count:d} more workspaces come within one moment")
def step_more(context, count):
    with patch.object(RateLimiter, "_sweep_shard", autospec=True) as sweep:
        for number in range(count):
            context.limiter.acquire("", f"more{number}", limit=SLOW, now_s=1.0)
    context.sweeps = sweep.call_count


@then("no shard is searched for full buckets, and the number of buckets stays")
def step_check_no_search(context):
    assert context.sweeps == 0, context.sweeps
    assert context.limiter.bucket_count == context.full


@then("a workspace that comes after they are full finds room by one search")
def step_check_room(context):
    context.limiter.acquire("", "late", limit=SLOW, now_s=10_000.0)
    assert context.limiter.bucket_count == context.full - 9
