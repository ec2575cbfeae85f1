"""Decisions of a ledger group's leader about claims whose front recorded no end."""

from samphirespring.process.attempt_table import FenceReply
from samphirespring.process.ledger.claims import Claim
from samphirespring.process.ledger.commands import EndAttempt
from samphirespring.process.ledger.ids import LedgerTime
from samphirespring.process.ledger.states import AttemptFate, ClaimState

RESOLVE_AFTER_MS = 3_000
"""Age of a claim at which its agent is queried for the first time, in milliseconds."""

UNREACHABLE_TIMEOUT_MS = 60_000
"""Time past the run limit at which queries to an unreachable agent end, in milliseconds."""


def is_resolution_due(claim: Claim, *, clock_ms: LedgerTime) -> bool:
    """Return whether to query the agent for the fate of a claimed attempt.

    Args:
        claim: An open claim.
        clock_ms: The group's time, in milliseconds.
    """
    return clock_ms >= claim.changed_ms + RESOLVE_AFTER_MS


def decide_resolution(
    claim: Claim, reply: FenceReply | None, *, clock_ms: LedgerTime
) -> EndAttempt | None:
    """Return the end to record for a claimed attempt, or None to query the agent again later.

    Args:
        claim: An open claim.
        reply: The agent's reply; None if there was none.
        clock_ms: The group's time, in milliseconds.
    """
    if claim.place is None:
        return None
    state = _choose_state(claim, reply, clock_ms)
    if state is None:
        return None
    return EndAttempt(
        key=claim.key,
        attempt=claim.place.attempt,
        state=state,
        answer=None if reply is None else reply.answer,
    )


def _choose_state(
    claim: Claim, reply: FenceReply | None, clock_ms: LedgerTime
) -> ClaimState | None:
    if reply is None:
        give_up_at_ms = claim.changed_ms + claim.run_limit_ms + UNREACHABLE_TIMEOUT_MS
        return ClaimState.UNKNOWN if clock_ms >= give_up_at_ms else None
    match reply.fate:
        case AttemptFate.RUNNING:
            return None
        case AttemptFate.NOT_STARTED:
            return ClaimState.NOT_RUN
        case AttemptFate.RAN:
            return ClaimState.DONE
        case AttemptFate.UNKNOWN | AttemptFate.FORGOTTEN | AttemptFate.OTHER_INCARNATION:
            return ClaimState.UNKNOWN
