import itertools
from contextlib import asynccontextmanager

import anyio
import msgspec
from behave import given, then, when

from front.fakes import LOAD, AttemptScript, FakeFleet, make_attempt_message, run_virtual
from front.region_load import MODEL
from front.shedding_load import SheddingLoad
from samphirespring.connection.attempt_channel import RUN_ATTEMPTS
from samphirespring.connection.channel_server import AttemptChannelServer
from samphirespring.connection.link_pool import LinkPool
from samphirespring.connection.link_server import DuplexHandler, serve_link
from samphirespring.process.attempt_channels import AttemptChannels
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.local_targets import LocalSelection, LocalTargetSource
from samphirespring.process.shedding.retry_pool import (
    FrontAccount,
    GrantDecision,
    RetryGrant,
    RetryPool,
)
from samphirespring.process.shedding.retry_pools import RetryPools
from samphirespring.process.shedding.shedding_services import SheddingServices
from samphirespring.process.suspicion import Suspicion
from samphirespring.process.targets import Locality, TargetSheds
from samphirespring.process.timers import MonotonicTimerService
from samphirespring.request.pooled_retries import RetryAsk, RetrySource
from samphirespring.request.selection import Candidate, Choice
from samphirespring.request.states import RefusalCode
from samphirespring.version.document import RetryPolicy, RoutePolicy, ServicePolicy
from samphirespring.version.states import RetryPlan

WINDOW_S = 10.0
SEEDS = (1, 2)
SPAN_S = (5.0, 13.5)
DURATION_S = 20.0
PLANNED = ServicePolicy(retry_plan=RetryPlan.BY_SERVICE, refusals_are_executions=True)
TIMEOUT_S = 10.0


def make_choices(heard, shedding, share):
    load = msgspec.structs.replace(LOAD, slots=1)
    locality = Locality(region="r", failure_domain="r/a", host="h")
    for number in range(heard):
        candidate = Candidate(
            target=f"t{number}",
            locality=locality,
            link_address="10.0.0.1:1",
            incarnation=1,
            load=load,
            admissible=True,
        )
        sheds = TargetSheds(share=share, fault_risk=0.1) if number < shedding else None
        yield Choice(candidate=candidate, free_slots=1.0, risk=0.1, risk_age_s=0.5, sheds=sheds)


@given("a service that {state}")
def step_service(context, state):
    context.services = SheddingServices()
    context.services.use_policies({"s": PLANNED})
    shedding = 0 if state.endswith("not yet") else 10
    context.services.is_whole("s", [list(make_choices(10, shedding, 0.5))])


@when("{shedding:d} of {heard:d} targets that were heard of shed {share:d} of 100 attempts")
def step_shed(context, shedding, heard, share):
    choices = list(make_choices(heard, shedding, share / 100))
    context.is_whole = context.services.is_whole("s", [choices])
    context.is_unplanned_whole = context.services.is_whole("other", [choices])


@then("the service {state}")
def step_check_whole(context, state):
    assert context.is_whole is not state.endswith("not yet")
    assert not context.is_unplanned_whole


@when("a target sheds every second of {count:d} attempts")
def step_shed_half(context, count):
    context.suspicion = Suspicion(MODEL, now_s=0.0)
    context.now_s = 0.0
    for number in range(count):
        context.now_s += 0.1
        context.suspicion.begin(f"a{number}", now_s=context.now_s)
        outcome = ObservedOutcome.SHED if number % 2 else ObservedOutcome.OK
        context.suspicion.end(f"a{number}", outcome, now_s=context.now_s)


@then(
    "it reports that it sheds {low:d} to {high:d} of 100,"
    " and a risk of a fault of at most {risk:g}"
)
def step_check_sheds(context, low, high, risk):
    sheds = context.suspicion.read_sheds(context.now_s)
    assert low <= 100 * sheds.share <= high, sheds
    assert sheds.fault_risk <= risk < context.suspicion.read(context.now_s), sheds


@then("it still admits an attempt with a limit of {limit:g} if sheds are load, and not otherwise")
def step_check_admission(context, limit):
    admitted = [
        context.suspicion.admits(
            make_attempt_message(attempt="a", max_risk=limit, sheds_are_load=is_load),
            now_s=context.now_s,
        )
        for is_load in (True, False)
    ]
    assert admitted == [True, False], admitted


@then("{wait_s:d} s later it reports that it sheds nothing")
def step_check_forgotten(context, wait_s):
    assert context.suspicion.read_sheds(context.now_s + wait_s) is None


class PooledFronts:
    """Fronts with equal budgets that ask a pool."""

    def __init__(self, count, floor):
        self.pool = RetryPool(window_s=WINDOW_S)
        self.accounts = [
            FrontAccount(
                host=f"f{number}",
                requests=0.0,
                own=0.0,
                pooled=0.0,
                share=0.2,
                floor=floor,
                window_s=WINDOW_S,
            )
            for number in range(count)
        ]
        self.granted = 0
        self.denial = None

    def ask(self, number=0, *, rank=1, max_wait_s=0.0, has_waited=False):
        account = self.accounts[number]
        grant = self.pool.acquire(
            account, rank=rank, max_wait_s=max_wait_s, has_waited=has_waited, now_s=1.0
        )
        if grant.decision is GrantDecision.GRANTED:
            self.granted += 1
            self.accounts[number] = msgspec.structs.replace(account, pooled=account.pooled + 1.0)
        return grant

    def ask_each(self):
        for number in range(len(self.accounts)):
            self.ask(number)

    def ask_until_denied(self, *, rank=1):
        before = self.granted
        grant = self.ask(rank=rank)
        while grant.decision is GrantDecision.GRANTED:
            grant = self.ask(rank=rank)
        self.denial = grant
        return self.granted - before


@given("{count:d} fronts, each with a budget of {floor:d} retries in 10 s")
def step_fronts(context, count, floor):
    context.fronts = PooledFronts(count, float(floor))


@given("each of them granted {count:d} retry itself")
def step_own(context, count):
    fronts = context.fronts
    fronts.accounts = [msgspec.structs.replace(a, own=float(count)) for a in fronts.accounts]


@when("each front has asked once, and the first front asks until it is denied")
def step_spend(context):
    context.fronts.ask_each()
    context.fronts.ask_until_denied()


@when("another host takes over, and each front asks once")
def step_take_over(context):
    context.fronts.pool = RetryPool(window_s=WINDOW_S)
    # The first front has spent what the others lent to it.
    context.fronts.ask_each()


@then("{count:d} retries are granted")
def step_check_granted(context, count):
    assert context.fronts.granted == count, context.fronts.granted


@then("the denial names a time of {low:g} s to {high:g} s")
def step_check_denial(context, low, high):
    denial = context.fronts.denial
    assert denial.decision is GrantDecision.DENIED
    assert low <= denial.wait_s <= high, denial


@when(
    "{count:d} requests of rank {urgent:d} have asked,"
    " and requests of rank {rank:d} ask until they are denied"
)
def step_ask_ranks(context, count, urgent, rank):
    for number in range(count):
        context.fronts.ask(number % len(context.fronts.accounts), rank=urgent)
    context.granted = context.fronts.ask_until_denied(rank=rank)


@then("{count:d} retries of rank 2 are granted")
def step_check_rank(context, count):
    assert context.granted == count, context.granted


@then("requests of rank 1 are granted {count:d} more")
def step_check_urgent(context, count):
    assert context.fronts.ask_until_denied(rank=1) == count


@when("the budget is spent")
def step_spend_all(context):
    context.fronts.ask_each()
    context.fronts.ask_until_denied()


@then("a request that can wait {wait_s:g} s is denied")
@then("the next one that can wait {wait_s:g} s is denied")
def step_check_no_wait(context, wait_s):
    assert context.fronts.ask(max_wait_s=wait_s).decision is GrantDecision.DENIED


@then("{count:d} requests that can wait {wait_s:g} s are told to wait, each longer than the last")
def step_check_waits(context, count, wait_s):
    grants = [context.fronts.ask(max_wait_s=wait_s) for _ in range(count)]
    assert {grant.decision for grant in grants} == {GrantDecision.WAIT}, grants
    waits = [grant.wait_s for grant in grants]
    assert waits == sorted(set(waits)) and waits[-1] <= wait_s, waits


def play(seed, *, shedding, planned, event=None):
    load = SheddingLoad(seed=seed, shedding=shedding, planned=planned, span_s=SPAN_S)
    if event is not None:
        load.schedule(SPAN_S[0] + 4.0, lambda: event(load))
    load.run(DURATION_S)
    return load


@when("{shedding:d} of 56 targets shed, without and with a plan for their service")
def step_play(context, shedding):
    context.unplanned = [play(seed, shedding=shedding, planned=False) for seed in SEEDS]
    context.planned = [play(seed, shedding=shedding, planned=True) for seed in SEEDS]


EVENTS = {
    "all hosts that grant retries begin anew": lambda load: load.restart_hosts(),
    "a third of the fronts begin anew": lambda load: load.restart_fronts(25),
    "the hosts that grant retries are silent": lambda load: setattr(load, "pools_answer", False),
}


@when("{shedding:d} of 56 targets shed, and 4 s after their start {what}")
def step_play_event(context, shedding, what):
    context.planned = [
        play(seed, shedding=shedding, planned=True, event=EVENTS[what]) for seed in SEEDS
    ]


def measure_served(load, since_s, until_s, *, rank=None):
    return load.measure_served(rank, since_s=since_s, until_s=until_s)


@then(
    "with the plan at least {urgent:g} of the urgent requests are served, and {more:g} more of all"
)
def step_check_served(context, urgent, more):
    for before, after in zip(context.unplanned, context.planned, strict=True):
        assert measure_served(after, *SPAN_S, rank=1) >= urgent
        shares = [measure_served(load, *SPAN_S) for load in (before, after)]
        assert shares[1] >= shares[0] + more, shares
        print("  measured:", [round(share, 3) for share in shares])


@then("before the targets shed as many are served with it as without")
def step_check_before(context):
    for before, after in zip(context.unplanned, context.planned, strict=True):
        assert measure_served(before, 0.0, 4.0) == measure_served(after, 0.0, 4.0)


@then("after it at least {share:g} of all are served")
def step_check_after(context, share):
    for load in context.planned:
        assert measure_served(load, SPAN_S[1] + 1.0, DURATION_S - 3.0) >= share


@then("no window uses more than the budget")
def step_check_budget(context):
    worst = [load.measure_worst_window() for load in context.planned]
    print("  measured:", [round(share, 3) for share in worst], "of the budget")
    assert max(worst) <= 1.0, worst


@then("each target that doesn't shed gets requests in every {window_s:d} s")
def step_check_floor(context, window_s):
    for load in context.planned:
        for name in sorted(load.targets.keys() - load.shedding):
            started = [s for s in load.targets[name].started_at_s if s < DURATION_S - 1.0]
            gaps = [b - a for a, b in itertools.pairwise(started)]
            assert started[0] < window_s and max(gaps) < window_s, (name, max(gaps))


@then("each request ends alike with and without the plan")
def step_check_alike(context):
    for before, after in zip(context.unplanned, context.planned, strict=True):
        ends = [[(r.served, r.began_at_s) for r in load.requests] for load in (before, after)]
        assert ends[0] == ends[1]
        assert any(served is False for served, _ in ends[0]) or before.repeated_at_s


@then("at least {share:g} of all requests are served while they shed")
def step_check_share(context, share):
    for load in context.planned:
        assert measure_served(load, *SPAN_S) >= share, measure_served(load, *SPAN_S)


class SheddingTargetSource(LocalTargetSource):
    """Says of each target that most of its service shed."""

    @asynccontextmanager
    async def select(self, terms, *, is_shared=False):
        async with super().select(terms, is_shared=is_shared) as selection:
            marked = msgspec.structs.replace(selection.candidate, service_sheds=True)
            yield LocalSelection(marked, self._table)


class ScriptedRetries(RetrySource):
    """Decides by a script: `granted`, `wait S`, `denied S`, or `none`."""

    def __init__(self, answers):
        self.answers = [answer.split() for answer in answers.split(", ")]

    async def acquire(self, terms, *, policy):
        word, *wait_s = self.answers.pop(0)
        if word == "none":
            return None
        return RetryGrant(decision=GrantDecision(word), wait_s=float(wait_s[0]) if wait_s else 0.0)


@given("a front whose targets shed the first attempt, of a service that sheds as a whole")
def step_shedding_front(context):
    context.attempts = []

    def choose_script(request):
        context.attempts.append(request)
        if len(context.attempts) == 1:
            return AttemptScript(kind="refuse", code=RefusalCode.SHEDDING, by_target=True)
        return AttemptScript()

    context.choose_script = choose_script


@when('a request comes while the joint budget answers "{answers}"')
def step_request(context, answers):
    route = RoutePolicy(
        host="a.example",
        service="s",
        idempotent=True,
        deadline_ms=5_000,
        retry=RetryPolicy(capacity_wait_ms=5_000),
    )
    fleet = FakeFleet(
        route=route,
        service=PLANNED,
        choose_script=context.choose_script,
        adapt=lambda exchanges: msgspec.structs.replace(
            exchanges,
            targets=SheddingTargetSource(exchanges.table),
            retries=ScriptedRetries(answers),
        ),
    )

    async def main():
        context.call = await fleet.call()

    run_virtual(fleet, main)


@then('the request ends as "{end}" after {attempts:d} attempts, {after_s:g} s later')
def step_check_end(context, end, attempts, after_s):
    call = context.call
    if end == "served":
        assert call.writer.finished, call.error
    else:
        status, _, after = end.partition(", again in ")
        assert str(call.error.status) == status, call.error
        assert f"{call.error.retry_after_s} s" == after, call.error.retry_after_s
    assert len(context.attempts) == attempts, context.attempts
    assert 0.0 <= call.ended_s - after_s <= 0.1, call.ended_s


PEERS = ("127.0.0.1:26463", "127.0.0.1:26464")


@given("a host that grants retries, and one that knows no joint budgets")
def step_granting_host(context):
    context.pools = RetryPools(timers=MonotonicTimerService())


@when("a front asks each for {count:d} retries of a budget of {floor:d}")
def step_ask_hosts(context, count, floor):
    account = PooledFronts(1, float(floor)).accounts[0]
    ask = RetryAsk(service="s", account=account, rank=0, max_wait_s=0.0)

    async def main():
        links = LinkPool(capacity=10)
        channels = AttemptChannels(links, timers=MonotonicTimerService())
        servers = (
            AttemptChannelServer(None, table=None, pools=context.pools.inbox),
            AttemptChannelServer(None, table=None),
        )
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(context.pools.run)
                group.start_soon(channels.run)
                for address, server in zip(PEERS, servers, strict=True):
                    await group.start(serve_until_cancelled, address, server)
                context.grants = [
                    [await channels.find_channel(address).ask_retry(ask) for _ in range(count)]
                    for address in PEERS
                ]
                context.dump = await context.pools.dump()
                links.close()
                group.cancel_scope.cancel()

    anyio.run(main)


async def serve_until_cancelled(address, server, *, task_status):
    async with serve_link([DuplexHandler(RUN_ATTEMPTS, server.serve)], address=address):
        task_status.started()
        await anyio.sleep_forever()


@then("the first grants {granted:d} and denies {denied:d}, and the second decides nothing")
def step_check_hosts(context, granted, denied):
    decisions = [grant.decision for grant in context.grants[0]]
    assert decisions.count(GrantDecision.GRANTED) == granted, decisions
    assert decisions.count(GrantDecision.DENIED) == denied, decisions
    assert set(context.grants[1]) == {None}, context.grants[1]
    assert [(pool.service, pool.fronts) for pool in context.dump.pools] == [("s", 1)]
