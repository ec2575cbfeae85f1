import json
import os
import random
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path

import anyio
import msgspec
from behave import given, then, when

from front.fakes import make_attempt_message
from samphirespring.platform.settings import PlatformSeedReader
from samphirespring.process.detection.fault_risk import FaultModel
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.logs.log_sink import LogSink
from samphirespring.process.settings_watch import (
    CHECK_INTERVAL_S,
    SeedConsumer,
    SettingsWatch,
    WatchedFile,
)
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.suspicion import Suspicion
from samphirespring.process.targets import Locality, TargetLoad
from samphirespring.process.timers import ManualTimerService
from samphirespring.request.risk_selection import RiskSelector
from samphirespring.request.selection import Candidate, Choice, Distance
from samphirespring.request.split import SplitSequence
from samphirespring.version.document import RoutePolicy, ServicePolicy
from samphirespring.version.routes import Route, RoutePart
from samphirespring.version.states import PriorityClass

SLOTS = 5


@given("a target of a service with {share:d} % of its targets in faults of {duration:g} s")
def step_target(context, share, duration):
    context.now_s = 100.0
    context.suspicion = Suspicion(
        FaultModel(share=share / 100, span_s=duration), now_s=context.now_s
    )


@when("the target succeeds")
def step_ok(context):
    context.suspicion.end("a", ObservedOutcome.OK, now_s=context.now_s)


@when("the target fails")
def step_fail(context):
    context.suspicion.end("a", ObservedOutcome.WRONG, now_s=context.now_s)


@when("the target sheds a request")
def step_shed(context):
    context.suspicion.end("a", ObservedOutcome.SHED, now_s=context.now_s)


@when("the target responds with an error of the caller")
def step_client_error(context):
    context.suspicion.end("a", ObservedOutcome.CLIENT_ERROR, now_s=context.now_s)


@when("{duration:d} s passes")
def step_pass(context, duration):
    context.now_s += duration


@then("its risk is between {least:g} and {most:g}")
def step_check_risk(context, least, most):
    risk = context.suspicion.read(context.now_s)
    assert least <= risk <= most, risk


@when("it holds one attempt for {duration_s:d} s and serves {count:d} others meanwhile")
def step_hold_attempt(context, duration_s, count):
    model = FaultModel(share=0.3, span_s=2.7)
    context.without_long = Suspicion(model, now_s=context.now_s)
    context.suspicion.begin("long", now_s=context.now_s)
    for number in range(count):
        context.now_s += duration_s / count
        for suspicion in (context.suspicion, context.without_long):
            suspicion.begin(f"a{number}", now_s=context.now_s)
            suspicion.end(f"a{number}", ObservedOutcome.OK, now_s=context.now_s)


@then("it keeps the evidence of at most {count:d} attempts")
def step_check_evidence(context, count):
    kept = len(context.suspicion._risk._evidence)
    assert kept <= count, kept


@then("its risk is the same as without the long one, also once that has succeeded")
def step_check_same_risk(context):
    def read():
        return [s.read(context.now_s) for s in (context.suspicion, context.without_long)]

    before = read()
    context.suspicion.end("long", ObservedOutcome.OK, now_s=context.now_s)
    after = read()
    assert abs(before[0] - before[1]) < 0.01 and abs(after[0] - after[1]) < 0.01, (before, after)


def make_request(*, idempotent, max_risk, may_try=False):
    return make_attempt_message(
        attempt="a",
        method=b"GET",
        remaining_ms=1000,
        priority=PriorityClass.INTERACTIVE.value,
        idempotent=idempotent,
        max_risk=max_risk,
        may_try=may_try,
    )


@then("its agent refuses an action if the front has another target of risk {risk:g}")
def step_refuses(context, risk):
    request = make_request(idempotent=False, max_risk=risk)
    assert not context.suspicion.admits(request, now_s=context.now_s)


@then("its agent admits an action if the front has no other target")
def step_runs(context):
    request = make_request(idempotent=False, max_risk=1.0)
    assert context.suspicion.admits(request, now_s=context.now_s)


@then("its agent admits one of {count:d} reads within {duration:g} s")
def step_admits_one(context, count, duration):
    request = make_request(idempotent=True, max_risk=0.1, may_try=True)
    times_s = [context.now_s + duration * n / count for n in range(count)]
    admitted = [context.suspicion.admits(request, now_s=time_s) for time_s in times_s]
    assert sum(admitted) == 1, admitted


def make_choice(name, *, risk, free):
    load = TargetLoad(
        phase=TargetPhase.SERVING,
        condition=TargetCondition.HEALTHY,
        free_slots=int(free),
        slots=SLOTS,
    )
    candidate = Candidate(
        target=name,
        locality=Locality(region="r", failure_domain="a", host=name),
        link_address="10.0.0.1:1",
        incarnation=1,
        load=load,
        admissible=True,
    )
    return Choice(candidate=candidate, free_slots=float(free), risk=risk)


@given("a front with targets of these risks and free slots")
def step_front(context):
    context.tiers = [[] for _ in Distance]
    for row in context.table:
        choice = make_choice(row["target"], risk=float(row["risk"]), free=float(row["free"]))
        choice = msgspec.structs.replace(choice, waiting=int(row.get("queued", 0)))
        context.tiers[int(row["distance"])].append(choice)


def choose_action(context):
    return RiskSelector(random.Random(1)).choose(context.tiers, tried=(), idempotent=False)


@given(
    "a target in the own region with a risk of {risk:g} and one in another region with {other:g}"
)
def step_two_regions(context, risk, other):
    own = make_choice("own", risk=risk, free=SLOTS)
    context.tiers = [[], [], [own], [make_choice("other", risk=other, free=SLOTS)]]


@when("a target is selected for an action with a body of {size:d} kB")
def step_select_for_body(context, size):
    context.candidate = RiskSelector(random.Random(1)).choose(
        context.tiers, tried=(), idempotent=False, body_bytes=size * 1_000
    )


@then("it is the one in the {region:w} region")
def step_check_region(context, region):
    assert context.candidate.target == region, context.candidate


@then('an action goes to "{name}", which refuses it above a risk of about {risk:g}')
def step_check_choice(context, name, risk):
    chosen = choose_action(context)
    assert chosen.target == name, chosen
    assert abs(chosen.max_risk - risk) < 0.03, chosen.max_risk


@then('an action goes to "{name}", which accepts it at a risk of {risk:g}')
def step_check_accepted(context, name, risk):
    chosen = choose_action(context)
    assert chosen.target == name, chosen
    assert chosen.max_risk >= risk, chosen.max_risk


@given(
    "{count:d} targets whose agents compute a risk of {risk:g}, and a front without recent reports"
)
def step_stale_front(context, count, risk):
    context.pool = FaultyPool(count, seed=1, use_risk=True)
    context.pool.reported_risks = dict.fromkeys(context.pool.names, (0.3, float("-inf")))
    for agent in context.pool.agents.values():
        agent._risk._base_risk = risk


@then("an action is refused by at most {count:d} targets and runs on the fourth")
def step_check_refusals(context, count):
    context.pool.find_target(0.0, set(), idempotent=False)
    assert context.pool.refusals <= count, context.pool.refusals


class FaultyPool:
    """Targets with short faults, and one front that receives risks with responses and refusals."""

    def __init__(self, count, *, seed, use_risk):
        self.random = random.Random(seed)
        self.model = FaultModel(share=0.3, span_s=2.7)
        self.names = [f"t{n}" for n in range(count)]
        self.faulty = {name: self.random.random() < 0.3 for name in self.names}
        self.next_change_at_s = {name: self.draw_next_change_s(name, 0.0) for name in self.names}
        self.agents = {name: Suspicion(self.model, now_s=0.0) for name in self.names}
        self.reported_risks = dict.fromkeys(self.names, (self.model.share, 0.0))
        self.selector = RiskSelector(self.random)
        self.use_risk = use_risk
        self.served = []
        self.refusals = 0

    def draw_next_change_s(self, name, now_s):
        mean_s = 2.7 if self.faulty[name] else 6.3
        return now_s + self.random.expovariate(1 / mean_s)

    def advance(self, now_s):
        for name in self.names:
            while self.next_change_at_s[name] <= now_s:
                self.faulty[name] = not self.faulty[name]
                self.next_change_at_s[name] = self.draw_next_change_s(
                    name, self.next_change_at_s[name]
                )

    def serve(self, now_s, *, idempotent):
        """Return whether a request succeeds; a read is attempted at most twice."""
        tried = set()
        for _ in range(2 if idempotent else 1):
            name = self.find_target(now_s, tried, idempotent=idempotent)
            failed = self.random.random() < (0.9 if self.faulty[name] else 0.012)
            outcome = ObservedOutcome.WRONG if failed else ObservedOutcome.OK
            self.agents[name].end("a", outcome, now_s=now_s)
            self.reported_risks[name] = (self.agents[name].read(now_s), now_s)
            self.served.append((now_s, name))
            if not failed:
                return True
            tried.add(name)
        return False

    def find_target(self, now_s, tried, *, idempotent):
        if not self.use_risk:
            return self.random.choice([n for n in self.names if n not in tried])
        suspected = set()
        while True:
            near = [self.make_choice(name, now_s) for name in self.names]
            chosen = self.selector.choose(
                [[], near, [], []],
                tried=tried,
                idempotent=idempotent,
                suspected=suspected,
            )
            request = make_request(
                idempotent=idempotent, max_risk=chosen.max_risk, may_try=chosen.may_try
            )
            agent = self.agents[chosen.target]
            if agent.admits(request, now_s=now_s):
                return chosen.target
            self.reported_risks[chosen.target] = (agent.read(now_s), now_s)
            suspected.add(chosen.target)
            self.refusals += 1

    def make_choice(self, name, now_s):
        risk, at_s = self.reported_risks[name]
        risk_now = self.model.decay(risk, now_s - at_s)
        return msgspec.structs.replace(
            make_choice(name, risk=risk_now, free=3), risk_age_s=now_s - at_s
        )


def simulate_faults(*, actions, reads, use_risk, duration_s=60.0):
    pool = FaultyPool(12, seed=7, use_risk=use_risk)
    kinds = [False] * actions + [True] * reads
    pool.random.shuffle(kinds)
    failed = Counter()
    for number, idempotent in enumerate(kinds):
        now_s = duration_s * number / len(kinds)
        pool.advance(now_s)
        failed[idempotent] += not pool.serve(now_s, idempotent=idempotent)
    return pool, failed[False] / actions, failed[True] / reads


@when("12 targets serve {actions:d} actions and {reads:d} reads while 30 % of them are in faults")
def step_simulate_faults(context, actions, reads):
    context.simulation = simulate_faults(actions=actions, reads=reads, use_risk=True)
    context.random_simulation = simulate_faults(actions=actions, reads=reads, use_risk=False)
    print(
        f"  measured: {context.simulation[1]:.3f} of actions,"
        f" {context.simulation[2]:.3f} of reads failed"
    )


@then("at most {actions:d} % of the actions fail, and at most {reads:d} % of the reads")
def step_check_failures(context, actions, reads):
    assert context.simulation[1] <= actions / 100, context.simulation[1]
    assert context.simulation[2] <= reads / 100, context.simulation[2]


@then("with random selection at least {share:d} % of the actions fail")
def step_check_random(context, share):
    assert context.random_simulation[1] >= share / 100


@then("in {share:d} % of all windows of 2 s at least 70 % of the healthy targets serve requests")
def step_check_spread(context, share):
    pool = context.simulation[0]
    windows = [
        {name for at_s, name in pool.served if start / 2 <= at_s < start / 2 + 2.0}
        for start in range(116)
    ]
    # About 30 % of the targets are in a fault, so 70 % of the healthy ones are half of all.
    spread_windows = [names for names in windows if len(names) >= 0.5 * len(pool.names)]
    assert len(spread_windows) >= share / 100 * len(windows), Counter(
        len(names) for names in windows
    )


def make_split_route(weights):
    policy = RoutePolicy(host="a", service="s0", split={f"s{n}": w for n, w in enumerate(weights)})
    parts = []
    end = 0
    for service, weight in policy.split.items():
        end += weight
        alone = Route(
            policy=RoutePolicy(host="a", service=service), service=ServicePolicy(), section="x"
        )
        parts.append(RoutePart(route=alone, end=end / sum(weights)))
    return Route(policy=policy, service=ServicePolicy(), section="x", parts=tuple(parts))


@when("{count:d} requests use a route with the weights 90, 7 and 3")
def step_split(context, count):
    context.route = make_split_route([90, 7, 3])
    sequence = SplitSequence(random.Random(3))
    context.shares = count_shares([sequence], context.route, count)


def count_shares(sequences, route, count):
    counts = Counter(
        route.choose_part(sequence.draw("r")).policy.service
        for sequence in sequences
        for _ in range(count)
    )
    return {service: number / counts.total() for service, number in counts.items()}


def check_shares(shares):
    for service, expected in (("s0", 0.90), ("s1", 0.07), ("s2", 0.03)):
        assert abs(shares.get(service, 0.0) - expected) <= 0.02, shares


@then("each service receives its share within 2 percentage points")
def step_check_shares(context):
    check_shares(context.shares)


@then("the same holds for {fronts:d} fronts with {count:d} requests each")
def step_check_fronts(context, fronts, count):
    generator = random.Random(5)
    sequences = [SplitSequence(generator) for _ in range(fronts)]
    check_shares(count_shares(sequences, context.route, count))


@given("a log whose reader reads nothing")
def step_log(context):
    context.reading, writing = os.pipe()
    context.add_cleanup(os.close, context.reading)
    context.add_cleanup(os.close, writing)
    context.sink = LogSink(writing)


@when("{count:d} lines are written")
def step_write_lines(context, count):
    started_at_s = time.monotonic()
    for number in range(count):
        context.sink.write(json.dumps({"event": "x", "number": number, "pad": "p" * 100}) + "\n")
    context.duration_s = time.monotonic() - started_at_s


@then("less than {limit:d} s have passed and at most {kib:d} KiB are buffered")
def step_check_lines(context, limit, kib):
    assert context.duration_s < limit
    assert len(context.sink._pending) <= kib * 1024


@when("the reader reads everything, and one more line is written")
def step_read_lines(context):
    os.set_blocking(context.reading, False)
    context.received = b""
    for _ in range(100):
        try:
            context.received += os.read(context.reading, 1 << 20)
        except BlockingIOError:
            context.sink.write(json.dumps({"event": "last"}) + "\n")


@then("the reader has received complete lines and the number of dropped ones")
def step_check_read_lines(context):
    lines = [json.loads(line) for line in context.received.splitlines()]
    dropped = [line["count"] for line in lines if line["event"] == "log_lines_dropped"]
    written = [line for line in lines if line["event"] == "x"]
    assert sum(dropped) + len(written) == 10_000, (dropped, len(written))
    assert lines[-1]["event"] == "last"


class SeedRecorder(SeedConsumer):
    def __init__(self):
        self.seen = []

    def use_seeds(self, seeds):
        self.seen.append(seeds)


@given("a program that follows a settings file")
def step_settings_file(context):
    context.recorder = SeedRecorder()
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = Path(folder.name) / "settings.json"


def write_seeds(file, *hosts):
    values = {
        "host": "h",
        "failure_domain": "a",
        "region": "r",
        "address": "10.0.0.1",
        "link_port": 7600,
        "metrics_port": 7615,
        "seeds": [f"{host}:8620" for host in hosts],
    }
    file.write_text(json.dumps(values))


@when("the seeds in the file change, with and without a SIGHUP")
def step_change_file(context):
    anyio.run(follow_file, context)


async def follow_file(context):
    timers = ManualTimerService()
    file = WatchedFile(path=context.file, reader=PlatformSeedReader())
    watch = SettingsWatch(file=file, consumer=context.recorder, timers=timers)
    write_seeds(context.file, "10.0.0.1")
    async with anyio.create_task_group() as group:
        group.start_soon(watch.run)
        await settle()
        timers.advance(CHECK_INTERVAL_S)
        await settle()
        write_seeds(context.file, "10.0.0.2", "10.0.0.30")
        timers.advance(CHECK_INTERVAL_S)
        await settle()
        write_seeds(context.file, "10.0.0.4")
        os.kill(os.getpid(), signal.SIGHUP)
        await settle()
        context.file.write_text("{")
        os.kill(os.getpid(), signal.SIGHUP)
        await settle()
        group.cancel_scope.cancel()


async def settle():
    for _ in range(20):
        await anyio.sleep(0.005)


@then("it uses the new seeds each time, and keeps the last ones when the file is invalid")
def step_check_seeds(context):
    assert context.recorder.seen == [
        ("10.0.0.1:7600",),
        ("10.0.0.2:7600", "10.0.0.30:7600"),
        ("10.0.0.4:7600",),
    ], context.recorder.seen
