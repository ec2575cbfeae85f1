import anyio
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings, strategies

from registry.tree import DOMAIN, DomainSimulation
from samphirespring.process.document.relay_tree import Peer, choose_sources
from samphirespring.process.registry.cache import RegistryCache
from samphirespring.process.registry.commands import ChangeHosts, HostRemoval
from samphirespring.process.registry.state_machine import RegistryStateMachine
from samphirespring.process.targets import HostRecord, Locality

ACTIONS = strategies.lists(
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
        assert delta.version >= self.version, "a reader's version decreased"
        if delta.complete:
            self.hosts = {}
        for record in delta.hosts:
            self.hosts[record.locality.host] = record
        for host in delta.gone:
            self.hosts.pop(host, None)
        self.version = delta.version


def _update_cache(cache, source):
    delta = source.read_delta(cache.version)
    if delta is not None and (delta.complete or delta.version > cache.version):
        cache.apply(delta)


@when(
    "{count:d} random sequences of changes pass through two caches to readers with random versions"
)
def step_run_caches(context, count):
    context.sequence_count = 0

    @settings(max_examples=count)
    @for_all(actions=ACTIONS)
    def run(actions):
        state_machine = RegistryStateMachine(removal_capacity=2)
        near, far = RegistryCache(), RegistryCache()
        readers = [Reader() for _ in range(3)]
        for sequence, (action, number) in enumerate(actions, start=1):
            if action == "put":
                command = ChangeHosts(records=(_make_record(number, sequence),))
                state_machine.apply(index=sequence, command=command)
            elif action == "remove":
                removal = HostRemoval(host=f"h{number}", incarnation=1, sequence=sequence)
                state_machine.apply(index=sequence, command=ChangeHosts(removals=(removal,)))
            elif action == "near":
                _update_cache(near, state_machine)
            elif action == "far":
                _update_cache(far, near)
            else:
                readers[number % 3].read((state_machine, near, far)[number % 2 + 1])
        _update_cache(near, state_machine)
        _update_cache(far, near)
        expected = {record.locality.host: record for record in state_machine.read_table().hosts}
        for reader in readers:
            reader.read(far)
            assert reader.hosts == expected, (reader.hosts, expected)
        context.sequence_count += 1

    run()


@then("each reader's table equals the leader's, and no reader's version decreases")
def step_check_caches(context):
    # The sequences are checked while they run; this ensures that they ran.
    assert context.sequence_count >= 80, context.sequence_count


@given("{count:d} hosts of one failure domain whose leases last {lease:d} s")
def step_domain(context, count, lease):
    context.simulation = DomainSimulation(count, lease_s=float(lease))
    context.count = count


@given("the other hosts can't reach the first host")
def step_cut_first(context):
    context.simulation.unreachable.add(context.simulation.hosts[0].name)


@given("{count:d} hosts of one failure domain whose settings name the first, which started earlier")
def step_seeded_domain(context, count):
    context.simulation = DomainSimulation(count, lease_s=5.0, seeds=("10.0.0.0:1",))
    context.simulation.late_hosts = context.simulation.hosts[1:]
    context.count = count


@when("they report for {duration_s:d} s")
def step_report(context, duration_s):
    context.duration_s = duration_s

    async def run(simulation):
        await simulation.advance(6.0)
        simulation.start(simulation.late_hosts)
        context.calls_before = simulation.leader_calls
        simulation.longest_gap_s.clear()
        await simulation.advance(duration_s)

    anyio.run(context.simulation.run, run)


@then(
    "the leader gets at most {rate:d} calls per second, and a report of each host within {gap:d} s"
)
def step_check_rate(context, rate, gap):
    simulation = context.simulation
    calls = (simulation.leader_calls - context.calls_before) / context.duration_s
    assert 0 < calls <= rate, calls
    assert len(simulation.longest_gap_s) == context.count
    assert max(simulation.longest_gap_s.values()) <= gap, max(simulation.longest_gap_s.values())


@then("every host has all {count:d} hosts")
@then("every running host has {count:d} hosts")
def step_check_records(context, count):
    reachable = [
        host for host in context.simulation.hosts if host.name not in context.simulation.unreachable
    ]
    assert {len(host.records) for host in reachable} == {count}


@when("they report for {duration_s:d} s, the two root hosts of the tree stop, and {rest:d} s pass")
def step_stop_roots(context, duration_s, rest):
    async def run(simulation):
        await simulation.advance(duration_s)
        peers = [Peer(host=host.name, link_address=host.address) for host in simulation.hosts]
        roots = [
            host
            for host in simulation.hosts
            if not choose_sources(peers, domain=DOMAIN, own_host=host.name, excluded=())
        ]
        assert len(roots) == 2, [host.name for host in roots]
        for host in roots:
            simulation.unreachable.add(host.name)
            host.client._sender = _BlockedReportSender()
        await simulation.advance(rest)

    anyio.run(context.simulation.run, run)


class _BlockedReportSender:
    async def send(self, batch):
        await anyio.sleep_forever()


@then("the registry has removed only the {count:d} stopped hosts")
def step_check_removed(context, count):
    present = {entry.host for entry in context.simulation.state_machine.list_present()}
    assert (
        present == {host.name for host in context.simulation.hosts} - context.simulation.unreachable
    )
    assert len(context.simulation.unreachable) == count


@then("the control hosts sent at most {count:d} whole tables, and each host at most {each:d}")
def step_check_tables(context, count, each):
    simulation = context.simulation
    given_by_peers = sum(simulation.peer_tables.values())
    print(f"  measured: {simulation.control_tables} from control, {given_by_peers} from peers")
    assert simulation.control_tables <= count, simulation.control_tables
    assert max(simulation.peer_tables.values()) <= each, simulation.peer_tables
