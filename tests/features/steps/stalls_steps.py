import math

import anyio
from behave import given, then, when
from hypothesis import given as given_random
from hypothesis import settings, strategies

from front.stalling_pool import MEDIAN_S, SIGMA, StallingPool
from samphirespring.process.detection.observations import Observation
from samphirespring.process.detection.parameters import get_parameters
from samphirespring.process.detection.reference import PoolReference
from samphirespring.process.detection.sequential import SequentialDetector
from samphirespring.process.detection.stalls import compute_stall_stage
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.detection.summaries import encode_log_latency
from samphirespring.process.detection.target_evaluator import DetectionTerms
from samphirespring.process.mailbox import Mailbox
from samphirespring.process.stall_watch import AttemptWait, StallWatch
from samphirespring.process.timers import ManualTimerService
from samphirespring.version.states import DetectionMode

POLL_S = 0.05


def make_reference(p97_s):
    steps = [encode_log_latency(math.log(p97_s * share)) for share in (0.2, 0.4, 0.6, 0.8, 1)]
    return PoolReference(*steps, failure_per_mille=0)


@given(
    "{count:d} targets at {rate:g} requests/s each with deadlines of {deadline:g} s,"
    ' under the "{mode}" policy'
)
def step_pool(context, count, rate, deadline, mode):
    context.options = {
        "mode": DetectionMode(mode),
        "count": count,
        "rate_per_s": rate * count,
        "deadline_s": deadline,
    }


def run_pools(context, first, last, main, **options):
    context.pools = []
    for seed in range(first, last + 1):
        pool = StallingPool(seed=seed, **context.options, **options)
        pool.run(lambda pool=pool: main(pool))
        context.pools.append(pool)


@when("one target stalls after {warmup:g} s, over seeds {first:d} to {last:d}")
def step_stall_one(context, warmup, first, last):
    async def main(pool):
        await anyio.sleep(warmup)
        pool.hosts[3].upstream.stall()
        pool.stalled_at_s = pool.timers.read_now_s()
        with anyio.move_on_after(60.0):
            while not pool.first_ejected_at_s:
                await anyio.sleep(POLL_S)
        await anyio.sleep(2.0)

    run_pools(context, first, last, main)


@then("the front ejects this target within {limit:g} s, and no other one")
def step_check_ejected(context, limit):
    for pool in context.pools:
        delays = {
            target: at_s - pool.stalled_at_s for target, at_s in pool.first_ejected_at_s.items()
        }
        print(f"  measured: {delays}")
        assert set(delays) == {"t3"} and delays["t3"] <= limit, delays


@when(
    "all targets stall after {warmup:g} s for {duration:g} s and serve for {rest:g} s,"
    " over seeds {first:d} to {last:d}"
)
def step_stall_all(context, warmup, duration, rest, first, last):
    async def main(pool):
        await anyio.sleep(warmup)
        for host in pool.hosts:
            host.upstream.stall()
        await anyio.sleep(duration)
        for host in pool.hosts:
            host.upstream.resume()
        await anyio.sleep(rest)

    run_pools(context, first, last, main)
    assert all(pool.metrics.counts["agent.stalls"] > 30 for pool in context.pools)


@when(
    "one in {share:d} responses takes {long:g} s for {duration:g} s,"
    " over seeds {first:d} to {last:d}"
)
def step_long(context, share, long, duration, first, last):
    def draw_latency_s(generator):
        if generator.random() < 1 / share:
            return long
        return MEDIAN_S * generator.lognormvariate(0.0, SIGMA)

    async def main(pool):
        await anyio.sleep(duration)

    run_pools(context, first, last, main, draw_latency_s=draw_latency_s)
    assert all(pool.metrics.counts["agent.stalls"] > 20 for pool in context.pools)


@then("the front ejects no target")
def step_check_none(context):
    for pool in context.pools:
        assert pool.first_ejected_at_s == {}, pool.first_ejected_at_s


def check_wait(ticks, inbox_full, p97_s):
    """Check one attempt at several times; return its stalls and how long it has waited."""
    terms = DetectionTerms(DetectionMode.FAST, 10.0, make_reference(p97_s))
    agent = Mailbox(name="agent", capacity=1)
    watch = StallWatch(agent=agent, timers=ManualTimerService())
    wait = AttemptWait(target="t", terms=terms, now_s=0.0)
    stalls, now_s = [], 0.0

    async def main():
        nonlocal now_s
        with watch.track(wait):
            for interval_s, is_full in zip(ticks, inbox_full, strict=True):
                now_s += interval_s
                if is_full:
                    agent.post(None)
                watch.check_stalls(now_s)
                while agent.waiting_count:
                    message = await agent.receive()
                    if message is not None:
                        stalls.append(message.stall)

    anyio.run(main)
    return wait, stalls, now_s, terms.reference


@when("{count:d} random waits are checked at random times, some while the agent's inbox is full")
def step_random_waits(context, count):
    context.multi_stage_count = 0

    @settings(max_examples=count)
    @given_random(
        ticks=strategies.lists(strategies.floats(0.01, 20.0), min_size=1, max_size=12),
        p97_s=strategies.floats(0.01, 2.0),
        outcome=strategies.sampled_from(list(ObservedOutcome)),
        data=strategies.data(),
    )
    def run(ticks, p97_s, outcome, data):
        size = len(ticks)
        inbox_full = data.draw(
            strategies.lists(strategies.booleans(), min_size=size, max_size=size)
        )
        inbox_full[-1] = False
        wait, stalls, waited_s, reference = check_wait(ticks, inbox_full, p97_s)
        counted = sum(stall.stage - stall.counted_stage for stall in stalls)
        assert counted == compute_stall_stage(waited_s, reference)
        assert sum(stall.first for stall in stalls) == int(wait.has_stalled)
        check_end(stalls, outcome, waited_s, reference, wait.has_stalled)
        context.multi_stage_count += len(stalls) > 1

    run()


def check_end(stalls, outcome, waited_s, reference, has_stalled):
    detector = SequentialDetector(get_parameters(DetectionMode.FAST))
    detector.use_reference(reference)
    for stall in stalls:
        detector.record_stall(stall)
    evidence_before = detector.explain(waited_s)
    detector.observe(
        Observation(at_s=waited_s, outcome=outcome, latency_s=waited_s, stalled=has_stalled)
    )
    if has_stalled:
        assert detector.explain(waited_s) == evidence_before


@then("each has counted the stages that it reached, and its end adds nothing")
def step_check_stages(context):
    assert context.multi_stage_count > 10, context.multi_stage_count


@given("an attempt on a pool with a 97th percentile of {p97:d} ms")
def step_attempt(context, p97):
    context.now_s = 0.0
    terms = DetectionTerms(DetectionMode.FAST, 10.0, make_reference(p97 / 1_000))
    context.wait = AttemptWait(target="t", terms=terms, now_s=0.0)


@when(
    "the target responds after {response:d} ms"
    " and the front takes {duration:g} s to read the response"
)
def step_slow_front(context, response, duration):
    context.now_s += response / 1_000
    context.wait.pause()
    context.now_s += duration


@then("the attempt has not stalled")
def step_check_not_stalled(context):
    assert context.wait.find_stall(context.now_s) is None


@when("the target then sends nothing for {duration:g} s")
def step_silence(context, duration):
    context.wait.resume(context.now_s)
    context.now_s += duration


@then("the attempt has stalled")
def step_check_stalled(context):
    stall = context.wait.find_stall(context.now_s)
    assert stall is not None and stall.first
