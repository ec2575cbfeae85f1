"""Plays requests of uneven cost on targets of uneven speed, in virtual time."""

import heapq
import itertools
import math
import random

import msgspec

from front.fakes import LOAD
from samphirespring.process.service_pool import ServicePool
from samphirespring.process.targets import Locality
from samphirespring.process.work.remaining_work import RemainingWork
from samphirespring.process.work.work_estimator import WorkEstimator
from samphirespring.request.risk_selection import RiskSelector
from samphirespring.request.selection import Candidate, group_by_distance

AIM_S = 2.7
DEADLINE_S = 6.0
SLOTS = 6
BUSY_SLOWDOWN = 1.5
"""Factor on the time of a request in the last free slot of a target."""

SWING, SWING_PERIOD_S = 0.55, 15.0
REFUSAL_PAUSE_S = 0.05
KINDS = {"quote": (0.5, 0.8), "confirm": (0.65, 0.5)}
"""Mean and relative spread of the work of each kind, in seconds."""

TAIL_SHARE, TAIL_FACTOR = 0.03, 7.0
SETTLING_S = 10.0
"""Time at the start that isn't measured, in seconds."""


class WorkLoad:
    """Targets, and requests that one table places on them.

    Args:
        speeds: Factor on the times of each target; 2.0 is half as fast as usual.
        rate: Mean requests a second.
        by_work: Whether the table places requests by work rather than by slots.
        seed: Seed of all random numbers.
    """

    def __init__(self, *, speeds, rate, by_work, seed):
        self.random = random.Random(seed)
        self.rate, self.by_work = rate, by_work
        self.now_s = 0.0
        self.events, self.order = [], itertools.count()
        self.pool = ServicePool(make_locality("scheduler"))
        self.selector = RiskSelector(random.Random(seed + 1))
        self.estimator = WorkEstimator()
        self.speeds = {f"t{number}": speed for number, speed in enumerate(speeds)}
        self.running = dict.fromkeys(self.speeds, 0)
        self.agents = {name: RemainingWork() for name in self.speeds}
        self.silent_from_s = None
        self.ends = []
        for name in self.speeds:
            load = msgspec.structs.replace(LOAD, free_slots=SLOTS, slots=SLOTS)
            candidate = Candidate(
                target=name,
                locality=make_locality(name),
                link_address="10.0.0.1:1",
                incarnation=1,
                load=load,
                admissible=True,
            )
            self.pool.put(candidate, now_s=0.0)

    def run(self, duration_s, *, silent_from_s=None):
        """Play the load; from `silent_from_s` on the table hears nothing of the targets."""
        self.silent_from_s = silent_from_s
        self.schedule(0.0, self.send_next)
        while self.events and self.events[0][0] <= duration_s:
            self.now_s, _, call = heapq.heappop(self.events)
            call()

    def schedule(self, delay_s, call):
        heapq.heappush(self.events, (self.now_s + delay_s, next(self.order), call))

    def send_next(self):
        swing = 1.0 + SWING * math.sin(2 * math.pi * self.now_s / SWING_PERIOD_S)
        self.schedule(self.random.expovariate(self.rate * swing), self.send_next)
        kind = self.random.choice(tuple(KINDS))
        mean_s, spread = KINDS[kind]
        sigma = math.sqrt(math.log(1 + spread**2))
        work_s = mean_s * self.random.lognormvariate(-(sigma**2) / 2, sigma)
        if self.random.random() < TAIL_SHARE:
            work_s *= TAIL_FACTOR
        self.place(Request(kind=kind, work_s=work_s, sent_at_s=self.now_s))

    def place(self, request, tried=frozenset()):
        """Send a request to a target; the agent of a full one refuses it."""
        if self.now_s - request.sent_at_s >= DEADLINE_S:
            self.ends.append(request)
            return
        work_s = self.estimator.estimate(request.kind, now_s=self.now_s) if self.by_work else None
        tiers = self.pool.list_choices(
            region_hosts=(), subset_size=100, now_s=self.now_s, work_s=work_s
        )
        chosen = self.selector.choose(
            group_by_distance(tiers, make_locality("front")),
            tried=tried,
            idempotent=request.kind == "quote",
            is_shared=True,
            aim_s=AIM_S,
        ).target
        self.pool.acquire(chosen, now_s=self.now_s, work_s=work_s or 0.0)
        if self.running[chosen] < SLOTS:
            self.start(request, chosen, work_s)
            return
        self.report(chosen)
        self.pool.release(chosen)
        self.schedule(REFUSAL_PAUSE_S, lambda: self.place(request))

    def start(self, request, target, work_s):
        self.running[target] += 1
        attempt = next(self.order)
        self.agents[target].begin(attempt, work_s=work_s, now_s=self.now_s)
        request.wait_s = self.now_s - request.sent_at_s
        busy = self.running[target] / SLOTS
        run_s = request.work_s * self.speeds[target] * (1 + (BUSY_SLOWDOWN - 1) * busy**4)

        def end():
            self.running[target] -= 1
            self.agents[target].end(attempt, run_s=run_s)
            self.report(target, kind=request.kind, run_s=run_s)
            self.pool.release(target)
            request.took_s = self.now_s - request.sent_at_s
            self.ends.append(request)

        self.schedule(run_s, end)

    def report(self, target, kind=None, run_s=None):
        if self.silent_from_s is not None and self.now_s >= self.silent_from_s:
            return
        work = self.agents[target].read(self.now_s, waiting_s=0.0, run_s=run_s)
        if kind is not None:
            self.estimator.learn(kind, run_s=run_s, pace=work.pace, now_s=self.now_s)
        free = SLOTS - self.running[target]
        load = msgspec.structs.replace(LOAD, slots=SLOTS, free_slots=free, risk=0.0, work=work)
        self.pool.update_load(target, load, now_s=self.now_s)

    def measure_late_share(self):
        """Return the share of late requests among those that half the aim suffices for."""
        short = [r for r in self.list_measured() if r.work_s <= AIM_S / 2]
        return sum(r.took_s > AIM_S for r in short) / len(short)

    def measure_wait_s(self, quantile):
        """Return a quantile of the waits for a slot, in seconds."""
        waits = sorted(request.wait_s for request in self.list_measured())
        return waits[int(quantile * len(waits))]

    def list_measured(self):
        return [request for request in self.ends if request.sent_at_s >= SETTLING_S]


class Request(msgspec.Struct):
    """A request of a caller; one that got no response took, and waited, for ever."""

    kind: str
    work_s: float
    sent_at_s: float
    wait_s: float = math.inf
    took_s: float = math.inf


def make_locality(host):
    return Locality(region="r", failure_domain="r/a", host=host)
