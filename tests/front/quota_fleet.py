"""Several fronts' quota accounts and the allocators of successive leaders, in virtual time."""

import bisect
import heapq
import itertools
import random
from collections import Counter

from samphirespring.process.quota.accounts import QuotaAccounts
from samphirespring.process.quota.allocator import QuotaAllocator
from samphirespring.process.quota.credit import CreditRefusal, CreditRequest, QuotaCredit
from samphirespring.process.quota.offline_allowance import OfflineAllowance
from samphirespring.process.quota.terms import LONGEST_CREDIT_S, make_terms
from samphirespring.version.document import FleetSection, RateLimit

FLEET = FleetSection(quota_overshoot=0.1, quota_slack=20, quota_window_s=5.0)
LINK_S = (0.002, 0.03)
"""One way between a front and a control host."""
ROUND_S = 0.042
DISPATCH_S = (0.001, 0.3)
"""From the credit to the target, with the wait for a slot."""
PATIENCE_S = 1.5
PATIENCE_LOST_S = 5.0


class Request:
    def __init__(self, workspace, front, sent_s):
        self.workspace, self.front, self.sent_s = workspace, front, sent_s
        self.arrived_s = None
        self.refused_s = None
        self.decided_s = None
        self.owed = False


class Leader:
    def __init__(self, term):
        self.term = term
        self.allocator = QuotaAllocator()
        self.waiting = []
        self.in_round = False
        self.deposed_s = float("inf")
        self.frozen_until_s = 0.0
        self.ended = False


class Front:
    def __init__(self, number, generator, front_count):
        self.number = number
        offline = OfflineAllowance(generator)
        offline.use_front_count(front_count)
        self.accounts = QuotaAccounts(offline)
        self.is_cut = False
        self.is_dead = False
        self.frozen_until_s = 0.0
        self.turn_at_s = float("inf")


class QuotaFleet:
    """A discrete simulation; `play` runs it."""

    def __init__(self, *, fronts, seed=1):
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.section = FLEET
        self.quotas = {}
        self.ask_counts = Counter()
        self.requests = []
        self.references = {}
        self._events = []
        self._numbers = itertools.count()
        self.fronts = [Front(i, self.random, fronts) for i in range(fronts)]
        self.terms = itertools.count(1)
        self.leader = None
        self.elect()

    def at(self, at_s, action):
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def play(self, until_s):
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s

    # Load.

    def load(self, workspace, *, rate, start_s, end_s, fronts=None):
        """Random requests of a workspace at random fronts."""
        fronts = range(len(self.fronts)) if fronts is None else fronts
        at_s = start_s + self.random.expovariate(rate)
        while at_s < end_s:
            front = self.fronts[self.random.choice(fronts)]
            self.at(at_s, lambda front=front: self._send(workspace, front))
            at_s += self.random.expovariate(rate)

    def _send(self, workspace, front):
        request = Request(workspace, front.number, self.now_s)
        request.owed = self._take_reference(workspace)
        if front.is_dead:
            return
        self.requests.append(request)
        self._when_awake(front, lambda: self._admit(front, request))

    def _admit(self, front, request):
        credit_request = CreditRequest(
            ticket=request,
            workspace=request.workspace,
            terms=make_terms(self.quotas[request.workspace], self.section),
            give_up_at_s=self.now_s + PATIENCE_S,
            give_up_lost_at_s=self.now_s + PATIENCE_LOST_S,
        )
        decision = front.accounts.admit(credit_request, now_s=self.now_s)
        if decision is not None:
            self._settle(request, decision)
        self._turn(front)

    def _settle(self, request, decision):
        request.decided_s = self.now_s
        if isinstance(decision, CreditRefusal):
            request.refused_s = self.now_s
            return
        assert isinstance(decision, QuotaCredit)
        request.arrived_s = self.now_s + self.random.uniform(*DISPATCH_S)

    def _turn(self, front):
        """Do what the front's task does after each message."""
        if front.is_dead:
            return
        for settled in front.accounts.settle_due(self.now_s):
            self._settle(settled.ticket, settled.decision)
        front.accounts.pop_limit_changes(self.now_s)
        asks = front.accounts.take_asks(self.now_s)
        if asks:
            self._call(front, asks)
        due_s = front.accounts.find_next_due(self.now_s)
        if self.now_s < due_s < front.turn_at_s:
            front.turn_at_s = due_s
            self.at(due_s, lambda: self._when_awake(front, lambda: self._turn_at(front, due_s)))

    def _turn_at(self, front, due_s):
        if front.turn_at_s == due_s:
            front.turn_at_s = float("inf")
            self._turn(front)

    # Calls.

    def _call(self, front, asks):
        self.ask_counts.update(ask.workspace for ask in asks)
        asked_s = self.now_s
        open_call = [True]

        def fail(retry_in_s=None):
            if open_call[0] and not front.is_dead:
                open_call[0] = False
                options = {} if retry_in_s is None else {"retry_in_s": retry_in_s}
                settled = front.accounts.apply_failure(asks, now_s=self.now_s, **options)
                self._finish(front, settled)

        def reply(grants, start_delay_s):
            if not open_call[0] or front.is_dead:
                return
            if start_delay_s > 0.0:
                fail(start_delay_s)
                return
            open_call[0] = False
            settled = front.accounts.apply_grants(
                asks, grants, asked_at_s=asked_s, now_s=self.now_s
            )
            self._finish(front, settled)

        self.at(asked_s + LONGEST_CREDIT_S, lambda: self._when_awake(front, fail))
        leader = self.leader
        if front.is_cut or leader is None:
            return
        arrives_s = self.now_s + self.random.uniform(*LINK_S)
        self.at(arrives_s, lambda: self._receive_ask(leader, (front, asks, reply)))

    def _finish(self, front, settled):
        for one in settled:
            self._settle(one.ticket, one.decision)
        self._turn(front)

    def _receive_ask(self, leader, call):
        leader.waiting.append(call)
        self._start_round(leader)

    def _start_round(self, leader):
        if leader.in_round or not leader.waiting or leader.ended:
            return
        if self.now_s < leader.frozen_until_s:
            self.at(leader.frozen_until_s, lambda: self._start_round(leader))
            return
        leader.in_round = True
        calls, leader.waiting = leader.waiting, []
        began_s = self.now_s
        self.at(began_s + ROUND_S, lambda: self._end_round(leader, calls, began_s))

    def _end_round(self, leader, calls, began_s):
        if leader.ended:
            return
        if self.now_s < leader.frozen_until_s:
            # The replies of the quorum wait in the sockets of the frozen host.
            self.at(leader.frozen_until_s, lambda: self._end_round(leader, calls, began_s))
            return
        leader.in_round = False
        if began_s + ROUND_S / 2 <= leader.deposed_s:
            self._grant(leader, calls)
        self._start_round(leader)

    def _grant(self, leader, calls):
        allocator = leader.allocator
        allocator.start_leadership(leader.term, now_s=self.now_s)
        allocator.use_quotas(self._make_terms(), now_s=self.now_s)
        delay_s = allocator.find_start_delay_s(self.now_s)
        asks = [ask for _, asks, _ in calls for ask in asks]
        grants = () if delay_s > 0.0 else allocator.grant(asks, now_s=self.now_s)
        start = 0
        for front, asks, reply in calls:
            part = grants[start : start + len(asks)]
            start += len(asks)
            if not front.is_cut:
                arrives_s = self.now_s + self.random.uniform(*LINK_S)
                self.at(
                    arrives_s,
                    lambda front=front, part=part, reply=reply: self._when_awake(
                        front, lambda: reply(part, delay_s)
                    ),
                )

    def _make_terms(self):
        return {name: make_terms(quota, self.section) for name, quota in self.quotas.items()}

    def _when_awake(self, front, action):
        if self.now_s < front.frozen_until_s:
            self.at(front.frozen_until_s, action)
        else:
            action()

    # Faults.

    def elect(self):
        """Another control host leads from now on; the former leader doesn't know yet."""
        if self.leader is not None:
            self.leader.deposed_s = self.now_s
        self.leader = Leader(next(self.terms))
        self.leader.allocator.start_leadership(self.leader.term, now_s=self.now_s)

    def end_leader(self, *, election_s):
        self.leader.ended = True
        self.leader = None
        self.at(self.now_s + election_s, self.elect)

    def freeze_leader(self, span_s, *, election_s):
        if self.leader is not None:
            self.leader.frozen_until_s = self.now_s + span_s
        self.at(self.now_s + election_s, self.elect)

    def freeze_front(self, number, span_s):
        self.fronts[number].frozen_until_s = self.now_s + span_s

    def end_front(self, number):
        self.fronts[number].is_dead = True

    def cut_front(self, number, is_cut):
        self.fronts[number].is_cut = is_cut

    # Results.

    def _take_reference(self, workspace):
        """Whether a single bucket for the whole fleet has a token when the request is sent."""
        quota = self.quotas[workspace]
        tokens, at_s = self.references.get(workspace, (quota.burst, self.now_s))
        tokens = min(quota.burst, tokens + (self.now_s - at_s) * quota.requests_per_s)
        owed = tokens >= 1.0
        self.references[workspace] = (tokens - owed, self.now_s)
        return owed

    def find_excess(self, workspace, quota, *, from_s=0.0):
        """Return by how much the rule is exceeded in the worst window; negative if it is kept."""
        window_s = self.section.quota_window_s
        permitted = quota.requests_per_s * window_s + quota.burst
        permitted = permitted * (1 + self.section.quota_overshoot) + self.section.quota_slack
        ran = sorted(
            (request.sent_s, request.arrived_s)
            for request in self.requests
            if request.workspace == workspace and request.arrived_s is not None
        )
        worst = 0
        for number, (sent_s, _) in enumerate(ran):
            if sent_s >= from_s:
                end_s = sent_s + window_s
                later = ran[number : bisect.bisect(ran, (end_s, end_s))]
                worst = max(worst, sum(arrived_s <= end_s for _, arrived_s in later))
        return worst - permitted


def make_quota(rate, burst):
    return RateLimit(requests_per_s=rate, burst=burst)
