import tempfile
from collections import Counter

import anyio
from behave import given, then, when

from replication.in_memory import InMemoryCluster
from samphirespring.process.errors import SamphireError
from samphirespring.process.replication.group_inbox import GroupInbox
from samphirespring.process.replication.group_messages import (
    ConfirmLeadership,
    PeerMessage,
    TickDue,
)

WAIT_S = 60.0


@given("a group of three hosts on a manual clock, with a leader")
def step_make_cluster(context):
    folder = tempfile.TemporaryDirectory(prefix="samphire-load-")
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name


@when("{count:d} callers send the leader requests that take {cost_ms:d} ms each")
def step_send_requests(context, count, cost_ms):
    context.outcomes = Counter()
    anyio.run(send_requests, context, count, cost_ms / 1_000)


async def send_requests(context, count, cost_s):
    cluster = InMemoryCluster(context.folder)
    async with cluster.serve():
        leader = await cluster.find_leader()
        context.status_before = await leader.read_status()
        with anyio.fail_after(WAIT_S):
            async with anyio.create_task_group() as tasks:
                for _ in range(count):
                    tasks.start_soon(send_request, cluster, leader, cost_s, context.outcomes)
        context.status_after = await (await cluster.find_leader()).read_status()


async def send_request(cluster, leader, cost_s, outcomes):
    try:
        await leader.read(lambda: cluster.timers.advance(cost_s))
    except SamphireError as error:
        outcomes[error.code.value] += 1
    else:
        outcomes["replied"] += 1


@then("all {count:d} get a reply")
def step_check_replies(context, count):
    assert context.outcomes == {"replied": count}, context.outcomes


@then('{replied:d} get a reply and {refused:d} are refused with the code "{code}"')
def step_check_refusals(context, replied, refused, code):
    assert context.outcomes == {"replied": replied, code: refused}, context.outcomes


@then("the leader and the term are unchanged")
def step_check_leader_unchanged(context):
    before, after = context.status_before, context.status_after
    assert (after.replica, after.term) == (before.replica, before.term), (before, after)


@given("an inbox with a request, a tick and a peer message")
def step_fill_inbox(context):
    context.inbox = GroupInbox(name="group", request_batch_size=1)
    context.batch = anyio.run(fill_and_receive, context.inbox)


async def fill_and_receive(inbox):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(inbox.ask, lambda reply: ConfirmLeadership(reply=reply))
        await anyio.lowlevel.checkpoint()
        inbox.post(TickDue())
        inbox.post(PeerMessage(envelope=None, sender_address="host-1"))
        batch = await inbox.receive_batch()
        tasks.cancel_scope.cancel()
    return batch


@then("it delivers the peer message, then the tick, then the request")
def step_check_order(context):
    assert [type(message) for message in context.batch] == [PeerMessage, TickDue, ConfirmLeadership]
