"""States of targets and replicas."""

from enum import Enum


class TargetPhase(Enum):
    """Phase that the backend server announces for a target."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


class TargetCondition(Enum):
    """Condition that the agent derives for a target from observations."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    UNHEALTHY = "sick"
    TRIAL = "trial"
    SLOW_START = "slow_start"


class ReplicaRole(Enum):
    """Role of a replica in its group."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class MemberStanding(Enum):
    """Whether a member of a group counts towards the quorum."""

    LEARNER = "learner"
    VOTER = "voter"


class FollowerMode(Enum):
    """How a leader replicates its log to a follower."""

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


class DiskHealth(Enum):
    """Whether a replica can write its state."""

    HEALTHY = "good"
    FAILED = "failed"
