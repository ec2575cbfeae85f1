"""Plays a service whose targets shed on the decisions that select and repeat, in virtual time."""

import heapq
import itertools
import random
from bisect import bisect_right

import msgspec

from front.fakes import LOAD, make_attempt_message
from front.region_load import MODEL
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.retry_budget import RetryBudget, RetryKind
from samphirespring.process.service_pool import ServicePool
from samphirespring.process.shedding.retry_pool import GrantDecision, RetryPool
from samphirespring.process.shedding.shedding_services import SheddingServices
from samphirespring.process.suspicion import Suspicion
from samphirespring.process.targets import Locality
from samphirespring.request.messages import AttemptRefused
from samphirespring.request.retry import RetryDecision, RetryPlanner, compute_max_wait_s
from samphirespring.request.risk_selection import RiskSelector
from samphirespring.request.selection import Candidate, group_by_distance
from samphirespring.request.shedding_selection import count_sheds_as_load
from samphirespring.request.states import RefusalCode
from samphirespring.version.document import RetryPolicy, RoutePolicy, ServicePolicy
from samphirespring.version.states import RetryPlan

DOMAINS = (("a", "a/1"), ("a", "a/2"), ("b", "b/1"), ("b", "b/2"))
SLOTS = 6
QUEUE_WAIT_S = 0.05
NEAR_S, FAR_S = 0.0005, 0.02
SHED_S = 0.002
WINDOW_S = 10.0
FRONTS = 75
RATIO, SLACK = 0.2, 164.0
"""The budget of the fleet: retries for each request, and beyond that in a window."""

POLICY = ServicePolicy(
    retry_share=RATIO * 0.6,
    retry_floor=SLACK * 0.6,
    retry_window_s=WINDOW_S,
    retry_plan=RetryPlan.BY_SERVICE,
    pooled_retry_factor=0.75 / 0.6,
)
ROUTES = {
    rank: RoutePolicy(
        host="h",
        service="s",
        idempotent=rank == 2,
        rank=rank,
        deadline_ms=deadline_ms,
        retry=RetryPolicy(max_attempts=2, capacity_wait_ms=deadline_ms),
    )
    for rank, deadline_ms in ((1, 4_000), (2, 3_000))
}


def make_locality(number, host):
    region, domain = DOMAINS[number % len(DOMAINS)]
    return Locality(region=region, failure_domain=domain, host=host)


class LoadTarget:
    """A target with its agent: it sheds a share of what it is sent for some time."""

    def __init__(self, load, number):
        self.load = load
        self.name = f"t{number}"
        self.locality = make_locality(number, f"h{number}")
        self.running = 0
        self.waiting = []
        self.suspicion = Suspicion(MODEL, now_s=0.0)
        self.started_at_s = []

    def read_load(self):
        now_s = self.load.now_s
        return msgspec.structs.replace(
            LOAD,
            slots=SLOTS,
            free_slots=max(0, SLOTS - self.running),
            risk=self.suspicion.read(now_s),
            sheds=self.suspicion.read_sheds(now_s),
        )

    def admit(self, request):
        chosen = request.chosen
        message = make_attempt_message(
            attempt="a",
            remaining_ms=1_000,
            idempotent=request.route.idempotent,
            max_risk=chosen.max_risk,
            may_try=chosen.may_try,
            sheds_are_load=chosen.service_sheds,
        )
        if not self.suspicion.admits(message, now_s=self.load.now_s):
            request.hear_refusal(RefusalCode.SUSPECT, self.read_load())
        elif self.running < SLOTS:
            self.start(request)
        elif len(self.waiting) >= SLOTS:
            request.hear_refusal(RefusalCode.NO_SLOT, self.read_load())
        else:
            self.waiting.append(request)
            self.load.schedule(QUEUE_WAIT_S, lambda: self.expire(request))

    def expire(self, request):
        if request in self.waiting:
            self.waiting.remove(request)
            request.hear_refusal(RefusalCode.NO_SLOT, None)

    def start(self, request):
        load = self.load
        attempt = f"a{next(load.order)}"
        self.running += 1
        self.started_at_s.append(load.now_s)
        self.suspicion.begin(attempt, now_s=load.now_s)
        load.count_arrival(request)
        sheds = load.sheds(self)
        load.schedule(
            SHED_S if sheds else request.work_s, lambda: self.end(request, attempt, sheds)
        )

    def end(self, request, attempt, sheds):
        self.running -= 1
        outcome = ObservedOutcome.SHED if sheds else ObservedOutcome.OK
        self.suspicion.end(attempt, outcome, now_s=self.load.now_s)
        report = self.read_load()
        if self.waiting:
            self.start(self.waiting.pop(0))
        if sheds:
            request.hear_refusal(RefusalCode.SHEDDING, report, by_target=True)
        else:
            request.hear_response(report)


class LoadRequest:
    """A request at its front, which selects, tries again and ends it."""

    def __init__(self, load):
        self.load = load
        self.front = load.random.randrange(FRONTS)
        self.domain = self.front % len(DOMAINS)
        self.route = ROUTES[load.random.choice((1, 1, 2))]
        self.work_s = min(5.0, load.random.lognormvariate(-0.6, 0.5))
        self.planner = RetryPlanner(self.route, generator=load.random)
        self.tried, self.suspected = set(), set()
        self.arrived = False
        self.began_at_s = load.now_s
        self.served = None
        load.budgets[self.front].count_request(now_s=load.now_s)

    @property
    def remaining_ms(self):
        return self.route.deadline_ms - 1_000 * (self.load.now_s - self.began_at_s)

    def select(self):
        self.chosen = self.load.choose(self)
        target = self.load.targets[self.chosen.target]
        self.tried.add(target.name)
        is_near = target.locality.region == DOMAINS[self.domain][0]
        self.link_s = NEAR_S if is_near else FAR_S
        self.load.schedule(self.link_s, lambda: target.admit(self))

    def hear_response(self, report):
        self.load.schedule(self.link_s, lambda: self.finish(report))

    def finish(self, report):
        self.load.report(self, report)
        self.end(served=self.remaining_ms > 0)

    def hear_refusal(self, code, report, *, by_target=False):
        if report is None and self.chosen.service_sheds:
            report = msgspec.structs.replace(self.chosen.load, risk=None)
        if report is not None and code is not RefusalCode.SUSPECT:
            report = msgspec.structs.replace(report, free_slots=0)
        result = AttemptRefused(attempt="a", code=code, by_target=by_target)
        self.load.schedule(self.link_s, lambda: self.plan(result, report))

    def plan(self, result, report):
        self.load.report(self, report)
        if result.code is RefusalCode.SUSPECT:
            self.suspected.add(self.chosen.target)
        step = self.planner.plan(result, remaining_ms=self.remaining_ms)
        if step.decision is not RetryDecision.RETRY:
            self.end(served=False)
        elif self.chosen.service_sheds and result.by_target:
            self.ask_pool(step, has_waited=False)
        elif self.chosen.service_sheds or result.code is RefusalCode.SUSPECT:
            self.load.schedule(step.delay_s, self.select)
        else:
            self.spend_own(step, by_target=result.by_target)

    def spend_own(self, step, *, by_target):
        if self.load.acquire_own(self.front, by_target=by_target):
            self.load.schedule(step.delay_s, self.select)
        else:
            self.end(served=False)

    def ask_pool(self, step, *, has_waited):
        grant = self.load.ask_pool(self, has_waited=has_waited)
        if grant is None:
            self.spend_own(step, by_target=True)
        elif grant.decision is GrantDecision.WAIT:
            self.load.schedule(grant.wait_s, lambda: self.ask_pool(step, has_waited=True))
        elif grant.decision is GrantDecision.GRANTED:
            self.load.schedule(step.delay_s, self.select)
        else:
            self.end(served=False)

    def end(self, *, served):
        self.served = served
        self.took_s = self.load.now_s - self.began_at_s


class SheddingLoad:
    """56 targets, of which some shed for some seconds, and four hosts that select among them.

    Args:
        seed: Seed of all random numbers.
        shedding: Number of targets that shed.
        planned: Whether retries are planned for the whole service.
        span_s: Times between which the targets shed, in seconds.
    """

    def __init__(self, *, seed, shedding, planned, span_s=(5.0, 13.5), rate_per_s=150.0):
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.events, self.order = [], itertools.count()
        self.span_s, self.rate_per_s = span_s, rate_per_s
        self.targets = {t.name: t for t in (LoadTarget(self, n) for n in range(56))}
        self.shedding = set(self.random.sample(sorted(self.targets), shedding))
        self.policies = {"s": POLICY} if planned else {}
        self.budgets = [self.make_budget() for _ in range(FRONTS)]
        self.hosts = [SelectingHost(self, number) for number in range(len(DOMAINS))]
        self.pools_answer = True
        self.requests, self.repeated_at_s = [], []

    def make_budget(self):
        return RetryBudget(now_s=0.0, generator=self.random, window_s=WINDOW_S)

    def schedule(self, delay_s, call):
        heapq.heappush(self.events, (self.now_s + delay_s, next(self.order), call))

    def run(self, duration_s):
        self.schedule(0.0, self.send)
        while self.events[0][0] <= duration_s:
            self.now_s, _, call = heapq.heappop(self.events)
            call()

    def send(self):
        self.schedule(self.random.expovariate(self.rate_per_s), self.send)
        self.requests.append(LoadRequest(self))
        self.requests[-1].select()

    def sheds(self, target):
        begin_s, end_s = self.span_s
        is_shedding = target.name in self.shedding and begin_s <= self.now_s < end_s
        return is_shedding and self.random.random() < 0.55

    def count_arrival(self, request):
        if request.arrived:
            self.repeated_at_s.append(self.now_s)
        request.arrived = True

    def choose(self, request):
        return self.hosts[request.domain].choose(request)

    def report(self, request, report):
        pool = self.hosts[request.domain].pool
        if report is not None:
            pool.update_load(request.chosen.target, report, now_s=self.now_s)
        pool.release(request.chosen.target)

    def acquire_own(self, front, *, by_target):
        return self.budgets[front].acquire(
            RetryKind.EXECUTION if by_target else RetryKind.REFUSED,
            share=POLICY.retry_share,
            floor=POLICY.retry_floor / FRONTS,
            now_s=self.now_s,
        )

    def ask_pool(self, request, *, has_waited):
        if not self.pools_answer:
            return None
        budget = self.budgets[request.front]
        factor = POLICY.pooled_retry_factor
        grant = self.hosts[request.domain].retries.acquire(
            budget.read_account(
                host=f"f{request.front}",
                share=POLICY.retry_share * factor,
                floor=POLICY.retry_floor * factor / FRONTS,
                now_s=self.now_s,
            ),
            rank=request.route.rank,
            max_wait_s=compute_max_wait_s(request.remaining_ms, reserve_ms=50),
            has_waited=has_waited,
            now_s=self.now_s,
        )
        if grant.decision is GrantDecision.GRANTED:
            budget.record_pooled(now_s=self.now_s)
        return grant

    def restart_hosts(self):
        """Replace the hosts that select; their tables and pools begin anew."""
        self.hosts = [SelectingHost(self, number) for number in range(len(DOMAINS))]

    def restart_fronts(self, count):
        """Restart some fronts; their budgets begin anew."""
        for number in self.random.sample(range(FRONTS), count):
            self.budgets[number] = self.make_budget()

    def measure_served(self, rank, *, since_s, until_s):
        """Return the served share of the requests of a rank, or all, that began in a span."""
        ends = [
            request.served
            for request in self.requests
            if rank in (None, request.route.rank)
            and since_s <= request.began_at_s < until_s
            and request.served is not None
        ]
        return sum(ends) / len(ends)

    def measure_worst_window(self):
        """Return the largest share that any window used of what it allows."""
        requested_at_s = [request.began_at_s for request in self.requests]
        repeated_at_s = sorted(self.repeated_at_s)
        worst = 0.0
        for number, end_s in enumerate(repeated_at_s):
            first = bisect_right(repeated_at_s, end_s - WINDOW_S)
            requests = bisect_right(requested_at_s, end_s) - bisect_right(
                requested_at_s, end_s - WINDOW_S
            )
            worst = max(worst, (number + 1 - first) / (RATIO * requests + SLACK))
        return worst


class SelectingHost:
    """The host that selects targets, and grants retries, for the fronts of its domain."""

    def __init__(self, load, number):
        self.load = load
        self.pool = ServicePool(make_locality(number, "selecting"))
        self.selector = RiskSelector(load.random)
        self.services = SheddingServices()
        self.services.use_policies(load.policies)
        self.retries = RetryPool(window_s=WINDOW_S)
        for target in load.targets.values():
            candidate = Candidate(
                target=target.name,
                locality=target.locality,
                link_address="10.0.0.1:1",
                incarnation=1,
                load=msgspec.structs.replace(LOAD, free_slots=SLOTS, slots=SLOTS),
                admissible=True,
            )
            self.pool.put(candidate, now_s=load.now_s)

    def choose(self, request):
        now_s = self.load.now_s
        tiers = self.pool.list_choices(
            region_hosts=(),
            subset_size=20,
            now_s=now_s,
            model=MODEL,
            is_shared=True,
            counts_waiting=True,
        )
        if self.services.is_whole("s", tiers):
            tiers = count_sheds_as_load(tiers, MODEL)
        chosen = self.selector.choose(
            group_by_distance(tiers, make_locality(request.domain, f"f{request.front}")),
            tried=request.tried - request.suspected,
            idempotent=request.route.idempotent,
            suspected=request.suspected,
            is_shared=True,
        )
        self.pool.acquire(chosen.target, now_s=now_s)
        return chosen
