import random

from behave import given, then, when

from samphirespring.process.rate_limiter import SHARD_COUNT, RateLimiter
from samphirespring.process.service_pool import ServicePool
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.targets import Locality, TargetLoad
from samphirespring.request.selection import Candidate, NearestOfTwoSelector
from samphirespring.request.subset import choose_subset
from samphirespring.version.document import RateLimit

SUBSET = 20
LOAD = TargetLoad(
    phase=TargetPhase.SERVING, condition=TargetCondition.HEALTHY, free_slots=5, slots=5
)
HERE = Locality(region="r0", failure_domain="r0-0", host="h0")


def make_locality(number, regions):
    region = number % regions
    return Locality(
        region=f"r{region}",
        failure_domain=f"r{region}-{number // regions % 2}",
        host=f"h{number}",
    )


def make_candidate(number, locality):
    return Candidate(
        target=f"t{number}",
        locality=locality,
        link_address="127.0.0.1:1",
        incarnation=1,
        load=LOAD,
        admissible=True,
    )


@given("{fronts:d} fronts and {targets:d} targets in {regions:d} regions")
def step_fleet(context, fronts, targets, regions):
    context.fronts = [make_locality(number, regions) for number in range(fronts)]
    context.candidates = [
        make_candidate(number, context.fronts[number % fronts]) for number in range(targets)
    ]


def choose_all(context, candidates):
    regions = {front.region for front in context.fronts}
    hosts = {r: {f.host for f in context.fronts if f.region == r} for r in regions}
    return {
        front.host: {
            candidate.target
            for tier in choose_subset(
                candidates, locality=front, region_hosts=hosts[front.region], size=SUBSET
            )
            for candidate in tier
        }
        for front in context.fronts
    }


@when("each front chooses its subset of {size:d}")
def step_choose(context, size):
    assert size == SUBSET
    context.subsets = choose_all(context, context.candidates)


def count_users(context):
    counts = []
    for candidate in context.candidates:
        region = candidate.locality.region
        fronts = [f.host for f in context.fronts if f.region == region]
        counts.append(sum(candidate.target in context.subsets[host] for host in fronts))
    return counts


@then("each target is used by at least {count:d} fronts of its region")
def step_check_coverage(context, count):
    assert min(count_users(context)) >= count


@then("no front uses more than {most:d} targets, and each uses its own host's")
def step_check_bound(context, most):
    sizes = [len(subset) for subset in context.subsets.values()]
    print(f"  measured: {min(sizes)} to {max(sizes)} targets per front")
    assert max(sizes) <= most
    for candidate in context.candidates:
        assert candidate.target in context.subsets[candidate.locality.host]


@then("the busiest target is used by at most {count:d} fronts of its region")
def step_check_busiest(context, count):
    print(f"  measured: {min(count_users(context))} to {max(count_users(context))} fronts")
    assert max(count_users(context)) <= count


@then(
    "a removed target changes only the subsets that contained it, each by at most one other target"
)
def step_check_stability(context):
    removed = context.candidates[7]
    after = choose_all(context, [c for c in context.candidates if c is not removed])
    for host, before in context.subsets.items():
        added = after[host] - before
        dropped = before - after[host]
        assert dropped <= {removed.target}, dropped
        assert len(added) <= (1 if removed.target in before else 0), added


def make_pool(candidates):
    pool = ServicePool(HERE)
    for candidate in candidates:
        pool.put(candidate, now_s=0.0)
    return pool


@when("a front selects among {few:d} and among {many:d} targets of a service")
def step_many_targets(context, few, many):
    hosts = {f"h{number}" for number in range(0, 300, 3)}
    context.considered = {}
    for count in (few, many):
        fronts = [make_locality(number, 3) for number in range(300)]
        pool = make_pool([make_candidate(n, fronts[n % 300]) for n in range(count)])
        tiers = pool.list_choices(region_hosts=hosts, subset_size=SUBSET, now_s=0.0)
        context.considered[count] = sum(len(tier) for tier in tiers)


@then("it considers no more targets for {many:d} than the bound of the subset")
def step_check_considered(context, many):
    print(f"  measured: {context.considered}")
    # The subset, the part of the region that this front must cover, and its own host's targets.
    assert context.considered[many] <= SUBSET + 2 * (many / 3) / 100 * 1.5 + many / 300


@given("a front with reports of 5 free slots on each of 2 targets at the nearest distance")
def step_two_targets(context):
    near = [make_candidate(number, HERE) for number in range(2)]
    far = Locality(region="r0", failure_domain="r0-0", host="h9")
    context.pool = make_pool([*near, make_candidate(9, far)])
    context.selector = NearestOfTwoSelector(random.Random(1))


def select(context, now_s):
    tiers = context.pool.list_choices(region_hosts={"h0"}, subset_size=SUBSET, now_s=now_s)
    candidate = context.selector.choose(tiers, tried=())
    context.pool.acquire(candidate.target, now_s=now_s)
    return candidate.target


@when("it selects 10 times without a response")
def step_select_ten(context):
    context.chosen = [select(context, 0.0) for _ in range(10)]


@then("each target received 5 attempts, and the next selection uses a farther target")
def step_check_ten(context):
    assert sorted(context.chosen) == ["t0"] * 5 + ["t1"] * 5, context.chosen
    assert select(context, 0.0) == "t9"


@then("3 s after the attempts ended, all slots count as free")
def step_check_decay(context):
    context.pool.update_load("t0", LOAD, now_s=1.0)
    for target in context.chosen:
        context.pool.release(target)
    tiers = context.pool.list_choices(region_hosts={"h0"}, subset_size=SUBSET, now_s=4.0)
    free = {c.candidate.target: c.free_slots for tier in tiers for c in tier}
    assert free["t0"] > 4.5, free
    assert free["t1"] > 4.5, free


@given("a limiter that holds {capacity:d} buckets")
def step_limiter(context, capacity):
    context.limiter = RateLimiter(capacity=capacity)


@when("{count:d} workspaces make one request each with a limit of 1 per second")
def step_many_workspaces(context, count):
    limit = RateLimit(requests_per_s=1.0, burst=1)
    context.max_bucket_count = 0
    for number in range(count):
        context.limiter.acquire("", f"workspace-{number}", limit=limit, now_s=0.0)
        context.max_bucket_count = max(context.max_bucket_count, context.limiter.bucket_count)


@then("at most {most:d} buckets are in memory, and none remain 2 s and one sweep later")
def step_check_buckets(context, most):
    assert most * 0.9 < context.max_bucket_count <= most, context.max_bucket_count
    for _ in range(SHARD_COUNT):
        context.limiter.sweep(now_s=2.0)
    assert context.limiter.bucket_count == 0


@then("no workspace is granted more than its burst plus its rate over 60 s of random requests")
def step_check_rate(context):
    generator = random.Random(5)
    limit = RateLimit(requests_per_s=3.0, burst=4)
    now_s, granted, refused = 0.0, 0, 0
    while now_s < 60.0:
        now_s += generator.expovariate(10.0)
        wait_s = context.limiter.acquire("route", "workspace", limit=limit, now_s=now_s)
        granted += wait_s == 0.0
        refused += wait_s > 0.0
        assert wait_s <= 1 / 3 + 1e-6
    assert 180 <= granted <= 4 + 3.0 * now_s, granted
    assert refused > 300


@given(
    "{fronts:d} fronts in one region, {near:d} with a target, and {far:d} targets in another region"
)
def step_two_regions(context, fronts, near, far):
    context.region_hosts = {f"h{number}" for number in range(fronts)}
    localities = [
        Locality(region="r0", failure_domain=f"r0-{number % 2}", host=f"h{number}")
        for number in range(near)
    ] + [Locality(region="r1", failure_domain="r1-0", host=f"far{number}") for number in range(far)]
    context.pool = make_pool([make_candidate(n, place) for n, place in enumerate(localities)])


@when("the host that selects for its failure domain selects among them")
def step_select_shared(context):
    context.tiers = context.pool.list_choices(
        region_hosts=context.region_hosts, subset_size=SUBSET, now_s=0.0, is_shared=True
    )


@then("it considers all {near:d} targets of its region, and some of the other")
def step_check_whole_region(context, near):
    *region, other = context.tiers
    assert sum(len(tier) for tier in region) == near, [len(tier) for tier in region]
    assert other
