import anyio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings, strategies

from registry.tree import DOMAIN, DomainWorld
from samphirespring.process.document.relay_tree import Peer, choose_sources
from samphirespring.process.registry.cache import RegistryCache
from samphirespring.process.registry.commands import ChangeHosts, HostRemoval
from samphirespring.process.registry.state_machine import RegistryStateMachine
from samphirespring.process.targets import HostRecord, Locality

MOVES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["put", "remove", "near", "far", "read"]),
        strategies.integers(0, 7),
    ),
    min_size=1,
    max_size=60,
)


def _make_record(number, sequence):
    locality = Locality(region="r", failure_domain="d", host=f"h{number}")
    return HostRecord(
        locality=locality, incarnation=1, link_address=f"10.0.0.{number}:1", sequence=sequence
    )


class Reader:
    def __init__(self):
        self.hosts = {}
        self.version = 0

    def read(self, source):
        delta = source.read_delta(self.version)
        if delta is None or (delta.version <= self.version and not delta.complete):
            return
        assert delta.version >= self.version, "a reader goes back"
        if delta.complete:
            self.hosts = {}
        for record in delta.hosts:
            self.hosts[record.locality.host] = record
        for host in delta.gone:
            self.hosts.pop(host, None)
        self.version = delta.version


def _refresh(mirror, source):
    delta = source.read_delta(mirror.version)
    if delta is not None and (delta.complete or delta.version > mirror.version):
        mirror.apply(delta)


@when("{count:d} random histories pass through two mirrors to readers that know random versions")
def step_mirror(context, count):
    context.histories = 0

    @settings(max_examples=count)
    @for_all(moves=MOVES)
    def play(moves):
        machine = RegistryStateMachine(removal_capacity=2)
        near, far = RegistryCache(), RegistryCache()
        readers = [Reader() for _ in range(3)]
        for sequence, (move, number) in enumerate(moves, start=1):
            if move == "put":
                command = ChangeHosts(records=(_make_record(number, sequence),))
                machine.apply(index=sequence, command=command)
            elif move == "remove":
                removal = HostRemoval(host=f"h{number}", incarnation=1, sequence=sequence)
                machine.apply(index=sequence, command=ChangeHosts(removals=(removal,)))
            elif move == "near":
                _refresh(near, machine)
            elif move == "far":
                _refresh(far, near)
            else:
                readers[number % 3].read((machine, near, far)[number % 2 + 1])
        _refresh(near, machine)
        _refresh(far, near)
        expected = {record.locality.host: record for record in machine.read_table().hosts}
        for reader in readers:
            reader.read(far)
            assert reader.hosts == expected, (reader.hosts, expected)
        context.histories += 1

    play()


@then("each reader's table equals the leader's, and no reader goes back")
def step_check_mirror(context):
    # The histories check themselves; this one says that they ran.
    assert context.histories >= 80, context.histories


@given("{count:d} hosts of one failure domain whose leases last {lease:d} s")
def step_domain(context, count, lease):
    context.world = DomainWorld(count, lease_s=float(lease))
    context.count = count


@given("the first host can be reached by no other one")
def step_cut_first(context):
    context.world.dead.add(context.world.hosts[0].name)


@given(
    "{count:d} hosts of one failure domain whose settings name the first one,"
    " which started before"
)
def step_seeded_domain(context, count):
    context.world = DomainWorld(count, lease_s=5.0, seeds=("10.0.0.0:1",))
    context.world.late_hosts = context.world.hosts[1:]
    context.count = count


@when("they report for {span:d} s")
def step_report(context, span):
    context.span = span

    async def play(world):
        await world.advance(6.0)
        world.start(world.late_hosts)
        context.calls_before = world.leader_calls
        world.longest_gap_s.clear()
        await world.advance(span)

    anyio.run(context.world.run, play)


@then("the leader gets at most {rate:d} calls a second, and hears each host within {gap:d} s")
def step_check_rate(context, rate, gap):
    world = context.world
    calls = (world.leader_calls - context.calls_before) / context.span
    assert 0 < calls <= rate, calls
    assert len(world.longest_gap_s) == context.count
    assert max(world.longest_gap_s.values()) <= gap, max(world.longest_gap_s.values())


@then("every host knows all {count:d} hosts")
@then("every living host knows {count:d} hosts")
def step_check_known(context, count):
    living = [host for host in context.world.hosts if host.name not in context.world.dead]
    assert {len(host.known) for host in living} == {count}


@when("they report for {span:d} s, the two hosts at the top of the tree die, and {rest:d} s pass")
def step_die(context, span, rest):
    async def play(world):
        await world.advance(span)
        peers = [Peer(host=host.name, link_address=host.address) for host in world.hosts]
        tops = [
            host
            for host in world.hosts
            if not choose_sources(peers, domain=DOMAIN, own=host.name, sick=())
        ]
        assert len(tops) == 2, [host.name for host in tops]
        for host in tops:
            world.dead.add(host.name)
            host.client._uplink = _CutUplink()
        await world.advance(rest)

    anyio.run(context.world.run, play)


class _CutUplink:
    async def send(self, batch):
        await anyio.sleep_forever()


@then("the registry has removed the {count:d} dead hosts only")
def step_check_removed(context, count):
    present = {entry.host for entry in context.world.machine.list_present()}
    assert present == {host.name for host in context.world.hosts} - context.world.dead
    assert len(context.world.dead) == count


@then("at most {count:d} whole tables left the control hosts, and each host gave at most {each:d}")
def step_check_tables(context, count, each):
    world = context.world
    given_by_peers = sum(world.peer_tables.values())
    print(f"  measured: {world.control_tables} from control, {given_by_peers} from peers")
    assert world.control_tables <= count, world.control_tables
    assert max(world.peer_tables.values()) <= each, world.peer_tables
