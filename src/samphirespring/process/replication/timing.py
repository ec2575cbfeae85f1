"""Intervals and timeouts of the consensus protocol."""

from random import Random

import msgspec


class ReplicaTiming(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals and timeouts, all in seconds.

    Attributes:
        heartbeat_s: Interval between two heartbeats of a leader.
        election_min_s: Minimum election timeout; also how long a replica grants no vote after it
            received a message of a leader.
        election_max_s: Maximum election timeout.
        first_election_min_s: Minimum election timeout of a replica that has received no message of
            a leader since its start.
        first_election_max_s: Maximum election timeout of such a replica.
        restart_vote_delay_s: How long a restarted replica grants no vote, because it may have
            confirmed a leader's lease just before the restart; at least `election_min_s` if reads
            rely on a lease.
        lease_s: How long a leader may serve reads after it sent a heartbeat to which a quorum
            replied; shorter than `election_min_s` by the largest drift between two clocks.
    """

    heartbeat_s: float = 0.4
    election_min_s: float = 1.0
    election_max_s: float = 2.0
    first_election_min_s: float = 1.0
    first_election_max_s: float = 2.0
    restart_vote_delay_s: float = 1.0
    lease_s: float = 0.9

    def draw_election_delay_s(self, random: Random) -> float:
        """Return a random election timeout, in seconds.

        Args:
            random: Source of random numbers.
        """
        return random.uniform(self.election_min_s, self.election_max_s)

    def draw_first_election_delay_s(self, random: Random) -> float:
        """Return a random election timeout for a replica without leader contact since its start.

        Args:
            random: Source of random numbers.
        """
        return random.uniform(self.first_election_min_s, self.first_election_max_s)


ROUND_TIMING = ReplicaTiming(
    first_election_min_s=0.15, first_election_max_s=0.6, restart_vote_delay_s=0.0
)
"""Timing of a group whose consistent reads need a round of messages to a quorum instead of a lease.

Restarted replicas may vote at once, so that a group elects a leader soon after it restarts as a
whole.
"""
