from collections import Counter
from itertools import count, product
from math import ceil

from behave import then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from samphirespring.process.ids import (
    FailureDomainName,
    GroupId,
    LogIndex,
    MemberId,
    RegionName,
    ReplicaId,
)
from samphirespring.process.ledger.placement import ControlHostLocation, place_groups
from samphirespring.process.replication.entries import Member, Membership
from samphirespring.process.replication.membership_plan import plan_replacement
from samphirespring.process.replication.placement_plan import find_successors, plan_move
from samphirespring.process.replication.progress import FollowerProgress

GROUP_COUNTS = (1, 4, 16, 30, 64, 120)
MAX_HOSTS = 15


def make_groups(number):
    return [GroupId(f"ledger-{n}") for n in range(number)]


def make_location(name, region, domain):
    return ControlHostLocation(
        replica=ReplicaId(name),
        region=RegionName(region),
        failure_domain=FailureDomainName(f"{region}-{domain}"),
    )


def make_balanced_locations(regions, domains, hosts):
    return [
        make_location(f"c-{r}-{d}-{h}", f"r{r}", d)
        for r, d, h in product(range(regions), range(domains), range(hosts))
    ]


def list_balanced_fleets():
    for regions, domains, hosts in product(range(1, 6), range(1, 6), (1, 2, 3)):
        if regions * domains >= 3 and regions * domains * hosts <= MAX_HOSTS:
            yield make_balanced_locations(regions, domains, hosts)


@when("the groups of {examples:d} random fleets of control hosts are placed")
def step_place_random(context, examples):
    context.placements = []
    region_and_domain = st.tuples(st.integers(0, 3), st.integers(0, 3))

    @settings(max_examples=examples)
    @given_examples(st.lists(region_and_domain, min_size=1, max_size=MAX_HOSTS), st.integers(1, 40))
    def place(drawn, groups):
        locations = [make_location(f"c-{n}", f"r{r}", d) for n, (r, d) in enumerate(drawn)]
        context.placements.append((locations, place_groups(make_groups(groups), locations)))

    place()


@then("no two replicas of a group share a failure domain if there are at least three domains")
def step_check_domains(context):
    for locations, placement in context.placements:
        domain_of = {location.replica: location.failure_domain for location in locations}
        expected = min(3, len(set(domain_of.values())))
        for replicas in placement.values():
            assert len(set(replicas)) == min(3, len(locations)), (locations, replicas)
            assert len({domain_of[r] for r in replicas}) == expected, (locations, replicas)


@then("the placement doesn't depend on the order of the hosts")
def step_check_order(context):
    for locations, placement in context.placements:
        assert place_groups(list(placement), locations[::-1]) == placement


@when("groups are placed on all balanced fleets of up to 15 control hosts")
def step_place_balanced(context):
    context.placements = [
        (locations, place_groups(make_groups(number), locations))
        for locations in list_balanced_fleets()
        for number in GROUP_COUNTS
    ]
    assert len(context.placements) > 50


@then("no host holds more than a quarter above the mean, rounded up")
def step_check_load(context):
    for locations, placement in context.placements:
        loads = Counter(replica for replicas in placement.values() for replica in replicas)
        mean = 3 * len(placement) / len(locations)
        assert max(loads.values()) <= ceil(1.25 * mean), (locations, loads)


@then("two replicas are in one region and one is in another, in all groups but two")
def step_check_regions(context):
    for locations, placement in context.placements:
        region_of = {location.replica: location.region for location in locations}
        domains = {(location.region, location.failure_domain) for location in locations}
        sizes = Counter(region for region, _ in domains)
        if len(sizes) < 2 or min(sizes.values()) < 2:
            continue
        split = [len({region_of[r] for r in replicas}) == 2 for replicas in placement.values()]
        assert sum(split) >= len(placement) - 2, (locations, placement)


@then("a new host moves at most twice its share of the replicas and six more")
def step_check_moves(context):
    for locations, placement in context.placements:
        for region in ("r0", "another"):
            placement_with_new = place_groups(
                list(placement), [*locations, make_location("new", region, "new")]
            )
            moved = sum(
                len(set(placement_with_new[group]) - set(placement[group])) for group in placement
            )
            share = 3 * len(placement) / (len(locations) + 1)
            assert moved <= 2 * share + 6, (locations, region, moved, share)


@when("groups are placed on 3 control hosts")
def step_place_three(context):
    context.locations = make_balanced_locations(3, 1, 1)
    context.placement = place_groups(make_groups(8), context.locations)


@then("each group has all 3 hosts")
def step_check_three(context):
    expected = {location.replica for location in context.locations}
    assert all(set(replicas) == expected for replicas in context.placement.values())


class GroupMoveSimulation:
    """One group without messages: every planned membership is committed, and learners catch up."""

    def __init__(self, old, new):
        self.placed = new
        self.member_numbers = count(1)
        self.members = {replica: self.make_member(replica) for replica in {*old, *new}}
        self.membership = Membership(members=tuple(self.members[replica] for replica in old))
        self.leader = self.members[old[0]]
        self.steps = []

    def make_member(self, replica):
        member = MemberId(f"{replica}/{next(self.member_numbers)}")
        return Member(member=member, replica=replica, link_address=replica)

    def lose_disk(self, replica):
        if replica != self.leader.replica and replica in self.members:
            self.members[replica] = self.make_member(replica)

    def run_step(self):
        joiners = [m for m in self.members.values() if self.membership.find(m.member) is None]
        arguments = {
            "leader": self.leader.member,
            "joiners": joiners,
            "followers": self.read_progress(),
            "commit_index": LogIndex(5),
        }
        planned = plan_replacement(self.membership, **arguments) or plan_move(
            self.membership, placed=self.placed, **arguments
        )
        if planned is not None:
            self.steps.append((self.membership, planned))
            self.membership = planned
        successors = find_successors(self.membership, placed=self.placed, leader=self.leader.member)
        for successor in successors:
            if self.membership.find(self.members[successor].member) is not None:
                self.leader = self.members[successor]
                return True
        return planned is not None

    def read_progress(self):
        # A member whose disk is lost never catches up; the member that replaces it does.
        present = {m.member for m in self.members.values()}
        progress = {}
        for record in self.membership.members:
            match_index = LogIndex(5 if record.member in present else 0)
            progress[record.member] = FollowerProgress(
                next_index=LogIndex(6), match_index=match_index
            )
        return progress


@when(
    "{examples:d} groups of 3 hosts are placed on other hosts at random, while some lose their"
    " disks"
)
def step_move_groups(context, examples):
    context.moved_groups = []
    hosts = st.permutations([ReplicaId(f"c-{n}") for n in range(6)]).map(lambda p: p[:3])

    @settings(max_examples=examples)
    @given_examples(hosts, hosts, st.lists(st.integers(0, 8), max_size=8))
    def move(old, new, losses):
        group = GroupMoveSimulation(old, new)
        for loss in losses:
            group.lose_disk(ReplicaId(f"c-{loss}"))
            group.run_step()
        while group.run_step():
            assert len(group.steps) < 100, group.steps
        context.moved_groups.append(group)

    move()


@then("the voters of each group end up on exactly the hosts that it is placed on")
def step_check_moved(context):
    for group in context.moved_groups:
        members = group.membership.members
        assert sorted(m.replica for m in members) == sorted(group.placed), group.steps
        assert len(group.membership.voters) == len(members), group.steps
        assert {m.member for m in members} <= {m.member for m in group.members.values()}


@then("each step changed at most one voter and left at least 3 voters, or as many as before")
def step_check_steps(context):
    for group in context.moved_groups:
        for before, after in group.steps:
            changed = set(before.voters) ^ set(after.voters)
            assert len(changed) <= 1, (before, after)
            lost = set(before.voters) - set(after.voters)
            repaired = any(m.replaces in lost for m in before.members)
            assert len(after.voters) >= 3 or not lost or repaired, (before, after)
