"""States of a request and reasons for refusing an attempt."""

from enum import Enum


class Outcome(Enum):
    """What the caller is told about the execution of its request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalCode(Enum):
    """Why an agent refused an attempt; each one proves that the attempt did not start."""

    NO_SLOT = "no_slot"
    SHEDDING = "shedding"
    DRAINING = "draining"
    STALE_DOCUMENT = "stale_document"
    RATE_LIMITED = "rate_limited"
    EXPIRED = "expired"
    UNKNOWN_TARGET = "unknown_target"
    EJECTED = "ejected"
    SUSPECT = "suspect"
    """Another target is more likely to serve the request."""

    FENCED = "fenced"


class FailureKind(Enum):
    """How an attempt failed after the agent admitted it."""

    CONNECT = "connect"
    """No connection to the backend server: the attempt did not start."""

    RESET = "reset"
    TIMEOUT = "timeout"
    CUT = "cut"
    WRONG = "wrong"
    LINK_LOST = "link_lost"
    CANCELLED = "cancelled"
    MISMATCH = "mismatch"
    """The answer on the connection belongs to another request."""

    DUPLICATE = "duplicate"
    """A copy of the attempt started before: this one doesn't, and proves nothing."""
