import math
import random
import socket
from collections import Counter
from contextlib import AsyncExitStack

import anyio
import msgspec
from behave import given, then, when

from front.fakes import LOAD
from front.region_load import RegionLoad
from samphirespring.connection.attempt_channel import RUN_ATTEMPTS
from samphirespring.connection.channel_server import AttemptChannelServer
from samphirespring.connection.link_pool import LinkPool
from samphirespring.connection.link_server import DuplexHandler, UnaryHandler, serve_link
from samphirespring.connection.listener import Listener
from samphirespring.connection.registry_link import PRESENT_HOST
from samphirespring.process.attempt_channels import AttemptChannels
from samphirespring.process.local_targets import LocalTargetSource
from samphirespring.process.mailbox import ReplySlot
from samphirespring.process.registry.host_presenter import HostPresenter
from samphirespring.process.scheduled_targets import REPLY_TIMEOUT_S, ScheduledTargetSource
from samphirespring.process.service_pool import ServicePool
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.target_table import TargetTable
from samphirespring.process.target_table_messages import (
    ApplyDelta,
    SelectTarget,
    UseServicePolicies,
)
from samphirespring.process.targets import (
    HostRecord,
    Locality,
    RegistryDelta,
    TargetRecord,
    TargetWork,
)
from samphirespring.process.timers import MonotonicTimerService
from samphirespring.request.risk_selection import RiskSelector
from samphirespring.request.scheduler_choice import choose_scheduler
from samphirespring.request.selection import Candidate, Choice, NearestOfTwoSelector
from samphirespring.request.target_source import SelectionTerms
from samphirespring.version.document import ServicePolicy, SuspicionPolicy
from samphirespring.version.states import PlacementMode

SERVICE = "s"
ADDRESS = "127.0.0.1:26413"
UNREACHABLE_ADDRESS = "127.0.0.1:1"
TERMS = SelectionTerms(service=SERVICE, idempotent=False)
POLICY = ServicePolicy(suspicion=SuspicionPolicy(share=0.3, span_s=2.7))
LOAD_OF_ONE_SLOT = msgspec.structs.replace(LOAD, free_slots=1, slots=1, risk=0.01)
FAULT_LOAD = msgspec.structs.replace(LOAD_OF_ONE_SLOT, risk=0.95)
TIMEOUT_S = 30.0
PATIENT_TIMEOUT_S = 10.0
"""Wait for a reply in scenarios that don't check the time limit; a busy machine is slow."""

SETTLE_S = 1.0
"""Time for the end of a selection to reach the host's table."""


def make_locality(place, host):
    region, _, domain = place.partition("/")
    return Locality(region=region, failure_domain=f"{region}/{domain}", host=host)


def make_candidates(place, count):
    return [
        Candidate(
            target=f"t-{place}-{number}",
            locality=make_locality(place, f"h-{place}-{number}"),
            link_address=f"127.0.0.1:{number + 1}",
            incarnation=1,
            load=LOAD,
            admissible=True,
        )
        for number in range(count)
    ]


@given("hosts with {own:d} targets in failure domain r1/a and {other:d} in r1/b")
def step_make_candidates(context, own, other):
    context.candidates = make_candidates("r1/a", own) + make_candidates("r1/b", other)


@given("{count:d} more targets in region r2")
def step_make_more(context, count):
    context.candidates += make_candidates("r2/a", count)


def find_scheduler(candidates, host):
    return choose_scheduler(SERVICE, candidates, locality=make_locality("r1/a", host))


@when('the fronts in r1/a find the host that selects for service "s"')
def step_find(context):
    orders = [random.Random(seed) for seed in range(5)]
    context.found = [
        find_scheduler(order.sample(context.candidates, len(context.candidates)), f"front-{number}")
        for number, order in enumerate(orders)
    ]


@then("all find the same host, which is {where}")
def step_check_found(context, where):
    (found,) = set(context.found)
    if where == "none":
        assert found is None, found
    else:
        assert found.host.startswith(f"h-{where.split()[-1]}"), found


@when("each host but the one to ask leaves in turn")
def step_leave(context):
    context.found = []
    candidates = list(context.candidates)
    while len(candidates) >= 6:
        peer = find_scheduler(candidates, "front")
        context.found.append(peer)
        candidates.remove(next(c for c in candidates if c.locality.host != peer.host))


@then("the host to ask is the same as long as 6 targets are left")
def step_check_same(context):
    assert len(context.found) == 5 and len(set(context.found)) == 1, context.found


class Scheduling:
    """A host that selects targets, and fronts that ask it over links."""

    def __init__(self, *, targets, address=ADDRESS, stands_still=False, policy=POLICY):
        self.timers = MonotonicTimerService()
        self.address = address
        self.stands_still = stands_still
        self.policy = policy
        self.records = tuple(
            HostRecord(
                locality=make_locality("r1/a", f"h{number}"),
                incarnation=1,
                link_address=address,
                sequence=1,
                targets=(
                    TargetRecord(target=f"t{number}", service=SERVICE, load=LOAD_OF_ONE_SLOT),
                ),
            )
            for number in range(targets)
        )
        self.table = self.make_table("host")

    def make_table(self, host):
        table = TargetTable(
            NearestOfTwoSelector(random.Random(1)),
            locality=make_locality("r1/a", host),
            timers=self.timers,
            generator=random.Random(2),
        )
        delta = RegistryDelta(since=0, version=2, complete=True, hosts=self.records)
        table.inbox.post(ApplyDelta(delta=delta))
        table.inbox.post(UseServicePolicies(policies={SERVICE: self.policy}))
        return table

    def run(self, call):
        """Return the result of `call(self)`, made while the host serves links."""

        async def main():
            channels = DuplexHandler(
                RUN_ATTEMPTS, AttemptChannelServer(None, table=self.table.inbox).serve
            )
            with anyio.fail_after(TIMEOUT_S):
                async with anyio.create_task_group() as self.group, AsyncExitStack() as self.stack:
                    if not self.stands_still:
                        self.group.start_soon(self.run_table)
                    presented = UnaryHandler(PRESENT_HOST, self.table.accept_presented)
                    await self.stack.enter_async_context(
                        serve_link([channels, presented], address=ADDRESS)
                    )
                    result = await call(self)
                    await self.stack.aclose()
                    self.group.cancel_scope.cancel()
            return result

        return anyio.run(main)

    async def run_table(self):
        with anyio.CancelScope() as self.table_scope:
            await self.table.run()

    async def start_front(self, name, *, reply_timeout_s=PATIENT_TIMEOUT_S):
        """Return a source of targets with a table and channels of its own, and its links."""
        links = LinkPool(capacity=10)
        self.stack.callback(links.close)
        channels = AttemptChannels(links, timers=self.timers)
        table = self.make_table(name)
        self.group.start_soon(channels.run)
        self.group.start_soon(table.run)
        await anyio.wait_all_tasks_blocked()
        source = ScheduledTargetSource(
            LocalTargetSource(table.inbox),
            table=table.inbox,
            find_channel=channels.find_channel,
            locality=make_locality("r1/a", name),
            timers=self.timers,
            reply_timeout_s=reply_timeout_s,
        )
        return source, links

    async def select_at_once(self, *, fronts, each):
        """Return the targets that fronts select while they hold all of them."""
        selected = []
        sources = [(await self.start_front(f"front-{n}"))[0] for n in range(fronts)]
        async with AsyncExitStack() as stack:
            for _ in range(each):
                for source in sources:
                    selection = await stack.enter_async_context(source.select(TERMS))
                    selected.append(selection.candidate.target)
        return selected


@given("a host that selects among {count:d} targets with 1 slot each")
def step_make_host(context, count):
    context.scheduling = Scheduling(targets=count)
    context.before = None


@given("a host that selects among {count:d} targets with 1 slot each, and whose table stands still")
def step_make_still_host(context, count):
    context.scheduling = Scheduling(targets=count, stands_still=True)


@given("a host that selects among {count:d} targets with 1 slot each, and that can't be reached")
def step_make_unreachable_host(context, count):
    context.scheduling = Scheduling(targets=count, address=UNREACHABLE_ADDRESS)


@given("a host that selects among {count:d} targets with 1 slot each, by work")
def step_make_host_by_work(context, count):
    policy = msgspec.structs.replace(POLICY, placement=PlacementMode.WORK)
    context.scheduling = Scheduling(targets=count, policy=policy)


@when("a front's request of a kind runs for {run_s:g} s")
def step_learn(context, run_s):
    terms = msgspec.structs.replace(TERMS, kind="GET h/ 0", aim_ms=2_000)
    work = TargetWork(remaining_s=0.0, pace=1.0, run_s=run_s)

    async def select(source):
        async with source.select(terms) as selection:
            return selection.candidate.expected

    async def call(scheduling):
        source, _ = await scheduling.start_front("first", reply_timeout_s=REPLY_TIMEOUT_S)
        other, _ = await scheduling.start_front("other")
        async with other.select(terms) as selection:
            assert selection.candidate.expected is None, selection.candidate
            selection.report_load(msgspec.structs.replace(LOAD_OF_ONE_SLOT, work=work))
        async with source.select(terms) as selection:
            selection.report_load(msgspec.structs.replace(LOAD_OF_ONE_SLOT, work=work))
        await anyio.sleep(SETTLE_S)
        context.expected = [await select(source), await select(other)]
        scheduling.table_scope.cancel()
        context.expected_alone = await select(source)

    context.scheduling.run(call)


@then("the host expects {run_s:g} s for the next request of the kind, and so does another front")
def step_check_learned(context, run_s):
    assert [e.work_s for e in context.expected] == [run_s, run_s], context.expected


@then("when the host's table stands still, the first front still expects {run_s:g} s")
def step_check_alone(context, run_s):
    assert context.expected_alone.work_s == run_s, context.expected_alone


@when("a front selects {count:d} targets, and then {end}")
def step_select_before(context, count, end):
    async def before(scheduling):
        source, links = await scheduling.start_front("earlier")
        async with AsyncExitStack() as stack:
            selected = set()
            for _ in range(count):
                selection = await stack.enter_async_context(source.select(TERMS))
                selected.add(selection.candidate.target)
            assert len(selected) == count, selected
            if end == "its channel ends":
                links.close()
                await anyio.sleep(SETTLE_S)
            if end.startswith("its host starts again"):
                # The earlier selections are never ended.
                scheduling.stack.push_async_exit(stack.pop_all())
                again, _ = await scheduling.start_front("earlier")
                async with again.select(TERMS):
                    pass
        await anyio.sleep(SETTLE_S)

    context.before = before


@when("{fronts:d} fronts select {each:d} targets each at the same time")
def step_select(context, fronts, each):
    async def call(scheduling):
        if context.before is not None:
            await context.before(scheduling)
        return await scheduling.select_at_once(fronts=fronts, each=each)

    context.selected = context.scheduling.run(call)


@then("the {count:d} targets are distinct")
def step_check_distinct(context, count):
    assert len(set(context.selected)) == len(context.selected) == count, context.selected


@then("the {count:d} targets are not distinct")
def step_check_not_distinct(context, count):
    assert len(set(context.selected)) < len(context.selected) == count, context.selected


def replace_phase(record, phase):
    targets = tuple(
        msgspec.structs.replace(target, load=msgspec.structs.replace(target.load, phase=phase))
        for target in record.targets
    )
    return msgspec.structs.replace(record, targets=targets)


@given("the registry has {registry}")
def step_change_registry(context, registry):
    table = context.scheduling.table
    record = context.scheduling.records[-1]
    if registry.startswith("no host"):
        delta = RegistryDelta(since=2, version=3, complete=False, gone=(record.locality.host,))
    else:
        drained = replace_phase(record, TargetPhase.DRAINING)
        delta = RegistryDelta(since=2, version=3, complete=False, hosts=(drained,))
    table.inbox.post(ApplyDelta(delta=delta))


@when("the host of the tenth target presents it as serving, with {order}")
def step_present(context, order):
    record = context.scheduling.records[-1]
    if order == "a later start":
        record = msgspec.structs.replace(record, incarnation=record.incarnation + 1)

    async def before(scheduling):
        # The presenting host's own table selects nothing itself.
        links = LinkPool(capacity=1)
        scheduling.stack.callback(links.close)
        table = scheduling.make_table(record.locality.host)
        scheduling.group.start_soon(table.run)
        await HostPresenter(table=table.inbox, links=links).present(record)
        await anyio.sleep(SETTLE_S)

    context.before = before


@given("a host with one target, which serves")
def step_make_presenter(context):
    context.presenter = HostPresenter(table=None, links=None)
    context.record = HostRecord(
        locality=make_locality("r1/a", "h0"),
        incarnation=1,
        link_address=ADDRESS,
        sequence=1,
        targets=(TargetRecord(target="t0", service=SERVICE, load=LOAD_OF_ONE_SLOT),),
    )


def eject(record):
    (target,) = record.targets
    load = msgspec.structs.replace(target.load, condition=TargetCondition.UNHEALTHY)
    return msgspec.structs.replace(record, targets=(msgspec.structs.replace(target, load=load),))


@then('it presents itself when its target is "new", "drained and back" and "ejected and back"')
def step_check_news(context):
    record, has_news = context.record, context.presenter.has_news
    assert has_news(record)
    assert not has_news(replace_phase(record, TargetPhase.DRAINING))
    assert has_news(record)
    assert not has_news(eject(record))
    assert has_news(record)


@then('not when its target is "as before", "ejected" or "gone"')
def step_check_no_news(context):
    record, has_news = context.record, context.presenter.has_news
    assert not has_news(record)
    assert not has_news(eject(record))
    assert not has_news(msgspec.structs.replace(record, targets=()))


@when(
    "{count:d} selections are asked for, {more:d} are asked for and given up, and the table goes on"
)
def step_give_up(context, count, more):
    context.evaluations = 0
    list_choices = ServicePool.list_choices

    def count_evaluation(pool, **terms):
        context.evaluations += 1
        return list_choices(pool, **terms)

    ServicePool.list_choices = count_evaluation
    context.add_cleanup(setattr, ServicePool, "list_choices", list_choices)

    async def call(scheduling):
        slots = [ReplySlot() for _ in range(count + more)]
        for slot in slots:
            scheduling.table.inbox.post(SelectTarget(terms=TERMS, reply=slot))
        for slot in slots[count:]:
            slot.abandoned = True
        scheduling.group.start_soon(scheduling.run_table)
        for slot in slots:
            await slot.wait()

    context.scheduling.run(call)


@then("it evaluates its targets {count:d} times")
def step_check_evaluations(context, count):
    assert context.evaluations == count, context.evaluations


@given("a host that serves links")
def step_make_link_host(context):
    context.scheduling = Scheduling(targets=0)


@when("a front opens a connection to it")
def step_open_connection(context):
    accepted = []
    accept = Listener.accept

    def keep_accepted(listener):
        connection, peer = accept(listener)
        accepted.append(connection)
        return connection, peer

    Listener.accept = keep_accepted
    context.add_cleanup(setattr, Listener, "accept", accept)

    async def call(scheduling):
        host, _, port = ADDRESS.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)):
            while not accepted:
                await anyio.sleep(0.01)
            return read_detection(accepted[0])

    context.detection = context.scheduling.run(call)


def read_detection(connection):
    """Return when the kernel gives up a silent peer, without and with unacknowledged bytes."""

    def read(option):
        return connection.getsockopt(socket.IPPROTO_TCP, option)

    if not connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE):
        return math.inf, math.inf
    probed_s = read(socket.TCP_KEEPIDLE) + read(socket.TCP_KEEPCNT) * read(socket.TCP_KEEPINTVL)
    unacknowledged_s = read(socket.TCP_USER_TIMEOUT) / 1_000 or math.inf
    return max(probed_s, unacknowledged_s), unacknowledged_s


@then(
    "the host's kernel closes the connection {least:d} s to {most:d} s after the front's host was"
    " lost"
)
def step_check_detection(context, least, most):
    assert all(least <= after_s <= most for after_s in context.detection), context.detection


@when("a front selects a target and learns that it is in a fault")
def step_learn(context):
    async def call(scheduling):
        source, _ = await scheduling.start_front("learner")
        async with source.select(TERMS) as selection:
            context.faulty = selection.candidate.target
            selection.report_load(FAULT_LOAD)
        await anyio.sleep(SETTLE_S)
        return await scheduling.select_at_once(fronts=3, each=3)

    context.selected = context.scheduling.run(call)


@then("the host selects other targets for the other fronts")
def step_check_learned(context):
    assert len(context.selected) == 9 and context.faulty not in context.selected, (
        context.faulty,
        context.selected,
    )


@when("a front selects {count:d} targets one after the other")
def step_select_in_turn(context, count):
    async def call(scheduling):
        source, _ = await scheduling.start_front("front", reply_timeout_s=REPLY_TIMEOUT_S)
        durations_s = []
        for _ in range(count):
            started_at_s = anyio.current_time()
            async with source.select(TERMS) as selection:
                assert selection is not None
                durations_s.append(anyio.current_time() - started_at_s)
        context.durations_s = durations_s
        if scheduling.stands_still:
            scheduling.group.start_soon(scheduling.table.run)
            await anyio.sleep(SETTLE_S)
            context.selected = await scheduling.select_at_once(fronts=2, each=5)

    context.scheduling.run(call)


@then("each is selected within {longest_s:g} s, and all but the first within {others_s:g} s")
def step_check_durations(context, longest_s, others_s):
    first_s, *rest_s = context.durations_s
    assert first_s <= longest_s and max(rest_s) <= others_s, context.durations_s


@then(
    "when the host's table goes on, {fronts:d} fronts that select {each:d} targets each get"
    " distinct ones"
)
def step_check_later(context, fronts, each):
    assert len(set(context.selected)) == len(context.selected) == fronts * each, context.selected


def make_choices(ages_s):
    candidates = make_candidates("r1/a", len(ages_s))
    return [
        Choice(
            candidate=candidate, free_slots=5.0, risk=0.01 if age_s < 1.0 else 0.3, risk_age_s=age_s
        )
        for candidate, age_s in zip(candidates, ages_s, strict=True)
    ]


@given(
    "{count:d} targets heard of {age_s:g} s ago, one heard of {old_age_s:g} s ago and one that is"
    " new, all in one domain"
)
def step_make_choices(context, count, age_s, old_age_s):
    context.choices = make_choices([age_s] * count + [old_age_s, float("inf")])


@given("{count:d} targets heard of {age_s:g} s ago, of which one has the lowest risk")
def step_make_fresh_choices(context, count, age_s):
    best, *others = make_choices([age_s] * count)
    risky = [msgspec.structs.replace(choice, risk=0.2) for choice in others]
    context.choices = [best, *risky]


@when("{count:d} targets are selected for reads, and {actions:d} for actions")
def step_select_many(context, count, actions):
    selector = RiskSelector(random.Random(1))
    tiers = [[], context.choices, [], []]

    def select(idempotent):
        return selector.choose(tiers, tried=(), idempotent=idempotent, is_shared=True).target

    context.for_reads = Counter(select(True) for _ in range(count))
    context.for_actions = Counter(select(False) for _ in range(actions))


@when(
    "a target is selected for a read and one for an action every {interval_ms:d} ms"
    " for {span_s:d} s"
)
def step_select_over_time(context, interval_ms, span_s):
    selector = RiskSelector(random.Random(1))
    sent_at_s = {}
    context.for_reads = []
    context.for_actions = []
    for number in range(span_s * 1_000 // interval_ms):
        now_s = number * interval_ms / 1_000
        choices = [
            msgspec.structs.replace(
                choice, sent_age_s=now_s - sent_at_s.get(choice.candidate.target, -float("inf"))
            )
            for choice in context.choices
        ]
        for idempotent, selected in ((True, context.for_reads), (False, context.for_actions)):
            tiers = [[], choices, [], []]
            chosen = selector.choose(tiers, tried=(), idempotent=idempotent, is_shared=True)
            selected.append(chosen.target)
            sent_at_s[chosen.target] = now_s


@then(
    "the new one is explored first, both others by {least:d} to {most:d} reads each, and neither"
    " by an action"
)
def step_check_explored(context, least, most):
    *_, old, new = (choice.candidate.target for choice in context.choices)
    assert context.for_reads[:2] == [new, old], context.for_reads[:4]
    counts = Counter(context.for_reads)
    assert least <= counts[old] <= most and least <= counts[new] <= most, counts
    assert not {old, new} & set(context.for_actions), Counter(context.for_actions)


@given(
    "a region with {targets:d} targets of {slots:d} slots, of which {share:d} % are in faults"
    " of {fault_s:d} s"
)
def step_make_region(context, targets, slots, share, fault_s):
    context.region = RegionLoad(
        targets=targets, slots=slots, faulty_share=share / 100, fault_s=fault_s, seed=1
    )


@when(
    "its fronts send {actions:g} actions of {action_s:g} s and {reads:g} reads of {read_s:g} s"
    " a second for {duration_s:d} s"
)
def step_play_load(context, actions, action_s, reads, read_s, duration_s):
    region = context.region
    region.send_requests(rate=actions, work_s=action_s, idempotent=False, attempts=1)
    region.send_requests(rate=reads, work_s=read_s, idempotent=True, attempts=2)
    region.run(duration_s)
    context.reached_shares = region.measure_reached_shares(duration_s)


@then(
    "in {windows:d} % of all windows of 2 s at least {share:d} % of the sound targets get requests"
)
def step_check_reached(context, windows, share):
    reached = [value >= share / 100 for value in context.reached_shares]
    assert sum(reached) >= windows / 100 * len(reached), sorted(context.reached_shares)


@then("at most {actions:d} % of the actions and {reads:d} % of the reads fail")
def step_check_region_failures(context, actions, reads):
    failed = {kind: context.region.measure_failed_share(idempotent=kind) for kind in (True, False)}
    assert failed[False] <= actions / 100 and failed[True] <= reads / 100, failed


@then("that target is selected for all of them")
def step_check_best(context):
    best = context.choices[0].candidate.target
    assert set(context.for_reads) == set(context.for_actions) == {best}, context.for_reads
