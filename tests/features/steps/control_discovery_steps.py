import itertools

from behave import given, then, when

from replication.simulation import Simulation
from samphirespring.process.ids import ReplicaId
from samphirespring.process.replication.discovery import Discovery
from samphirespring.process.states import MemberStanding

SEED_COUNT = 3
VOTERS = 5
LIMIT_S = 5.0


def make_fleet(*, seed=0, count=5, spares=2, first_start=True):
    simulation = Simulation(count=count, spares=spares, seed=seed, start=False)
    seeds = {ReplicaId(h.name): h.address for h in simulation.hosts[:SEED_COUNT]}
    for position, host in enumerate(simulation.hosts):
        host.peers = seeds
        host.discovery = Discovery(
            seeds=tuple(seeds), may_form=first_start and position < count, voters=VOTERS
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


@given("{count:d} control hosts that are told of 3 seeds")
def step_hosts(context, count):
    context.simulation = make_fleet(count=count)


@when("they start in order {order} within {span:g} s")
def step_start_in_order(context, order, span):
    start_all(context.simulation, [int(n) for n in order.split()], within_s=span)


@then("within {limit:d} s one group has {count:d} voters")
def step_check_voters(context, limit, count):
    wait_for_voters(context.simulation, count, limit)


@when("{count:d} fleets start in every order")
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
        wait_for_voters(simulation, VOTERS, LIMIT_S)


@when("all but seed 1 start, and seed 1 starts {delay:d} s later")
def step_late_seed(context, delay):
    simulation = context.simulation
    start_all(simulation, [0, 2, 3, 4])
    simulation.run(delay)
    context.early = count_voters(simulation)
    simulation.hosts[1].start(simulation.now_s)


@then("no group existed before seed 1 came")
def step_check_early(context):
    assert context.early == 0


@when("they start with empty disks and are told that the fleet isn't new")
def step_start_old(context):
    context.simulation = make_fleet(first_start=False)
    start_all(context.simulation, range(5))


@then("after {span:d} s there is no group")
def step_check_none(context, span):
    context.simulation.run(span)
    assert count_voters(context.simulation) == 0


@given("a group of 5 voters found from 3 seeds")
def step_group(context):
    context.simulation = make_fleet()
    start_all(context.simulation, range(5))
    wait_for_voters(context.simulation, VOTERS, LIMIT_S)


def find_replicas(simulation, standing=None):
    return {
        m.replica for m in find_membership(simulation).members if standing in (None, m.standing)
    }


@when("voter 1 is lost for good and an empty host with a new address starts")
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
        return new in voters and lost not in voters and len(voters) == VOTERS

    simulation.run_until(is_replaced, limit_s=limit)


def cut_off(simulation, host):
    for other in simulation.hosts:
        simulation.network.cut.add((host.address, other.address))
        simulation.network.cut.add((other.address, host.address))


@when("voter 1 is cut off for {span:d} s")
def step_cut(context, span):
    simulation = context.simulation
    cut_off(simulation, simulation.hosts[1])
    context.seen = []
    for _ in range(span * 2):
        simulation.run(0.5)
        if find_membership(simulation) is not None:
            context.seen.append(find_replicas(simulation, MemberStanding.VOTER))


@then("it is a voter all the time")
def step_check_kept(context):
    assert context.seen
    assert all(context.simulation.hosts[1].name in voters for voters in context.seen)


@when("voter 1 is cut off for {span:d} s while an empty host with a new address starts")
def step_cut_and_replace(context, span):
    simulation = context.simulation
    cut_off(simulation, simulation.hosts[1])
    simulation.hosts[5].start(simulation.now_s)
    simulation.run(span)
    assert simulation.hosts[1].name not in find_replicas(simulation, MemberStanding.VOTER)
    simulation.network.cut.clear()


@then("within {limit:d} s after the cut voter 1 is a member again")
def step_check_back(context, limit):
    simulation = context.simulation
    name = simulation.hosts[1].name
    simulation.run_until(
        lambda: find_membership(simulation) is not None and name in find_replicas(simulation),
        limit_s=limit,
    )


@when("host 3 leads, and host 4 starts with an emptied disk and reaches seed 1 and host 3 alone")
def step_reach_one_seed(context):
    simulation = context.simulation
    # A lead goes to who has caught up: the last voter has the entry that made it one by then.
    simulation.run(1.0)
    leader = simulation.find_lease_holder()
    clock_s = leader.read_clock(simulation.now_s)
    leader.member.desk.transfer_lead(ReplicaId(simulation.hosts[3].name), now_s=clock_s)
    leader.perform(simulation.now_s)
    simulation.run_until(lambda: simulation.find_lease_holder() is simulation.hosts[3], limit_s=5.0)
    for number in (0, 2):
        for pair in itertools.permutations((simulation.hosts[4], simulation.hosts[number])):
            simulation.network.cut.add((pair[0].address, pair[1].address))
    simulation.hosts[4].lose_disk()
    simulation.hosts[4].discovery = Discovery(
        seeds=simulation.hosts[4].discovery.seeds, may_form=False, voters=VOTERS
    )
    simulation.hosts[4].start(simulation.now_s)


@then("within {limit:d} s one group has {count:d} living voters")
def step_check_living(context, limit, count):
    simulation = context.simulation

    def has_living():
        membership = find_membership(simulation)
        if membership is None:
            return False
        alive = {h.last_identity for h in simulation.hosts if h.is_up}
        return len(alive & set(membership.voters)) == count

    simulation.run_until(has_living, limit_s=limit)


@when("2 voters lose their disks right after a commit and start again")
def step_lose_two(context):
    simulation = context.simulation
    before = simulation.checks.committed_end
    simulation.propose(1)
    simulation.run_until(lambda: simulation.checks.committed_end > before, limit_s=5.0)
    context.committed = simulation.checks.committed_end
    for number in (0, 3):
        host = simulation.hosts[number]
        host.lose_disk()
        host.discovery = Discovery(seeds=host.discovery.seeds, may_form=False, voters=VOTERS)
        host.start(simulation.now_s)


@then("the commit is kept and within {limit:d} s one group has 5 voters")
def step_check_kept_commit(context, limit):
    simulation = context.simulation

    def is_repaired():
        membership = find_membership(simulation)
        if membership is None:
            return False
        identities = {h.last_identity for h in simulation.hosts if h.is_up}
        return len(membership.voters) == VOTERS and set(membership.voters) <= identities

    simulation.run_until(is_repaired, limit_s=limit)
    holder = simulation.find_lease_holder()
    assert holder.member.replica.commit_index >= context.committed


@when("the leader is asked to confirm its lead by a round right after it was frozen for {span:d} s")
def step_freeze_leader(context, span):
    simulation = context.simulation
    leader = simulation.find_lease_holder()
    leader.freeze(simulation.now_s, duration_s=span)
    simulation.run(span)
    leader.thaw(simulation.now_s)
    clock_s = leader.read_clock(simulation.now_s)
    replica = leader.member.replica
    context.had_lease = replica.has_lease(clock_s)
    leader.member.replica.leadership.request_heartbeats()
    leader.perform(simulation.now_s)
    context.confirmed = False
    for _ in range(200):
        simulation.run(0.02)
        contact_s = replica.find_last_contact_at_s(leader.read_clock(simulation.now_s))
        if replica.leadership is not None and contact_s is not None and contact_s > clock_s:
            context.confirmed = True
    context.leader = leader


@then("it was replaced meanwhile, and it never confirms")
def step_check_not_confirmed(context):
    holder = context.simulation.find_lease_holder()
    assert holder is not None and holder is not context.leader
    assert not context.confirmed


@then("by its lease alone it would have")
def step_check_lease(context):
    assert context.had_lease
