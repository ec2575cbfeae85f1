"""Rate of decisions about requests on one core: selection, limit, retry; memory of a bucket."""

import random
import time
import tracemalloc

from benchmarks.figures import Figure
from samphirespring.process.rate_limiter import RateLimiter
from samphirespring.process.retry_budget import RetryBudget, RetryKind
from samphirespring.process.service_pool import ServicePool
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.targets import Locality, TargetLoad
from samphirespring.request.messages import AttemptFailed
from samphirespring.request.retry import RetryPlanner
from samphirespring.request.selection import Candidate, NearestOfTwoSelector
from samphirespring.request.states import FailureKind
from samphirespring.version.document import RateLimit, RoutePolicy

ROUNDS = 5
SELECTION_COUNT = 2_000
LIMIT_CHECK_COUNT = 20_000
RETRY_COUNT = 10_000
WORKSPACES = 330_000
HERE = Locality(region="r0", failure_domain="r0-0", host="h0")
LOAD = TargetLoad(
    phase=TargetPhase.SERVING, condition=TargetCondition.HEALTHY, free_slots=5, slots=5
)
REGION_HOSTS = frozenset(f"h{number}" for number in range(0, 550))


def measure() -> list[Figure]:
    """Return the figures."""
    small = _measure_rate(_make_selection_run(20), SELECTION_COUNT)
    return [
        Figure(name="selection, service of 20 targets", value=small, unit="1/s"),
        Figure(
            name="selection, service of 300 targets",
            value=_measure_rate(_make_selection_run(300), SELECTION_COUNT),
            unit="1/s",
            baseline=small,
            baseline_name="20 targets",
        ),
        Figure(name="limit", value=_measure_rate(_make_limit_run(), LIMIT_CHECK_COUNT), unit="1/s"),
        Figure(
            name="retry plan and budget",
            value=_measure_rate(_make_retry_run(), RETRY_COUNT),
            unit="1/s",
        ),
        Figure(
            name=f"bucket among {WORKSPACES} workspaces",
            value=_measure_bucket_bytes(),
            unit="bytes",
        ),
    ]


def _measure_rate(run, count):
    """Return the highest rate of several rounds, in decisions per second."""
    best_s = float("inf")
    for _ in range(ROUNDS):
        started_at_s = time.perf_counter()
        for number in range(count):
            run(number)
        best_s = min(best_s, time.perf_counter() - started_at_s)
    return round(count / best_s)


def _make_selection_run(target_count):
    pool = ServicePool(HERE)
    for number in range(target_count):
        region = number % 6
        locality = Locality(
            region=f"r{region}", failure_domain=f"r{region}-{number // 6 % 4}", host=f"h{number}"
        )
        candidate = Candidate(
            target=f"t{number}",
            locality=locality,
            link_address="127.0.0.1:1",
            incarnation=1,
            load=LOAD,
            admissible=True,
        )
        pool.put(candidate, now_s=0.0)
    selector = NearestOfTwoSelector(random.Random(1))

    def run(number):
        now_s = number * 1e-3
        tiers = pool.list_choices(region_hosts=REGION_HOSTS, subset_size=20, now_s=now_s)
        candidate = selector.choose(tiers, tried=())
        pool.acquire(candidate.target, now_s=now_s)
        pool.update_load(candidate.target, LOAD, now_s=now_s)
        pool.release(candidate.target)

    return run


def _make_limit_run():
    limiter = RateLimiter(capacity=100_000)
    limit = RateLimit(requests_per_s=200.0, burst=400)
    names = [f"workspace-{number:06d}" for number in range(10_000)]

    def run(number):
        limiter.acquire("", names[number % len(names)], limit=limit, now_s=number * 1e-4)

    return run


def _make_retry_run():
    generator = random.Random(1)
    budget = RetryBudget(now_s=0.0, generator=generator)
    policy = RoutePolicy(host="a.example", service="s", idempotent=True)
    failed = AttemptFailed(attempt="a", kind=FailureKind.RESET, started=True)

    def run(number):
        now_s = number * 1e-3
        budget.count_request(now_s=now_s)
        RetryPlanner(policy, generator=generator).plan(failed, remaining_ms=1_000)
        budget.acquire(RetryKind.EXECUTION, share=0.1, floor=3.0, now_s=now_s)

    return run


def _measure_bucket_bytes():
    limiter = RateLimiter(capacity=2 * WORKSPACES)
    limit = RateLimit(requests_per_s=0.001, burst=10)
    tracemalloc.start()
    for number in range(WORKSPACES):
        # Each request has its own string object, which the bucket keeps.
        limiter.acquire("", f"workspace-{number:06d}", limit=limit, now_s=1.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert limiter.bucket_count == WORKSPACES
    return round(size / WORKSPACES, 1)
