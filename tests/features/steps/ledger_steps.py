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
from ledger.simulation import SERVICE, ActionSimulation
from samphirespring.process.attempt_table import AttemptTable
from samphirespring.process.ids import Incarnation, LogIndex, TargetId
from samphirespring.process.ledger.claim_packing import unpack_claim
from samphirespring.process.ledger.claim_state_machine import ClaimStateMachine
from samphirespring.process.ledger.claim_store import ClaimStore, digest_key
from samphirespring.process.ledger.claims import (
    AttemptAssignment,
    ClaimKey,
    StoredResponse,
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


class _NoFaultGenerator(random.Random):
    """Always returns a high value, so that no random fault occurs."""

    def random(self):
        return 0.99


@when("{count:d} random interleavings of {steps:d} steps run with clocks up to {skew:g} s apart")
def step_run_interleavings(context, count, steps, skew):
    context.totals = Counter()
    context.count = count
    run_interleavings(context.totals, count=count, step_count=steps, skew_s=skew)


@then('no action ran twice, none ran after "not-run" was reported, and every claim is final')
def step_check_interleavings(context):
    # The interleavings themselves raise on a violation; these checks ensure that they ran.
    assert context.totals["interleavings"] >= context.count, context.totals
    assert context.totals["runs"] >= context.count / 4, context.totals


@then('at least {ran:d} requests ended "ran", {notrun:d} "not-run" and {unknown:d} "unknown"')
def step_check_outcomes(context, ran, notrun, unknown):
    totals = context.totals
    assert totals["ran"] >= ran, totals
    assert totals["not-run"] >= notrun, totals
    assert totals["unknown"] >= unknown, totals


@given("a ledger, two fronts and two agents without faults")
def step_make_simulation(context):
    context.simulation = ActionSimulation(_NoFaultGenerator(1))


def _settle(simulation, *, finish=True):
    for _ in range(40):
        _settle_once(simulation, finish=finish)


def _settle_once(simulation, *, finish=True):
    for _ in range(len(simulation.network)):
        simulation.deliver(0)
    if finish:
        for number in range(len(simulation.agents)):
            simulation.finish(number, succeeds=True)
    simulation.advance(0.1)


@when("an action is sent and ends")
def step_send(context):
    context.first = context.simulation.send_action("k", 0)
    _settle(context.simulation)


@when("the action is resent with its key")
def step_resend(context):
    context.second = context.simulation.send_action("k", 1)
    _settle(context.simulation)


@then("{count:d} commands were committed and the action ran once")
def step_check_commits(context, count):
    assert context.simulation.index == count, context.simulation.index
    assert sum(context.simulation.runs.values()) == 1, context.simulation.runs


@then("the resend received the stored response")
def step_check_stored(context):
    assert context.second.result.stored == context.first.response
    assert context.second.result.outcome is Outcome.RAN


@when("an action is sent to one front and, while it runs, to the other")
def step_send_both(context):
    context.first = context.simulation.send_action("k", 0)
    _settle(context.simulation, finish=False)
    context.second = context.simulation.send_action("k", 1)
    _settle(context.simulation, finish=False)
    assert context.second.result is None
    _settle(context.simulation)


@then("the action ran once and both requests received the same response")
def step_check_joined(context):
    assert sum(context.simulation.runs.values()) == 1, context.simulation.runs
    assert context.first.response is not None
    assert context.second.result.stored == context.first.response
    assert context.second.coordinator.joined


@when("its key is reused with another body")
def step_send_other_body(context):
    context.second = context.simulation.send_action("k", 1, digest=b"other")
    _settle(context.simulation)


@then('the second request fails with "{code}" and was not run')
def step_check_reused(context, code):
    assert context.second.result.error.value == code
    assert context.second.result.outcome is Outcome.NOT_RUN
    assert sum(context.simulation.runs.values()) == 1, context.simulation.runs


def _send_without_quorum(context, key):
    context.simulation.available = False
    context.sent_s = context.simulation.now_s
    context.second = context.simulation.send_action(key, 1)
    _settle(context.simulation)
    _settle(context.simulation)


@when("the ledger loses its quorum and an action is sent")
def step_lose_quorum(context):
    _send_without_quorum(context, "k")


@when("the ledger loses its quorum and an action without a key is sent")
def step_lose_quorum_without_key(context):
    _send_without_quorum(context, None)


@when("the ledger loses its quorum, {replica} replies and the action is resent")
def step_resend_without_quorum(context, replica):
    simulation = context.simulation
    if replica == "a replica that caught up":
        simulation.catch_up()
    if replica != "no replica":
        simulation.generator.random = lambda: 0.69
    _send_without_quorum(context, "k")


@then('within {bound:g} s the request fails with "{code}" and the outcome "{outcome}"')
def step_check_unavailable(context, bound, code, outcome):
    result = context.second.result
    assert result.error.value == code, result
    assert result.outcome.value == outcome, result
    assert context.second.concluded_at_s - context.sent_s <= bound, context.second.concluded_at_s
    assert context.second.coordinator.attempt_count == 0
    assert not context.simulation.faults, context.simulation.faults


@then("nothing ran")
def step_check_nothing_ran(context):
    assert not context.simulation.runs, context.simulation.runs


@then("nothing ran, and the detail says that a resend with the same key is safe")
def step_check_detail(context):
    step_check_nothing_ran(context)
    _check_detail(context)


@then("the action ran once, and the detail says that a resend with the same key is safe")
def step_check_detail_after_run(context):
    assert sum(context.simulation.runs.values()) == 1, context.simulation.runs
    _check_detail(context)


def _check_detail(context):
    detail = context.second.result.detail
    assert "this request was not dispatched" in detail, detail
    assert "a resend with the same key is safe" in detail, detail


@then("once the quorum is back a resend runs the action once")
def step_check_resend_runs(context):
    context.simulation.available = True
    context.simulation.settle_uncertain_commands(committed=True)
    second = context.simulation.send_action("k", 1)
    context.simulation.run_to_completion()
    context.simulation.check_final_state()
    assert second.result.outcome is Outcome.RAN, second.result
    assert sum(context.simulation.runs.values()) == 1, context.simulation.runs
    assert not context.simulation.faults, context.simulation.faults


@when("an action's dispatch is late and the agent confirms a fence")
def step_late_dispatch(context):
    simulation = context.simulation
    context.first = simulation.send_action("k", 0)
    simulation.deliver(0)
    simulation.deliver(0)
    context.dispatch = simulation.network.pop(0)
    simulation.time_out(context.first)
    for _ in range(2):
        simulation.deliver(0)


@then('the late dispatch is refused with "{code}"')
def step_check_late_dispatch(context, code):
    simulation = context.simulation
    assert context.first.coordinator.attempt_count == 1
    simulation.network.clear()
    refusals = []
    reply = simulation._reply
    simulation._reply = lambda call, number, event: refusals.append(event)
    context.dispatch.on_delivery()
    simulation._reply = reply
    assert [event.code.value for event in refusals] == [code], refusals
    assert not simulation.runs


@when("the network repeats an action's dispatch and the reply to the second copy arrives first")
def step_repeat_dispatch(context):
    simulation = context.simulation
    context.first = simulation.send_action("k", 0)
    simulation.deliver(0)
    simulation.deliver(0)
    simulation.duplicate(0)
    simulation.deliver(0)
    simulation.deliver(0)
    _settle(simulation)


@then("the action ran once and the caller received its response")
def step_check_one_response(context):
    assert sum(context.simulation.runs.values()) == 1, context.simulation.history
    assert context.first.result.outcome is Outcome.RAN, context.first.result
    assert not context.simulation.faults, context.simulation.faults


@when("a front crashes after its claim and the action is sent to the other front")
def step_crash_after_claim(context):
    simulation = context.simulation
    simulation.send_action("k", 0)
    simulation.deliver(0)
    simulation.crash_front(0)
    simulation.network.clear()
    context.second = simulation.send_action("k", 1)
    for _ in range(40):
        _settle_once(simulation)
        simulation.resolve()


@then("the resend runs the action once")
def step_check_resend_ran(context):
    assert context.second.result.outcome is Outcome.RAN, context.second.result
    assert sum(context.simulation.runs.values()) == 1, context.simulation.runs


@when("an action starts and its agent restarts before the response")
def step_restart_agent(context):
    simulation = context.simulation
    context.first = simulation.send_action("k", 0)
    for _ in range(3):
        simulation.deliver(0)
    assert sum(simulation.runs.values()) == 1, simulation.runs
    for number in range(len(simulation.agents)):
        simulation.restart_agent(number)
    _settle(simulation)
    context.second = simulation.send_action("k", 1)
    _settle(simulation)


@then('the request and a resend both end as "unknown", and the action ran once')
def step_check_unknown(context):
    assert context.first.result.outcome is Outcome.UNKNOWN, context.first.result
    assert context.second.result.outcome is Outcome.UNKNOWN, context.second.result
    assert sum(context.simulation.runs.values()) == 1, context.simulation.runs


def _make_fleet(*, delay_s=0.002, key_required=False):
    return FakeFleet(
        route=RoutePolicy(host="a.example", service="s", deadline_ms=2_000),
        service=ServicePolicy(key_required=key_required),
        choose_script=lambda request: AttemptScript(delay_s=delay_s),
    )


@given("a front whose actions take {delay:d} ms")
def step_make_slow_front(context, delay):
    context.fleet = _make_fleet(delay_s=delay / 1_000)


@when('a caller disconnects {delay:d} ms after it sent an action with the key "{key}"')
def step_disconnect(context, delay, key):
    disconnect_after(context.fleet, delay, key=IdempotencyKey(key))


@when("a caller disconnects {delay:d} ms after it sent an action without a key")
def step_disconnect_without_key(context, delay):
    disconnect_after(context.fleet, delay, key=None)


def disconnect_after(fleet, delay_ms, *, key):
    async def main():
        with anyio.move_on_after(delay_ms / 1_000):
            await fleet.call(key=key)
        await anyio.sleep(1.0)

    run_virtual(fleet, main)


@then("the action was sent once, and the ledger has no claim for it")
def step_check_sent_once(context):
    fleet = context.fleet
    call = fleet.calls[0]
    assert not call.writer.heads
    assert fleet.sender.runs[call.request.request] == 1
    assert not any(fleet.ledger.state_machine.state_counts.values())


@then("the action ran to its end and the ledger has its response")
def step_check_completed(context):
    fleet = context.fleet
    call = fleet.calls[0]
    assert not call.writer.heads
    assert fleet.sender.runs[call.request.request] == 1
    assert fleet.sender.cancelled == 0
    counts = fleet.ledger.state_machine.state_counts
    assert counts[ClaimState.DONE] == 1, counts
    claim = unpack_claim(fleet.ledger.state_machine.capture_snapshot().settled[0])
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
def step_send_without_key_or_workspace(context):
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


@given("an agent's attempt table")
def step_make_attempt_table(context):
    context.attempt_table = AttemptTable(incarnation=Incarnation(1))


@given("an agent's attempt table for at most {capacity:d} attempts")
def step_make_small_attempt_table(context, capacity):
    context.attempt_table = AttemptTable(incarnation=Incarnation(1), capacity=capacity)


def _make_attempt(number, *, start_by_ms):
    return make_attempt_message(attempt=f"a{number}", incarnation=1, start_by_wall_ms=start_by_ms)


@when("an attempt starts and a second copy of it arrives")
def step_start_twice(context):
    context.attempt = _make_attempt(1, start_by_ms=1_000)
    assert context.attempt_table.admit(context.attempt, refusal=None, now_ms=0) is None


@then("the table shows that an earlier copy may have started")
def step_check_copy(context):
    assert context.attempt_table.may_have_started(context.attempt)
    assert (
        context.attempt_table.admit(context.attempt, refusal=None, now_ms=0) is RefusalCode.FENCED
    )


@when("{count:d} attempts start and end")
def step_start_many(context, count):
    context.attempts = [_make_attempt(i, start_by_ms=1_000 + i) for i in range(count)]
    for attempt in context.attempts:
        assert context.attempt_table.admit(attempt, refusal=None, now_ms=0) is None
        response = StoredResponse(status=200, headers=(), body=b"")
        context.attempt_table.end(attempt.attempt, AttemptFate.RAN, response)


@then("a second copy of each of them doesn't start")
def step_check_copies(context):
    for attempt in context.attempts:
        assert context.attempt_table.may_have_started(attempt)
        assert context.attempt_table.admit(attempt, refusal=None, now_ms=0) is not None


@then("the table holds {count:d} attempts")
def step_check_table_size(context, count):
    assert context.attempt_table.attempt_count == count


@when("{duration_s:d} s pass with {count:d} changes of the leader")
def step_change_leaders(context, duration_s, count):
    simulation = context.simulation
    for _ in range(count):
        simulation.advance(duration_s / count)
        simulation.change_leader()
        simulation.send_action("other", 0, digest=b"x")
        _settle(simulation)


@then("the claim is still stored")
def step_check_stored_claim(context):
    assert isinstance(context.simulation.state_machine.read(context.first.key), ClaimDone)


@when("{duration_s:d} s pass twice and other commands are committed")
def step_pass_time(context, duration_s):
    for _ in range(2):
        context.simulation.advance(duration_s)
        context.simulation.send_action("other", 0, digest=b"x")
        _settle(context.simulation)


@then("the claim is removed")
def step_check_removed_claim(context):
    assert isinstance(context.simulation.state_machine.read(context.first.key), ClaimAbsent)


@when("{count:d} claims with a response of {size:d} bytes are recorded")
def step_record_claims(context, count, size):
    tracemalloc.start()
    state_machine = ClaimStateMachine()
    for number in range(count):
        for command in make_settled_claim(number, response_bytes=size):
            state_machine.apply(index=LogIndex(number), command=command)
    context.count = count
    context.memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    context.snapshot = msgspec.msgpack.encode(state_machine.capture_snapshot())


@then("the claims take at most {bound:d} bytes of memory each")
def step_check_memory(context, bound):
    per_claim = context.memory_bytes / context.count
    assert per_claim <= bound, per_claim


@then("their snapshot takes at most {bound:d} bytes per claim")
def step_check_bytes(context, bound):
    per_claim = len(context.snapshot) / context.count
    assert per_claim <= bound, per_claim


@then('the workspaces "{first}", "{second}" and "" are in shards {a:d}, {b:d} and {c:d}')
def step_check_shards(context, first, second, a, b, c):
    layout = FleetSection().ledger_layout
    shards = tuple(find_shard(name, layout) for name in (first, second, ""))
    assert shards == (a, b, c), shards


class UnpackedClaimStore(ClaimStore):
    """Store that keeps claims as objects, with all fields, as a reference for `ClaimStore`."""

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
        expired = [
            claim
            for claim in self.claims.values()
            if claim.state is not ClaimState.CLAIMED
            and claim.changed_ms + claim.retention_ms <= now_ms
        ]
        expired.sort(key=lambda c: (c.changed_ms + c.retention_ms, digest_key(c.key)))
        for claim in expired[:limit]:
            del self.claims[claim.key]

    def iterate_open(self):
        return iter([claim for claim in self.claims.values() if claim.state is ClaimState.CLAIMED])


def _draw_command(generator, now_ms):
    key = ClaimKey(workspace="w", service=SERVICE, key=f"k{generator.randrange(3)}")
    digest = generator.choice((b"d", b"d", b"d", b"e"))
    request = f"r{generator.randrange(4)}"
    attempt = f"a{generator.randrange(6)}"
    match generator.randrange(3):
        case 0:
            assignment = AttemptAssignment(
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
                place=assignment,
                replaces=generator.choice((None, f"a{generator.randrange(6)}")),
                run_limit_ms=5,
                retention_ms=generator.choice((20, 50)),
                now_ms=now_ms,
            )
        case 1:
            state = generator.choice((ClaimState.DONE, ClaimState.NOT_RUN, ClaimState.UNKNOWN))
            response = StoredResponse(status=200, headers=(Header(b"a", b"b"),), body=b"x")
            return EndAttempt(
                key=key,
                attempt=attempt,
                state=state,
                answer=response if state is ClaimState.DONE else None,
                now_ms=now_ms,
            )
        case _:
            return CloseRequest(
                key=key, digest=digest, request=request, retention_ms=30, now_ms=now_ms
            )


@when("{count:d} random sequences of {length:d} commands are applied to packed and unpacked claims")
def step_run_packed(context, count, length):
    context.result_counts = Counter()
    for seed in range(count):
        generator = random.Random(seed)
        packed, unpacked = ClaimStateMachine(), ClaimStateMachine()
        unpacked._claims = UnpackedClaimStore()
        now_ms = 0
        for index in range(length):
            now_ms += generator.choice((0, 0, 1, 10))
            command = _draw_command(generator, LedgerTime(now_ms))
            results = [m.apply(index=LogIndex(index), command=command) for m in (packed, unpacked)]
            assert results[0] == results[1], (seed, command, results)
            assert packed.state_counts == unpacked.state_counts, (seed, command)
            assert list(packed.iterate_open_claims()) == list(unpacked.iterate_open_claims())
            context.result_counts[type(results[0]).__name__] += 1
            if generator.random() < 0.1:
                data = msgspec.msgpack.encode(packed.capture_snapshot())
                packed = ClaimStateMachine()
                packed.restore_snapshot(msgspec.msgpack.decode(data, type=LedgerSnapshot))


@then("each command has the same result on both, and each type of result occurs")
def step_check_packed(context):
    expected = {result.__name__ for result in get_args(LedgerResult)}
    assert set(context.result_counts) == expected, context.result_counts
