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
from samphirespring.process.agent.agent import Agent
from samphirespring.process.agent.agent_messages import Announcement, AnnounceTarget, UsePolicies
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
PROBED = ("healthy", "unhealthy", "silent")
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
    """Run a schedule for 6 intervals; return the starts by target and the maximum in flight."""
    schedule = ProbeSchedule(random.Random(seed))
    plans = [make_plan(number, planned_s) for number, planned_s in enumerate(intervals)]
    starts = {plan.target: [] for plan in plans}
    running, max_in_flight = {}, 0
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
        max_in_flight = max(max_in_flight, len(running))
    return starts, max_in_flight


@when("{count:d} random sets of targets are scheduled with probes of random durations")
def step_schedule(context, count):
    context.max_in_flight = []
    context.intervals = []

    @settings(max_examples=count)
    @given_random(
        intervals=strategies.lists(strategies.floats(2.0, 20.0), min_size=1, max_size=12),
        durations=strategies.lists(strategies.floats(0.0, 1.0), min_size=1, max_size=8),
        seed=strategies.integers(0, 1_000),
    )
    def run(intervals, durations, seed):
        starts, max_in_flight = run_schedule(intervals, durations, seed)
        context.max_in_flight.append(max_in_flight)
        if len(intervals) <= MAX_CONCURRENT:
            for number, planned_s in enumerate(intervals):
                times = starts[f"t{number}"]
                context.intervals += [(b - a, planned_s) for a, b in pairwise(times)]

    run()


@then("at most {count:d} probes run at once, each on another target")
def step_check_in_flight(context, count):
    assert max(context.max_in_flight) == count, max(context.max_in_flight)


@then("probes of a target start {low:g} to {high:g} of its interval apart if none has to wait")
def step_check_intervals(context, low, high):
    assert len(context.intervals) > 100
    for interval_s, planned_s in context.intervals:
        assert low * planned_s <= interval_s <= high * planned_s + STEP_S, (interval_s, planned_s)


class ScriptedProbe(HealthProbe):
    """Probe whose result and duration depend on the target's name in the path."""

    def __init__(self):
        self.paths = []

    async def check(self, *, address, path):
        self.paths.append(path[1:])
        await anyio.sleep(math.inf if path == "/silent" else PROBE_S)
        return path == "/healthy"


def announce(target):
    phase = {"starting": TargetPhase.STARTING, "draining": TargetPhase.DRAINING}.get(target)
    return Announcement(
        service="s",
        address="127.0.0.1:1",
        slots=5,
        phase=phase or TargetPhase.SERVING,
        health_path=None if target == "unprobed" else f"/{target}",
    )


@given("an agent with the targets {names}")
def step_agent(context, names):
    context.names = [part.strip('" ') for part in names.replace(" and ", ",").split(",")]
    context.metrics = CountingMetrics()
    context.probe = ScriptedProbe()


@when("{duration:g} s pass with probes every {interval:g} s and a timeout of {timeout:g} s")
def step_probe(context, duration, interval, timeout):
    detection = DetectionPolicy(probe_interval_s=interval, probe_timeout_s=timeout)

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
            await anyio.sleep(duration)
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


@then("the prober's dump has the latest result of each probed target")
def step_check_prober_dump(context):
    dump = context.prober_dump
    assert set(dump.scheduled) == set(PROBED)
    latest = {entry.target: entry for entry in dump.latest}
    assert latest["healthy"].succeeded and latest["healthy"].failures_in_row == 0
    assert not latest["unhealthy"].succeeded and latest["unhealthy"].failures_in_row >= 8
    assert not latest["silent"].succeeded and latest["silent"].duration_s >= 1.0


@then("the metrics count all probes")
def step_check_counters(context):
    counts = context.metrics.counts
    ended = counts["agent.probes.ok"] + counts["agent.probes.failed"]
    assert ended + context.prober_dump.running == len(context.probe.paths)
    assert counts["agent.probes.failed"] > counts["agent.probes.ok"] > 0


@then("no target is unhealthy or suspect because of its probes alone")
def step_check_no_evidence(context):
    for entry in context.agent_dump.targets:
        condition = entry.health.condition
        assert condition in (TargetCondition.HEALTHY, TargetCondition.SLOW_START), entry
        assert entry.health.severity == 0.0
    probes = {e.target: e.health.evidence.probe for e in context.agent_dump.targets}
    # Probes during the cold start are ignored; only later ones are recorded as evidence.
    assert probes["unhealthy"] > 0.0 and probes["silent"] > 0.0 and probes["healthy"] == 0.0, probes


OBSERVATIONS = strategies.tuples(
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


def play_history(history, *, probe_successes):
    """Return the visible state of a target's health after each observation of a history."""
    health = make_health()
    states, now_s = [], 0.0
    for number, (outcome, latency_s, count) in enumerate(history):
        for _ in range(count):
            now_s += 0.3
            if number % 5 == 4:
                health.record_probe(succeeded=False, now_s=now_s)
            if probe_successes[number % len(probe_successes)]:
                health.record_probe(succeeded=True, now_s=now_s)
            health.observe(Observation(at_s=now_s, outcome=outcome, latency_s=latency_s))
            dump = health.make_dump(now_s)
            states.append((dump.condition, dump.severity, dump.until_s, health.read_weight(now_s)))
    return states


@when("{count:d} random histories of a target are repeated with successful probes in between")
def step_successful_probes(context, count):
    context.pairs = []

    @settings(max_examples=count)
    @given_random(
        history=strategies.lists(OBSERVATIONS, min_size=5, max_size=40),
        probe_successes=strategies.lists(strategies.booleans(), min_size=1, max_size=5),
    )
    def run(history, probe_successes):
        without_successes = play_history(history, probe_successes=[False])
        context.pairs.append(
            (without_successes, play_history(history, probe_successes=probe_successes))
        )

    run()


@then("both have the same conditions, severities and ends of ejections at all times")
def step_check_same(context):
    for without_successes, with_successes in context.pairs:
        assert without_successes == with_successes
    states = {entry[0] for without_successes, _ in context.pairs for entry in without_successes}
    assert TargetCondition.UNHEALTHY in states and TargetCondition.SUSPECT in states, states


RESPONSES = {
    "responds with 200": b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    "responds with 204": b"HTTP/1.1 204 No Content\r\n\r\n",
    "responds with 503": b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n",
    "cuts off its response": b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
    "resets the connection": b"",
    "responds without end": b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 100_000,
}


@given('a health endpoint that "{behaviour}"')
def step_endpoint(context, behaviour):
    context.behaviour = behaviour


@then('a probe of it is "{result}"')
def step_check_result(context, result):
    response = RESPONSES.get(context.behaviour)

    async def respond(stream):
        async with stream:
            await stream.receive()
            if response:
                await stream.send(response)

    async def main():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            if response is None:
                await listener.aclose()
            else:
                group.start_soon(listener.serve, respond)
            with anyio.fail_after(30.0):
                succeeded = await HttpHealthProbe().check(
                    address=f"127.0.0.1:{port}", path="/health"
                )
            group.cancel_scope.cancel()
        return succeeded

    assert anyio.run(main) is (result == "ok")
