"""Time spans of the consensus protocol."""

from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaTiming:
    """Time spans, all in seconds.

    Attributes:
        heartbeat_s: Between two heartbeats of a leader.
        election_min_s: Shortest time without a leader before an election; also how long a replica
            that heard a leader grants no vote.
        election_max_s: Longest time without a leader before an election.
        lease_s: How long after sending a heartbeat that a quorum answered a leader may answer;
            shorter than `election_min_s` by the largest drift between two clocks.
    """

    heartbeat_s: float = 0.4
    election_min_s: float = 1.0
    election_max_s: float = 2.0
    lease_s: float = 0.9

    def draw_election_delay_s(self, random: Random) -> float:
        """Return the time to wait for a leader before the next election.

        Args:
            random: Source of random numbers.
        """
        return random.uniform(self.election_min_s, self.election_max_s)
