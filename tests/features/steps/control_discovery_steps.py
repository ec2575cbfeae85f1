import itertools
from random import Random

from behave import given, then, when

from replication.simulation import Simulation
from samphirespring.process.control_groups import HANDOVER_POLL_S, HANDOVER_TIMEOUT_S
from samphirespring.process.ids import ReplicaId
from samphirespring.process.replication.discovery import Discovery
from samphirespring.process.replication.entries import EntryKind
from samphirespring.process.states import MemberStanding

SEED_COUNT = 3
VOTER_COUNT = 5
FORMATION_LIMIT_S = 5.0


def make_fleet(*, seed=0, count=5, spares=2, first_start=True):
    simulation = Simulation(count=count, spares=spares, seed=seed, start=False)
    seeds = {ReplicaId(h.name): h.address for h in simulation.hosts[:SEED_COUNT]}
    for position, host in enumerate(simulation.hosts):
        host.peers = seeds
        host.discovery = Discovery(
            seeds=tuple(seeds), may_form=first_start and position < count, voter_goal=VOTER_COUNT
        )
    return simulation


def start_all(simulation, order, *, within_s=0.3):
    for number in order:
        simulation.hosts[number].start(simulation.now_s)
        simulation.run(within_s / len(order))


def find_membership(simulation):
    holder = simulation.find_lease_holder()
    return None if holder is None else holder.member.replica.log.membership


def count_voters(simulation):
    membership = find_membership(simulation)
    return 0 if membership is None else len(membership.voters)


def wait_for_voters(simulation, count, limit_s):
    simulation.run_until(lambda: count_voters(simulation) == count, limit_s=limit_s)
    lineages = {
        h.member._identity.lineage
        for h in simulation.hosts
        if h.is_up and h.member._identity.lineage is not None
    }
    assert len(lineages) == 1, lineages


@given("{count:d} control hosts with 3 seeds")
def step_hosts(context, count):
    context.simulation = make_fleet(count=count)


@when("they start in order {order} within {duration_s:g} s")
def step_start_in_order(context, order, duration_s):
    start_all(context.simulation, [int(n) for n in order.split()], within_s=duration_s)


@then("within {limit:d} s one group has {count:d} voters")
def step_check_voters(context, limit, count):
    wait_for_voters(context.simulation, count, limit)


@when("{count:d} fleets start, each in another order")
def step_start_orders(context, count):
    orders = list(itertools.permutations(range(5)))
    context.fleets = []
    for seed, order in enumerate(orders[:count]):
        simulation = make_fleet(seed=seed)
        start_all(simulation, order)
        context.fleets.append(simulation)


@then("each has one group with 5 voters within 5 s")
def step_check_fleets(context):
    for simulation in context.fleets:
        wait_for_voters(simulation, VOTER_COUNT, FORMATION_LIMIT_S)


@when("all but seed 1 start, and seed 1 starts {delay:d} s later")
def step_late_seed(context, delay):
    simulation = context.simulation
    start_all(simulation, [0, 2, 3, 4])
    simulation.run(delay)
    context.early_voter_count = count_voters(simulation)
    simulation.hosts[1].start(simulation.now_s)


@then("no group existed before seed 1 started")
def step_check_early(context):
    assert context.early_voter_count == 0


def restart_without_disk(simulation, host, *, down_s):
    """Let a host lose its disk and come back as the platform starts it again."""
    host.lose_disk()
    simulation.run(down_s)
    host.discovery = Discovery(seeds=host.discovery.seeds, may_form=False, voter_goal=VOTER_COUNT)
    host.start(simulation.now_s)


@when("they start, and after {at_s:g} s seed {number:d} loses its disk for {down_s:g} s")
def step_lose_seed(context, at_s, number, down_s):
    simulation = context.simulation
    for host in simulation.hosts[:VOTER_COUNT]:
        host.start(simulation.now_s)
    simulation.run(at_s)
    restart_without_disk(simulation, simulation.hosts[number], down_s=down_s)


@when("{count:d} fleets start, and in each a seed loses its disk within the first second")
def step_lose_seeds_at_random(context, count):
    context.fleets = []
    for seed in range(count):
        random = Random(seed)
        simulation = make_fleet(seed=seed)
        order = random.sample(range(VOTER_COUNT), VOTER_COUNT)
        start_all(simulation, order)
        simulation.run(random.uniform(0.0, 0.7))
        host = simulation.hosts[random.randrange(SEED_COUNT)]
        restart_without_disk(simulation, host, down_s=random.uniform(0.1, 2.0))
        context.fleets.append(simulation)


@when("only the seeds start, and two of them lose their disks before the group has formed")
def step_lose_two_seeds(context):
    simulation = context.simulation
    for host in simulation.hosts[:SEED_COUNT]:
        host.start(simulation.now_s)
    for number in (0, 1):
        simulation.hosts[number].lose_disk()
    for number in (0, 1):
        restart_without_disk(simulation, simulation.hosts[number], down_s=0.2)


@when("they start with empty disks and settings of a fleet that isn't new")
def step_start_old(context):
    context.simulation = make_fleet(first_start=False)
    start_all(context.simulation, range(5))


@then("after {duration_s:d} s there is no group")
def step_check_none(context, duration_s):
    context.simulation.run(duration_s)
    assert count_voters(context.simulation) == 0


@given("a group of 5 voters discovered from 3 seeds")
def step_group(context):
    context.simulation = make_fleet()
    start_all(context.simulation, range(5))
    wait_for_voters(context.simulation, VOTER_COUNT, FORMATION_LIMIT_S)


def find_replicas(simulation, standing=None):
    return {
        m.replica for m in find_membership(simulation).members if standing in (None, m.standing)
    }


@when("voter 1 is lost permanently and an empty host with a new address starts")
def step_replace(context):
    simulation = context.simulation
    simulation.hosts[1].lose_disk()
    simulation.run(1.0)
    simulation.hosts[5].start(simulation.now_s)


@then("within {limit:d} s one group has 5 voters, the new host among them and voter 1 not")
def step_check_replaced(context, limit):
    simulation = context.simulation
    lost, new = simulation.hosts[1].name, simulation.hosts[5].name

    def is_replaced():
        if find_membership(simulation) is None:
            return False
        voters = find_replicas(simulation, MemberStanding.VOTER)
        return new in voters and lost not in voters and len(voters) == VOTER_COUNT

    simulation.run_until(is_replaced, limit_s=limit)


def partition_host(simulation, host):
    for other in simulation.hosts:
        simulation.network.cut.add((host.address, other.address))
        simulation.network.cut.add((other.address, host.address))


@when("voter 1 is partitioned for {duration_s:d} s")
def step_partition(context, duration_s):
    simulation = context.simulation
    partition_host(simulation, simulation.hosts[1])
    context.observed_voters = []
    for _ in range(duration_s * 2):
        simulation.run(0.5)
        if find_membership(simulation) is not None:
            context.observed_voters.append(find_replicas(simulation, MemberStanding.VOTER))


@then("it remains a voter throughout")
def step_check_still_voter(context):
    assert context.observed_voters
    assert all(context.simulation.hosts[1].name in voters for voters in context.observed_voters)


@when("voter 1 is partitioned for {duration_s:d} s while an empty host with a new address starts")
def step_partition_and_replace(context, duration_s):
    simulation = context.simulation
    partition_host(simulation, simulation.hosts[1])
    simulation.hosts[5].start(simulation.now_s)
    simulation.run(duration_s)
    assert simulation.hosts[1].name not in find_replicas(simulation, MemberStanding.VOTER)
    simulation.network.cut.clear()


@then("within {limit:d} s after the partition voter 1 is a member again")
def step_check_member_again(context, limit):
    simulation = context.simulation
    name = simulation.hosts[1].name
    simulation.run_until(
        lambda: find_membership(simulation) is not None and name in find_replicas(simulation),
        limit_s=limit,
    )


@when("host 3 is leader, and host 4 starts with an empty disk and reaches only seed 1 and host 3")
def step_reach_one_seed(context):
    simulation = context.simulation
    # Leadership is transferred only to a voter that has caught up. After 1 s the last voter holds
    # the entry that made it a voter.
    simulation.run(1.0)
    leader = simulation.find_lease_holder()
    clock_s = leader.read_clock(simulation.now_s)
    leader.member.membership_coordinator.transfer_leadership(
        ReplicaId(simulation.hosts[3].name), now_s=clock_s
    )
    leader.perform(simulation.now_s)
    simulation.run_until(lambda: simulation.find_lease_holder() is simulation.hosts[3], limit_s=5.0)
    for number in (0, 2):
        for pair in itertools.permutations((simulation.hosts[4], simulation.hosts[number])):
            simulation.network.cut.add((pair[0].address, pair[1].address))
    simulation.hosts[4].lose_disk()
    simulation.hosts[4].discovery = Discovery(
        seeds=simulation.hosts[4].discovery.seeds, may_form=False, voter_goal=VOTER_COUNT
    )
    simulation.hosts[4].start(simulation.now_s)


@then("within {limit:d} s one group has {count:d} running voters")
def step_check_running(context, limit, count):
    simulation = context.simulation

    simulation.run_until(lambda: count_running_voters(simulation) == count, limit_s=limit)


def count_running_voters(simulation):
    """Return how many voters run; 0 without a leader that has a lease."""
    membership = find_membership(simulation)
    if membership is None:
        return 0
    running = {h.last_identity for h in simulation.hosts if h.is_up}
    return len(running & set(membership.voters))


def lose_disks(context, numbers):
    """Commit a command, and let voters lose their disks right after it and start again."""
    simulation = context.simulation
    context.committed_index = commit_command(simulation)
    for number in numbers:
        host = simulation.hosts[number]
        host.lose_disk()
        host.discovery = Discovery(
            seeds=host.discovery.seeds, may_form=False, voter_goal=VOTER_COUNT
        )
        host.start(simulation.now_s)


@when("2 voters lose their disks right after a commit and start again")
def step_lose_two(context):
    lose_disks(context, [0, 3])


@then("the commit is kept and within {limit:d} s one group has 5 voters")
def step_check_kept_commit(context, limit):
    simulation = context.simulation

    def is_repaired():
        membership = find_membership(simulation)
        if membership is None:
            return False
        identities = {h.last_identity for h in simulation.hosts if h.is_up}
        return len(membership.voters) == VOTER_COUNT and set(membership.voters) <= identities

    simulation.run_until(is_repaired, limit_s=limit)
    holder = simulation.find_lease_holder()
    assert holder.member.replica.commit_index >= context.committed_index


@when("a leader suspended for {duration_s:d} s must confirm its leadership by a heartbeat round")
def step_suspend_leader(context, duration_s):
    simulation = context.simulation
    leader = simulation.find_lease_holder()
    leader.suspend(simulation.now_s, duration_s=duration_s)
    simulation.run(duration_s)
    leader.resume(simulation.now_s)
    clock_s = leader.read_clock(simulation.now_s)
    replica = leader.member.replica
    context.had_lease = replica.has_lease(clock_s)
    leader.member.replica.leadership.request_heartbeats()
    leader.perform(simulation.now_s)
    context.confirmed = False
    for _ in range(200):
        simulation.run(0.02)
        contact_at_s = replica.find_last_contact_at_s(leader.read_clock(simulation.now_s))
        if replica.leadership is not None and contact_at_s is not None and contact_at_s > clock_s:
            context.confirmed = True
    context.leader = leader


@then("another leader was elected meanwhile, and it never confirms")
def step_check_not_confirmed(context):
    holder = context.simulation.find_lease_holder()
    assert holder is not None and holder is not context.leader
    assert not context.confirmed


@then("its lease alone would have confirmed it")
def step_check_lease(context):
    assert context.had_lease


class PlannedStops:
    """Stops hosts as control hosts stop on SIGTERM; several stops may overlap."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.begun_at_s = {}
        self.durations_s = []

    def begin(self, host):
        self.begun_at_s[host] = self.simulation.now_s

    def run(self, duration_s):
        """Run the simulation while the stops that were begun go on."""
        end_at_s = self.simulation.now_s + duration_s
        while self.simulation.now_s < end_at_s:
            for host in tuple(self.begun_at_s):
                self._go_on(host)
            self.simulation.run(min(HANDOVER_POLL_S, end_at_s - self.simulation.now_s))

    def finish(self):
        """Run until all stops are over."""
        while self.begun_at_s:
            self.run(HANDOVER_POLL_S)

    def _go_on(self, host):
        now_s = self.simulation.now_s
        may_stop = host.member.depart(host.read_clock(now_s))
        host.perform(now_s)
        stopping_s = now_s - self.begun_at_s[host]
        if may_stop or stopping_s >= HANDOVER_TIMEOUT_S:
            host.crash()
            self.durations_s.append(stopping_s)
            del self.begun_at_s[host]


def stop_as_planned(simulation, host):
    """Stop one host, and return how long that takes, in seconds."""
    stops = PlannedStops(simulation)
    stops.begin(host)
    stops.finish()
    return stops.durations_s[0]


@given("a group of 5 voters discovered from 3 seeds, and {count:d} learners")
@given("a group of 5 voters discovered from 3 seeds, and {count:d} learner")
def step_group_with_learners(context, count):
    context.simulation = simulation = make_fleet(spares=max(3, count))
    start_all(simulation, range(5))
    wait_for_voters(simulation, VOTER_COUNT, FORMATION_LIMIT_S)
    for host in simulation.hosts[VOTER_COUNT : VOTER_COUNT + count]:
        host.start(simulation.now_s)
    simulation.run_until(
        lambda: len(find_replicas(simulation, MemberStanding.LEARNER)) == count, limit_s=5.0
    )
    simulation.run(4.0)


@when("voters {order} stop as planned, one every {interval_s:g} s, and never come back")
def step_stop_series(context, order, interval_s):
    simulation = context.simulation
    stops = PlannedStops(simulation)
    for number in order.replace(" and ", ", ").split(", "):
        stops.begin(simulation.hosts[int(number)])
        stops.run(interval_s)
    stops.finish()
    context.stop_durations_s = stops.durations_s


@then("each stop takes at most {limit_s:g} s")
def step_check_stops(context, limit_s):
    assert max(context.stop_durations_s) <= limit_s, context.stop_durations_s


@then("within {limit_s:g} s a command is committed, and the group has {count:d} running voters")
def step_check_commits(context, limit_s, count):
    simulation = context.simulation
    before = simulation.checks.committed_end

    def is_committed():
        simulation.propose(1)
        return simulation.checks.committed_end > before + 1

    simulation.run_until(is_committed, limit_s=limit_s)
    step_check_running(context, limit_s, count)


@when(
    "voter 1 stops as planned and never comes back, "
    "and {delay_s:g} s later {count:d} other voters lose their disks"
)
def step_stop_and_lose(context, delay_s, count):
    simulation = context.simulation
    next_at_s = simulation.now_s + delay_s
    stop_as_planned(simulation, simulation.hosts[1])
    simulation.run(max(0.0, next_at_s - simulation.now_s))
    # The old leader and another voter, but not the successor: its disk counts as lost already.
    lose_disks(context, [0, 3][:count])


@when("voter 1 stops as planned")
def step_stop_one(context):
    simulation = context.simulation
    context.stop_durations_s = [stop_as_planned(simulation, simulation.hosts[1])]


@then("the stop takes at most {limit_s:g} s")
def step_check_stop(context, limit_s):
    step_check_stops(context, limit_s)


@then("voter 1 is a voter of the group again when it has started")
def step_check_vote_kept(context):
    simulation = context.simulation
    host = simulation.hosts[1]
    host.start(simulation.now_s)
    simulation.run(2.0)
    assert host.name in find_replicas(simulation, MemberStanding.VOTER)


@when("voter 1 stops as planned, and {delay_s:g} s later an empty host with a new address starts")
def step_stop_then_replace(context, delay_s):
    simulation = context.simulation
    stop_as_planned(simulation, simulation.hosts[1])
    simulation.run(delay_s)
    simulation.hosts[5].start(simulation.now_s)


@then("within {limit_ms:d} ms one group has 5 voters, the new host among them and voter 1 not")
def step_check_replaced_soon(context, limit_ms):
    step_check_replaced(context, limit_ms / 1_000)


@when("{count:d} fleets replace three of their voters as planned, each at other times")
def step_replace_at_random(context, count):
    context.fleets = []
    for seed in range(count):
        random = Random(seed)
        simulation = make_fleet(seed=seed, spares=3)
        start_all(simulation, range(5))
        wait_for_voters(simulation, VOTER_COUNT, FORMATION_LIMIT_S)
        stops = PlannedStops(simulation)
        for host in simulation.hosts[VOTER_COUNT:]:
            host.start(simulation.now_s)
            stops.run(random.uniform(0.0, 2.0))
        # Each successor has had 4 s to catch up.
        stops.run(4.0)
        for number in random.sample(range(VOTER_COUNT), 3):
            stops.begin(simulation.hosts[number])
            stops.run(random.choice([0.0, 0.05, 0.5, 2.0]))
        stops.finish()
        context.fleets.append(simulation)


@then("each commits a command and has 5 running voters within {limit_s:g} s")
def step_check_fleets_commit(context, limit_s):
    for simulation in context.fleets:
        context.simulation = simulation
        step_check_commits(context, limit_s, VOTER_COUNT)


def restart_leader(simulation):
    simulation.run_until(lambda: simulation.find_lease_holder() is not None, limit_s=5.0)
    leader = simulation.find_lease_holder()
    leader.crash()
    simulation.restart_at_s[leader.name] = simulation.now_s + 0.3


@when(
    "voter 1 is lost permanently, "
    "and the leader restarts {count:d} times, once every {interval_s:g} s"
)
def step_lose_with_leader_changes(context, count, interval_s):
    simulation = context.simulation
    simulation.hosts[1].lose_disk()
    for _ in range(count):
        simulation.run(interval_s)
        restart_leader(simulation)


@then("within {limit_ms:d} ms one group has 5 voters, the learner among them and voter 1 not")
def step_check_learner_promoted(context, limit_ms):
    step_check_replaced(context, limit_ms / 1_000)


@when("voter 1 is down for {down_s:g} s, and the leader restarts {delay_s:g} s after its return")
def step_return_before_change(context, down_s, delay_s):
    simulation = context.simulation
    host = simulation.hosts[1]
    host.crash()
    simulation.run(down_s)
    host.start(simulation.now_s)
    simulation.run(delay_s)
    restart_leader(simulation)


@then("voter 1 is a voter of the group after {delay_s:g} s")
def step_check_still_a_voter(context, delay_s):
    simulation = context.simulation
    simulation.run(delay_s)
    assert simulation.hosts[1].name in find_replicas(simulation, MemberStanding.VOTER)


@when("voter 1 is lost permanently and an empty host with a new address starts at once")
def step_lose_and_replace_at_once(context):
    simulation = context.simulation
    simulation.hosts[1].lose_disk()
    simulation.hosts[5].start(simulation.now_s)


@when("{delay_s:g} s later {count:d} other voters lose their disks")
def step_lose_others(context, delay_s, count):
    context.simulation.run(delay_s)
    lose_disks(context, [0, 3][:count])


@when(
    "an empty host with a new address starts, loses its disk {delay_s:g} s later and starts again"
)
def step_join_twice(context, delay_s):
    simulation = context.simulation
    host = simulation.hosts[5]
    context.end_before = simulation.checks.committed_end
    host.start(simulation.now_s)
    simulation.run(delay_s)
    host.lose_disk()
    host.start(simulation.now_s)


@then(
    "after {wait_s:g} s only its new member is in the group,"
    " with a vote that one earlier voter gave up"
)
def step_check_joined(context, wait_s):
    simulation = context.simulation
    simulation.run(wait_s)
    members = find_membership(simulation).members
    joined, *earlier = simulation.hosts[5], *simulation.hosts[:VOTER_COUNT]
    own = [m.member for m in members if m.replica == joined.name]
    assert own == [joined.last_identity], own
    assert joined.name in find_replicas(simulation, MemberStanding.VOTER)
    assert {m.replica for m in members} == {joined.name, *(host.name for host in earlier)}
    learners = find_replicas(simulation, MemberStanding.LEARNER)
    assert len(learners) == 1, learners


@then("the membership has changed at most {count:d} times")
def step_check_changes(context, count):
    changes = count_membership_changes(context.simulation, since=context.end_before)
    assert changes <= count, changes


def count_membership_changes(simulation, *, since):
    return sum(
        index > since and entry.kind is EntryKind.MEMBERSHIP
        for index, entry in simulation.checks.committed.items()
    )


@when(
    "{wait_s:g} s later an empty host with a new address starts,"
    " which the leader reaches after {cut_s:g} s only"
)
def step_join_unreached(context, wait_s, cut_s):
    simulation = context.simulation
    simulation.run(wait_s)
    context.end_before = simulation.checks.committed_end
    host = simulation.hosts[5]
    leader = simulation.find_lease_holder()
    simulation.network.cut.add((leader.address, host.address))
    host.start(simulation.now_s)
    simulation.run(cut_s)
    simulation.network.cut.clear()


def commit_command(simulation):
    """Commit a command, and return its index."""
    before = simulation.checks.committed_end
    simulation.run_until(lambda: simulation.find_lease_holder() is not None, limit_s=5.0)
    simulation.propose(1)
    simulation.run_until(lambda: simulation.checks.committed_end > before, limit_s=5.0)
    return simulation.checks.committed_end


def remove_hosts(simulation, hosts, intervals_s):
    """Remove hosts for good without a stop, each followed by an interval."""
    for host, interval_s in zip(hosts, intervals_s, strict=True):
        host.lose_disk()
        simulation.run(interval_s)


@when("voters {order} are removed without a stop, one every {interval_s:g} s, right after a commit")
def step_remove_series(context, order, interval_s):
    simulation = context.simulation
    context.committed_index = commit_command(simulation)
    hosts = [simulation.hosts[int(n)] for n in order.replace(" and ", ", ").split(", ")]
    remove_hosts(simulation, hosts, [interval_s] * len(hosts))


@when("both successors are removed without a stop, right after a commit")
def step_remove_successors(context):
    simulation = context.simulation
    context.committed_index = commit_command(simulation)
    remove_hosts(simulation, simulation.hosts[VOTER_COUNT : VOTER_COUNT + 2], [0.0, 0.0])


SUCCESSOR_DOMAINS = {
    "of the same failure domains": lambda random, removed: [h.failure_domain for h in removed],
    "of other failure domains": lambda random, removed: [
        f"d{random.randrange(2 * VOTER_COUNT)}" for _ in removed
    ],
    "that are all of one failure domain": lambda random, removed: ["d0"] * len(removed),
    "of failure domains that aren't known": lambda random, removed: [None] * len(removed),
}
REMOVAL_INTERVALS_S = (0.0, 0.05, 0.3, 1.0, 2.0)
CATCH_UP_S = 4.0


class SucceededFleet:
    """A group some of whose hosts have successors, which have run for 4 s.

    Args:
        seed: Seed of its random numbers.
        domains: Failure domains of the successors.
    """

    def __init__(self, seed, domains):
        self.random = Random(seed)
        count = self.random.randint(1, VOTER_COUNT)
        self.simulation = make_fleet(seed=seed, spares=count)
        hosts = self.simulation.hosts
        for number, host in enumerate(hosts[:VOTER_COUNT]):
            host.failure_domain = None if domains.endswith("known") else f"d{number}"
        self.removed = self.random.sample(hosts[:VOTER_COUNT], count)
        self.successors = hosts[VOTER_COUNT:]
        found = SUCCESSOR_DOMAINS[domains](self.random, self.removed)
        for host, domain in zip(self.successors, found, strict=True):
            host.failure_domain = domain
        start_all(self.simulation, range(VOTER_COUNT))
        wait_for_voters(self.simulation, VOTER_COUNT, FORMATION_LIMIT_S)
        for host in self.successors:
            host.start(self.simulation.now_s)
            self.simulation.run(self.random.choice((0.0, 0.1, 1.0)))
        self.simulation.run(CATCH_UP_S)

    def commit(self):
        self.committed_index = commit_command(self.simulation)

    def draw_interval_s(self):
        return self.random.choice(REMOVAL_INTERVALS_S)


@when("{count:d} fleets have successors {domains}, and remove as many hosts at random intervals")
def step_remove_at_random(context, count, domains):
    remove_at_random(context, range(count), domains)


@when("fleet {seed:d} has successors {domains}, and removes as many hosts at random intervals")
def step_remove_in_fleet(context, seed, domains):
    remove_at_random(context, [seed], domains)


def remove_at_random(context, seeds, domains):
    context.fleets = [SucceededFleet(seed, domains) for seed in seeds]
    for fleet in context.fleets:
        fleet.commit()
        remove_hosts(
            fleet.simulation, fleet.removed, [fleet.draw_interval_s() for _ in fleet.removed]
        )


@when(
    "{count:d} fleets have successors of the same failure domains,"
    " and remove them while two disks are lost"
)
def step_remove_with_disks(context, count):
    context.fleets = [SucceededFleet(seed, "of the same failure domains") for seed in range(count)]
    for fleet in context.fleets:
        fleet.commit()
        remove_hosts(fleet.simulation, fleet.removed, [0.0] * len(fleet.removed))
        left = [host for host in fleet.simulation.hosts if host not in fleet.removed]
        for host in fleet.random.sample(left, 2):
            restart_without_disk(fleet.simulation, host, down_s=0.0)


@when("{count:d} fleets have successors {domains}, and stop or remove as many hosts")
def step_stop_or_remove(context, count, domains):
    context.fleets = [SucceededFleet(seed, domains) for seed in range(count)]
    for fleet in context.fleets:
        fleet.commit()
        stops = PlannedStops(fleet.simulation)
        for host in fleet.removed:
            if fleet.random.random() < 0.5:
                stops.begin(host)
            else:
                host.lose_disk()
            stops.run(fleet.draw_interval_s())
        stops.finish()


@then("each keeps its commits and has one group of {count:d} running voters within {limit_s:g} s")
def step_check_fleets_kept(context, count, limit_s):
    failed = [n for n, fleet in enumerate(context.fleets) if not is_kept(fleet, count, limit_s)]
    assert not failed, f"fleets {failed}"


def is_kept(fleet, count, limit_s):
    """Return whether a fleet soon has its voters, and its leader what was committed."""
    simulation = fleet.simulation
    end_at_s = simulation.now_s + limit_s
    while simulation.now_s < end_at_s:
        if count_running_voters(simulation) == count:
            holder = simulation.find_lease_holder()
            return holder.member.replica.commit_index >= fleet.committed_index
        simulation.run(0.1)
    return False


@when("the group runs on for {duration_s:g} s with the same hosts")
def step_run_on(context, duration_s):
    simulation = context.simulation
    context.end_before = commit_command(simulation)
    simulation.run(duration_s)


@then("the successors are the voters, and the membership hasn't changed in that time")
def step_check_calm(context):
    simulation = context.simulation
    successors = {host.name for host in simulation.hosts[VOTER_COUNT:]}
    assert find_replicas(simulation, MemberStanding.VOTER) == successors
    assert simulation.checks.committed_end == context.end_before
