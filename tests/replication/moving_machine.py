"""Hypothesis state machine that moves a simulated group to other hosts among faults."""

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from replication.consensus_machine import SPAN_S, ConsensusMachine
from replication.simulation import Simulation
from samphirespring.process.ids import ReplicaId

HOSTS = 5
PLACES = st.permutations([ReplicaId(f"host-{n}") for n in range(HOSTS)]).map(lambda p: p[:3])


class MovingMachine(ConsensusMachine):
    """Runs one group on three of five hosts; at the end it is on those it was last placed on."""

    @initialize(seed=st.integers(0, 1 << 32), placed=PLACES)
    def start(self, seed, placed):
        self.simulation = Simulation(count=HOSTS, seed=seed, placed=tuple(placed))

    @rule(placed=PLACES, span_s=SPAN_S)
    def place_anew(self, placed, span_s):
        """Change the settings of all hosts, and restart them one after the other."""
        self.simulation.place(tuple(placed))
        self.restart_all(span_s)

    @rule(placed=PLACES)
    def place_while_hosts_run(self, placed):
        """Change the settings of all hosts; those that restart later learn it."""
        self.simulation.place(tuple(placed))

    @rule(span_s=SPAN_S)
    def restart_all(self, span_s):
        """Restart all running hosts one after the other."""
        for host in self.simulation.hosts:
            if host.is_up:
                host.crash()
                host.start(self.simulation.now_s)
                self.simulation.run(span_s)

    @precondition(lambda self: hasattr(self, "simulation"))
    @rule()
    def recover(self):
        # Hosts read their settings only at a restart.
        self.simulation.heal()
        self.restart_all(0.0)
        self.simulation.check_recovery()

    def teardown(self):
        if hasattr(self, "simulation"):
            self.recover()
