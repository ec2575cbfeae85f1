import asyncio
import json
import math
import random
from collections import Counter
from contextlib import asynccontextmanager
from functools import partial
from types import SimpleNamespace
from typing import NamedTuple

import anyio
from behave import then, when
from hypothesis import given as given_random
from hypothesis import settings, strategies

from front.fakes import (
    ANSWER,
    AttemptScript,
    FakeFleet,
    RecordingWriter,
    make_attempt_message,
    run_virtual,
)
from samphirespring.connection.caller_http import CallerApp
from samphirespring.process.detection.reference import PoolReference
from samphirespring.process.detection.summaries import encode_log_latency
from samphirespring.process.detection.target_evaluator import DetectionTerms
from samphirespring.process.front import EndRequests
from samphirespring.process.local_targets import LocalSelection
from samphirespring.process.retry_budget import RetryBudget, RetryKind
from samphirespring.process.settings import CallerLimits
from samphirespring.request.attempt import Attempt
from samphirespring.request.attempt_limit import compute_attempt_limit_s
from samphirespring.request.body import EMPTY_BODY
from samphirespring.request.exclusive_response_writer import ExclusiveResponseWriter
from samphirespring.request.messages import ResponseEnd
from samphirespring.request.retry import HELPER_MAX_ATTEMPTS, MAX_REFUSED_ATTEMPTS
from samphirespring.request.states import Outcome, RefusalCode
from samphirespring.version.document import (
    FleetSection,
    HedgePolicy,
    RateLimit,
    RetryPolicy,
    RoutePolicy,
    ServicePolicy,
)
from samphirespring.version.states import DetectionMode

KINDS = (
    "answer",
    "answer",
    "cut",
    "short",
    "foreign_head",
    "foreign_end",
    "foreign_refusal",
    "late_refusal",
    "refuse",
    "not_started",
    "fail",
    "lost",
    "no_link",
    "stall",
)
SCRIPTS = strategies.builds(
    AttemptScript,
    kind=strategies.sampled_from(KINDS),
    delay_s=strategies.sampled_from((0.0, 0.002, 0.05, 0.4)),
    code=strategies.sampled_from(RefusalCode),
    retry_after_ms=strategies.sampled_from((None, 0, 20, 700, 60_000)),
    long=strategies.booleans(),
)
RUNS = strategies.fixed_dictionaries(
    {
        "scripts": strategies.lists(SCRIPTS, min_size=1, max_size=30),
        "intervals_s": strategies.lists(
            strategies.sampled_from((0.0, 0.001, 0.03, 0.3)), min_size=1, max_size=6
        ),
        "disconnects": strategies.sets(strategies.integers(0, 5), max_size=2),
        "hedge": strategies.booleans(),
        "seed": strategies.integers(0, 1_000),
    }
)


def make_route(**members):
    return RoutePolicy(host="a.example", service="s", **{"deadline_ms": 2_000, **members})


def run_random(context, *, count, idempotent):
    @settings(max_examples=count)
    @given_random(RUNS)
    def check(run):
        context.checked.append(run_once(run, idempotent=idempotent))

    check()


def run_once(run, *, idempotent):
    scripts = iter(run["scripts"])
    generous = ServicePolicy(retry_share=1.0, retry_floor=100.0)
    hedge = HedgePolicy(enabled=run["hedge"], delay_ms=30)
    fleet = FakeFleet(
        route=make_route(idempotent=idempotent, hedge=hedge),
        service=generous,
        choose_script=lambda request: next(scripts, AttemptScript(kind="fail")),
        seed=run["seed"],
    )

    async def main():
        async with anyio.create_task_group() as group:
            for number, interval_s in enumerate(run["intervals_s"]):
                scope = anyio.CancelScope()
                group.start_soon(call_within, fleet, scope)
                if number in run["disconnects"]:
                    group.start_soon(disconnect, scope)
                await anyio.sleep(interval_s)

    run_virtual(fleet, main)
    check_calls(fleet, idempotent=idempotent)
    assert fleet.sender.open == 0
    return fleet


async def call_within(fleet, scope):
    with scope:
        await fleet.call()


async def disconnect(scope):
    await anyio.sleep(0.01)
    scope.cancel()


def check_calls(fleet, *, idempotent):
    for call in fleet.calls:
        name = call.request.request
        runs = fleet.sender.runs[name]
        assert len(call.writer.heads) <= 1, "two responses"
        complete = (name.encode() + ANSWER, name.encode() + ANSWER * 5)
        if call.writer.finished:
            assert call.writer.body in complete, call.writer.body
            assert call.error is None
        else:
            assert complete[1].startswith(call.writer.body), call.writer.body
        if call.outcome is Outcome.NOT_RUN:
            assert runs == 0, "reported as not run, but it ran"
        if call.writer.heads and not call.writer.finished and call.error is not None:
            assert call.error.code.value == "answer_cut", call.error
        if not idempotent:
            assert runs <= 1, "an action ran twice"
        # Each planned attempt may be hedged once.
        bound = (3 + MAX_REFUSED_ATTEMPTS) * (2 if idempotent else 1)
        assert fleet.sender.attempts[name] <= bound


@when("{count:d} random runs of idempotent requests pass through a front")
def step_random_reads(context, count):
    context.checked = []
    run_random(context, count=count, idempotent=True)


@when("{count:d} random runs of actions pass through a front")
def step_random_actions(context, count):
    run_random(context, count=count, idempotent=False)


@then(
    "every caller received its own complete response, an aborted connection or the correct outcome"
)
def step_check_random(context):
    outcomes = {call.outcome for fleet in context.checked for call in fleet.calls}
    # The check is only meaningful if the runs reach every outcome.
    assert outcomes == {Outcome.RAN, Outcome.NOT_RUN, Outcome.UNKNOWN, None}, outcomes
    codes = {c.error.code.value for f in context.checked for c in f.calls if c.error is not None}
    expected = {"answer_cut", "refused", "attempt_failed", "outcome_unknown", "deadline_expired"}
    assert expected <= codes, codes


@then("no action ran twice and no request exceeded its limit of attempts")
def step_check_random_counts(context):
    assert len(context.checked) >= 800, len(context.checked)
    assert max(max(f.sender.attempts.values(), default=0) for f in context.checked) > 3


def run_burst(context, fleet, count, *, spacing_s=0.0):
    async def main():
        await fleet.call_burst(count, spacing_s=spacing_s)

    run_virtual(fleet, main)
    context.fleet = fleet


@when(
    "{count:d} requests at {rate:g} per second are sent to a pool"
    ' where every attempt ends as "{result}"'
)
def step_unhealthy_pool(context, count, rate, result):
    fleet = FakeFleet(
        route=make_route(idempotent=True, hedge=HedgePolicy(enabled=True, delay_ms=1)),
        service=ServicePolicy(),
        choose_script=lambda request: AttemptScript(kind=result),
    )
    run_burst(context, fleet, count, spacing_s=1 / rate)


@then("attempts per request stay below {bound:f}")
def step_check_share(context, bound):
    fleet = context.fleet
    share = sum(fleet.sender.attempts.values()) / len(fleet.calls)
    print(f"  measured: {share:.3f} attempts per request")
    assert share < bound, share


@when("each of {fronts:d} fronts has {count:d} requests in a minute, all of which fail")
def step_idle_fronts(context, fronts, count):
    policy = ServicePolicy()
    generator = random.Random(1)
    context.requests = fronts * count
    context.retries = 0
    for _ in range(fronts):
        budget = RetryBudget(now_s=0.0, generator=generator)
        for number in range(count):
            now_s = (number + generator.random()) * 60.0 / count
            budget.count_request(now_s=now_s)
            while budget.acquire(
                RetryKind.EXECUTION,
                share=policy.retry_share,
                floor=policy.retry_floor / fronts,
                now_s=now_s,
            ):
                context.retries += 1


@then("retries are between {least:f} and {most:f} of all requests")
def step_check_idle_fronts(context, least, most):
    share = context.retries / context.requests
    print(f"  measured: {share:.4f} retries per request")
    assert least <= share <= most, share


@when('a request is refused as "{code}" with a retry hint of {hint:d} ms')
def step_one_hint(context, code, hint):
    script = AttemptScript(kind="refuse", code=RefusalCode(code), retry_after_ms=hint)
    fleet = FakeFleet(
        route=make_route(idempotent=False, deadline_ms=60_000),
        service=ServicePolicy(),
        choose_script=lambda request: script,
    )
    run_burst(context, fleet, 1)


@when("an action is sent to {count:d} unreachable targets before one that responds")
def step_unreachable(context, count):
    scripts = iter([AttemptScript(kind="not_started")] * count)
    fleet = FakeFleet(
        route=make_route(idempotent=False, deadline_ms=2_000),
        service=ServicePolicy(),
        choose_script=lambda request: next(scripts, AttemptScript()),
    )
    run_burst(context, fleet, 1)


@then("it receives its response after {count:d} attempts within {limit:d} ms")
def step_check_served(context, count, limit):
    (call,) = context.fleet.calls
    assert call.error is None, call.error
    assert context.fleet.sender.attempts.total() == count
    assert call.ended_s <= limit / 1_000, call.ended_s


@when(
    'a request is refused as "{first}" with {first_ms:d} ms, "{second}" with {second_ms:d} ms'
    ' and "{third}" with {third_ms:d} ms'
)
def step_three_hints(context, first, first_ms, second, second_ms, third, third_ms):
    hints = iter(((first, first_ms), (second, second_ms), (third, third_ms)))

    def choose_script(request):
        code, hint = next(hints)
        return AttemptScript(kind="refuse", code=RefusalCode(code), retry_after_ms=hint)

    fleet = FakeFleet(
        route=make_route(idempotent=False, deadline_ms=60_000),
        service=ServicePolicy(),
        choose_script=choose_script,
    )
    run_burst(context, fleet, 1)


@then(
    'it failed after {count:d} attempt within {limit:d} ms with "{code}", outcome "not-run"'
    " and a retry delay of {wait:d} s"
)
@then(
    'it failed after {count:d} attempts within {limit:d} ms with "{code}", outcome "not-run"'
    " and a retry delay of {wait:d} s"
)
def step_check_failure(context, count, limit, code, wait):
    (call,) = context.fleet.calls
    assert call.error.attempt_count == count, call.error.attempt_count
    assert call.ended_s <= limit / 1_000, call.ended_s
    assert call.error.code.value == code
    assert call.outcome is Outcome.NOT_RUN
    assert call.error.retry_after_s == wait, call.error.retry_after_s


class Limiter:
    """Rate limiter in front of a backend server; if `typed`, its refusals state a retry delay."""

    def __init__(self, *, rate, burst, typed):
        self.rate = rate
        self.burst = burst
        self.typed = typed
        self.tokens = float(burst)
        self.counted_at_s = 0.0

    def choose_script(self, request):
        now_s = asyncio.get_running_loop().time()
        self.tokens = min(self.burst, self.tokens + (now_s - self.counted_at_s) * self.rate)
        self.counted_at_s = now_s
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return AttemptScript()
        if self.typed:
            hint_ms = 1_000
            return AttemptScript(
                kind="refuse", code=RefusalCode.RATE_LIMITED, retry_after_ms=hint_ms
            )
        return AttemptScript(kind="refuse", code=RefusalCode.NO_SLOT)


def run_limiter(*, typed):
    limiter = Limiter(rate=8, burst=40, typed=typed)
    policy = RetryPolicy(capacity_wait_ms=20_000)
    fleet = FakeFleet(
        route=make_route(idempotent=False, deadline_ms=30_000, retry=policy),
        service=ServicePolicy(retry_floor=1_000.0),
        choose_script=limiter.choose_script,
    )

    async def main():
        await fleet.call_burst(72)

    run_virtual(fleet, main)
    lost = sum(1 for call in fleet.calls if not call.writer.finished)
    attempts = sum(fleet.sender.attempts.values())
    done_s = max(call.ended_s for call in fleet.calls)
    print(f"  measured: typed={typed} lost={lost} attempts={attempts} done_s={done_s:.2f}")
    return lost, attempts


@when("72 concurrent calls pass through a limiter of 8 calls per second with a burst of 40")
def step_burst(context):
    context.hinted = run_limiter(typed=True)
    context.plain = run_limiter(typed=False)


@then(
    "retries that follow hints lose 0 calls and at least 5 fewer than plain retries,"
    " with fewer attempts"
)
def step_check_burst(context):
    assert context.hinted[0] == 0, context.hinted
    assert context.plain[0] >= 5, context.plain
    assert context.hinted[1] < context.plain[1]


@when('{count:d} helper requests are sent to a pool where every attempt ends as "{result}"')
def step_helpers(context, count, result):
    from samphirespring.version.states import PriorityClass

    fleet = FakeFleet(
        route=make_route(
            idempotent=True,
            priority=PriorityClass.HELPER,
            hedge=HedgePolicy(enabled=True, delay_ms=0),
            retry=RetryPolicy(max_attempts=10),
        ),
        service=ServicePolicy(retry_share=1.0, retry_floor=1_000.0),
        choose_script=lambda request: AttemptScript(kind=result),
    )
    run_burst(context, fleet, count)


@then("no helper request made more than 2 attempts and none was hedged")
def step_check_helpers(context):
    fleet = context.fleet
    assert HELPER_MAX_ATTEMPTS == 2
    assert set(fleet.sender.attempts.values()) == {2}, fleet.sender.attempts
    assert fleet.metrics.counts["front.hedges"] == 0


def run_hedged(context, count, choose_script):
    fleet = FakeFleet(
        route=make_route(idempotent=True, hedge=HedgePolicy(enabled=True, delay_ms=100)),
        service=ServicePolicy(retry_floor=1_000.0),
        choose_script=choose_script,
    )
    run_burst(context, fleet, count)


@when("{count:d} hedged reads are sent to a first target that never responds")
def step_hedged(context, count):
    seen = set()

    def choose_script(request):
        first = request.request not in seen
        seen.add(request.request)
        return AttemptScript(kind="stall") if first else AttemptScript()

    run_hedged(context, count, choose_script)


def run_late(context, count, *, delay_ms, script):
    fleet = FakeFleet(
        route=make_route(idempotent=True, hedge=HedgePolicy(enabled=True, delay_ms=100)),
        service=ServicePolicy(retry_floor=1_000.0),
        choose_script=lambda request: script,
    )
    select_targets = fleet.table.run

    async def run_after_delay():
        await anyio.sleep(delay_ms / 1_000)
        await select_targets()

    fleet.table.run = run_after_delay
    run_burst(context, fleet, count)


@when("{count:d} hedged reads wait {delay:d} ms for the selection of a target")
def step_late(context, count, delay):
    run_late(context, count, delay_ms=delay, script=AttemptScript())


@when("{count:d} hedged reads wait {delay:d} ms for the selection of a target that never responds")
def step_late_and_stalled(context, count, delay):
    run_late(context, count, delay_ms=delay, script=AttemptScript(kind="stall"))


@then("each received one response after 1 attempt")
def step_check_one_attempt(context):
    for call in context.fleet.calls:
        assert call.writer.finished, call.error
        assert [head.attempt_count for head in call.writer.heads] == [1]


@then('each failed with "{code}" and a detail that contains "{wait}"')
def step_check_wait(context, code, wait):
    assert context.fleet.calls
    for call in context.fleet.calls:
        assert call.error.code.value == code
        assert wait in str(call.error), call.error


@then("each received one response after about 102 ms, and each slower attempt was cancelled")
def step_check_hedged(context):
    fleet = context.fleet
    for call in fleet.calls:
        assert call.writer.finished
        assert len(call.writer.heads) == 1
        assert call.writer.heads[0].attempt_count == 2
        assert 0.102 <= call.ended_s <= 0.106, call.ended_s
    assert fleet.sender.cancelled == len(fleet.calls)
    assert fleet.sender.open == 0


@when('{count:d} hedged reads receive two "{kind}" responses at the same time')
def step_simultaneous_responses(context, count, kind):
    delays = {}

    def choose_script(request):
        # The first attempt responds 30 ms after the hedge starts, and so does the hedge.
        delay_s = delays.setdefault(request.request, 0.13)
        delays[request.request] = 0.03
        long = kind == "long"
        return AttemptScript(kind="answer" if long else kind, delay_s=delay_s, long=long)

    run_hedged(context, count, choose_script)


@then("each caller received the complete response of one attempt")
def step_check_one_response(context):
    check_calls(context.fleet, idempotent=True)
    for call in context.fleet.calls:
        assert call.writer.finished
        assert call.writer.finish_count == 1, call.writer.finish_count
        assert call.writer.heads[0].attempt_count == 2


@when("an attempt has responded and the response of an earlier attempt arrives later")
def step_late_response(context):
    scripts = {
        "earlier": AttemptScript(delay_s=0.5, long=True),
        "later": AttemptScript(delay_s=0.1),
    }
    fleet = FakeFleet(
        route=make_route(idempotent=True),
        service=ServicePolicy(),
        choose_script=lambda request: scripts[request.attempt],
    )
    context.writer = RecordingWriter()
    response = ExclusiveResponseWriter(context.writer, request="r")
    context.results = {}

    async def run(name):
        message = make_attempt_message(attempt=name, target="t0")
        candidate = SimpleNamespace(target="t0", link_address="")
        attempt = Attempt(
            fleet.exchanges,
            message=message,
            body=EMPTY_BODY,
            selection=LocalSelection(candidate, fleet.table.inbox),
            response=response,
        )
        context.results[name] = await attempt.run()

    async def main():
        async with anyio.create_task_group() as group:
            for name in scripts:
                group.start_soon(run, name)

    run_virtual(fleet, main)


@then('the earlier attempt ends as "{kind}" and the caller received one complete response')
def step_check_late_response(context, kind):
    assert context.results["earlier"].kind.value == kind, context.results
    assert isinstance(context.results["later"], ResponseEnd), context.results
    assert len(context.writer.heads) == context.writer.finish_count == 1
    assert context.writer.body == b"r" + ANSWER, context.writer.body


@when("{count:d} reads at {rate:d} per second {hedging} are sent to 12 targets of which one stalls")
def step_one_stalled(context, count, rate, hedging):
    # Each response takes longer than the hedge delay, so that hedges use their whole budget.
    hedge = HedgePolicy(enabled=hedging != "without hedges", delay_ms=1)
    fleet = FakeFleet(
        route=make_route(idempotent=True, hedge=hedge),
        service=ServicePolicy(),
        choose_script=lambda request: AttemptScript(
            kind="stall" if request.target == "t0" else "answer", delay_s=0.1
        ),
        host_count=12,
    )
    run_burst(context, fleet, count, spacing_s=1 / rate)
    assert fleet.metrics.counts["front.stall_retries"] > 0
    if hedge.enabled:
        assert fleet.metrics.counts["front.retry_budget_spent"] > count / 2


@when("{count:d} reads are sent to a pool that takes {delay:d} ms")
def step_slow_pool(context, count, delay):
    fleet = FakeFleet(
        route=make_route(idempotent=True),
        service=ServicePolicy(),
        choose_script=lambda request: AttemptScript(delay_s=delay / 1_000),
        host_count=100,
    )
    run_burst(context, fleet, count, spacing_s=0.02)


@then(
    "every read receives its response within its deadline of 2 s,"
    " with at most {bound:f} attempts per request"
)
def step_check_in_time(context, bound):
    failed = [call.error for call in context.fleet.calls if not call.writer.finished]
    print(f"  measured: {len(failed)} of {len(context.fleet.calls)} failed")
    step_check_share(context, bound)
    assert not failed, failed[:3]


@then(
    "with {remaining:d} ms remaining and a pool p97 of {p97}"
    " an attempt counts as stalled after {limit}"
)
def step_check_limit(context, remaining, p97, limit):
    terms = None
    if p97 != "unknown":
        step = encode_log_latency(math.log(float(p97.removesuffix(" ms")) / 1_000))
        reference = PoolReference(p25=0, p50=0, p75=0, p90=0, p97=step, failure_per_mille=0)
        terms = DetectionTerms(mode=DetectionMode.FAST, slow_start_s=1.0, reference=reference)
    limit_s = compute_attempt_limit_s(terms, remaining_s=remaining / 1_000, reserve_s=0.05)
    if limit == "no time":
        assert limit_s is None, limit_s
    else:
        expected_s = float(limit.removesuffix(" ms")) / 1_000
        assert abs(limit_s - expected_s) <= 0.05 * expected_s, limit_s


def run_limited(context, callers, *, rate, burst):
    """Send one request concurrently for each caller, given by workspace and address."""
    fleet = FakeFleet(
        route=make_route(idempotent=True),
        service=ServicePolicy(),
        choose_script=lambda request: AttemptScript(),
        fleet=FleetSection(default_limit=RateLimit(requests_per_s=rate, burst=burst)),
    )

    async def main():
        async with anyio.create_task_group() as group:
            for workspace, address in callers:
                group.start_soon(partial(fleet.call, workspace=workspace, address=address))

    run_virtual(fleet, main)
    context.fleet = fleet


@when(
    'workspace "{workspace}" sends {count:d} concurrent requests'
    " with a limit of {rate:d} per second and a burst of {burst:d}"
)
def step_limited(context, workspace, count, rate, burst):
    run_limited(context, [(workspace, "10.0.0.1")] * count, rate=rate, burst=burst)


@when(
    "{callers:d} callers without a workspace send {count:d} concurrent requests each"
    " with a limit of {rate:d} per second and a burst of {burst:d}"
)
def step_limited_addresses(context, callers, count, rate, burst):
    addresses = [f"10.0.0.{number}" for number in range(callers)]
    run_limited(context, [("", a) for a in addresses] * count, rate=rate, burst=burst)


@then('{served:d} requests of each caller were served and {limited:d} were refused with "{code}"')
def step_check_addresses(context, served, limited, code):
    served_by = Counter()
    limited_by = Counter()
    for call in context.fleet.calls:
        counts = served_by if call.error is None else limited_by
        counts[call.request.address] += 1
        assert call.error is None or call.error.code.value == code, call.error
    assert len(served_by) == 3
    assert set(served_by.values()) == {served}, served_by
    assert set(limited_by.values()) == {limited}, limited_by


@then(
    '{served:d} requests were served and {limited:d} were refused with "{code}",'
    ' outcome "not-run" and a retry delay of {wait:d} s'
)
def step_check_limited(context, served, limited, code, wait):
    calls = context.fleet.calls
    assert sum(call.writer.finished for call in calls) == served
    errors = [call.error for call in calls if call.error is not None]
    assert len(errors) == limited
    for error in errors:
        assert error.code.value == code
        assert error.outcome is Outcome.NOT_RUN
        assert error.retry_after_s == wait
        assert error.attempt_count == 0


class Refusal(NamedTuple):
    """Error that a caller received."""

    code: str
    outcome: str
    detail: str


def run_early_refusal(context, *, idempotent, key, has_document):
    """Send one request that exceeds a limit, or before the node has a document."""
    fleet = FakeFleet(
        route=make_route(idempotent=idempotent),
        service=ServicePolicy(),
        choose_script=lambda request: AttemptScript(),
        fleet=FleetSection(default_limit=RateLimit(requests_per_s=1, burst=1)),
    )

    async def main():
        if has_document:
            await fleet.call(key="earlier")
        else:
            fleet.compiled = None
        error = (await fleet.call(key=key)).error
        context.refusal = Refusal(error.code.value, error.outcome.value, error.detail)

    run_virtual(fleet, main)


@when("{kind} exceeds a rate limit")
def step_beyond_limit(context, kind):
    run_early_refusal(
        context,
        idempotent=kind.startswith("a read"),
        key="k" if "a key" in kind else None,
        has_document=True,
    )


@when("{kind} arrives before any document")
def step_before_document(context, kind):
    key = "k" if "a key" in kind else None
    run_early_refusal(context, idempotent=False, key=key, has_document=False)


@when("{kind} arrives at an overloaded front")
def step_full_front(context, kind):
    key = [(b"idempotency-key", b"k")] if "a key" in kind else []
    sent = []

    async def send(message):
        sent.append(message)

    app = CallerApp(front=None, limits=CallerLimits(concurrent_requests=0))
    anyio.run(app, {"type": "http", "headers": key}, None, send)
    outcome = dict(sent[0]["headers"])[b"samphire-outcome"].decode()
    problem = json.loads(sent[1]["body"])
    context.refusal = Refusal(problem["code"], outcome, problem["detail"])


@then('it is refused with "{code}" and the outcome "{outcome}"')
def step_check_refused(context, code, outcome):
    assert context.refusal.code == code, context.refusal
    assert context.refusal.outcome == outcome, context.refusal
    assert ("a resend with the same key is safe" in context.refusal.detail) == (
        outcome == "unknown"
    )


STOP_REQUESTS = {
    "a read": (True, None),
    "an action": (False, None),
    "an action with a key": (False, "key-1"),
}
STOP_SCRIPTS = {
    "its attempt runs": [AttemptScript(kind="stall", delay_s=100.0)],
    "it waits after a refusal": [
        AttemptScript(kind="refuse", code=RefusalCode.RATE_LIMITED, retry_after_ms=1_500)
    ],
    "it waits after a failed attempt": [
        AttemptScript(kind="fail"),
        AttemptScript(kind="refuse", code=RefusalCode.RATE_LIMITED, retry_after_ms=1_500),
    ],
    "it waits for the selection of a target": [],
}


def make_stopping_fleet(request, scripts):
    idempotent, key = STOP_REQUESTS[request]
    scripts = iter(scripts)
    fleet = FakeFleet(
        route=make_route(idempotent=idempotent, deadline_ms=5_000),
        service=ServicePolicy(retry_share=1.0, retry_floor=100.0),
        choose_script=lambda message: next(scripts),
    )
    return fleet, key


@when("a node stops {delay:d} ms after it got {request}, while {state}")
def step_stop_during_request(context, delay, request, state):
    context.fleet, key = make_stopping_fleet(request, STOP_SCRIPTS[state])
    if state == "it waits for the selection of a target":
        context.fleet.exchanges.targets.select = stall_selection

    async def main():
        async with anyio.create_task_group() as group:
            context.sent_s = context.fleet.timers.read_now_s()
            context.fleet.front.inbox.post(EndRequests(at_s=context.sent_s + delay / 1_000))
            group.start_soon(partial(context.fleet.call, key=key))

    run_virtual(context.fleet, main)


@asynccontextmanager
async def stall_selection(terms):
    await anyio.sleep_forever()
    yield


@when("a node stops, and gets {request} afterwards")
def step_stop_before_request(context, request):
    context.fleet, key = make_stopping_fleet(request, [])

    async def main():
        context.fleet.front.inbox.post(EndRequests(at_s=context.fleet.timers.read_now_s()))
        await anyio.sleep(0.01)
        context.sent_s = context.fleet.timers.read_now_s()
        await context.fleet.call(key=key)

    run_virtual(context.fleet, main)


@then('it failed after {delay:d} ms with "{code}" and outcome "{outcome}"')
def step_check_stopped(context, delay, code, outcome):
    (call,) = context.fleet.calls
    assert call.error is not None, call
    assert (call.error.code.value, call.error.outcome.value) == (code, outcome), call.error
    assert abs(call.ended_s - context.sent_s - delay / 1_000) < 0.02, call.ended_s


@then("no attempt was made")
def step_check_no_attempt(context):
    assert not context.fleet.sender.attempts
