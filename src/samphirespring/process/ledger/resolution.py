"""What a ledger group's leader does about claims whose front recorded no end."""

from samphirespring.process.attempt_table import FenceReply
from samphirespring.process.ledger.claims import Claim
from samphirespring.process.ledger.commands import EndAttempt
from samphirespring.process.ledger.ids import LedgerTime
from samphirespring.process.ledger.states import AttemptFate, ClaimState

RESOLVE_AFTER_MS = 3_000
"""Age of a claim at which its agent is asked for the first time, in milliseconds."""

GIVE_UP_MS = 60_000
"""Time after the run limit at which an unreachable agent is no longer asked, in milliseconds."""


def is_resolution_due(claim: Claim, *, clock_ms: LedgerTime) -> bool:
    """Return whether the agent should be asked what became of a claimed attempt.

    Args:
        claim: A claim without an end.
        clock_ms: The group's time, in milliseconds.
    """
    return clock_ms >= claim.changed_ms + RESOLVE_AFTER_MS


def decide_resolution(
    claim: Claim, fate: FenceReply | None, *, clock_ms: LedgerTime
) -> EndAttempt | None:
    """Return the end to record for a claimed attempt, or None to ask again later.

    Args:
        claim: A claim without an end.
        fate: The agent's reply; None if there was none.
        clock_ms: The group's time, in milliseconds.
    """
    if claim.place is None:
        return None
    state = _find_state(claim, fate, clock_ms)
    if state is None:
        return None
    return EndAttempt(
        key=claim.key,
        attempt=claim.place.attempt,
        state=state,
        answer=None if fate is None else fate.answer,
    )


def _find_state(claim: Claim, fate: FenceReply | None, clock_ms: LedgerTime) -> ClaimState | None:
    if fate is None:
        given_up_ms = claim.changed_ms + claim.run_limit_ms + GIVE_UP_MS
        return ClaimState.UNKNOWN if clock_ms >= given_up_ms else None
    match fate.fate:
        case AttemptFate.RUNNING:
            return None
        case AttemptFate.NOT_STARTED:
            return ClaimState.NOT_RUN
        case AttemptFate.RAN:
            return ClaimState.DONE
        case AttemptFate.UNKNOWN | AttemptFate.FORGOTTEN | AttemptFate.OTHER_INCARNATION:
            return ClaimState.UNKNOWN
