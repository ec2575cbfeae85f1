import math

import anyio
from behave import given, then, when
from hypothesis import given as given_random
from hypothesis import settings, strategies

from front.agent_load import LoadedAgent, make_attempt
from samphirespring.connection.refusals import BodyRefusalReader
from samphirespring.process.agent.admission_queue import Admission, SlotPace, Waiter
from samphirespring.process.agent.agent_messages import DrainHost, UsePolicies
from samphirespring.process.agent.brief_queue import BriefQueue
from samphirespring.process.detection.classification import ResponseInspector
from samphirespring.process.detection.reference import PoolReference
from samphirespring.process.detection.summaries import encode_log_latency
from samphirespring.process.detection.target_evaluator import DetectionTerms
from samphirespring.process.mailbox import ReplySlot
from samphirespring.process.states import TargetPhase
from samphirespring.request.messages import Header, ResponseHead
from samphirespring.request.states import RefusalCode
from samphirespring.version.document import ResponseCheck, ServicePolicy
from samphirespring.version.states import DetectionMode, PriorityClass

URGENT = (PriorityClass.INTERACTIVE, PriorityClass.ACTION)
HELPER = PriorityClass.HELPER


@given("a target with {slots:d} slots and a latency of {service:d} ms")
def step_target(context, slots, service):
    context.load = LoadedAgent(slots=slots, service_s=service / 1_000)


@given(
    "a target with {slots:d} slots whose pool takes {p75:d} ms for 3 in 4 attempts, and {p97:d} ms"
    " for nearly all"
)
def step_target_with_reference(context, slots, p75, p97):
    middle, last = (encode_log_latency(math.log(ms / 1_000)) for ms in (p75, p97))
    reference = PoolReference(middle, middle, middle, last, last, 0)
    terms = DetectionTerms(mode=DetectionMode.FAST, slow_start_s=1.0, reference=reference)
    context.load = LoadedAgent(slots=slots, service_s=0.01, terms=terms)


@when(
    "its agent is to drain with {callers:d} ms for callers and {whole:d} ms in all, and attempts"
    " arrive every {interval:d} ms"
)
def step_drain_in_time(context, callers, whole, interval):
    load = context.load
    context.drain_log = []

    async def main():
        await load.send(PriorityClass.INTERACTIVE)
        load.admitted.clear()
        now_s = load.timers.read_now_s()
        load.agent.inbox.post(
            DrainHost(callers_end_at_s=now_s + callers / 1_000, ends_at_s=now_s + whole / 1_000)
        )
        for elapsed in range(0, whole, interval):
            result = await load.send(PriorityClass.INTERACTIVE)
            (target,) = (await load.agent.dump()).targets
            context.drain_log.append((elapsed, isinstance(result, Admission), target.load.phase))
            await anyio.sleep(
                max(0.0, now_s + (elapsed + interval) / 1_000 - load.timers.read_now_s())
            )

    load.run(main)


@then("it admits them for {span:d} ms, and reports from then on that the target drains")
def step_check_drain(context, span):
    # The latencies of a pool are known in steps.
    admitted = [elapsed for elapsed, is_admitted, _ in context.drain_log if is_admitted]
    assert admitted == list(range(0, len(admitted) * 100, 100)), admitted
    assert abs(len(admitted) * 100 - span) <= 100, (len(admitted), span)
    phases = [phase for _, is_admitted, phase in context.drain_log if not is_admitted]
    assert set(phases) == {TargetPhase.DRAINING}, phases


@when("attempts arrive at {rate:d} per second for {duration:d} s, half of them helpers")
def step_double_load(context, rate, duration):
    classes = (HELPER, PriorityClass.INTERACTIVE, HELPER, PriorityClass.ACTION)

    async def main():
        await context.load.send_steadily(classes, rate=rate, duration_s=duration)

    context.load.run(main)
    context.count = rate * duration


@then("at most {count:d} attempts ran concurrently and no attempt waited longer than {wait:d} ms")
def step_check_slots(context, count, wait):
    assert context.load.most_running == count, context.load.most_running
    assert context.load.longest_wait_s <= wait / 1_000 + 1e-6, context.load.longest_wait_s


def sum_refused(load, priorities):
    return sum(count for (priority, _), count in load.refused.items() if priority in priorities)


@then("under {share:d} % of the interactive attempts and the actions were refused")
def step_check_urgent(context, share):
    refused = sum_refused(context.load, URGENT)
    print(f"  measured: {refused} of {context.count // 2} urgent attempts refused")
    assert refused < context.count / 2 * share / 100, refused


@then('over {share:d} % of the helpers were refused with "{code}"')
def step_check_helpers_shed(context, share, code):
    refused = context.load.refused
    print(f"  measured: {dict(refused)}")
    assert refused[(HELPER, RefusalCode(code))] > context.count / 2 * share / 100


@when("{count:d} interactive attempts arrive at once")
def step_burst_at_agent(context, count):
    async def main():
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(context.load.send, PriorityClass.INTERACTIVE)

    context.load.run(main)


@then(
    '{admitted:d} attempts were admitted and {refused:d} refused with "{code}" within {limit:d} ms'
)
def step_check_burst_at_agent(context, admitted, refused, code, limit):
    load = context.load
    assert load.admitted.total() == admitted, load.admitted
    assert load.refused == {(PriorityClass.INTERACTIVE, RefusalCode(code)): refused}
    assert load.longest_wait_s <= limit / 1_000 + 1e-6


@when('an attempt arrives "{condition}"')
def step_refusable_attempt(context, condition):
    load = context.load

    async def main():
        members = {}
        if condition == "after its deadline":
            members["remaining_ms"] = 0
        elif condition == "for another service":
            members["service"] = "other"
        elif condition == "after a drain":
            load.agent.inbox.post(DrainHost())
        else:
            load.agent.inbox.post(UsePolicies(version=2, services={}))
        context.result = await load.send(PriorityClass.INTERACTIVE, **members)

    load.run(main)


@then('the attempt was refused with "{code}"')
def step_check_refusal(context, code):
    assert context.result.code.value == code, context.result
    assert not context.load.admitted


@when(
    "the document sets {slots:d} slots for the service"
    " and {count:d} interactive attempts arrive at once"
)
def step_policy_slots(context, slots, count):
    load = context.load

    async def main():
        policies = {"s": ServicePolicy(slots=slots)}
        load.agent.inbox.post(UsePolicies(version=2, services=policies))
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(load.send, PriorityClass.INTERACTIVE)

    load.run(main)


def read_refusal(status, body, *, retry_after=None):
    reader = BodyRefusalReader()
    headers = () if retry_after is None else (Header(b"retry-after", retry_after),)
    reader.feed_head(ResponseHead(attempt="a", status=status, headers=headers, body_length=None))
    reader.feed_chunk(body[:5])
    reader.feed_chunk(body[5:])
    refusal = reader.read()
    return None if refusal is None else (refusal.code, refusal.retry_after_ms)


@when("backend servers respond 429 and 503 with valid and invalid error bodies")
def step_refusals(context):
    typed = b'{"error": "rate_limited", "retry_after_seconds": 7}'
    limited = RefusalCode.RATE_LIMITED
    context.pairs = [
        (read_refusal(429, typed), (limited, 7_000)),
        (read_refusal(429, typed, retry_after=b"3"), (limited, 3_000)),
        (read_refusal(429, typed, retry_after=b"soon"), (limited, 7_000)),
        (read_refusal(429, typed, retry_after=b"-1"), (limited, 7_000)),
        (read_refusal(429, b'{"error": "rate_limited"}'), (limited, None)),
        (
            read_refusal(429, b'{"error": "rate_limited", "retry_after_seconds": -4}'),
            (limited, None),
        ),
        (read_refusal(429, typed[:-1]), None),
        (read_refusal(429, b""), None),
        (read_refusal(429, b'{"error": "other"}'), None),
        (read_refusal(429, b"slow down", retry_after=b"1"), None),
        (read_refusal(429, b'["rate_limited"]'), None),
        (read_refusal(429, b'{"error": "\xff"}'), None),
        (read_refusal(429, typed + b" " * 5_000), None),
        (read_refusal(200, typed), None),
        (read_refusal(503, typed), None),
        (read_refusal(503, b'{"code": "QUEUE_TIMEOUT"}'), (RefusalCode.NO_SLOT, None)),
        (read_refusal(503, b'{"error": "draining"}'), (RefusalCode.DRAINING, None)),
        (
            read_refusal(503, b'{"code": "shedding"}', retry_after=b"2"),
            (RefusalCode.SHEDDING, 2_000),
        ),
        (read_refusal(503, b'{"code": "internal"}'), None),
    ]


@then("only typed bodies are refusals, headers precede bodies, and invalid hints are dropped")
def step_check_refusals(context):
    for number, (read, expected) in enumerate(context.pairs):
        assert read == expected, (number, read, expected)


STEPS = strategies.lists(
    strategies.one_of(
        strategies.sampled_from(PriorityClass),
        strategies.just("free a slot"),
        strategies.sampled_from((0.01, 0.06)),
    ),
    max_size=40,
)


class CountingSlot(ReplySlot):
    """Reply slot that counts its replies."""

    def __init__(self):
        super().__init__()
        self.count = 0

    def send(self, value):
        self.count += 1
        super().send(value)


@when("{count:d} random sequences of offers and freed slots are applied to a queue")
def step_random_queues(context, count):
    context.sequences = 0

    @settings(max_examples=count)
    @given_random(STEPS, strategies.integers(1, 6))
    def check(steps, capacity):
        context.sequences += 1
        check_queue(steps, capacity)

    check()


def check_queue(steps, capacity):
    queue = BriefQueue()
    pace = SlotPace(slots=capacity, run_s=0.01, slow_run_s=0.01)
    now_s = 0.0
    waiting = []
    slots = []
    for step in steps:
        if isinstance(step, PriorityClass):
            waiter = Waiter(
                request=make_attempt(step, service="s", remaining_ms=1_000),
                arrived_at_s=now_s,
                deadline_at_s=now_s + 1.0,
                wait_ends_at_s=now_s + 0.05,
                reply=CountingSlot(),
            )
            slots.append(waiter.reply)
            code = queue.offer(waiter, pace=pace, now_s=now_s)
            if code is None:
                waiting.append(waiter)
            else:
                waiter.refuse(code)
                assert (code is RefusalCode.SHEDDING) == waiter.is_helper
        elif step == "free a slot":
            unexpired = [w for w in waiting if w.wait_ends_at_s > now_s and not w.reply.count]
            popped = queue.pop_next(pace=pace, now_s=now_s)
            expected = next((w for w in unexpired if not w.is_helper), next(iter(unexpired), None))
            assert popped is expected
            if popped is not None:
                popped.reply.send(Admission(address="127.0.0.1:1"))
        else:
            now_s += step
        assert len(queue) <= capacity
    queue.refuse_all(RefusalCode.DRAINING)
    assert all(slot.count == 1 for slot in slots), [slot.count for slot in slots]


@then("urgent attempts came first, the bound held, and each attempt got one reply")
def step_check_queues(context):
    assert context.sequences >= 300


@when('a "{method}" request receives status {status:d}, encoding "{encoding}" and body "{body}"')
def step_inspect_response(context, method, status, encoding, body):
    check = ResponseCheck(statuses=(200,), required_members=("target",))
    inspector = ResponseInspector(check, bodyless=method == "HEAD")
    headers = () if encoding == "none" else (Header(b"content-encoding", encoding.encode()),)
    inspector.feed_head(ResponseHead(attempt="a", status=status, headers=headers, body_length=None))
    if body != "none":
        inspector.feed_chunk(body.encode())
    context.verdict = inspector.classify()


@then('a check for the member "target" classifies the response as "{verdict}"')
def step_check_verdict(context, verdict):
    assert context.verdict.value == verdict, context.verdict
