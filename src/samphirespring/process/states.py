"""States of targets and replicas."""

from enum import Enum


class TargetPhase(Enum):
    """What the backend server announces about itself."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


class TargetCondition(Enum):
    """Condition of a target that its agent derives from evidence."""

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
    """Whether a member of a group counts towards its quorum."""

    LEARNER = "learner"
    VOTER = "voter"


class FollowerMode(Enum):
    """How a leader brings a follower up to date."""

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


class DiskHealth(Enum):
    """Whether a replica can write its state."""

    GOOD = "good"
    FAILED = "failed"
