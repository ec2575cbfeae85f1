import random
from types import SimpleNamespace

import anyio
import msgspec
from behave import given, then, when

from front.agent_load import LOCALITY, make_agent, make_attempt
from front.fakes import LOAD
from front.virtual_time import VirtualLoop, VirtualTimerService
from front.work_load import AIM_S, WorkLoad
from samphirespring.platform.configuration import (
    OPERATOR_SECTION,
    DeploymentDefaults,
    translate_configuration,
)
from samphirespring.process.agent.agent_messages import (
    AdmitAttempt,
    Announcement,
    AnnounceTarget,
    FinishAttempt,
    UsePolicies,
)
from samphirespring.process.detection.fault_risk import FaultModel
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.mailbox import ask
from samphirespring.process.service_pool import ServicePool
from samphirespring.process.targets import Locality, TargetWork
from samphirespring.process.work.remaining_work import RemainingWork
from samphirespring.process.work.target_backlog import TargetBacklog
from samphirespring.process.work.work_estimator import MAX_KINDS, WorkEstimator
from samphirespring.request.risk_selection import RiskSelector
from samphirespring.request.selection import Candidate, group_by_distance
from samphirespring.request.work_kind import make_work_kind
from samphirespring.version.document import RoutePolicy, ServicePolicy, TeamSection
from samphirespring.version.routes import Route
from samphirespring.version.states import PlacementMode, PriorityClass

PACES = {"fast": 0.7, "usual": 1.0, "slow": 2.0}
SLOTS = 4
FAULTS = FaultModel(share=0.3, span_s=2.7)


@given("a configuration with these routes")
def step_configuration(context):
    routes = [
        {
            "type": "routes",
            "metadata": {"name": row["route"]},
            "spec": {
                "host": "h",
                "path-prefix": f"/{row['route']}/",
                "kind": "safe",
                "timeout": row["timeout"],
                "aim": row["aim"],
                "service": row["service"],
                "max-attempts": 2,
            },
        }
        for row in context.table
    ]
    services = [
        {"type": "services", "metadata": {"name": name}, "spec": {}}
        for name in sorted({row["service"] for row in context.table})
    ]
    text = msgspec.json.encode({"version": 1, "resources": routes + services})
    submission = translate_configuration(text, defaults=DeploymentDefaults())
    team = msgspec.json.decode(submission.sections[OPERATOR_SECTION], type=TeamSection)
    context.placements = {name: policy.placement for name, policy in team.services.items()}


@then('the adapter places the requests of "{service}" by work, and those of the others by slots')
def step_check_placements(context, service):
    by_work = [name for name, mode in context.placements.items() if mode is PlacementMode.WORK]
    assert by_work == [service] and len(context.placements) == 4, context.placements


@given(
    "requests of which {share:g} take 7 times as long, on targets of pace 0.7, 1.0 and 2.0",
)
def step_requests(context, share):
    context.tail_share = share
    context.random = random.Random(4)
    context.estimator = WorkEstimator()
    context.targets = {name: RemainingWork() for name in PACES}


@when("{count:d} requests of {short_s:g} s and of {long_s:g} s have run")
def step_run_kinds(context, count, short_s, long_s):
    generator = context.random
    for number in range(2 * count):
        kind, work_s = (("short", short_s), ("long", long_s))[number % 2]
        name = generator.choice(tuple(PACES))
        target, now_s = context.targets[name], number * 0.1
        expected_s = context.estimator.estimate(kind, now_s=now_s)
        target.begin(number, work_s=expected_s, now_s=now_s)
        factor = 7.0 if generator.random() < context.tail_share else generator.uniform(0.7, 1.3)
        run_s = work_s * factor * PACES[name]
        target.end(number, run_s=run_s)
        report = target.read(now_s, waiting_s=0.0, run_s=run_s)
        context.estimator.learn(kind, run_s=run_s, pace=report.pace, now_s=now_s)
    context.now_s = count * 0.2


@then("the kinds are expected to take {short_s:g} s and {long_s:g} s, each within {percent:d} %")
def step_check_kinds(context, short_s, long_s, percent):
    for kind, work_s in (("short", short_s), ("long", long_s)):
        expected_s = context.estimator.estimate(kind, now_s=context.now_s)
        assert abs(expected_s / work_s - 1) <= percent / 100, (kind, expected_s)


@then("a kind that is new is expected to take as long as the mean")
def step_check_new_kind(context):
    estimates = [context.estimator.estimate(kind, now_s=context.now_s) for kind in ("new", None)]
    assert estimates[0] == estimates[1], estimates


@then("the paces keep the order of the targets, and the last is at least twice the first")
def step_check_paces(context):
    reports = [t.read(0.0, waiting_s=0.0, run_s=None) for t in context.targets.values()]
    paces = [report.pace for report in reports]
    assert paces == sorted(paces) and paces[-1] >= 2 * paces[0], paces


@given("an estimator that has learned nothing")
def step_new_estimator(context):
    context.estimator, context.now_s = WorkEstimator(), 0.0


@then("it expects nothing of a request")
def step_check_nothing(context):
    assert context.estimator.estimate("k", now_s=0.0) is None


@when("{count:d} requests of {work_s:g} s have run within {duration_s:g} s")
def step_run_same(context, count, work_s, duration_s):
    for _ in range(count):
        context.now_s += duration_s / count
        context.estimator.learn("k", run_s=work_s, pace=1.0, now_s=context.now_s)


@then("it expects between {least_s:g} s and {most_s:g} s")
def step_check_range(context, least_s, most_s):
    expected_s = context.estimator.estimate("k", now_s=context.now_s)
    assert least_s <= expected_s <= most_s, expected_s


@when("requests of {count:d} kinds have run")
def step_run_many(context, count):
    for number in range(count):
        context.estimator.learn(f"k{number}", run_s=0.5, pace=1.0, now_s=number * 0.01)


@then("it keeps {count:d} kinds")
def step_check_count(context, count):
    dump = context.estimator.make_dump("s", now_s=0.0, limit=10 * MAX_KINDS)
    assert len(dump.kinds) == count, len(dump.kinds)


@then("a method of the caller's own making doesn't make a kind of its own")
def step_check_methods(context):
    route = make_route(PlacementMode.WORK)
    methods = ("GET", "POST", "X-1", "X-2")
    kinds = {make_work_kind(route, method=method, body_bytes=0) for method in methods}
    assert len(kinds) == 3, kinds
    lengths = (0, 100, 120, 100_000, None)
    assert len({make_work_kind(route, method="PUT", body_bytes=n) for n in lengths}) == 4


def make_route(mode):
    policy = RoutePolicy(host="h", service="s")
    return Route(policy=policy, service=ServicePolicy(placement=mode), section="a")


@then("a request of a service that is placed by slots has no kind")
def step_check_no_kind(context):
    route = make_route(PlacementMode.SLOTS)
    assert make_work_kind(route, method="GET", body_bytes=0) is None


@given("an agent whose service is placed by work")
def step_agent(context):
    context.mode = PlacementMode.WORK


@when('attempts end with "ok", "wrong", "timeout" and "shed"')
def step_end_attempts(context):
    context.loads = play_outcomes(PlacementMode.WORK)


def play_outcomes(mode):
    """Return the load that an agent reports at the end of an attempt of each outcome."""
    loads = {}

    async def play(agent):
        for name in ("ok", "wrong", "timeout", "shed"):
            loads[name] = await run_attempt(agent, name)

    run_agent(mode, play)
    return loads


def run_agent(mode, play):
    """Run a coroutine function beside an agent with one target."""
    timers = VirtualTimerService()

    async def main():
        agent = make_agent(timers)
        policy = ServicePolicy(slots=SLOTS, placement=mode)
        async with anyio.create_task_group() as group:
            group.start_soon(agent.run)
            agent.inbox.post(UsePolicies(version=1, services={"s": policy}))
            await announce(agent, started_ms=1)
            await play(agent)
            group.cancel_scope.cancel()

    anyio.run(main, backend_options={"loop_factory": VirtualLoop})


async def announce(agent, *, started_ms):
    announcement = Announcement(service="s", address="127.0.0.1:1", started_ms=started_ms)
    await ask(
        agent.inbox,
        lambda reply: AnnounceTarget(target="t", announcement=announcement, reply=reply),
    )


async def run_attempt(agent, outcome):
    plain = make_attempt(PriorityClass.INTERACTIVE, service="s", remaining_ms=1_000)
    request = msgspec.structs.replace(plain, work_s=0.5)
    await ask(agent.inbox, lambda reply: AdmitAttempt(request=request, reply=reply))
    return await ask(
        agent.inbox,
        lambda reply: FinishAttempt(
            target="t",
            attempt="a",
            latency_s=0.7,
            outcome=ObservedOutcome(outcome),
            terms=None,
            reply=reply,
        ),
    )


@then("only the first of them reports how long it took")
def step_check_reports(context):
    times = [load.work.run_s for load in context.loads.values()]
    assert times == [0.7, None, None, None], times
    assert context.loads["shed"].work.remaining_s == 0.0, context.loads["shed"]


@then("an agent whose service is placed by slots reports no work")
def step_check_slots(context):
    assert play_outcomes(PlacementMode.SLOTS)["ok"].work is None


@when("its target takes longer than expected, and its backend server starts again")
def step_restart(context):
    context.paces = []

    async def play(agent):
        context.paces.append((await run_attempt(agent, "ok")).work.pace)
        await announce(agent, started_ms=2)
        context.paces.append((await run_attempt(agent, "shed")).work.pace)

    run_agent(context.mode, play)


@then("the target counts as slow before the start, and as usual after it")
def step_check_restart(context):
    before, after = context.paces
    assert before > 1.0 == after, context.paces


@given("a target that runs an attempt of 1 s")
def step_running(context):
    context.target = RemainingWork()
    context.target.begin("a", work_s=1.0, now_s=0.0)


@then("0.9 s to 1.1 s are left at 0 s, 0.4 s to 0.6 s at 1 s, and 1.5 s to 4 s at 4 s")
def step_check_left(context):
    for now_s, least_s, most_s in ((0.0, 0.9, 1.1), (1.0, 0.4, 0.6), (4.0, 1.5, 4.0)):
        left_s = context.target.read(now_s, waiting_s=0.0, run_s=None).remaining_s
        assert least_s <= left_s <= most_s, (now_s, left_s)


@when("the attempt ends")
def step_end(context):
    context.target.end("a", run_s=4.5)


@then("nothing is left")
def step_check_nothing_left(context):
    assert context.target.read(5.0, waiting_s=0.0, run_s=None).remaining_s == 0.0


@given("a table that heard of {work_s:g} s of work in {running:d} slots")
def step_backlog(context, work_s, running):
    context.backlog, context.now_s = TargetBacklog(), 0.0
    report = TargetWork(remaining_s=work_s, pace=1.0)
    context.backlog.use_report(report, running=running, now_s=0.0)


@then("1 s of work is left after 0.75 s without news, and none after 2 s")
def step_check_fall(context):
    left = [context.backlog.read_remaining_s(now_s) for now_s in (0.75, 2.0)]
    assert left == [1.0, 0.0], left
    context.now_s = 2.0


@when("the table selects the target for {count:d} requests of {work_s:g} s")
def step_select(context, count, work_s):
    for _ in range(count):
        context.backlog.add(work_s, slots=SLOTS, now_s=context.now_s)
    assert context.backlog.read_remaining_s(context.now_s) == count * work_s


@then("{left_s:g} s of work is left after {duration_s:g} s without news")
def step_check_kept(context, left_s, duration_s):
    assert context.backlog.read_remaining_s(context.now_s + duration_s) == left_s


@when("both end without a report")
def step_release(context):
    context.backlog.remove()
    context.backlog.remove()


@then("no work is left after {duration_s:g} s")
def step_check_none_left(context, duration_s):
    assert context.backlog.read_remaining_s(context.now_s + duration_s) == 0.0


@then("a pace of 3 that was heard of 20 s ago counts as less than 1.1")
def step_check_fade(context):
    report = TargetWork(remaining_s=0.0, pace=3.0)
    context.backlog.use_report(report, running=0, now_s=100.0)
    assert context.backlog.read_pace(100.0) == 3.0
    assert 1.0 <= context.backlog.read_pace(120.0) < 1.1


def make_pool(works, *, free_slots, region=None, risk=None):
    """Return a table's pool of targets by what their agents reported of their work."""
    pool = ServicePool(LOCALITY)
    for name, work in works.items():
        is_far = region is not None and name == "other"
        locality = Locality(region="far" if is_far else "r", failure_domain="r-a", host=name)
        load = msgspec.structs.replace(
            LOAD,
            slots=SLOTS,
            free_slots=free_slots,
            risk=risk if risk is not None and name == "other" else 0.01,
            work=work,
        )
        candidate = Candidate(
            target=name,
            locality=locality,
            link_address="10.0.0.1:1",
            incarnation=1,
            load=load,
            admissible=True,
        )
        pool.put(candidate, now_s=0.0)
        pool.update_load(name, load, now_s=0.0)
    return pool


def choose(pool, *, aim_s=AIM_S, tried=()):
    tiers = pool.list_choices(region_hosts=(), subset_size=100, now_s=0.0, model=FAULTS, work_s=0.7)
    return RiskSelector(random.Random(5)).choose(
        group_by_distance(tiers, LOCALITY), tried=tried, idempotent=False, aim_s=aim_s
    )


@given(
    "a table that places a request of 0.7 s with an aim of 2.7 s on "
    '"slow" of pace 1.5 and "{other}" of pace 1.0'
)
def step_table(context, other):
    works = {
        name: TargetWork(remaining_s=0.0, pace=p) for name, p in (("slow", 1.5), ("other", 1.0))
    }
    pool = make_pool(
        works,
        free_slots=SLOTS,
        region="far" if other == "in another region" else None,
        risk=0.3 if other == "of risk 0.3" else None,
    )
    tried = {"other"} if other == "tried" else ()
    context.chosen = choose(pool, tried=tried).target


@then('the request goes to "{chosen}"')
def step_check_chosen(context, chosen):
    assert context.chosen == ("slow" if chosen == "slow" else "other"), context.chosen


@given("3 full targets with {first_s:g} s, {second_s:g} s and {third_s:g} s of work left")
def step_full(context, first_s, second_s, third_s):
    left = {"first": first_s, "second": second_s, "third": third_s}
    works = {name: TargetWork(remaining_s=s, pace=1.0) for name, s in reversed(left.items())}
    context.chosen = choose(make_pool(works, free_slots=0))


@then("the next request goes to the first of them")
def step_check_full(context):
    assert context.chosen.target == "first", context.chosen
    assert context.chosen.expected.wait_s > 0.0


@given("targets of paces {paces} that slow down when nearly full, and {rate:d} requests a second")
def step_load(context, paces, rate):
    context.load = SimpleNamespace(speeds=[float(pace) for pace in paces.split()], rate=rate)


@when("the load is played by slots and by work")
def step_play(context):
    context.plays = {by_work: play(context.load, by_work) for by_work in (False, True)}


def play(load, by_work, *, silent_from_s=None):
    loads = []
    for seed in (1, 2):
        played = WorkLoad(speeds=load.speeds, rate=load.rate, by_work=by_work, seed=seed)
        played.run(120.0, silent_from_s=silent_from_s)
        loads.append(played)
    late = sum(played.measure_late_share() for played in loads) / len(loads)
    wait_s = max(p.measure_wait_s(0.99) for p in loads)
    print(f"measured: by_work={by_work} late={late:.4f} p99_wait_s={wait_s:.3f}")
    return SimpleNamespace(late=late, wait_s=wait_s)


@then("by work, at most {percent:d} % of the requests of under half the aim are late")
def step_check_late(context, percent):
    assert context.plays[True].late <= percent / 100, context.plays


@then("by work, {percent:d} % of the requests wait for less than half the aim")
def step_check_wait(context, percent):
    assert context.plays[True].wait_s < AIM_S / 2, context.plays


@then("by work, {factor:g} times as many of them are late as by slots, or fewer")
def step_check_fewer(context, factor):
    assert context.plays[True].late <= factor * context.plays[False].late, context.plays


@when("the load is played by slots and by work, with no report from {from_s:d} s on")
def step_play_silent(context, from_s):
    context.plays = {by: play(context.load, by, silent_from_s=from_s) for by in (False, True)}


@then("by work, no larger share of the requests is late than by slots, but for {percent:d} %")
def step_check_silent(context, percent):
    assert context.plays[True].late <= context.plays[False].late + percent / 100, context.plays


@when("{few:d} attempt takes {short_s:f} s and {many:d} attempts take {long_s:f} s")
def step_learn_after_nothing(context, few, short_s, many, long_s):
    for run_s in (*[short_s] * few, *[long_s] * many):
        context.now_s += 0.1
        context.estimator.learn("k", run_s=run_s, pace=1.0, now_s=context.now_s)


@then("an attempt is expected to take over {work_s:f} s")
def step_check_over(context, work_s):
    expected_s = context.estimator.estimate("k", now_s=context.now_s)
    assert expected_s > work_s, expected_s
