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
        first_election_min_s: Shortest time without a leader before the first elections of a replica
            that has heard no leader since its start.
        first_election_max_s: Longest time of these.
        restart_vote_delay_s: How long a restarted replica grants no vote, because it may have heard a
            leader just before; at least `election_min_s` where answers rely on a lease.
        lease_s: How long after sending a heartbeat that a quorum answered a leader may answer;
            shorter than `election_min_s` by the largest drift between two clocks.
    """

    heartbeat_s: float = 0.4
    election_min_s: float = 1.0
    election_max_s: float = 2.0
    first_election_min_s: float = 1.0
    first_election_max_s: float = 2.0
    restart_vote_delay_s: float = 1.0
    lease_s: float = 0.9

    def draw_election_delay_s(self, random: Random) -> float:
        """Return the time to wait for a leader before the next election.

        Args:
            random: Source of random numbers.
        """
        return random.uniform(self.election_min_s, self.election_max_s)

    def draw_first_election_delay_s(self, random: Random) -> float:
        """Return the time to wait for a leader where none was heard since the start.

        Args:
            random: Source of random numbers.
        """
        return random.uniform(self.first_election_min_s, self.first_election_max_s)


ROUND_TIMING = ReplicaTiming(
    first_election_min_s=0.15, first_election_max_s=0.6, restart_vote_delay_s=0.0
)
"""Time spans where no answer that must be the newest relies on a lease: a group that starts again
as a whole has a leader at once."""
