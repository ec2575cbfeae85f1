from random import Random

import anyio
import anyio.lowlevel
from behave import given, then, when

from features.steps.consensus_steps import MEMBERSHIP, make_entries
from samphirespring.connection.document_link import DocumentNotice, WatchDocument
from samphirespring.process.document.leader_contact import LeaderContactWatch
from samphirespring.process.document.relay_tree import Peer
from samphirespring.process.document.sources import (
    ReceivedNotice,
    SourceChooser,
    SourceKind,
    choose_notice,
)
from samphirespring.process.document.store import DocumentStore, RecordSourceContact
from samphirespring.process.ids import GroupId, MemberId, ReplicaId, Term
from samphirespring.process.replication.entries import HardState
from samphirespring.process.replication.group_status import GroupOperations, GroupStatus
from samphirespring.process.replication.messages import (
    Heartbeat,
    HeartbeatReply,
    PreVoteReply,
    VoteReply,
)
from samphirespring.process.replication.replica import Replica
from samphirespring.process.replication.replica_log import ReplicaLog
from samphirespring.process.replication.replica_state import ReplicaState
from samphirespring.process.replication.timing import ReplicaTiming
from samphirespring.process.runtime import run_tasks
from samphirespring.process.states import DiskHealth
from samphirespring.process.timers import ManualTimerService
from samphirespring.version.stamp import NO_STAMP

SETTLE_TURNS = 20
OWN_MEMBER = MEMBERSHIP.members[0].member


class ManualContactGroup(GroupOperations):
    """A replica in contact with a leader, or with a fixed time of its last contact."""

    def __init__(self, timers):
        self.timers = timers
        self.last_contact_at_s = None

    async def read_status(self):
        age_s = (
            0.25
            if self.last_contact_at_s is None
            else self.timers.read_now_s() - self.last_contact_at_s
        )
        return GroupStatus(
            group=GroupId("document"),
            replica=ReplicaId("a"),
            member=None,
            disk=DiskHealth.HEALTHY,
            leader_contact_age_s=age_s,
        )

    async def replace(self, lost, *, replacement):
        raise NotImplementedError


class StoreFixture:
    """A store with a manual clock; on a control host also the watch of its replica."""

    def __init__(self, *, is_control):
        self.timers = ManualTimerService(start_s=1_000.0)
        self.store = DocumentStore(timers=self.timers)
        self.replica = ManualContactGroup(self.timers)
        self.tasks = [self.store]
        if is_control:
            self.tasks.append(
                LeaderContactWatch(group=self.replica, store=self.store, timers=self.timers)
            )

    async def read_age(self, actions):
        notices = []

        async def request_notice():
            notices.append(await self.store.watch(WatchDocument(known=NO_STAMP, wait_s=0.0)))

        async with run_tasks(self.tasks) as group:
            await settle()
            for action in actions:
                await action(self)
            group.start_soon(request_notice)
            await settle()
            self.timers.advance(1.0)
            await settle()
        return notices[0].age_s


@given("a control host whose replica has contact with a leader")
def step_make_control(context):
    context.is_control = True
    context.actions = []


def pass_time(context, duration_s, *, without_leader=False):
    async def action(fixture):
        fixture.replica.last_contact_at_s = fixture.timers.read_now_s() if without_leader else None
        for _ in range(duration_s):
            fixture.timers.advance(1.0)
            await settle()

    context.actions.append(action)


async def settle():
    for _ in range(SETTLE_TURNS):
        await anyio.lowlevel.checkpoint()


@when("{duration_s:d} s pass")
def step_pass(context, duration_s):
    pass_time(context, duration_s)


@when("its replica loses contact with the leader and {duration_s:d} s pass")
def step_lose_leader(context, duration_s):
    pass_time(context, duration_s, without_leader=True)


@when("its replica has contact with a leader again and {duration_s:d} s pass")
def step_find_leader(context, duration_s):
    pass_time(context, duration_s)


def read_age(context):
    """Replay all actions of the scenario so far, and return the age in a notice."""
    return anyio.run(StoreFixture(is_control=context.is_control).read_age, context.actions)


@then("it reports an age of at most {limit:d} s")
def step_check_fresh(context, limit):
    age_s = read_age(context)
    assert 0.0 <= age_s <= limit, age_s


@then("it reports an age of at least {limit:d} s")
def step_check_old(context, limit):
    age_s = read_age(context)
    assert age_s >= limit, age_s


@given("a replica that has just started")
def step_start_replica(context):
    state = ReplicaState(
        member=OWN_MEMBER,
        hard_state=HardState(term=Term(3)),
        log=ReplicaLog(entries=make_entries(4, 2)),
        timing=ReplicaTiming(),
        random=Random(1),
        now_s=0.0,
    )
    context.replica = Replica(state)


@then("it has had no contact")
def step_no_contact(context):
    assert context.replica.find_last_contact_at_s(9.0) is None


@when("it receives a heartbeat at {now:f} s")
def step_receive_heartbeat(context, now):
    heartbeat = Heartbeat(term=Term(3), sent_at_s=777.0, commit_index=0)
    context.replica.receive(MemberId("c"), heartbeat, now_s=now)


@then("at {now:f} s its last contact was at {contact:f} s")
def step_check_contact(context, now, contact):
    assert context.replica.find_last_contact_at_s(now) == contact


@when("it becomes leader, and a quorum replies to heartbeats that it sent at {sent:f} s")
def step_lead(context, sent):
    replica = context.replica
    replica.tick(sent)
    replica.receive(
        MemberId("b"), PreVoteReply(term=Term(3), request_term=Term(3), granted=True), now_s=sent
    )
    tokens = [effect.token for effect in replica.pop_effects(sent) if hasattr(effect, "token")]
    replica.mark_persisted(max(tokens), now_s=sent)
    replica.receive(MemberId("b"), VoteReply(term=Term(4), granted=True), now_s=sent)
    reply = HeartbeatReply(term=Term(4), sent_at_s=sent, match_index=0)
    replica.receive(MemberId("b"), reply, now_s=sent + 0.01)
    assert replica.leadership is not None


@given("control hosts report ages of {first:d}, {second:d} and {third:d} s to a relay")
def step_make_relay(context, first, second, third):
    context.ages = (first, second, third)
    context.is_control = False

    async def action(fixture):
        for age_s in context.ages:
            fixture.store.inbox.post(RecordSourceContact(age_s=float(age_s)))

    context.actions = [action]


@then("of equal versions it fetches from the control host with the age of {age:d} s")
def step_check_choice(context, age):
    received = [
        ReceivedNotice(
            address=f"{age_s}", notice=DocumentNotice(stamp=NO_STAMP, age_s=float(age_s))
        )
        for age_s in context.ages
    ]
    assert choose_notice(received).address == f"{age}"


@given("a node whose relays report an age of {age:d} s")
def step_make_node(context, age):
    context.peers = [Peer(host=f"h{i}", link_address=f"127.0.1.1:{i + 1}") for i in range(10)]
    for peer in context.peers:
        context.chooser = SourceChooser(domain="d", own_host=peer.host, control=("c",), seeds=())
        if context.chooser.choose(context.peers, now_s=0.0).kind is SourceKind.RELAY:
            break
    context.now_s = 0.0
    context.relays = report_relay_ages(context, age)


def report_relay_ages(context, age_s):
    sources = context.chooser.choose(context.peers, now_s=context.now_s)
    assert sources.kind is SourceKind.RELAY
    for address in sources.addresses:
        context.chooser.record_notice(
            address, kind=SourceKind.RELAY, age_s=float(age_s), now_s=context.now_s
        )
    return set(sources.addresses)


def choose_now(context):
    return set(context.chooser.choose(context.peers, now_s=context.now_s).addresses)


@then("it excludes these relays")
def step_check_excluded(context):
    assert not choose_now(context) & context.relays


@when("a control host reports an age of {age:d} s to it, and {duration_s:d} s pass")
def step_control_age_and_wait(context, age, duration_s):
    step_control_age(context, age)
    context.now_s += duration_s


@when("a control host reports an age of {age:d} s to it")
def step_control_age(context, age):
    context.chooser.record_notice(
        "c", kind=SourceKind.CONTROL, age_s=float(age), now_s=context.now_s
    )


@then("it keeps relays that report an age of {age:d} s")
def step_check_kept(context, age):
    relays = report_relay_ages(context, age)
    assert choose_now(context) == relays


@then("it excludes a relay that reports an age of {age:d} s")
def step_check_excluded_again(context, age):
    relays = report_relay_ages(context, age)
    assert not choose_now(context) & relays
