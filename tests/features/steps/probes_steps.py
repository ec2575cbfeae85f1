import math
import random
from itertools import pairwise

import anyio
from behave import given, then, when
from hypothesis import given as given_random
from hypothesis import settings, strategies

from front.agent_load import LOCALITY
from front.fakes import CountingMetrics
from front.virtual_time import VirtualLoop, VirtualTimerService
from samphirespring.connection.health_probe import HttpHealthProbe
from samphirespring.process.agent import Agent
from samphirespring.process.agent_messages import Announcement, AnnounceTarget, UsePolicies
from samphirespring.process.detection.observations import Observation
from samphirespring.process.detection.parameters import get_parameters
from samphirespring.process.detection.probe_schedule import (
    MAX_CONCURRENT,
    ProbePlan,
    ProbeSchedule,
)
from samphirespring.process.detection.reference import PoolReference
from samphirespring.process.detection.sequential import SequentialDetector
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.detection.target_health import TargetHealth
from samphirespring.process.health_probe import HealthProbe
from samphirespring.process.mailbox import ask
from samphirespring.process.runtime import run_tasks
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.target_prober import TargetProber
from samphirespring.version.document import DetectionPolicy, ServicePolicy
from samphirespring.version.states import DetectionMode

STEP_S = 0.25
PROBE_S = 0.025
PROBED = ("well", "sick", "silent")
REFERENCE = PoolReference(87, 96, 105, 113, 121, 1)


def make_plan(number, interval_s):
    return ProbePlan(
        target=f"t{number}",
        address="127.0.0.1:1",
        path="/health",
        interval_s=interval_s,
        timeout_s=1.0,
    )


def run_schedule(intervals, durations, seed):
    """Run a schedule for some intervals; return the starts of each target and the most at once."""
    schedule = ProbeSchedule(random.Random(seed))
    plans = [make_plan(number, interval) for number, interval in enumerate(intervals)]
    starts = {plan.target: [] for plan in plans}
    running, most = {}, 0
    for step in range(int(6 * max(intervals) / STEP_S)):
        now_s = step * STEP_S
        schedule.use_plans(plans, now_s=now_s)
        for target in [t for t, end_s in running.items() if end_s <= now_s]:
            del running[target]
            assert schedule.record_end(target)
        for plan in schedule.start_due(now_s):
            assert plan.target not in running
            starts[plan.target].append(now_s)
            running[plan.target] = now_s + durations[len(starts[plan.target]) % len(durations)]
        most = max(most, len(running))
    return starts, most


@when("{count:d} random sets of targets are scheduled with probes that take random times")
def step_schedule(context, count):
    context.most = []
    context.ratios = []

    @settings(max_examples=count)
    @given_random(
        intervals=strategies.lists(strategies.floats(2.0, 20.0), min_size=1, max_size=12),
        durations=strategies.lists(strategies.floats(0.0, 1.0), min_size=1, max_size=8),
        seed=strategies.integers(0, 1_000),
    )
    def run(intervals, durations, seed):
        starts, most = run_schedule(intervals, durations, seed)
        context.most.append(most)
        if len(intervals) <= MAX_CONCURRENT:
            for number, interval in enumerate(intervals):
                times = starts[f"t{number}"]
                context.ratios += [(b - a, interval) for a, b in pairwise(times)]

    run()


@then("never more than {count:d} probes run at once, and none of them on the same target")
def step_check_most(context, count):
    assert max(context.most) == count, max(context.most)


@then("each target's probes start within {low:g} to {high:g} of its interval where slots are free")
def step_check_intervals(context, low, high):
    assert len(context.ratios) > 100
    for span_s, interval in context.ratios:
        assert low * interval <= span_s <= high * interval + STEP_S, (span_s, interval)


class ScriptedProbe(HealthProbe):
    """Answers by the name in the path, each probe in its usual time."""

    def __init__(self):
        self.paths = []

    async def check(self, *, address, path):
        self.paths.append(path[1:])
        await anyio.sleep(math.inf if path == "/silent" else PROBE_S)
        return path == "/well"


def announce(target):
    phase = {"starting": TargetPhase.STARTING, "draining": TargetPhase.DRAINING}.get(target)
    return Announcement(
        service="s",
        address="127.0.0.1:1",
        slots=5,
        phase=phase or TargetPhase.SERVING,
        health_path=None if target == "unnamed" else f"/{target}",
    )


@given("an agent with the targets {names}")
def step_agent(context, names):
    context.names = [part.strip('" ') for part in names.replace(" and ", ",").split(",")]
    context.metrics = CountingMetrics()
    context.probe = ScriptedProbe()


@when("{span:g} s pass with probes every {interval:g} s and a time limit of {limit:g} s")
def step_probe(context, span, interval, limit):
    detection = DetectionPolicy(probe_interval_s=interval, probe_timeout_s=limit)

    async def main():
        timers = VirtualTimerService()
        agent = Agent(
            locality=LOCALITY,
            link_address="127.0.0.1:2",
            lease_s=1e6,
            timers=timers,
            metrics=context.metrics,
        )
        prober = TargetProber(
            context.probe,
            agent=agent.inbox,
            timers=timers,
            metrics=context.metrics,
            generator=random.Random(1),
        )
        async with run_tasks((agent, prober)):
            policies = {"s": ServicePolicy(detection=detection)}
            agent.inbox.post(UsePolicies(version=1, services=policies))
            for name in context.names:
                await ask(agent.inbox, lambda reply, n=name: make_announcement(n, reply))
            await anyio.sleep(span)
            context.prober_dump = await prober.dump()
            context.agent_dump = await agent.dump()

    anyio.run(main, backend_options={"loop_factory": VirtualLoop})


def make_announcement(name, reply):
    return AnnounceTarget(target=name, announcement=announce(name), reply=reply)


@then("{names} were probed {low:d} to {high:d} times each and the others never")
def step_check_probed(context, names, low, high):
    counts = {name: context.probe.paths.count(name) for name in context.names}
    for name, count in counts.items():
        assert (low <= count <= high) if name in PROBED else count == 0, counts


@then("the prober's dump tells the latest result of each probed target")
def step_check_prober_dump(context):
    dump = context.prober_dump
    assert set(dump.scheduled) == set(PROBED)
    latest = {entry.target: entry for entry in dump.latest}
    assert latest["well"].succeeded and latest["well"].failures_in_row == 0
    assert not latest["sick"].succeeded and latest["sick"].failures_in_row >= 8
    assert not latest["silent"].succeeded and latest["silent"].duration_s >= 1.0


@then("the counters tell as many probes as ran")
def step_check_counters(context):
    counts = context.metrics.counts
    ended = counts["agent.probes.ok"] + counts["agent.probes.failed"]
    assert ended + context.prober_dump.running == len(context.probe.paths)
    assert counts["agent.probes.failed"] > counts["agent.probes.ok"] > 0


@then("no target is sick, suspect or judged by its probes alone")
def step_check_unjudged(context):
    for entry in context.agent_dump.targets:
        condition = entry.health.condition
        assert condition in (TargetCondition.HEALTHY, TargetCondition.SLOW_START), entry
        assert entry.health.severity == 0.0
    probes = {e.target: e.health.evidence.probe for e in context.agent_dump.targets}
    # A cold start fails no probe, so that only probes after it are remembered.
    assert probes["sick"] > 0.0 and probes["silent"] > 0.0 and probes["well"] == 0.0, probes


ANSWERS = strategies.tuples(
    strategies.sampled_from([ObservedOutcome.OK] * 4 + list(ObservedOutcome)),
    strategies.floats(0.01, 1.0),
    strategies.integers(1, 12),
)


def make_health():
    parameters = get_parameters(DetectionMode.FAST)
    health = TargetHealth(
        SequentialDetector(parameters), parameters=parameters, slow_start_s=2.0, now_s=0.0
    )
    health.use_reference(REFERENCE)
    return health


def play_history(history, *, greens):
    """Return what could be seen of a target's health at every moment of a history."""
    health = make_health()
    seen, now_s = [], 0.0
    for number, (outcome, latency_s, count) in enumerate(history):
        for _ in range(count):
            now_s += 0.3
            if number % 5 == 4:
                health.record_probe(succeeded=False, now_s=now_s)
            if greens[number % len(greens)]:
                health.record_probe(succeeded=True, now_s=now_s)
            health.observe(Observation(at_s=now_s, outcome=outcome, latency_s=latency_s))
            dump = health.make_dump(now_s)
            seen.append((dump.condition, dump.severity, dump.until_s, health.read_weight(now_s)))
    return seen


@when("{count:d} random histories of a target are repeated with green probes in between")
def step_green(context, count):
    context.pairs = []

    @settings(max_examples=count)
    @given_random(
        history=strategies.lists(ANSWERS, min_size=5, max_size=40),
        greens=strategies.lists(strategies.booleans(), min_size=1, max_size=5),
    )
    def run(history, greens):
        without = play_history(history, greens=[False])
        context.pairs.append((without, play_history(history, greens=greens)))

    run()


@then("both have the same conditions, severities and ends of ejections at every moment")
def step_check_same(context):
    for without, with_greens in context.pairs:
        assert without == with_greens
    seen = {entry[0] for without, _ in context.pairs for entry in without}
    assert TargetCondition.UNHEALTHY in seen and TargetCondition.SUSPECT in seen, seen


ANSWER_TEXTS = {
    "answers 200": b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    "answers 204": b"HTTP/1.1 204 No Content\r\n\r\n",
    "answers 503": b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n",
    "cuts its answer": b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
    "resets the connection": b"",
    "answers without end": b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 100_000,
}


@given('a health endpoint that "{behaviour}"')
def step_endpoint(context, behaviour):
    context.behaviour = behaviour


@then('a probe of it is "{result}"')
def step_check_result(context, result):
    text = ANSWER_TEXTS.get(context.behaviour)

    async def answer(stream):
        async with stream:
            await stream.receive()
            if text:
                await stream.send(text)

    async def main():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            if text is None:
                await listener.aclose()
            else:
                group.start_soon(listener.serve, answer)
            with anyio.fail_after(30.0):
                found = await HttpHealthProbe().check(address=f"127.0.0.1:{port}", path="/health")
            group.cancel_scope.cancel()
        return found

    assert anyio.run(main) is (result == "ok")
