import os
from random import Random

import msgspec
import xxhash
from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as given_values
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test

from replication.consensus_machine import ConsensusMachine
from replication.fake_disk import FakeDisk
from replication.moving_machine import MovingMachine
from replication.simulation import Simulation
from samphirespring.process.ids import LogIndex, MemberId, ReplicaId, Term
from samphirespring.process.replication.effects import Persist, Send
from samphirespring.process.replication.entries import (
    Entry,
    EntryKind,
    HardState,
    LogPosition,
    Member,
    Membership,
    SnapshotMark,
)
from samphirespring.process.replication.errors import LogCorruptError
from samphirespring.process.replication.membership_plan import plan_replacement
from samphirespring.process.replication.messages import (
    AppendReply,
    AppendRequest,
    Heartbeat,
    PreVoteReply,
    PreVoteRequest,
    SnapshotChunk,
    VoteReply,
    VoteRequest,
)
from samphirespring.process.replication.progress import FollowerProgress
from samphirespring.process.replication.records import HEADER_BYTES, encode_record, scan_records
from samphirespring.process.replication.replica import Replica
from samphirespring.process.replication.replica_files import open_files
from samphirespring.process.replication.replica_log import ReplicaLog
from samphirespring.process.replication.replica_state import ReplicaState
from samphirespring.process.replication.storage import GroupStorage
from samphirespring.process.replication.timing import ROUND_TIMING, ReplicaTiming

EXAMPLES = int(os.environ.get("SAMPHIRE_CONSENSUS_EXAMPLES", "400"))
USES_RANDOM_SEEDS = "SAMPHIRE_CONSENSUS_EXAMPLES" in os.environ
STEPS = 20
MOVING_DIVISOR = 4
"""Number of random runs of a fixed group for each random run of a group that moves."""

TICK_S = 0.05
FOLDER = "replication/test"
MEMBERSHIP = Membership(
    members=tuple(
        Member(member=MemberId(name), replica=ReplicaId(name), link_address=f"addr-{name}")
        for name in ("a", "b", "c")
    )
)


@when("hypothesis runs a simulated group through random faults")
def step_run_machine(context):
    run_machine(ConsensusMachine, examples=EXAMPLES)


@when("hypothesis runs a simulated group through random faults and moves it to other hosts")
def step_run_moving_machine(context):
    run_machine(MovingMachine, examples=EXAMPLES // MOVING_DIVISOR)


def run_machine(machine, *, examples):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=STEPS,
            derandomize=not USES_RANDOM_SEEDS,
            phases=(Phase.generate, Phase.shrink),
        ),
    )


@then("no check failed")
def step_no_failure(context):
    pass


def make_entries(count, term):
    membership = Entry(
        index=LogIndex(1), term=Term(1), kind=EntryKind.MEMBERSHIP, membership=MEMBERSHIP
    )
    others = [
        Entry(index=LogIndex(n), term=Term(term), kind=EntryKind.COMMAND, payload=b"x")
        for n in range(2, count + 1)
    ]
    return [membership, *others]


@given("a follower in term {term:d} with {count:d} entries of term {entry_term:d}")
def step_make_follower(context, term, count, entry_term, *, timing=None):
    state = ReplicaState(
        member=MemberId("a"),
        hard_state=HardState(term=Term(term)),
        log=ReplicaLog(entries=make_entries(count, entry_term)),
        timing=timing or ReplicaTiming(),
        random=Random(1),
        now_s=0.0,
    )
    context.replica = Replica(state)
    context.now_s = 0.0
    context.sent = []
    context.token = 0


def pop_effects(context):
    for effect in context.replica.pop_effects(context.now_s):
        if isinstance(effect, Send):
            context.sent.append(effect)
        if isinstance(effect, Persist):
            context.token = effect.token


def sync(context):
    context.replica.mark_persisted(context.token, now_s=context.now_s)
    pop_effects(context)


def receive(context, sender, message):
    context.replica.receive(MemberId(sender), message, now_s=context.now_s)
    pop_effects(context)


def list_granted_votes(context):
    return [e for e in context.sent if isinstance(e.message, VoteReply) and e.message.granted]


@when('"{sender}" requests a vote in term {term:d}')
def step_request_vote(context, sender, term):
    context.now_s = 10.0
    last = LogPosition(index=LogIndex(9), term=Term(3))
    receive(context, sender, VoteRequest(term=Term(term), last=last))


@then("the replica has sent no vote")
def step_no_vote(context):
    assert not list_granted_votes(context)


@then('after its writes are synced the replica has sent a vote to "{candidate}"')
def step_vote_after_sync(context, candidate):
    sync(context)
    assert [effect.to for effect in list_granted_votes(context)] == [candidate]


@when('the leader "{leader}" of term {term:d} sends another entry {index:d}')
def step_overwrite(context, leader, term, index):
    position = context.replica.log.last
    previous = LogPosition(index=LogIndex(index - 1), term=position.term)
    entry = Entry(index=LogIndex(index), term=Term(term), kind=EntryKind.COMMAND, payload=b"y")
    request = AppendRequest(
        term=Term(term),
        previous=previous,
        entries=(entry,),
        commit_index=LogIndex(0),
        sent_at_s=1.0,
    )
    receive(context, leader, request)


@then('the reply to a heartbeat of "{leader}" has the match index {index:d}')
def step_check_match(context, leader, index):
    context.sent.clear()
    step_receive_heartbeat(context, leader, context.now_s)
    assert [effect.message.match_index for effect in context.sent] == [index]


@then(
    'after its writes are synced the reply to a heartbeat of "{leader}" has the match index'
    " {index:d}"
)
def step_check_match_after_sync(context, leader, index):
    sync(context)
    step_check_match(context, leader, index)


@given("the replica is elected in term {term:d}")
def step_elect(context, term):
    context.now_s = 10.0
    context.replica.tick(context.now_s)
    pop_effects(context)
    request_term = Term(term - 1)
    receive(context, "b", PreVoteReply(term=request_term, request_term=request_term, granted=True))
    sync(context)
    receive(context, "b", VoteReply(term=Term(term), granted=True))
    assert context.replica.leadership is not None


@when('follower "{name}" has synced up to entry {index:d}')
def step_follower_synced(context, name, index):
    sync(context)
    message = AppendReply(
        term=context.replica.term, match_index=LogIndex(index), sent_at_s=context.now_s
    )
    receive(context, name, message)


@then("nothing is committed")
def step_nothing_committed(context):
    assert context.replica.commit_index == 0


@then("{count:d} entries are committed")
def step_committed(context, count):
    assert context.replica.commit_index == count


@given('the replica receives a heartbeat of the leader "{leader}" at {now:f} s')
def step_receive_heartbeat(context, leader, now):
    context.now_s = now
    heartbeat = Heartbeat(term=context.replica.term, sent_at_s=77.0, commit_index=LogIndex(0))
    receive(context, leader, heartbeat)


@when('"{sender}" requests a pre-vote and a vote in term {term:d} at {now:f} s')
def step_request_both(context, sender, term, now):
    context.now_s = now
    context.sent.clear()
    last = LogPosition(index=LogIndex(9), term=Term(3))
    receive(context, sender, PreVoteRequest(term=Term(term - 1), last=last))
    if now < 1.0 or 5.0 <= now < 6.0:
        receive(context, sender, VoteRequest(term=Term(term), last=last))


@then("the replica grants neither and stays in term {term:d}")
def step_grants_neither(context, term):
    sync(context)
    assert not any(effect.message.granted for effect in context.sent)
    assert context.replica.term == term


@then("the replica grants the pre-vote")
def step_grants_pre_vote(context):
    assert [effect.message.granted for effect in context.sent] == [True]


@when('the leader "{leader}" of term {term:d} sends a snapshot up to entry {index:d}')
def step_send_snapshot(context, leader, term, index):
    data = b"state"
    mark = SnapshotMark(
        index=LogIndex(index),
        term=Term(2),
        membership=MEMBERSHIP,
        size_bytes=len(data),
        checksum=xxhash.xxh3_64_intdigest(data),
    )
    receive(
        context,
        leader,
        SnapshotChunk(term=Term(term), mark=mark, offset=0, data=data, sent_at_s=1.0),
    )


@then("the last entry is {last:d} and {committed:d} entries are committed")
def step_check_log(context, last, committed):
    assert context.replica.log.last.index == last
    assert context.replica.commit_index == committed


@given(
    'a leader of "a", "b" and "c" that has committed {count:d} entries, and "{name}" as a learner'
    ' for "{lost}"'
)
def step_make_learner(context, count, name, lost):
    learner = Member(
        member=MemberId(name),
        replica=ReplicaId(name),
        link_address=f"addr-{name}",
        replaces=MemberId(lost),
    )
    context.membership = MEMBERSHIP.add_learner(learner)
    context.commit_index = LogIndex(count)


@when('"{name}" has synced {count:d} entries')
def step_learner_synced(context, name, count):
    progress = FollowerProgress(next_index=LogIndex(count + 1), match_index=LogIndex(count))
    context.followers = {MemberId(name): progress}
    context.planned = plan(context, context.membership)


def plan(context, membership):
    return plan_replacement(
        membership,
        leader=MemberId("a"),
        joiners=(),
        followers=context.followers,
        commit_index=context.commit_index,
    )


@then("no change of the membership is due")
def step_no_change(context):
    assert context.planned is None


@then('the next change removes "{lost}"')
def step_change_removes(context, lost):
    assert context.planned == context.membership.remove(MemberId(lost))


@then('the change after that makes "{name}" a voter')
def step_change_promotes(context, name):
    assert plan(context, context.planned) == context.planned.promote(MemberId(name))


def write_log(disk, entries):
    """Write the files of a replica in a formed group, a record per entry; return the identity."""
    storage = GroupStorage(disk=disk, folder=FOLDER)
    identity = open_files(storage, replica=ReplicaId("a"), random=Random(1)).identity
    storage.write_identity(msgspec.structs.replace(identity, may_form=False, lineage="l"))
    storage.write_hard_state(HardState(term=Term(2)))
    for entry in entries:
        storage.append([entry])
    return identity


def find_segment(disk):
    return next(name for name in disk.names if "/log-" in name)


@when("hypothesis damages the files of a replica")
def step_damage_files(context):
    context.outcomes = []
    entries = make_entries(12, 2)

    @settings(max_examples=300)
    @given_values(
        cut=st.integers(0, 1200),
        changes=st.lists(st.tuples(st.integers(0, 4000), st.binary(min_size=1, max_size=6))),
        other=st.sampled_from(["", "identity", "hard-state"]),
    )
    def damage(cut, changes, other):
        disk = FakeDisk()
        write_log(disk, entries)
        file = disk.names[f"{FOLDER}/{other}" if other else find_segment(disk)]
        if cut % 3:
            del file.data[len(file.data) - cut % (len(file.data) + 1) :]
        for offset, value in changes:
            start = offset % (len(file.data) + 1)
            file.data[start : start + len(value)] = value
        storage = GroupStorage(disk=disk, folder=FOLDER)
        try:
            storage.read_identity()
            loaded = storage.load().log
        except LogCorruptError as error:
            context.outcomes.append(error.code.value)
            return
        last = loaded.last.index
        assert loaded.read(LogIndex(1), last) == tuple(entries[:last])
        context.outcomes.append("loaded")

    damage()


@then('each load gave a prefix of the written entries or "{code}"')
def step_check_outcomes(context, code):
    assert set(context.outcomes) == {"loaded", code}, set(context.outcomes)


@when("the last synced record of a replica is damaged")
def step_damage_last(context):
    context.disk = FakeDisk()
    context.before = write_log(context.disk, make_entries(5, 2))
    name = find_segment(context.disk)
    context.disk.damage(name, len(context.disk.names[name].data) - 1)


@then(
    "the replica opens empty as a member that may not form a group, and the damaged files are kept"
)
def step_check_quarantined(context):
    storage = GroupStorage(disk=context.disk, folder=FOLDER)
    opened = open_files(storage, replica=ReplicaId("a"), random=Random(2))
    assert opened.quarantined is not None
    assert opened.stored.log.last.index == 0
    assert opened.identity.member != context.before.member
    assert not opened.identity.may_form
    kept = opened.quarantined.kept_as
    assert any(name.startswith(f"{kept}/log-") for name in context.disk.names)


@when("a record is followed by each beginning of a header and zeros up to {limit:d} bytes")
def step_truncate_headers(context, limit):
    context.record = encode_record(b"first")
    header = encode_record(b"second")[:HEADER_BYTES]
    context.scans = [
        scan_records(context.record + header[:kept] + bytes(filled))
        for kept in range(HEADER_BYTES)
        for filled in range(limit - kept + 1)
    ]


@then("the record is read and the rest is truncated")
def step_check_truncated_headers(context):
    for scan in context.scans:
        assert scan.bodies == (b"first",) and not scan.is_corrupt, scan
        assert scan.end_offset == len(context.record), scan


@given(
    "a follower in term {term:d} with {count:d} entries of term {entry_term:d}"
    " in a group without lease reads"
)
def step_make_follower_without_lease(context, term, count, entry_term):
    step_make_follower(context, term, count, entry_term, timing=ROUND_TIMING)


@then("the replica grants the pre-vote and the vote")
def step_check_both_granted(context):
    sync(context)
    assert {type(effect.message) for effect in context.sent} == {PreVoteReply, VoteReply}
    assert all(effect.message.granted for effect in context.sent)


@when("the replica restarts and receives no message")
def step_start_again(context):
    step_make_follower(context, 3, 4, 2, timing=ROUND_TIMING)


@when('the replica restarts and receives a heartbeat of the leader "{leader}" at {now:f} s')
def step_start_with_heartbeat(context, leader, now):
    step_make_follower(context, 3, 4, 2, timing=ROUND_TIMING)
    step_receive_heartbeat(context, leader, now)


def find_pre_vote_s(context, *, from_s, until_s):
    """Return when the replica requests pre-votes, or None if it doesn't before `until_s`."""
    ticks = round((until_s - from_s) / TICK_S)
    for tick in range(1, ticks + 1):
        context.now_s = from_s + tick * TICK_S
        context.sent.clear()
        context.replica.tick(context.now_s)
        pop_effects(context)
        if any(isinstance(effect.message, PreVoteRequest) for effect in context.sent):
            return context.now_s
    return None


@then("the replica requests pre-votes within {first:f} s, and again within {second:f} s")
def step_check_pre_votes(context, first, second):
    first_s = find_pre_vote_s(context, from_s=0.0, until_s=first + TICK_S)
    assert first_s is not None
    assert find_pre_vote_s(context, from_s=first_s, until_s=first_s + second + TICK_S) is not None


@then("the replica requests no pre-vote before {time:f} s")
def step_check_no_pre_vote(context, time):
    assert find_pre_vote_s(context, from_s=context.now_s, until_s=time - TICK_S) is None


def run_under_load(simulation, duration_s):
    for _ in range(int(duration_s / 0.2)):
        simulation.propose(1)
        simulation.run(0.2)


def fill_disk(simulation, host):
    host.disk.is_full = True
    run_under_load(simulation, 3.0)
    host.disk.is_full = False
    run_under_load(simulation, 2.0)
    if not host.is_up:
        host.start(simulation.now_s)
    run_under_load(simulation, 1.0)


@when(
    "the disk of each of {count:d} hosts is full for 3 s in turn, twice, in {groups:d} groups"
    " under load"
)
def step_fill_disks(context, count, groups):
    context.simulations = []
    for seed in range(groups):
        simulation = Simulation(count=count, seed=seed)
        order = Random(seed).sample(simulation.hosts, count)
        for host in (*order, *order):
            fill_disk(simulation, host)
        context.simulations.append(simulation)


@then("each group commits afterwards, and all its hosts have the same lines")
def step_check_after_full(context):
    for simulation in context.simulations:
        assert all(host.is_up for host in simulation.hosts)
        simulation.check_recovery()
        assert sum(host.quarantined_count for host in simulation.hosts) == 0


@given("a replica that was killed after it had written entry {count:d} and before it synced it")
def step_kill_before_sync(context, count):
    context.disk = FakeDisk()
    entries = make_entries(count, 2)
    write_log(context.disk, entries[:-1])
    storage = GroupStorage(disk=context.disk, folder=FOLDER)
    storage.load()
    context.disk.ignores_sync = True
    storage.append(entries[-1:])
    context.disk.ignores_sync = False


@when("its successor loads the log, and the host loses power")
def step_load_and_lose_power(context):
    storage = GroupStorage(disk=context.disk, folder=FOLDER)
    context.loaded = storage.load().log.last.index
    for file in context.disk.names.values():
        file.data = bytearray(file.synced)


@then("the entries that it had loaded are still there")
def step_check_still_there(context):
    storage = GroupStorage(disk=context.disk, folder=FOLDER)
    assert storage.load().log.last.index == context.loaded, context.loaded
