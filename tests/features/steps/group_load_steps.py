import tempfile
from collections import Counter

import anyio
from behave import given, then, when

from replication.in_memory import InMemoryCluster
from samphirespring.process.errors import SamphireError
from samphirespring.process.replication.group_inbox import GroupInbox
from samphirespring.process.replication.group_messages import ConfirmLeadership, Received, TickDue

WAIT_S = 60.0


@given("a group of three hosts on a manual clock, with a leader")
def step_make_cluster(context):
    folder = tempfile.TemporaryDirectory(prefix="samphire-load-")
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name


@when("{count:d} callers ask the leader questions that take {cost_ms:d} ms each")
def step_ask(context, count, cost_ms):
    context.outcomes = Counter()
    anyio.run(ask_leader, context, count, cost_ms / 1_000)


async def ask_leader(context, count, cost_s):
    cluster = InMemoryCluster(context.folder)
    async with cluster.serve():
        leader = await cluster.find_leader()
        context.before = await leader.read_status()
        with anyio.fail_after(WAIT_S):
            async with anyio.create_task_group() as tasks:
                for _ in range(count):
                    tasks.start_soon(ask, cluster, leader, cost_s, context.outcomes)
        context.after = await (await cluster.find_leader()).read_status()


async def ask(cluster, leader, cost_s, outcomes):
    try:
        await leader.read(lambda: cluster.timers.advance(cost_s))
    except SamphireError as error:
        outcomes[error.code.value] += 1
    else:
        outcomes["answered"] += 1


@then("all {count:d} are answered")
def step_check_answers(context, count):
    assert context.outcomes == {"answered": count}, context.outcomes


@then('{answered:d} are answered and {refused:d} are refused with the code "{code}"')
def step_check_refusals(context, answered, refused, code):
    assert context.outcomes == {"answered": answered, code: refused}, context.outcomes


@then("the same leader leads in the same term")
def step_check_lead(context):
    before, after = context.before, context.after
    assert (after.replica, after.term) == (before.replica, before.term), (before, after)


@given("an inbox with a question, a tick and a message of a peer")
def step_fill_inbox(context):
    context.inbox = GroupInbox(name="group", question_batch=1)
    context.batch = anyio.run(fill_and_receive, context.inbox)


async def fill_and_receive(inbox):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(inbox.ask, lambda reply: ConfirmLeadership(reply=reply))
        await anyio.lowlevel.checkpoint()
        inbox.post(TickDue())
        inbox.post(Received(envelope=None, sender_address="host-1"))
        batch = await inbox.receive_batch()
        tasks.cancel_scope.cancel()
    return batch


@then("it gives the message, then the tick, then the question")
def step_check_order(context):
    assert [type(message) for message in context.batch] == [Received, TickDue, ConfirmLeadership]
