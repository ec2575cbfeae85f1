"""Simulated hosts of one group with a faulty network, in virtual time."""

import heapq
import itertools
from random import Random

from replication.safety_checks import SafetyChecks
from replication.sim_host import SimHost
from samphirespring.process.ids import ReplicaId
from samphirespring.process.replication.timing import ReplicaTiming

TICK_S = 0.1
RECOVERY_S = 25.0
DEFAULT_TIMING = ReplicaTiming()


class Network:
    """Delays, loses and duplicates messages; a link can be cut in one direction."""

    def __init__(self, random):
        self.random = random
        self.queue = []
        self.order = itertools.count()
        self.cut = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.longest_delay_s = 0.03

    def send(self, sender, address, envelope, now_s):
        if (sender.address, address) in self.cut or self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            due_at_s = now_s + self.random.uniform(0.001, self.longest_delay_s)
            heapq.heappush(
                self.queue, (due_at_s, next(self.order), address, sender.address, envelope)
            )


class Simulation:
    """Runs the hosts of one group in virtual time and checks every step."""

    def __init__(self, *, count, spares=0, seed=0, placed=None, start=True, timing=DEFAULT_TIMING):
        self.timing = timing
        self.random = Random(seed)
        self.now_s = 0.0
        self.crash_rate = 0.0
        self.restart_at_s = {}
        self.network = Network(self.random)
        self.checks = SafetyChecks(
            relies_on_leases=timing.restart_vote_delay_s >= timing.election_min_s
        )
        names = [f"host-{n}" for n in range(count)]
        peers = {ReplicaId(name): f"addr-{name}" for name in names}
        spare_names = [f"spare-{n}" for n in range(spares)]
        self.hosts = [self.make_host(name, peers) for name in names]
        for name in spare_names:
            spare_peers = {**peers, ReplicaId(name): f"addr-{name}"}
            self.hosts.append(self.make_host(name, spare_peers))
        self.checks.hosts = self.hosts
        self.hosts_by_address = {host.address: host for host in self.hosts}
        self.tick_due_at_s = [self.random.uniform(0, TICK_S) for _ in self.hosts]
        self.proposed_count = 0
        self.placed = placed
        for host in self.hosts[:count]:
            host.placed = placed
            if start:
                host.start(self.now_s)
        if start:
            self.run_until(lambda: self.find_lease_holder() is not None, limit_s=RECOVERY_S)

    def make_host(self, name, peers):
        return SimHost(
            name,
            peers=peers,
            random=self.random,
            network=self.network,
            checks=self.checks,
            timing=self.timing,
        )

    def run(self, duration_s):
        """Run the events of the next `duration_s` of virtual time."""
        end_at_s = self.now_s + duration_s
        while (due := self.find_next_event())[0] <= end_at_s:
            self.now_s = max(self.now_s, due[0])
            due[1]()
            if self.crash_rate and self.random.random() < self.crash_rate:
                self.crash_host()
        self.now_s = end_at_s

    def crash_host(self):
        """Crash a host, if possible one with pending writes; it restarts after up to 0.5 s."""
        up = [h for h in self.hosts if h.is_up]
        writers = [h for h in up if h.jobs] or up
        if writers:
            host = self.random.choice(writers)
            host.crash()
            self.restart_at_s[host.name] = self.now_s + self.random.uniform(0.0, 0.5)

    def restart_due_hosts(self):
        for host in self.hosts:
            if self.restart_at_s.get(host.name, float("inf")) <= self.now_s:
                del self.restart_at_s[host.name]
                if not host.is_up:
                    host.start(self.now_s)

    def run_until(self, condition, *, limit_s):
        """Run until a condition holds; fail after a limit of virtual time."""
        end_at_s = self.now_s + limit_s
        while not condition():
            assert self.now_s < end_at_s, f"not reached within {limit_s} s"
            self.run(0.1)

    def find_next_event(self):
        number = min(range(len(self.hosts)), key=self.tick_due_at_s.__getitem__)
        best = (self.tick_due_at_s[number], lambda: self.tick(number))
        if self.network.queue and self.network.queue[0][0] < best[0]:
            best = (self.network.queue[0][0], self.deliver)
        for host in self.hosts:
            if host.is_up and host.jobs_due_at_s is not None and host.jobs_due_at_s < best[0]:
                best = (host.jobs_due_at_s, lambda host=host: host.write(self.now_s))
        return best

    def tick(self, number):
        self.tick_due_at_s[number] += TICK_S
        self.restart_due_hosts()
        host = self.hosts[number]
        if host.is_up and host.suspended_at_s is None:
            host.tick(self.now_s)

    def deliver(self):
        _, _, address, sender_address, envelope = heapq.heappop(self.network.queue)
        host = self.hosts_by_address[address]
        if host.suspended_at_s is not None:
            # Messages to a suspended host are delivered once it has resumed.
            entry = (host.resumes_at_s, next(self.network.order), address, sender_address, envelope)
            heapq.heappush(self.network.queue, entry)
            return
        if host.is_up and (sender_address, address) not in self.network.cut:
            host.receive(envelope, sender_address, self.now_s)

    def find_lease_holder(self):
        """Return the host with a valid lease, if there is one."""
        for host in self.hosts:
            if host.is_up and host.member.replica.has_lease(host.read_clock(self.now_s)):
                return host
        return None

    def propose(self, count):
        """Propose commands on every host that takes itself for the leader."""
        for host in self.hosts:
            for _ in range(count):
                self.proposed_count += 1
                host.propose(f"line {self.proposed_count}", self.now_s)

    def may_lose(self, lost):
        """Return whether every host's membership keeps a quorum without one host's disk."""
        alive = {h.last_identity for h in self.hosts if h is not lost}
        memberships = [h.member.replica.log.membership for h in self.hosts if h.is_up]
        if any(not h.is_up for h in self.hosts if h.last_identity is not None):
            return False
        return all(
            len(alive.intersection(m.voters)) >= m.quorum_size for m in memberships if m.members
        )

    def place(self, replicas):
        """Place the group on other hosts; each host reads the placement at its next start."""
        self.placed = replicas
        for host in self.hosts:
            host.placed = replicas

    def heal(self):
        """End all faults and start all hosts."""
        self.crash_rate = 0.0
        self.restart_at_s.clear()
        self.network.cut.clear()
        self.network.loss = self.network.duplication = 0.0
        self.network.longest_delay_s = 0.03
        for host in self.hosts:
            host.disk.is_failed = False
            if not host.is_up and host.last_identity is not None:
                host.start(self.now_s)

    def check_recovery(self):
        """Check that after all faults a command is committed and reaches every voter in time."""
        self.heal()
        self.run_until(lambda: self.find_lease_holder() is not None, limit_s=RECOVERY_S)
        before = self.checks.committed_end

        def commit():
            self.propose(1)
            return self.checks.committed_end > before

        self.run_until(commit, limit_s=RECOVERY_S)
        self.run_until(self.has_converged, limit_s=RECOVERY_S)

    def has_converged(self):
        end = self.checks.committed_end
        holder = self.find_lease_holder()
        if holder is None:
            return False
        members = holder.member.replica.log.membership
        running = [h for h in self.hosts if h.is_up and members.find(h.last_identity)]
        if any(h.applier.applied_index < end for h in running):
            return False
        if self.placed is not None and {m.replica for m in members.members} != set(self.placed):
            return False
        # Every voter has an existing data folder: lost ones have been replaced.
        return set(members.voters) <= {h.last_identity for h in self.hosts}
