"""States of the action ledger."""

from enum import Enum


class ClaimState(Enum):
    """State of one claim.

    All states but `CLAIMED` are final, with two exceptions: a key in `NOT_RUN` may be claimed
    again, and `UNKNOWN` becomes `DONE` if the response is found later. An action in `UNKNOWN` is
    never dispatched again.
    """

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AttemptFate(Enum):
    """Fate of an action's attempt according to its agent."""

    NOT_STARTED = "not_started"
    """It hasn't started, and the agent will reject it from now on."""

    RUNNING = "running"
    RAN = "ran"
    """It ended with a complete response of the backend server."""

    UNKNOWN = "unknown"
    """It started and ended without a complete response."""

    FORGOTTEN = "forgotten"
    """The agent has dropped its record of attempts that are this old."""

    OTHER_INCARNATION = "other_incarnation"
    """The agent has restarted: the attempt can't start any more, but may have run before."""
