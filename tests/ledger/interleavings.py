"""Random interleavings of requests and faults around actions, as a hypothesis state machine."""

import random

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from ledger.simulation import ActionSimulation

KEYS = ("k1", "k2")
positions = st.integers(min_value=0, max_value=30)
fronts = st.integers(min_value=0, max_value=1)
agents = st.integers(min_value=0, max_value=1)


def make_interleavings(totals, *, skew_s):
    """Return the state machine's class; it adds the outcomes to the counter `totals`."""

    class Interleavings(RuleBasedStateMachine):
        @initialize(seed=st.integers(min_value=0, max_value=1 << 30))
        def begin(self, seed):
            self.simulation = ActionSimulation(random.Random(seed), skew_s=skew_s)

        @rule(key=st.sampled_from(KEYS), front=fronts)
        def send_action(self, key, front):
            if len(self.simulation.calls) < 8:
                self.simulation.send_action(key, front)

        @rule(key=st.sampled_from(KEYS), front=fronts)
        def send_action_twice(self, key, front):
            if len(self.simulation.calls) < 8:
                self.simulation.send_action(key, front)
                self.simulation.send_action(key, 1 - front)

        @rule(front=fronts)
        def send_action_without_key(self, front):
            if len(self.simulation.calls) < 8:
                self.simulation.send_action(None, front)

        @precondition(lambda self: self.simulation.network)
        @rule(chosen_positions=st.lists(positions, min_size=1, max_size=6))
        def deliver(self, chosen_positions):
            for position in chosen_positions:
                if self.simulation.network:
                    self.simulation.deliver(position)

        @rule(agent=agents)
        def wait_for_completion(self, agent):
            for _ in range(3):
                for _ in range(len(self.simulation.network)):
                    self.simulation.deliver(0)
                self.simulation.advance(0.05)
            self.simulation.finish(agent, succeeds=True)

        @precondition(lambda self: self.simulation.network)
        @rule(position=positions)
        def drop(self, position):
            self.simulation.drop(position)

        @precondition(lambda self: self.simulation.network)
        @rule(position=positions)
        def duplicate(self, position):
            self.simulation.duplicate(position)

        @rule(position=positions)
        def time_out(self, position):
            unfinished = self.simulation.list_unfinished_calls()
            if unfinished:
                self.simulation.time_out(unfinished[position % len(unfinished)])

        @rule(duration_s=st.sampled_from((0.05, 0.2, 1.0, 4.0)))
        def advance(self, duration_s):
            self.simulation.advance(duration_s)

        @rule(agent=agents, succeeds=st.booleans())
        def finish(self, agent, succeeds):
            self.simulation.finish(agent, succeeds=succeeds)

        @rule(front=fronts)
        def crash_front(self, front):
            self.simulation.crash_front(front)

        @rule(agent=agents)
        def restart_agent(self, agent):
            self.simulation.restart_agent(agent)

        @rule(front=fronts)
        def refresh_view(self, front):
            self.simulation.refresh_view(front)

        @rule()
        def lose_quorum(self):
            self.simulation.available = False

        @rule(key=st.sampled_from(KEYS), front=fronts)
        def resend_without_quorum(self, key, front):
            if len(self.simulation.calls) >= 8:
                return
            self.simulation.available = False
            self.simulation.send_action(key, front)
            for _ in range(12):
                for _ in range(len(self.simulation.network)):
                    self.simulation.deliver(0)
                self.simulation.advance(0.5)

        @rule(committed=st.booleans())
        def regain_quorum(self, committed):
            self.simulation.available = True
            self.simulation.settle_uncertain_commands(committed=committed)

        @rule()
        def change_leader(self):
            self.simulation.change_leader()

        @rule()
        def resolve(self):
            self.simulation.resolve()

        @invariant()
        def no_faults(self):
            if hasattr(self, "simulation"):
                self.check()

        def check(self):
            history = "\n".join(self.simulation.history)
            assert not self.simulation.faults, f"{self.simulation.faults}\n{history}"

        def teardown(self):
            if not hasattr(self, "simulation"):
                return
            self.simulation.run_to_completion()
            self.simulation.check_final_state()
            totals["interleavings"] += 1
            totals["runs"] += sum(self.simulation.runs.values())
            totals.update(self.simulation.counts)
            self.check()

    return Interleavings


def run_interleavings(totals, *, count, step_count, skew_s=0.0):
    """Run `count` random interleavings and raise on the first fault."""
    run_state_machine_as_test(
        make_interleavings(totals, skew_s=skew_s),
        settings=settings(
            max_examples=count,
            stateful_step_count=step_count,
            derandomize=True,
            database=None,
            phases=(Phase.generate,),
        ),
    )
