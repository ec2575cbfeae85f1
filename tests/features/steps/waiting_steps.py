"""Steps on attempts that wait for a slot in an order, in virtual time."""

import asyncio
import math
from functools import partial

import anyio
import msgspec
from behave import given, then, when

from front.agent_load import LoadedAgent, make_attempt
from samphirespring.process.agent.admission_queue import Admission, SlotPace, Waiter
from samphirespring.process.agent.agent_messages import DrainHost
from samphirespring.process.agent.waiting_room import WaitingRoom
from samphirespring.process.attempt_runner import AttemptRunner
from samphirespring.process.detection.reference import PoolReference
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.detection.summaries import encode_log_latency
from samphirespring.process.detection.target_evaluator import DetectionTerms
from samphirespring.process.mailbox import Mailbox, ReplySlot
from samphirespring.process.queued_frames import QueuedFrames
from samphirespring.process.states import TargetPhase
from samphirespring.request.states import RefusalCode
from samphirespring.version.document import ServicePolicy, SuspicionPolicy
from samphirespring.version.states import AdmissionMode, DetectionMode, PriorityClass

ACTION = PriorityClass.ACTION
AIM_MS = 5_000
DEADLINE_MS = 8_000


class Sent(msgspec.Struct, kw_only=True):
    """One attempt that was sent, and what became of it."""

    rank: int
    workspace: str
    sent_at_s: float
    replied_at_s: float
    ended_at_s: float
    result: object

    @property
    def took_s(self):
        return self.ended_at_s - self.sent_at_s

    @property
    def is_admitted(self):
        return isinstance(self.result, Admission)


def make_load(slots, run_ms, suspicion=None):
    policy = ServicePolicy(slots=slots, admission=AdmissionMode.QUEUE, suspicion=suspicion)
    step = encode_log_latency(math.log(run_ms / 1_000))
    reference = PoolReference(step, step, step, step, step, 0)
    terms = DetectionTerms(mode=DetectionMode.FAST, slow_start_s=1.0, reference=reference)
    return LoadedAgent(slots=slots, service_s=run_ms / 1_000, policy=policy, terms=terms)


@given("a target with {slots:d} slots that takes {run:d} ms, whose attempts wait in an order")
def step_target(context, slots, run):
    context.load = make_load(slots, run)
    context.sent = []


@given(
    "a target with {slots:d} slots that takes {run:d} ms, whose attempts wait in an order, and"
    " faults are tracked"
)
def step_target_with_faults(context, slots, run):
    context.load = make_load(slots, run, SuspicionPolicy(share=0.3, span_s=2.7))
    context.sent = []


async def send(context, rank, workspace):
    load = context.load
    sent_at_s = load.timers.read_now_s()
    result = await load.send(
        ACTION, remaining_ms=DEADLINE_MS, rank=rank, workspace=workspace, aim_left_ms=AIM_MS
    )
    ended_at_s = load.timers.read_now_s()
    is_admitted = isinstance(result, Admission)
    context.sent.append(
        Sent(
            rank=rank,
            workspace=workspace,
            sent_at_s=sent_at_s,
            replied_at_s=ended_at_s - (load.service_s if is_admitted else 0.0),
            ended_at_s=ended_at_s,
            result=result,
        )
    )


async def send_steadily(context, *, rate, start_s, end_s, rank=0, workspace=""):
    await anyio.sleep(start_s)
    async with anyio.create_task_group() as group:
        for _ in range(round(rate * (end_s - start_s))):
            group.start_soon(send, context, rank, workspace)
            await anyio.sleep(1 / rate)


def play(context, *streams, reads=None):
    async def main():
        async with anyio.create_task_group() as group:
            for stream in streams:
                group.start_soon(partial(send_steadily, context, **stream))
            if reads is not None:
                group.start_soon(partial(send_reads, context, **reads))

    context.load.run(main)


async def send_reads(context, *, rank, run_ms, deadline_ms, rate, span):
    """Send reads without a workspace at a steady rate; record whether each was admitted."""

    async def send_read():
        result = await context.load.send(
            PriorityClass.INTERACTIVE,
            remaining_ms=deadline_ms,
            rank=rank,
            workspace="",
            aim_left_ms=deadline_ms * 3 // 10,
            work_s=run_ms / 1_000,
            run_s=run_ms / 1_000,
        )
        context.admitted_reads.append(isinstance(result, Admission))

    context.admitted_reads = []
    async with anyio.create_task_group() as group:
        for _ in range(rate * span):
            group.start_soon(send_read)
            await anyio.sleep(1 / rate)


def make_reads(rank, run_ms, deadline_ms, rate, span):
    return {
        "rank": rank,
        "run_ms": run_ms,
        "deadline_ms": deadline_ms,
        "rate": rate,
        "span": span,
    }


@when(
    "actions of rank {rank:d} arrive at {rate:d} per second for {span:d} s, and reads of {run:d} ms"
    " and rank {read_rank:d} with deadlines of {deadline:d} ms at {read_rate:d} per second"
)
def step_actions_and_reads(context, rank, rate, span, run, read_rank, deadline, read_rate):
    actions = {"rate": rate, "start_s": 0.0, "end_s": span, "rank": rank}
    play(context, actions, reads=make_reads(read_rank, run, deadline, read_rate, span))


@when(
    "{count:d} workspaces send {rate:d} actions of rank {rank:d} per second each for {span:d} s,"
    " and reads of {run:d} ms and rank {read_rank:d} with deadlines of {deadline:d} ms come at"
    " {read_rate:d} per second"
)
def step_workspaces_and_reads(
    context, count, rate, rank, span, run, read_rank, deadline, read_rate
):
    streams = [
        {"rate": rate, "start_s": 0.0, "end_s": span, "rank": rank, "workspace": f"w{number}"}
        for number in range(count)
    ]
    play(context, *streams, reads=make_reads(read_rank, run, deadline, read_rate, span))


@then("at least half of the reads were admitted")
def step_check_reads(context):
    share = sum(context.admitted_reads) / len(context.admitted_reads)
    print(f"measured: {share:.2f} of {len(context.admitted_reads)} reads were admitted")
    assert share >= 0.5, share


@when(
    "actions of rank {rank:d} arrive at {usual:d} per second, and at {burst:d} per second from"
    " {start:g} s to {end:g} s"
)
def step_burst(context, rank, usual, burst, start, end):
    play(
        context,
        {"rate": usual, "start_s": 0.0, "end_s": start, "rank": rank},
        {"rate": burst, "start_s": start, "end_s": end, "rank": rank},
        {"rate": usual, "start_s": end, "end_s": end + 6.0, "rank": rank},
    )


@when(
    "actions of rank {rank:d} arrive at {rate:d} per second for {span:d} s, and actions of rank"
    " {other:d} at {other_rate:d} per second"
)
def step_two_ranks(context, rank, rate, span, other, other_rate):
    play(
        context,
        {"rate": rate, "start_s": 0.0, "end_s": span, "rank": rank},
        {"rate": other_rate, "start_s": 0.0, "end_s": span, "rank": other},
    )


@when(
    'workspace "{hot}" sends {rate:d} actions per second for {span:d} s, and workspaces "{a}" and'
    ' "{b}" send {usual:d} each'
)
def step_hot_workspace(context, hot, rate, span, a, b, usual):
    play(
        context,
        {"rate": rate, "start_s": 0.0, "end_s": span, "workspace": hot},
        {"rate": usual, "start_s": 0.0, "end_s": span, "workspace": a},
        {"rate": usual, "start_s": 0.0, "end_s": span, "workspace": b},
    )


@then("all attempts were admitted, and ended within their aim of {aim:d} ms")
def step_check_within_aim(context, aim):
    print(f"  measured: slowest {max(sent.took_s for sent in context.sent):.2f} s")
    assert all(sent.is_admitted for sent in context.sent)
    assert max(sent.took_s for sent in context.sent) <= aim / 1_000


@then("all attempts of rank {rank:d} ended within {limit:d} ms")
def step_check_rank(context, rank, limit):
    urgent = [sent for sent in context.sent if sent.rank == rank]
    assert all(sent.is_admitted for sent in urgent)
    assert max(sent.took_s for sent in urgent) <= limit / 1_000, max(s.took_s for s in urgent)


@then("each admitted attempt ended before its deadline")
def step_check_deadlines(context):
    admitted = [sent for sent in context.sent if sent.is_admitted]
    assert max(sent.took_s for sent in admitted) <= DEADLINE_MS / 1_000


@then("no attempt waited to the end of its time to be refused then")
def step_check_refusals(context):
    refused = [sent for sent in context.sent if not sent.is_admitted]
    wait_s = DEADLINE_MS / 1_000 - context.load.terms.reference.read_p75_s()
    assert refused and all(sent.rank for sent in refused)
    assert max(sent.took_s for sent in refused) < wait_s, max(sent.took_s for sent in refused)


@then("the slots were never idle while attempts waited")
def step_check_busy(context):
    load = context.load
    admitted = sum(sent.is_admitted for sent in context.sent)
    span_s = max(sent.ended_at_s for sent in context.sent)
    assert admitted * load.service_s >= (span_s - 2 * load.service_s) * load.slots, admitted


@then('all attempts of "{a}" and "{b}" ended within their aim of {aim:d} ms')
def step_check_small(context, a, b, aim):
    small = [sent for sent in context.sent if sent.workspace in (a, b)]
    print(f"  measured: slowest {max(sent.took_s for sent in small):.2f} s")
    assert all(sent.is_admitted for sent in small)
    assert max(sent.took_s for sent in small) <= aim / 1_000


@then('"{hot}" got the rest of the slots')
def step_check_rest(context, hot):
    step_check_busy(context)
    assert any(sent.is_admitted for sent in context.sent if sent.workspace == hot)


@then("at least a quarter of the attempts of rank {rank:d} were admitted")
def step_check_not_starved(context, rank):
    lower = [sent for sent in context.sent if sent.rank == rank]
    admitted = sum(sent.is_admitted for sent in lower)
    print(f"  measured: {admitted} of {len(lower)} admitted")
    assert admitted >= len(lower) / 4


@when("{count:d} actions arrive at once, and the first ones fail")
def step_fail_first(context, count):
    load = context.load
    make_message = load.make_finish_message
    load.make_finish_message = lambda request, reply: msgspec.structs.replace(
        make_message(request, reply), outcome=ObservedOutcome.RESET
    )

    async def main():
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(partial(send_cautiously, context, number))

    load.run(main)


async def send_cautiously(context, number):
    load = context.load
    result = await load.send(
        ACTION, remaining_ms=DEADLINE_MS, max_risk=0.5, attempt=f"a{number}", aim_left_ms=AIM_MS
    )
    context.sent.append((number, result))


@then('the waiting ones are refused with "{code}", and didn\'t start')
def step_check_given_back(context, code):
    results = dict(context.sent)
    slots = context.load.slots
    assert all(isinstance(results[number], Admission) for number in range(slots))
    waiting = [results[number] for number in range(slots, len(results))]
    assert [result.code for result in waiting] == [RefusalCode(code)] * len(waiting), waiting


@given("a queue of a target with {slots:d} slots whose pool takes {run:d} ms")
def step_queue(context, slots, run):
    context.queue = WaitingRoom()
    context.pace = SlotPace(slots=slots, run_s=run / 1_000, slow_run_s=run / 1_000)


@when("{count:d} actions with deadlines of {deadline:d} ms arrive while both slots are taken")
def step_offer(context, count, deadline):
    context.codes = []
    for _ in range(count):
        request = make_attempt(ACTION, service="s", remaining_ms=deadline)
        ends_at_s = context.queue.find_wait_end(request, pace=context.pace, now_s=0.0)
        waiter = Waiter(
            request=request,
            arrived_at_s=0.0,
            deadline_at_s=deadline / 1_000,
            wait_ends_at_s=ends_at_s,
            reply=ReplySlot(),
        )
        context.codes.append(context.queue.offer(waiter, pace=context.pace, now_s=0.0))


@then('{waiting:d} wait, and {refused:d} are refused with "{code}"')
def step_check_offers(context, waiting, refused, code):
    assert context.codes == [None] * waiting + [RefusalCode(code)] * refused, context.codes
    assert len(context.queue) == waiting


def play_event(context, count, start_event):
    load = context.load

    async def main():
        # The agent learns from the first one how long attempts take.
        await send(context, 0, "")
        context.sent.clear()
        context.began_at_s = load.timers.read_now_s()
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(send, context, 0, "")
            await anyio.sleep(0.1)
            await start_event(load)

    load.run(main)


@when("{count:d} actions arrive at once, and 100 ms later the target announces that it drains")
def step_announce_drain(context, count):
    play_event(context, count, lambda load: load.announce(phase=TargetPhase.DRAINING))


@when("{count:d} actions arrive at once, and 100 ms later the target announces {slots:d} slots")
def step_announce_slots(context, count, slots):
    play_event(context, count, lambda load: load.announce(slots=slots))


@when(
    "{count:d} actions arrive at once, and 100 ms later its agent is to drain with {callers:d} ms"
    " for callers"
)
def step_stop_agent(context, count, callers):
    async def drain(load):
        now_s = load.timers.read_now_s()
        load.agent.inbox.post(
            DrainHost(callers_end_at_s=now_s - 0.1 + callers / 1_000, ends_at_s=now_s + 60.0)
        )

    play_event(context, count, drain)


@then('{admitted:d} of them were admitted, and the others refused with "{code}"')
def step_check_event(context, admitted, code):
    assert sum(sent.is_admitted for sent in context.sent) == admitted, context.sent
    refused = [sent.result.code for sent in context.sent if not sent.is_admitted]
    assert refused and set(refused) == {RefusalCode(code)}, refused


@then("{count:d} attempts had started after {limit:d} ms")
def step_check_started(context, count, limit):
    limit_s = context.began_at_s + limit / 1_000
    started = sum(sent.is_admitted and sent.replied_at_s <= limit_s for sent in context.sent)
    assert started == count, started


@when("{count:d} attempts of a front wait, the front cancels them, and {later:d} actions arrive")
def step_cancel_waiting(context, count, later):
    load = context.load
    started = context.cancelled_starts = []

    class WatchedUpstream:
        """Notes each attempt that is sent to a target."""

        def __getattr__(self, name):
            started.append(name)
            raise AttributeError(name)

    async def main():
        runner = AttemptRunner(
            agent=load.agent.inbox,
            guard=Mailbox(name="guard", capacity=1),
            timers=load.timers,
            upstream=WatchedUpstream(),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(runner.run)
            async with anyio.create_task_group() as attempts:
                for _ in range(load.slots):
                    attempts.start_soon(send, context, 0, "")
                await anyio.sleep(0.01)
                requests = [
                    make_attempt(ACTION, service="s", remaining_ms=DEADLINE_MS, attempt=f"c{n}")
                    for n in range(count)
                ]
                handles = [
                    runner.start(request, body=None, sink=QueuedFrames()) for request in requests
                ]
                await anyio.sleep(0.01)
                for handle in handles:
                    handle.cancel()
                await anyio.sleep(0.01)
                for _ in range(later):
                    attempts.start_soon(send, context, 0, "")
            group.cancel_scope.cancel()

    load.run(main)


@then("none of the cancelled attempts took a slot")
def step_check_cancelled(context):
    assert not context.cancelled_starts, context.cancelled_starts


@when("{count:d} actions arrive at once and end")
def step_play_to_end(context, count):
    async def main():
        before = len(asyncio.all_tasks())
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(send, context, 0, "")
        await anyio.sleep(0.01)
        context.tasks_left = len(asyncio.all_tasks()) - before

    context.load.run(main)
    assert all(sent.is_admitted for sent in context.sent)


@then("no task is left for them")
def step_check_tasks(context):
    assert context.tasks_left == 0, context.tasks_left


@when(
    'workspace "{hot}" sends {rate:d} actions per second for {span:d} s, "{a}" and "{b}" send'
    ' {usual:g} each, and "{urgent}" sends {urgent_rate:d} of a lower rank'
)
def step_hot_workspace_beside_urgent(context, hot, rate, span, a, b, usual, urgent, urgent_rate):
    shared = {"start_s": 0.0, "end_s": span}
    play(
        context,
        {"rate": rate, "rank": 2, "workspace": hot, **shared},
        {"rate": usual, "rank": 2, "workspace": a, **shared},
        {"rate": usual, "rank": 2, "workspace": b, **shared},
        {"rate": urgent_rate, "rank": 0, "workspace": urgent, **shared},
    )


@then('half of the attempts of "{a}" and "{b}" ended within {limit:d} ms')
def step_check_median(context, a, b, limit):
    took = sorted(sent.took_s for sent in context.sent if sent.workspace in (a, b))
    print(f"  measured: median {took[len(took) // 2]:.2f} s")
    assert took[len(took) // 2] <= limit / 1_000, took


@then('at least three quarters of the attempts of "{a}" and "{b}" were admitted')
def step_check_small_admitted(context, a, b):
    small = [sent for sent in context.sent if sent.workspace in (a, b)]
    admitted = sum(sent.is_admitted for sent in small)
    print(f"  measured: {admitted} of {len(small)} admitted")
    assert admitted >= len(small) * 3 / 4
