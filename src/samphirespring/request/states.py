"""Outcomes of a request, and reasons why an attempt was refused or failed."""

from enum import Enum


class Outcome(Enum):
    """Whether the request was executed, as reported to the caller."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalCode(Enum):
    """Why an agent refused an attempt. Every refusal proves that the attempt did not start."""

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
    API_KEY_UNKNOWN = "api_key_unknown"
    """The agent's document, which is as new as the front's, has another holder of the key or none.
    """

    KEY_LEASE_EXPIRED = "key_lease_expired"
    """The agent's host can't tell whether the API key is still valid."""


class FailureKind(Enum):
    """How an attempt failed after the agent had admitted it."""

    CONNECT = "connect"
    """No connection to the backend server could be opened, so the attempt did not start."""

    RESET = "reset"
    TIMEOUT = "timeout"
    CUT = "cut"
    WRONG = "wrong"
    LINK_LOST = "link_lost"
    CANCELLED = "cancelled"
    MISMATCH = "mismatch"
    """The response on the connection belongs to another request."""

    DUPLICATE = "duplicate"
    """A copy of the attempt started earlier. This copy does not start, which proves nothing about
    the earlier one."""
