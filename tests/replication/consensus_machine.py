"""Hypothesis state machine that runs simulated hosts through faults in random order.

Hypothesis orders the rules by name, and derives the seed of the fixed runs from the source of the
class apart from its comments. Renaming a rule or editing the class therefore gives other runs."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from replication.simulation import Simulation
from samphirespring.process.errors import SamphireError
from samphirespring.process.ids import ReplicaId
from samphirespring.process.mailbox import ReplySlot
from samphirespring.process.replication.group_messages import ChangeKind, ChangeMembership
from samphirespring.process.replication.timing import ROUND_TIMING, ReplicaTiming

HOST = st.integers(0, 5)
SPAN_S = st.sampled_from([0.05, 0.3, 1.0, 2.5])


class ConsensusMachine(RuleBasedStateMachine):
    """Runs one group through random faults; at the end it must recover."""

    @initialize(
        seed=st.integers(0, 1 << 32),
        count=st.sampled_from([3, 3, 5]),
        spares=st.integers(0, 1),
        timing=st.sampled_from([ReplicaTiming(), ReplicaTiming(), ROUND_TIMING]),
    )
    def start(self, seed, count, spares, timing):
        self.simulation = Simulation(count=count, spares=spares, seed=seed, timing=timing)

    def find_host(self, number):
        return self.simulation.hosts[number % len(self.simulation.hosts)]

    def find_leader(self):
        hosts = [h for h in self.simulation.hosts if h.is_up and h.member.replica.leadership]
        return max(hosts, key=lambda host: host.member.replica.term, default=None)

    @rule(span_s=SPAN_S)
    def run(self, span_s):
        self.simulation.run(span_s)

    @rule(count=st.integers(1, 8), span_s=SPAN_S)
    def propose(self, count, span_s):
        self.simulation.propose(count)
        self.simulation.run(span_s)

    @rule(number=HOST)
    def crash(self, number):
        host = self.find_host(number)
        if host.is_up:
            host.crash()

    @rule()
    def crash_all(self):
        for host in self.simulation.hosts:
            if host.is_up:
                host.crash()

    @rule()
    def crash_leader(self):
        host = self.find_leader()
        if host is not None:
            host.crash()

    @rule(number=HOST)
    def start_host(self, number):
        host = self.find_host(number)
        if not host.is_up:
            host.start(self.simulation.now_s)

    @rule()
    def start_all(self):
        for host in self.simulation.hosts:
            if not host.is_up and host.last_identity is not None:
                host.start(self.simulation.now_s)

    @rule(number=HOST, span_s=SPAN_S)
    def lose_disk(self, number, span_s):
        host = self.find_host(number)
        if self.simulation.may_lose(host):
            host.lose_disk()
            self.simulation.run(span_s)
            host.start(self.simulation.now_s)

    @rule(number=HOST, offset=st.integers(0, 1 << 20))
    def damage_log(self, number, offset):
        host = self.find_host(number)
        if host.is_up and self.simulation.may_lose(host):
            host.crash()
            damage_segment(host, offset)
            host.start(self.simulation.now_s)

    @rule(number=HOST, span_s=SPAN_S)
    def fail_disk(self, number, span_s):
        host = self.find_host(number)
        host.disk.is_failed = True
        self.simulation.run(span_s)
        host.disk.is_failed = False
        if not host.is_up and host.last_identity is not None:
            host.start(self.simulation.now_s)

    @rule(first=HOST, second=HOST)
    def cut_link(self, first, second):
        pair = (self.find_host(first).address, self.find_host(second).address)
        self.simulation.network.cut.add(pair)

    @rule(number=HOST, inward=st.booleans())
    def cut_one_way(self, number, inward):
        own = self.find_host(number).address
        for host in self.simulation.hosts:
            pair = (host.address, own) if inward else (own, host.address)
            self.simulation.network.cut.add(pair)

    @rule(inward=st.booleans(), span_s=SPAN_S)
    def cut_leader_one_way(self, inward, span_s):
        leader = self.find_leader()
        if leader is not None:
            self.cut_one_way(self.simulation.hosts.index(leader), inward)
            self.simulation.propose(1)
            self.simulation.run(span_s)

    @rule(span_s=SPAN_S, crash_rate=st.sampled_from([0.02, 0.1]))
    def crash_often(self, span_s, crash_rate):
        self.simulation.crash_rate = crash_rate
        self.simulation.propose(1)
        self.simulation.run(span_s)
        self.simulation.crash_rate = 0.0

    @rule(outward=st.booleans(), inward=st.booleans(), span_s=st.sampled_from([1.0, 2.5, 4.0]))
    def fail_over(self, outward, inward, span_s):
        """Cut only the newest leader off, and let the others go on."""
        leader = self.find_leader()
        if leader is None:
            return
        self.simulation.network.cut.clear()
        for host in self.simulation.hosts:
            if outward:
                self.simulation.network.cut.add((leader.address, host.address))
            if inward:
                self.simulation.network.cut.add((host.address, leader.address))
        self.simulation.run(span_s)
        self.simulation.propose(1)
        self.simulation.run(0.3)

    @rule(first_s=st.sampled_from([0.5, 0.7, 0.9]), span_s=SPAN_S)
    def restart_while_leader_is_cut_off(self, first_s, span_s):
        """One follower hears nothing; another restarts just before the first one's election."""
        leader = self.find_leader()
        if leader is None:
            return
        others = [h for h in self.simulation.hosts if h is not leader and h.is_up]
        if len(others) < 2:
            return
        cut = self.simulation.network.cut
        cut.add((leader.address, others[0].address))
        self.simulation.run(first_s)
        for host in others[1:]:
            cut.add((leader.address, host.address))
            if host.is_up:
                host.crash()
                host.start(self.simulation.now_s)
        self.simulation.run(span_s)

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        duplication=st.sampled_from([0.0, 0.3]),
        longest_delay_s=st.sampled_from([0.03, 0.3, 3.0]),
    )
    def set_network(self, loss, duplication, longest_delay_s):
        network = self.simulation.network
        network.loss = loss
        network.duplication = duplication
        network.longest_delay_s = longest_delay_s

    @rule()
    def heal(self):
        self.simulation.heal()

    @rule(number=HOST)
    def transfer_lead(self, number):
        leader = self.find_leader()
        if leader is not None:
            to = ReplicaId(self.find_host(number).name)
            clock_s = leader.read_clock(self.simulation.now_s)
            leader.member.membership_coordinator.transfer_leadership(to, now_s=clock_s)
            leader.perform(self.simulation.now_s)

    @rule(kind=st.sampled_from(ChangeKind), number=HOST, lost=HOST, span_s=SPAN_S)
    def change_membership(self, kind, number, lost, span_s):
        leader = self.find_leader()
        if leader is None or not self.may_change(kind, number, lost):
            return
        change = ChangeMembership(
            kind=kind,
            replica=ReplicaId(self.find_host(number).name),
            lost=ReplicaId(self.find_host(lost).name),
            reply=ReplySlot(),
        )
        clock_s = leader.read_clock(self.simulation.now_s)
        try:
            planned = leader.member.membership_coordinator.plan_requested(change, now_s=clock_s)
        except SamphireError:
            return
        leader.member.replica.propose_membership(planned)
        leader.perform(self.simulation.now_s)
        self.simulation.run(span_s)

    def may_change(self, kind, number, lost):
        """Removing members is up to the operator: here only down to three voters."""
        leader = self.find_leader()
        voters = leader.member.replica.log.membership.voters
        return kind is not ChangeKind.REMOVE or len(voters) > 3

    @precondition(lambda self: hasattr(self, "simulation"))
    @rule()
    def recover(self):
        self.simulation.check_recovery()

    def teardown(self):
        if hasattr(self, "simulation"):
            self.simulation.check_recovery()


def damage_segment(host, offset):
    """Change one byte of a synced log segment of a host."""
    names = [n for n in host.disk.names if "/log-" in n and ".corrupt" not in n]
    if not names:
        return
    size_bytes = len(host.disk.names[names[0]].data)
    # Zeros that a crash left after the last record aren't synced state.
    if size_bytes and not host.disk.names[names[0]].data.endswith(bytes(8)):
        host.disk.damage(names[0], offset % size_bytes)
