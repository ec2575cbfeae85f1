import random
import re
from bisect import bisect_right
from contextlib import asynccontextmanager
from functools import partial

import anyio
from behave import given, then, when

from features.steps.workspace_keys_steps import HOST, OPEN_PATH, hash_keys
from front.fakes import AttemptScript, FakeFleet, make_attempt_message, run_virtual
from front.key_world import CONTROL, KeyWorld
from front.scripted_backend import ScriptedBackend, make_response
from front.virtual_time import VirtualLoop, VirtualTimerService
from samphirespring.connection.confirmation_link import ConfirmDocument
from samphirespring.connection.upstream import UpstreamClient
from samphirespring.connection.upstream_pool import UpstreamPool
from samphirespring.process.action_guard import ActionGuard
from samphirespring.process.agent.agent import Agent
from samphirespring.process.agent.agent_messages import Announcement, AnnounceTarget
from samphirespring.process.attempt_runner import AttemptRunner
from samphirespring.process.document.confirmer import DocumentConfirmer
from samphirespring.process.keys.lease import Confirmation, KeyLease
from samphirespring.process.mailbox import ask
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.replication.state_machine import NotLeaderError
from samphirespring.process.targets import Locality
from samphirespring.process.timers import ManualTimerService, MonotonicTimerService
from samphirespring.request.key_gate import KeyGate
from samphirespring.request.messages import AttemptRefused, ResponseEnd
from samphirespring.request.states import Outcome, RefusalCode
from samphirespring.version.compilation import compile_document
from samphirespring.version.document import (
    Document,
    FleetSection,
    RoutePolicy,
    ServicePolicy,
    TeamSection,
    WorkspacePolicy,
)
from samphirespring.version.key_table import make_fingerprint
from samphirespring.version.stamp import DocumentStamp

LEASE_S = 4.75
LATEST_S = 30.0
TIMEOUT_S = 10.0


def make_stamp(version):
    return DocumentStamp(generation=1, version=version)


def make_keyed_document(version, *, key="k1"):
    routes = (
        RoutePolicy(host=HOST, service="s", idempotent=True),
        RoutePolicy(
            host=HOST, path_prefix=OPEN_PATH, service="s", idempotent=True, key_exempt=True
        ),
    )
    team = TeamSection(
        services={"s": ServicePolicy()},
        routes=routes,
        workspaces={"acme": WorkspacePolicy(api_keys=hash_keys(key))},
    )
    fleet = FleetSection(key_lease_ms=round(LEASE_S * 1_000))
    return compile_document(Document(version=version, fleet=fleet, teams={"t": team}))


SETTLE_S = 2.0
"""Time after the return of the leader after which few hosts are to ask it, in seconds."""


class History:
    """A random history of changes, and the events at a host and at a relay that it asks."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        commits = sorted(self.random.uniform(0, LATEST_S) for _ in range(6))
        self.commits = [0.0, *commits]
        """Time of the commit of each version, which is its position."""

        self.acknowledged = [c + self.random.uniform(0, 0.5) for c in self.commits]
        self.relay = sorted(self.make_leader_replies(), key=lambda reply: reply[0])
        self.events = [*self.make_leader_replies(), *self.make_relay_replies()]
        self.events += self.make_documents()
        self.events.sort(key=lambda event: event[0])

    def draw_asks(self):
        at_s = self.random.uniform(0, 1)
        while at_s < LATEST_S:
            if self.random.random() < 0.7:
                yield at_s
            at_s += self.random.uniform(0.2, 2.5)

    def draw_delay(self):
        return self.random.choice((0.01, 0.2, 2.0, 6.0)) * self.random.random()

    def make_leader_replies(self):
        for asked_at_s in self.draw_asks():
            served_at_s = asked_at_s + self.draw_delay()
            version = bisect_right(self.commits, served_at_s) - 1
            confirmation = Confirmation(stamp=make_stamp(version), at_s=asked_at_s)
            yield served_at_s + self.draw_delay(), confirmation

    def make_relay_replies(self):
        for asked_at_s in self.draw_asks():
            served_at_s = asked_at_s + self.draw_delay()
            known = [reply[1] for reply in self.relay if reply[0] <= served_at_s]
            if known:
                latest = max(known, key=lambda confirmation: confirmation.at_s)
                age_s = served_at_s - latest.at_s
                confirmation = Confirmation(stamp=latest.stamp, at_s=asked_at_s - age_s)
                yield served_at_s + self.draw_delay(), confirmation

    def make_documents(self):
        at_s = 0.0
        for version, committed_at_s in enumerate(self.commits):
            if self.random.random() < 0.8:
                at_s = max(at_s, committed_at_s + self.draw_delay())
                yield at_s, version


def check_history(seed):
    """Check a history; return how often keys of the newest and of an older version were usable."""
    history = History(seed)
    lease = KeyLease()
    own = -1
    usable = [0, 0]
    events = list(history.events)
    for step in range(round((LATEST_S + 12) / 0.05)):
        now_s = step * 0.05
        while events and events[0][0] <= now_s:
            _, event = events.pop(0)
            if isinstance(event, Confirmation):
                lease.record(event)
            elif event > own:
                own = event
                lease.use_document(make_stamp(own), duration_s=LEASE_S)
        if own < 0 or not lease.is_valid(now_s):
            continue
        newer = history.acknowledged[own + 1 :]
        assert not newer or now_s < min(newer) + LEASE_S, (seed, now_s, own)
        usable[any(acknowledged_at_s <= now_s for acknowledged_at_s in newer)] += 1
    return usable


@when(
    "{count:d} random histories of changes, delays, losses and relays are simulated with a lease"
    " of 4.75 s"
)
def step_simulate(context, count):
    results = [check_history(seed) for seed in range(count)]
    context.usable = [sum(result[kind] for result in results) for kind in (0, 1)]


@then("no host could use keys of an older document 4.75 s after the acknowledgement of a newer one")
def step_check_older(context):
    # The simulation has checked it at each of its steps; here, that some came near.
    assert context.usable[1] > 0


@then("hosts could use keys in some of them")
def step_check_usable(context):
    assert context.usable[0] > 1_000, context.usable


@given("a lease of {duration:g} s with a document of version {version:d}")
def step_make_lease(context, duration, version):
    context.lease = KeyLease()
    context.lease.use_document(make_stamp(version), duration_s=duration)


@when(
    "its document is confirmed, and the host is suspended for {duration:g} s, in which"
    " monotonic time stands still"
)
def step_suspend(context, duration):
    timers = ManualTimerService(start_s=100.0)
    at_s = timers.read_boot_s()
    context.lease.record(Confirmation(stamp=make_stamp(5), at_s=at_s))
    assert context.lease.is_valid(timers.read_boot_s())
    timers.suspend(duration)
    assert timers.read_now_s() == 100.0
    context.now_s = timers.read_boot_s()


@then("the host may not use keys")
def step_check_suspended(context):
    assert not context.lease.is_valid(context.now_s)


EVENT = re.compile(r"version (\d+) (?:is confirmed at (\d+)|arrives)")


@when("the events are: {events}")
def step_apply_events(context, events):
    for version, at in EVENT.findall(events):
        if at:
            context.lease.record(Confirmation(stamp=make_stamp(int(version)), at_s=float(at)))
        else:
            context.lease.use_document(make_stamp(int(version)), duration_s=LEASE_S)


@then("the lease ends at {end:g} s")
def step_check_end(context, end):
    assert context.lease.read_remaining_s(0.0) == end, context.lease.read_remaining_s(0.0)


@then("at {now:g} s the host {may} reject keys that it doesn't know")
def step_check_reject(context, now, may):
    assert context.lease.proves_newest(now) is (may == "may")


@given("the way to control takes {latency:g} s")
def step_set_latency(context, latency):
    context.world.control_latency_s = latency


@then("no ask of the leader was given up")
def step_check_no_timeout(context):
    assert context.world.leader_asks and not context.world.timeouts, context.world.timeouts


@given("a failure domain of {count:d} hosts with leases of {lease:g} s")
def step_make_world(context, count, lease):
    assert lease == LEASE_S
    context.world = KeyWorld(make_keyed_document(5), host_count=count)


async def fail(world, failure):
    hosts = list(world.keepers)
    first, second = world.relay_hosts
    match failure:
        case "nothing fails":
            pass
        case "the failure domain is cut off from control":
            for host in hosts:
                world.cut(host, CONTROL)
        case "each host is cut off from all others":
            for host in hosts:
                world.cut(host, [*CONTROL, *hosts])
        case "the relay is cut off in silence":
            world.cut(first, [*CONTROL, *hosts])
        case "the relay and its deputy are cut off in silence":
            for host in (first, second):
                world.cut(host, [*CONTROL, *hosts])
        case "the relay is cut off from control only":
            world.cut(first, CONTROL)
        case "the relay and its deputy are cut off from control only":
            for host in (first, second):
                world.cut(host, CONTROL)
        case "the leader moves to another control host":
            world.leader = CONTROL[2]
        case "control is away for 3 s" | "control is away for 8 s":
            world.leader = None
            await anyio.sleep(3 if failure.endswith("3 s") else 8)
            world.leader = CONTROL[1]
        case _:
            raise AssertionError(failure)


@when("they run for {before:d} s, then {failure}, and they run for {after:d} s")
def step_run_world(context, before, failure, after):
    world = context.world

    async def main():
        await anyio.sleep(before)
        context.failed_at_s = world.timers.read_now_s()
        context.asks_per_s = world.leader_asks / before
        await fail(world, failure)
        await anyio.sleep(after)

    world.run(main)


@when("control is away for {away:g} s after {before:d} s, and they run for {after:d} s")
def step_run_absence(context, away, before, after):
    world = context.world

    async def main():
        await anyio.sleep(before)
        context.asks_per_s = world.leader_asks / before
        world.leader = None
        await anyio.sleep(away)
        world.leader = CONTROL[1]
        await anyio.sleep(SETTLE_S)
        asks_before = world.leader_asks
        await anyio.sleep(after - SETTLE_S)
        context.later_asks_per_s = (world.leader_asks - asks_before) / (after - SETTLE_S)

    world.run(main)


@then("from {settle_s:g} s after its return the leader was asked at most twice as often as before")
def step_check_settled(context, settle_s):
    assert settle_s == SETTLE_S
    rates = (context.asks_per_s, context.later_asks_per_s)
    assert 0 < rates[1] <= 2 * rates[0], rates


@then("no host lost its lease")
def step_check_no_loss(context):
    for host, samples in context.world.samples.items():
        assert all(usable for at_s, usable in samples if at_s > 1.0), host


@then("each of {hosts} may use keys {until}")
def step_check_hosts(context, hosts, until):
    world = context.world
    checked = [h for h in world.keepers if hosts == "all hosts" or h not in world.relay_hosts]
    assert checked
    for host in checked:
        samples = [(at, usable) for at, usable in world.samples[host] if at > 1.0]
        lost = [at - context.failed_at_s for at, usable in samples if not usable]
        if until == "to the end":
            assert not lost, (host, lost)
            continue
        assert 3.0 <= lost[0] <= LEASE_S, (host, lost[0])
        assert samples[-1][1] is until.endswith("again"), host


@then("the leader was asked at most {limit:g} times a second before the failure")
def step_check_asks(context, limit):
    assert 0 < context.asks_per_s <= limit, context.asks_per_s


@when(
    "a failure domain of {count:d} hosts with leases of 4.75 s is cut off at {moments:d} moments"
    " within {span:g} s"
)
def step_cut_at_moments(context, count, moments, span):
    context.left_s = []
    context.asks_per_s = []
    for moment in range(moments):
        world = KeyWorld(make_keyed_document(5), host_count=count)
        world.run(partial(cut_off, context, world, 20.0 + moment * span / moments))


async def cut_off(context, world, at_s):
    await anyio.sleep(at_s)
    context.asks_per_s.append(world.asks / at_s / len(world.keepers))
    await fail(world, "each host is cut off from all others")
    await anyio.sleep(LEASE_S + 1.0)
    for samples in world.samples.values():
        lost_at_s = min(at for at, usable in samples if not usable and at > at_s)
        context.left_s.append(lost_at_s - at_s)


@then("each host could use keys for {least:g} to {most:g} s after it was cut off")
def step_check_left(context, least, most):
    assert least <= min(context.left_s), min(context.left_s)
    assert max(context.left_s) <= most, max(context.left_s)


@then("each host asked at most {limit:g} times a second before")
def step_check_host_asks(context, limit):
    assert 0 < max(context.asks_per_s) <= limit, max(context.asks_per_s)


class TimedRounds:
    """Confirms the version by rounds, and records when they began and ended."""

    def __init__(self, timers, round_s):
        self.timers = timers
        self.round_s = round_s
        self.rounds = []

    async def confirm_stamp(self):
        began_at_s = self.timers.read_now_s()
        await anyio.sleep(self.round_s)
        self.rounds.append((began_at_s, self.timers.read_now_s()))
        return make_stamp(len(self.rounds))


@given("a leader whose rounds take {round_s:g} s")
def step_make_rounds(context, round_s):
    context.timers = VirtualTimerService()
    context.rounds = TimedRounds(context.timers, round_s)


async def find_no_link(replica):
    return None


@when("{count:d} confirmations are requested within {span:g} s")
def step_request_confirmations(context, count, span):
    context.replies = []
    timers = context.timers

    async def request(confirmer, at_s):
        await anyio.sleep(at_s)
        requested_at_s = timers.read_now_s()
        reply = await confirmer.confirm(ConfirmDocument())
        context.replies.append((requested_at_s, reply))

    async def main():
        confirmer = DocumentConfirmer(
            documents=context.rounds, find_link=find_no_link, timers=timers
        )
        generator = random.Random(1)
        async with anyio.create_task_group() as group:
            group.start_soon(confirmer.run)
            async with anyio.create_task_group() as requests:
                for _ in range(count):
                    requests.start_soon(request, confirmer, generator.uniform(0, span))
            group.cancel_scope.cancel()

    anyio.run(main, backend_options={"loop_factory": VirtualLoop})
    assert len(context.replies) == count


@then("each was confirmed by a round that began after the request")
def step_check_rounds(context):
    for requested_at_s, reply in context.replies:
        began_at_s, _ = context.rounds.rounds[reply.stamp.version - 1]
        assert began_at_s >= requested_at_s, (began_at_s, requested_at_s)
        assert reply.age_s == 0.0


@then("at most {limit:d} rounds were made")
def step_check_round_count(context, limit):
    assert len(context.rounds.rounds) <= limit, context.rounds.rounds


class Follower:
    async def confirm_stamp(self):
        raise NotLeaderError("the leader is c2", leader="c2")


@given("a confirmer on a control host that follows another one")
def step_make_follower(context):
    async def find_link(replica):
        return f"link-of-{replica}"

    context.confirmer = DocumentConfirmer(
        documents=Follower(), find_link=find_link, timers=MonotonicTimerService()
    )


@when("a confirmation is requested from it")
def step_request_from_follower(context):
    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(context.confirmer.run)
            context.reply = await context.confirmer.confirm(ConfirmDocument())
            group.cancel_scope.cancel()

    anyio.run(main)


@then("it names the link of the leader, and confirms nothing")
def step_check_redirect(context):
    assert context.reply.leader_link == "link-of-c2"
    assert context.reply.age_s is None


@given(
    'a host with a document of version {version:d}, in which "acme" holds "k1", and its lease is'
    " {state}"
)
def step_make_host(context, version, state):
    context.world = KeyWorld(make_keyed_document(version), host_count=1)
    if state == "expired":
        context.world.leader = None


@given("a host without a document")
def step_make_host_without_document(context):
    context.world = KeyWorld(None, host_count=1)
    keeper = context.world.keepers["h0"]
    context.check = keeper.check


def check_attempt(context, version, workspace, key):
    request = make_attempt_message(
        attempt="a",
        document_version=version,
        workspace=workspace,
        api_key=None if key == "none" else make_fingerprint(key.encode()),
    )
    if context.world.compiled is None:
        context.code = context.check(request)
        return

    async def main():
        await anyio.sleep(1.0)
        context.code = context.world.keepers["h0"].check(request)

    context.world.run(main)


@when(
    'an attempt of a front with version {version:d} for "{workspace}" with the key "{key}" is'
    " checked"
)
def step_check_attempt(context, version, workspace, key):
    check_attempt(context, version, workspace, key)


@when('an attempt of a front with version {version:d} for "" with the key "{key}" is checked')
def step_check_open_attempt(context, version, key):
    check_attempt(context, version, "", key)


@then("it is let through")
def step_check_let_through(context):
    assert context.code is None, context.code


@then("it is refused, {code}")
def step_check_code(context, code):
    assert context.code is not None and context.code.value == code, context.code


class SwitchedGate(KeyGate):
    """Lets attempts with one of some keys through."""

    def __init__(self, *keys, usable=True, newest=True):
        self.keys = {make_fingerprint(key.encode()) for key in keys}
        self.usable = usable
        self.newest = newest

    def may_use_keys(self):
        return self.usable

    def may_reject_keys(self):
        return self.usable and self.newest

    def check(self, request):
        valid = request.api_key is None or request.api_key in self.keys
        return None if valid else RefusalCode.API_KEY_UNKNOWN


class SlowPool(UpstreamPool):
    """Pool whose connections take a while, until it is told that one is needed no longer."""

    def __init__(self, timers):
        super().__init__(timers)
        self.wanted = anyio.Event()
        self.opened = anyio.Event()

    def use(self, address):
        return self._use_slowly(address)

    @asynccontextmanager
    async def _use_slowly(self, address):
        self.wanted.set()
        await self.opened.wait()
        async with super().use(address) as connection:
            yield connection


class KeyedAgent:
    """An agent with one target, whose attempts are checked by a gate that a test switches."""

    def __init__(self, gate):
        self.gate = gate
        self.timers = MonotonicTimerService()
        self.may_answer = anyio.Event()
        self.backend = ScriptedBackend(self.respond)

    async def respond(self, backend, stream, head):
        await self.may_answer.wait()
        await backend.send(stream, make_response(b"x"))

    def make_tasks(self, pool):
        self.agent = Agent(
            locality=Locality(region="r", failure_domain="d", host="h"),
            link_address="127.0.0.1:1",
            lease_s=60.0,
            timers=self.timers,
            metrics=NullMetrics(),
            keys=self.gate,
        )
        guard = ActionGuard(incarnation=self.agent.incarnation, timers=self.timers)
        self.runner = AttemptRunner(
            agent=self.agent.inbox,
            guard=guard.inbox,
            timers=self.timers,
            upstream=None if pool is None else UpstreamClient(pool, keys=self.gate),
            keys=self.gate,
        )
        return self.agent, guard, self.runner

    async def announce(self):
        announcement = Announcement(service="s", address=self.backend.address, slots=1)
        await ask(
            self.agent.inbox,
            lambda reply: AnnounceTarget(target="t", announcement=announcement, reply=reply),
        )

    async def run_attempt(self, key):
        """Return the last frame of an attempt."""
        message = make_attempt_message(
            attempt=f"attempt-{key}",
            path=f"/{key}".encode(),
            remaining_ms=5_000,
            idempotent=True,
            workspace="acme",
            api_key=make_fingerprint(key.encode()),
        )
        frames = [
            frame async for batch in self.runner.handle_attempt(message) for frame in batch.frames
        ]
        return frames[-1]

    def run(self, main, *, pool=None):
        async def run_main():
            tasks = self.make_tasks(pool)
            with anyio.fail_after(TIMEOUT_S):
                async with self.backend.serve(), anyio.create_task_group() as group:
                    for task in tasks:
                        group.start_soon(task.run)
                    await self.announce()
                    await main()
                    group.cancel_scope.cancel()

        anyio.run(run_main)


@given('an agent with a target that takes requests of "acme" with the key "{key}"')
def step_make_keyed_agent(context, key):
    context.keyed = KeyedAgent(SwitchedGate(key, "k9"))


async def start(group, keyed, key, results):
    async def run():
        results[key] = await keyed.run_attempt(key)

    group.start_soon(run)
    await anyio.sleep(0.01)


async def withdraw_in_queue(keyed, results):
    async with anyio.create_task_group() as group:
        await start(group, keyed, "k9", results)
        while not keyed.backend.requests:
            await anyio.sleep(0.001)
        await start(group, keyed, "k1", results)
        assert (await keyed.agent.dump()).targets[0].waiting == 1
        keyed.gate.keys.discard(make_fingerprint(b"k1"))
        keyed.may_answer.set()


async def withdraw_while_connecting(keyed, pool, results):
    keyed.may_answer.set()
    async with anyio.create_task_group() as group:
        await start(group, keyed, "k1", results)
        await pool.wanted.wait()
        keyed.gate.keys.discard(make_fingerprint(b"k1"))
        pool.opened.set()


@when("the key is withdrawn while an attempt waits for {wait}")
def step_withdraw(context, wait):
    keyed = context.keyed
    context.results = results = {}
    pool = None if wait == "a free slot" else SlowPool(keyed.timers)

    async def main():
        if pool is None:
            await withdraw_in_queue(keyed, results)
        else:
            await withdraw_while_connecting(keyed, pool, results)
        context.paths = [head.split()[1] for head, _ in keyed.backend.requests]
        results["later"] = await keyed.run_attempt("k9")

    keyed.run(main, pool=pool)


@then('the attempt is refused as "{code}", and its target got no byte of it')
def step_check_withdrawn(context, code):
    refused = context.results["k1"]
    assert isinstance(refused, AttemptRefused), refused
    assert refused.code.value == code and not refused.by_target
    assert b"/k1" not in context.paths, context.paths


@then("a later attempt with a valid key runs")
def step_check_later(context):
    assert isinstance(context.results["later"], ResponseEnd), context.results["later"]


@given('an agent refuses an attempt as "{code}"')
def step_refuse_attempt(context, code):
    script = AttemptScript(kind="refuse", code=RefusalCode(code))
    fleet = FakeFleet(
        route=RoutePolicy(host=HOST, service="s", idempotent=True, deadline_ms=500),
        service=ServicePolicy(),
        choose_script=lambda request: script,
    )

    async def main():
        context.call = await fleet.call()

    run_virtual(fleet, main)
    context.attempts = sum(fleet.sender.attempts.values())


@then('the front {retries}, and the caller is told {status:d} "{error}", not run')
def step_check_told(context, retries, status, error):
    told = context.call.error
    assert (told.status, told.code.value) == (status, error), told
    assert told.outcome is Outcome.NOT_RUN
    assert (context.attempts == 1) is (retries == "tries no other target"), context.attempts


@given("a front whose host may not use keys")
def step_make_front(context):
    call_front(context, SwitchedGate("k1", usable=False))


@given("a front whose host may use keys, and knows that a newer document exists")
def step_make_lagging_front(context):
    call_front(context, SwitchedGate("k1", newest=False))


def call_front(context, gate):
    fleet = FakeFleet(
        route=RoutePolicy(host=HOST, service="s", idempotent=True),
        service=ServicePolicy(),
        choose_script=lambda request: AttemptScript(),
        keys=gate,
    )
    fleet.compiled = make_keyed_document(1)
    context.calls = {}

    async def main():
        for key in ("k1", "k2"):
            fingerprint = make_fingerprint(key.encode())
            context.calls[key] = await fleet.call(api_key=fingerprint)
        context.calls["none"] = await fleet.call()
        context.calls["open"] = await fleet.call(path=OPEN_PATH)

    run_virtual(fleet, main)


def check_refusal(call, status, code):
    assert (call.error.status, call.error.code.value) == (status, code), call.error
    assert call.error.outcome is Outcome.NOT_RUN and call.error.retry_after_s >= 1


@then('a request with a valid key is refused with {status:d} "{code}", not run, with a Retry-After')
def step_check_early(context, status, code):
    check_refusal(context.calls["k1"], status, code)


@then('a request with an unknown key is refused with {status:d} "{code}", not run')
def step_check_unknown(context, status, code):
    check_refusal(context.calls["k2"], status, code)


@then('a request without a key is refused with {status:d} "{code}", not run')
def step_check_keyless(context, status, code):
    check_refusal(context.calls["none"], status, code)


@then("a request with a valid key is served")
def step_check_valid_served(context):
    assert context.calls["k1"].error is None and context.calls["k1"].writer.finished


@then("a request for an exempt route is served")
def step_check_exempt_served(context):
    assert context.calls["open"].error is None and context.calls["open"].writer.finished
