import random
import tracemalloc
from collections import Counter
from typing import get_args

import anyio
import msgspec
from behave import given, then, when

from front.fakes import ANSWER, AttemptScript, FakeFleet, make_attempt_message, run_virtual
from ledger.interleavings import run_interleavings
from ledger.settled_claims import make_settled_claim
from ledger.world import SERVICE, World
from samphirespring.process.attempt_table import AttemptTable
from samphirespring.process.ids import Incarnation, LogIndex, TargetId
from samphirespring.process.ledger.claim_machine import ClaimMachine
from samphirespring.process.ledger.claim_packing import unpack_claim
from samphirespring.process.ledger.claim_store import ClaimStore, digest_key
from samphirespring.process.ledger.claims import (
    AttemptPlace,
    ClaimKey,
    StoredAnswer,
)
from samphirespring.process.ledger.commands import (
    ClaimAbsent,
    ClaimAction,
    ClaimDone,
    CloseRequest,
    EndAttempt,
    LedgerResult,
    LedgerSnapshot,
)
from samphirespring.process.ledger.ids import LedgerTime
from samphirespring.process.ledger.shards import find_shard
from samphirespring.process.ledger.states import AttemptFate, ClaimState
from samphirespring.request.ids import IdempotencyKey
from samphirespring.request.messages import Header
from samphirespring.request.states import Outcome, RefusalCode
from samphirespring.version.document import FleetSection, RoutePolicy, ServicePolicy


class _CalmGenerator(random.Random):
    """Never picks the rare branch."""

    def random(self):
        return 0.99


@when("{count:d} random interleavings of {steps:d} steps run with clocks up to {skew:g} s apart")
def step_run_interleavings(context, count, steps, skew):
    context.totals = Counter()
    context.count = count
    run_interleavings(context.totals, count=count, step_count=steps, skew_s=skew)


@then('no action ran twice, none ran after "not-run" was told, and every claim is final')
def step_check_interleavings(context):
    # Each of these raises inside the interleavings; this makes sure that they ran.
    assert context.totals["interleavings"] >= context.count, context.totals
    assert context.totals["runs"] >= context.count / 4, context.totals


@then('at least {ran:d} requests were told "ran", {notrun:d} "not-run" and {unknown:d} "unknown"')
def step_check_told(context, ran, notrun, unknown):
    totals = context.totals
    assert totals["ran"] >= ran, totals
    assert totals["not-run"] >= notrun, totals
    assert totals["unknown"] >= unknown, totals


@given("a ledger, two fronts and two agents without faults")
def step_make_world(context):
    context.world = World(_CalmGenerator(1))


def _settle(world, *, finish=True):
    for _ in range(40):
        _settle_once(world, finish=finish)


def _settle_once(world, *, finish=True):
    for _ in range(len(world.network)):
        world.deliver(0)
    if finish:
        for number in range(len(world.agents)):
            world.finish(number, well=True)
    world.advance(0.1)


@when("an action is sent and ends")
def step_send(context):
    context.first = context.world.tap("k", 0)
    _settle(context.world)


@when("it is sent again with its key")
def step_resend(context):
    context.second = context.world.tap("k", 1)
    _settle(context.world)


@then("{count:d} commands were committed and it ran once")
def step_check_commits(context, count):
    assert context.world.index == count, context.world.index
    assert sum(context.world.runs.values()) == 1, context.world.runs


@then("the resend got the stored answer")
def step_check_stored(context):
    assert context.second.result.stored == context.first.answer
    assert context.second.result.outcome is Outcome.RAN


@when("an action is sent at one front and, while it runs, at the other")
def step_send_both(context):
    context.first = context.world.tap("k", 0)
    _settle(context.world, finish=False)
    context.second = context.world.tap("k", 1)
    _settle(context.world, finish=False)
    assert context.second.result is None
    _settle(context.world)


@then("it ran once and both requests got the same answer")
def step_check_joined(context):
    assert sum(context.world.runs.values()) == 1, context.world.runs
    assert context.first.answer is not None
    assert context.second.result.stored == context.first.answer
    assert context.second.coordinator.joined


@when("its key is sent with another body")
def step_send_other_body(context):
    context.second = context.world.tap("k", 1, digest=b"other")
    _settle(context.world)


@then('the second request fails with "{code}" and was not run')
def step_check_reused(context, code):
    assert context.second.result.error.value == code
    assert context.second.result.outcome is Outcome.NOT_RUN
    assert sum(context.world.runs.values()) == 1, context.world.runs


def _send_without_quorum(context, key):
    context.world.available = False
    context.sent_s = context.world.now_s
    context.second = context.world.tap(key, 1)
    _settle(context.world)
    _settle(context.world)


@when("the ledger loses its quorum and an action is sent")
def step_lose_quorum(context):
    _send_without_quorum(context, "k")


@when("the ledger loses its quorum and an action without a key is sent")
def step_lose_quorum_without_key(context):
    _send_without_quorum(context, None)


@when("the ledger loses its quorum, {replica} answers and the action is sent again")
def step_resend_without_quorum(context, replica):
    world = context.world
    if replica == "a replica that caught up":
        world.catch_up()
    if replica != "no replica":
        world.generator.random = lambda: 0.69
    _send_without_quorum(context, "k")


@then('within {bound:g} s it fails with "{code}" and the outcome "{outcome}"')
def step_check_unavailable(context, bound, code, outcome):
    result = context.second.result
    assert result.error.value == code, result
    assert result.outcome.value == outcome, result
    assert context.second.told_s - context.sent_s <= bound, context.second.told_s
    assert context.second.coordinator.attempt_count == 0
    assert not context.world.faults, context.world.faults


@then("nothing ran")
def step_check_nothing_ran(context):
    assert not context.world.runs, context.world.runs


@then("nothing ran, and the detail says that a resend with the same key is safe")
def step_check_detail(context):
    step_check_nothing_ran(context)
    _check_detail(context)


@then("it ran once, and the detail says that a resend with the same key is safe")
def step_check_detail_after_run(context):
    assert sum(context.world.runs.values()) == 1, context.world.runs
    _check_detail(context)


def _check_detail(context):
    detail = context.second.result.detail
    assert "this request was not dispatched" in detail, detail
    assert "a resend with the same key is safe" in detail, detail


@then("once the quorum is back a resend runs it once")
def step_check_resend_runs(context):
    context.world.available = True
    context.world.settle_limbo(committed=True)
    second = context.world.tap("k", 1)
    context.world.heal()
    context.world.check_end()
    assert second.result.outcome is Outcome.RAN, second.result
    assert sum(context.world.runs.values()) == 1, context.world.runs
    assert not context.world.faults, context.world.faults


@when("an action's dispatch is late and the agent confirms a fence")
def step_late_dispatch(context):
    world = context.world
    context.first = world.tap("k", 0)
    world.deliver(0)
    world.deliver(0)
    context.dispatch = world.network.pop(0)
    world.time_out(context.first)
    for _ in range(2):
        world.deliver(0)


@then('the late dispatch is refused with "{code}"')
def step_check_late(context, code):
    world = context.world
    assert context.first.coordinator.attempt_count == 1
    world.network.clear()
    refusals = []
    reply = world._reply
    world._reply = lambda tap, number, event: refusals.append(event)
    context.dispatch.act()
    world._reply = reply
    assert [event.code.value for event in refusals] == [code], refusals
    assert not world.runs


@when("an action's dispatch is repeated by the network and the second copy answers first")
def step_repeat_dispatch(context):
    world = context.world
    context.first = world.tap("k", 0)
    world.deliver(0)
    world.deliver(0)
    world.duplicate(0)
    world.deliver(0)
    world.deliver(0)
    _settle(world)


@then("it ran once and the caller got its answer")
def step_check_one_answer(context):
    assert sum(context.world.runs.values()) == 1, context.world.history
    assert context.first.result.outcome is Outcome.RAN, context.first.result
    assert not context.world.faults, context.world.faults


@when("a front crashes after its claim and the action is sent at the other front")
def step_crash_after_claim(context):
    world = context.world
    world.tap("k", 0)
    world.deliver(0)
    world.crash_front(0)
    world.network.clear()
    context.second = world.tap("k", 1)
    for _ in range(40):
        _settle_once(world)
        world.resolve()


@then("the resend runs it once")
def step_check_taken_over(context):
    assert context.second.result.outcome is Outcome.RAN, context.second.result
    assert sum(context.world.runs.values()) == 1, context.world.runs


@when("an action starts and its agent restarts before the answer")
def step_restart_agent(context):
    world = context.world
    context.first = world.tap("k", 0)
    for _ in range(3):
        world.deliver(0)
    assert sum(world.runs.values()) == 1, world.runs
    for number in range(len(world.agents)):
        world.restart_agent(number)
    _settle(world)
    context.second = world.tap("k", 1)
    _settle(world)


@then('the caller is told "unknown", and so is a resend, and it ran once')
def step_check_unknown(context):
    assert context.first.result.outcome is Outcome.UNKNOWN, context.first.result
    assert context.second.result.outcome is Outcome.UNKNOWN, context.second.result
    assert sum(context.world.runs.values()) == 1, context.world.runs


def _make_fleet(*, delay_s=0.002, key_required=False):
    return FakeFleet(
        route=RoutePolicy(host="a.example", service="s", deadline_ms=2_000),
        service=ServicePolicy(key_required=key_required),
        choose_script=lambda request: AttemptScript(delay_s=delay_s),
    )


@given("a front whose actions take {delay:d} ms")
def step_make_slow_front(context, delay):
    context.fleet = _make_fleet(delay_s=delay / 1_000)


@when('a caller leaves {delay:d} ms after it sent an action with the key "{key}"')
def step_leave(context, delay, key):
    leave_after(context.fleet, delay, key=IdempotencyKey(key))


@when("a caller leaves {delay:d} ms after it sent an action without a key")
def step_leave_keyless(context, delay):
    leave_after(context.fleet, delay, key=None)


def leave_after(fleet, delay_ms, *, key):
    async def main():
        with anyio.move_on_after(delay_ms / 1_000):
            await fleet.call(key=key)
        await anyio.sleep(1.0)

    run_virtual(fleet, main)


@then("the action was sent once, and the ledger has nothing of it")
def step_check_sent_once(context):
    fleet = context.fleet
    call = fleet.calls[0]
    assert not call.writer.heads
    assert fleet.sender.runs[call.request.request] == 1
    assert not any(fleet.ledger.machine.state_counts.values())


@then("the action ran on and the ledger has its answer")
def step_check_ran_on(context):
    fleet = context.fleet
    call = fleet.calls[0]
    assert not call.writer.heads
    assert fleet.sender.runs[call.request.request] == 1
    assert fleet.sender.cancelled == 0
    counts = fleet.ledger.machine.state_counts
    assert counts[ClaimState.DONE] == 1, counts
    claim = unpack_claim(fleet.ledger.machine.capture_snapshot().settled[0])
    assert claim.answer.body == call.request.request.encode() + ANSWER


@given("a front whose service requires keys")
def step_make_strict_front(context):
    context.fleet = _make_fleet(key_required=True)


@when("an action without a key is sent")
def step_send_without_key(context):
    run_virtual(context.fleet, context.fleet.call)


@when('an action with the key "{key}" and no workspace is sent')
def step_send_without_workspace(context, key):
    run_virtual(context.fleet, lambda: context.fleet.call(workspace="", key=key))


@when("an action with no key and no workspace is sent")
def step_send_bare(context):
    run_virtual(context.fleet, lambda: context.fleet.call(workspace=""))


@then("the action ran")
def step_check_ran(context):
    call = context.fleet.calls[-1]
    assert call.writer.finished, call.error
    assert context.fleet.sender.runs[call.request.request] == 1


@then('it fails with "{code}" and no attempt is made')
def step_check_key_required(context, code):
    call = context.fleet.calls[0]
    assert call.error.code.value == code, call.error
    assert call.error.outcome is Outcome.NOT_RUN
    assert not context.fleet.sender.attempts


@given("an agent's attempt book")
def step_make_book(context):
    context.book = AttemptTable(incarnation=Incarnation(1))


@given("an agent's attempt book that remembers {capacity:d} attempts")
def step_make_small_book(context, capacity):
    context.book = AttemptTable(incarnation=Incarnation(1), capacity=capacity)


def _make_attempt(number, *, start_by_ms):
    return make_attempt_message(attempt=f"a{number}", incarnation=1, start_by_wall_ms=start_by_ms)


@when("an attempt starts and a second copy of it comes")
def step_start_twice(context):
    context.attempt = _make_attempt(1, start_by_ms=1_000)
    assert context.book.admit(context.attempt, refusal=None, now_ms=0) is None


@then("the book says that a copy may have started")
def step_check_copy(context):
    assert context.book.may_have_started(context.attempt)
    assert context.book.admit(context.attempt, refusal=None, now_ms=0) is RefusalCode.FENCED


@when("{count:d} attempts start and end")
def step_start_many(context, count):
    context.attempts = [_make_attempt(i, start_by_ms=1_000 + i) for i in range(count)]
    for attempt in context.attempts:
        assert context.book.admit(attempt, refusal=None, now_ms=0) is None
        answer = StoredAnswer(status=200, headers=(), body=b"")
        context.book.end(attempt.attempt, AttemptFate.RAN, answer)


@then("a second copy of each of them doesn't start")
def step_check_copies(context):
    for attempt in context.attempts:
        assert context.book.may_have_started(attempt)
        assert context.book.admit(attempt, refusal=None, now_ms=0) is not None


@then("the book holds {count:d} attempts")
def step_check_book_size(context, count):
    assert context.book.attempt_count == count


@when("{span:d} s pass with {count:d} changes of the leader")
def step_change_leaders(context, span, count):
    world = context.world
    for _ in range(count):
        world.advance(span / count)
        world.change_leader()
        world.tap("other", 0, digest=b"x")
        _settle(world)


@then("the claim is still known")
def step_check_known(context):
    assert isinstance(context.world.machine.read(context.first.key), ClaimDone)


@when("{span:d} s pass twice and other commands are committed")
def step_pass_time(context, span):
    for _ in range(2):
        context.world.advance(span)
        context.world.tap("other", 0, digest=b"x")
        _settle(context.world)


@then("the claim is gone")
def step_check_gone(context):
    assert isinstance(context.world.machine.read(context.first.key), ClaimAbsent)


@when("{count:d} claims with an answer of {size:d} bytes are recorded")
def step_record_claims(context, count, size):
    tracemalloc.start()
    machine = ClaimMachine()
    for number in range(count):
        for command in make_settled_claim(number, answer_bytes=size):
            machine.apply(index=LogIndex(number), command=command)
    context.count = count
    context.memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    context.snapshot = msgspec.msgpack.encode(machine.capture_snapshot())


@then("they take at most {bound:d} bytes of memory each")
def step_check_memory(context, bound):
    per_claim = context.memory / context.count
    assert per_claim <= bound, per_claim


@then("their snapshot takes at most {bound:d} bytes for each")
def step_check_bytes(context, bound):
    per_claim = len(context.snapshot) / context.count
    assert per_claim <= bound, per_claim


@then('the workspaces "{first}", "{second}" and "" are in shards {a:d}, {b:d} and {c:d}')
def step_check_shards(context, first, second, a, b, c):
    layout = FleetSection().ledger_layout
    shards = tuple(find_shard(name, layout) for name in (first, second, ""))
    assert shards == (a, b, c), shards


class WholeClaims(ClaimStore):
    """Claims as they are given, which is what the rules were written for."""

    def __init__(self):
        self.claims = {}

    @property
    def state_counts(self):
        counts = Counter(claim.state for claim in self.claims.values())
        return {state: counts[state] for state in ClaimState}

    def find(self, key):
        return self.claims.get(key)

    def put(self, claim):
        self.claims.pop(claim.key, None)
        self.claims[claim.key] = claim

    def expire(self, now_ms, *, limit):
        due = [
            claim
            for claim in self.claims.values()
            if claim.state is not ClaimState.CLAIMED
            and claim.changed_ms + claim.retention_ms <= now_ms
        ]
        due.sort(key=lambda c: (c.changed_ms + c.retention_ms, digest_key(c.key)))
        for claim in due[:limit]:
            del self.claims[claim.key]

    def iterate_open(self):
        return iter([c for c in self.claims.values() if c.state is ClaimState.CLAIMED])


def _draw_command(number, now_ms):
    key = ClaimKey(workspace="w", service=SERVICE, key=f"k{number.randrange(3)}")
    digest = number.choice((b"d", b"d", b"d", b"e"))
    request = f"r{number.randrange(4)}"
    attempt = f"a{number.randrange(6)}"
    match number.randrange(3):
        case 0:
            place = AttemptPlace(
                attempt=attempt,
                target=TargetId("t"),
                link_address="l",
                incarnation=Incarnation(1),
                start_by_wall_ms=1,
            )
            return ClaimAction(
                key=key,
                digest=digest,
                request=request,
                place=place,
                replaces=number.choice((None, f"a{number.randrange(6)}")),
                run_limit_ms=5,
                retention_ms=number.choice((20, 50)),
                now_ms=now_ms,
            )
        case 1:
            state = number.choice((ClaimState.DONE, ClaimState.NOT_RUN, ClaimState.UNKNOWN))
            answer = StoredAnswer(status=200, headers=(Header(b"a", b"b"),), body=b"x")
            return EndAttempt(
                key=key,
                attempt=attempt,
                state=state,
                answer=answer if state is ClaimState.DONE else None,
                now_ms=now_ms,
            )
        case _:
            return CloseRequest(
                key=key, digest=digest, request=request, retention_ms=30, now_ms=now_ms
            )


@when("{count:d} random histories of {length:d} commands run on packed claims and on whole ones")
def step_run_packed(context, count, length):
    context.states = Counter()
    for seed in range(count):
        number = random.Random(seed)
        packed, whole = ClaimMachine(), ClaimMachine()
        whole._claims = WholeClaims()
        now_ms = 0
        for index in range(length):
            now_ms += number.choice((0, 0, 1, 10))
            command = _draw_command(number, LedgerTime(now_ms))
            results = [m.apply(index=LogIndex(index), command=command) for m in (packed, whole)]
            assert results[0] == results[1], (seed, command, results)
            assert packed.state_counts == whole.state_counts, (seed, command)
            assert list(packed.iterate_unended()) == list(whole.iterate_unended())
            context.states[type(results[0]).__name__] += 1
            if number.random() < 0.1:
                data = msgspec.msgpack.encode(packed.capture_snapshot())
                packed = ClaimMachine()
                packed.restore_snapshot(msgspec.msgpack.decode(data, type=LedgerSnapshot))


@then("each command has the same result on both, and each result comes up")
def step_check_packed(context):
    expected = {result.__name__ for result in get_args(LedgerResult)}
    assert set(context.states) == expected, context.states
