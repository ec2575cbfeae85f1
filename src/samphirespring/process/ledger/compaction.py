"""Removal of the fields that a settled claim no longer needs."""

import msgspec

from samphirespring.process.ledger.claims import Claim
from samphirespring.process.ledger.states import ClaimState
from samphirespring.request.ids import RequestId

NO_REQUEST = RequestId("")


def compact_claim(claim: Claim) -> Claim:
    """Return a claim without the fields that no transition from its state reads.

    The transitions are those of `ClaimStateMachine`. A `DONE` claim keeps what a resend receives. A
    `NOT_RUN` claim also keeps the ids by which late commands are rejected. An `UNKNOWN` claim keeps
    everything, because a response that is found later names the attempt.

    Args:
        claim: The claim.
    """
    match claim.state:
        case ClaimState.DONE:
            return msgspec.structs.replace(
                claim,
                request=NO_REQUEST,
                place=None,
                run_limit_ms=0,
                closed_requests=(),
                spent_attempts=(),
            )
        case ClaimState.NOT_RUN:
            return msgspec.structs.replace(claim, request=NO_REQUEST, place=None, run_limit_ms=0)
        case ClaimState.UNKNOWN | ClaimState.CLAIMED:
            return claim
