"""Plays the load of one region on the table that selects a service's targets for its fronts."""

import heapq
import itertools
import random
from collections import defaultdict

import msgspec

from front.fakes import LOAD, make_attempt_message
from samphirespring.process.detection.fault_risk import FaultModel
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.service_pool import ServicePool
from samphirespring.process.suspicion import Suspicion
from samphirespring.process.targets import Locality
from samphirespring.request.risk_selection import RiskSelector
from samphirespring.request.selection import Candidate, group_by_distance
from samphirespring.version.states import PriorityClass

MODEL = FaultModel(share=0.3, span_s=2.7)
DOMAINS = ("r/a", "r/b")
WINDOW_S = 2.0
SETTLING_S = 2.0
"""Time after a fault from which a target counts as sound again, in seconds."""


class RegionLoad:
    """Targets with faults, and requests of fronts that ask one table.

    Args:
        targets: Number of targets, which are spread over two failure domains.
        slots: Slots of each target.
        faulty_share: Share of the targets that are in a fault at any time.
        fault_s: Mean length of a fault, in seconds.
        seed: Seed of all random numbers.
    """

    def __init__(self, *, targets, slots, faulty_share, fault_s, seed):
        self.random = random.Random(seed)
        self.slots = slots
        self.now_s = 0.0
        self.events = []
        self.order = itertools.count()
        self.pool = ServicePool(make_locality("r/a", "scheduler"))
        self.selector = RiskSelector(self.random)
        self.agents = {}
        self.running = defaultdict(int)
        self.candidates = {}
        self.faults = {}
        self.sent = defaultdict(list)
        self.ends = []
        for number in range(targets):
            self.add_target(f"t{number}", DOMAINS[number % 2], faulty_share, fault_s)

    def add_target(self, name, domain, faulty_share, fault_s):
        load = msgspec.structs.replace(LOAD, free_slots=self.slots, slots=self.slots, risk=None)
        candidate = Candidate(
            target=name,
            locality=make_locality(domain, name),
            link_address="10.0.0.1:1",
            incarnation=1,
            load=load,
            admissible=True,
        )
        self.pool.put(candidate, now_s=0.0)
        self.agents[name] = Suspicion(MODEL, now_s=0.0)
        self.faults[name] = self.draw_faults(faulty_share, fault_s)

    def draw_faults(self, share, fault_s):
        """Return the spans of a target's faults over a long time."""
        spans, at_s = [], 0.0
        while at_s < 1_000.0:
            at_s += self.random.expovariate(share / (fault_s * (1.0 - share)))
            end_s = at_s + self.random.expovariate(1.0 / fault_s)
            spans.append((at_s, end_s))
            at_s = end_s
        return spans

    def is_faulty(self, name, *, since_s, until_s):
        return any(begin < until_s and end > since_s for begin, end in self.faults[name])

    def schedule(self, at_s, call):
        heapq.heappush(self.events, (at_s, next(self.order), call))

    def send_requests(self, *, rate, work_s, idempotent, attempts):
        """Send requests at random times, each from a front in one of the failure domains."""

        def send():
            self.schedule(self.now_s + self.random.expovariate(rate), send)
            front = make_locality(self.random.choice(DOMAINS), "front")
            self.serve(front, work_s, idempotent, attempts, tried=frozenset())

        self.schedule(self.random.expovariate(rate), send)

    def serve(self, front, work_s, idempotent, attempts, tried):
        target = self.find_target(front, idempotent, tried)
        if target is None:
            self.ends.append((self.now_s, idempotent, False))
            return
        self.sent[target].append(self.now_s)
        attempt = f"a{next(self.order)}"
        self.running[target] += 1
        self.agents[target].begin(attempt, now_s=self.now_s)
        faulty = self.is_faulty(target, since_s=self.now_s, until_s=self.now_s)
        failed = self.random.random() < (0.9 if faulty else 0.012)
        takes_s = 0.02 if failed else work_s * self.random.uniform(0.5, 1.5)

        def end():
            self.running[target] -= 1
            outcome = ObservedOutcome.WRONG if failed else ObservedOutcome.OK
            self.agents[target].end(attempt, outcome, now_s=self.now_s)
            self.report(target)
            self.pool.release(target)
            if failed and attempts > 1:
                self.serve(front, work_s, idempotent, attempts - 1, tried | {target})
            else:
                self.ends.append((self.now_s, idempotent, not failed))

        self.schedule(self.now_s + takes_s, end)

    def find_target(self, front, idempotent, tried):
        suspected = set()
        for _ in range(10):
            tiers = self.pool.list_choices(
                region_hosts=(), subset_size=100, now_s=self.now_s, model=MODEL
            )
            chosen = self.selector.choose(
                group_by_distance(tiers, front),
                tried=tried,
                idempotent=idempotent,
                suspected=suspected,
                is_shared=True,
            )
            self.pool.acquire(chosen.target, now_s=self.now_s)
            request = make_attempt_message(
                attempt="a",
                method=b"GET",
                remaining_ms=1_000,
                priority=PriorityClass.INTERACTIVE.value,
                idempotent=idempotent,
                max_risk=chosen.max_risk,
                may_try=chosen.may_try,
            )
            has_slot = self.running[chosen.target] < self.slots
            if has_slot and self.agents[chosen.target].admits(request, now_s=self.now_s):
                return chosen.target
            self.report(chosen.target)
            self.pool.release(chosen.target)
            suspected.add(chosen.target)
        return None

    def report(self, target):
        load = msgspec.structs.replace(
            LOAD,
            slots=self.slots,
            free_slots=self.slots - self.running[target],
            risk=self.agents[target].read(self.now_s),
        )
        self.pool.update_load(target, load, now_s=self.now_s)

    def run(self, duration_s):
        while self.events[0][0] <= duration_s:
            self.now_s, _, call = heapq.heappop(self.events)
            call()

    def measure_reached_shares(self, duration_s):
        """Return, for each window, the share of the sound targets that got a request."""
        shares = []
        for start_s in (0.5 * number for number in range(8, int(2 * (duration_s - WINDOW_S)))):
            end_s = start_s + WINDOW_S
            sound = [
                name
                for name in self.agents
                if not self.is_faulty(name, since_s=start_s - SETTLING_S, until_s=end_s)
            ]
            reached = [
                name for name in sound if any(start_s <= at_s < end_s for at_s in self.sent[name])
            ]
            shares.append(len(reached) / len(sound) if sound else 1.0)
        return shares

    def measure_failed_share(self, *, idempotent):
        served = [ok for _, kind, ok in self.ends if kind is idempotent]
        return 1.0 - sum(served) / len(served)


def make_locality(domain, host):
    return Locality(region="r", failure_domain=domain, host=host)
