"""Commands to a ledger group and their results; both travel over links and in the log."""

import msgspec

from samphirespring.process.ledger.claims import (
    AttemptAssignment,
    Claim,
    ClaimKey,
    PackedClaim,
    StoredResponse,
)
from samphirespring.process.ledger.ids import LedgerTime
from samphirespring.process.ledger.states import ClaimState
from samphirespring.request.ids import AttemptId, RequestId

NO_TIMESTAMP = LedgerTime(0)
"""Time of a command that the leader hasn't stamped yet."""


class ClaimAction(msgspec.Struct, frozen=True, kw_only=True, tag="claim"):
    """Asks for the right to dispatch one attempt."""

    key: ClaimKey
    digest: bytes
    request: RequestId
    place: AttemptAssignment
    replaces: AttemptId | None = None
    """Earlier attempt of the same request that is proven never to run."""

    run_limit_ms: int
    retention_ms: int
    now_ms: LedgerTime = NO_TIMESTAMP


class EndAttempt(msgspec.Struct, frozen=True, kw_only=True, tag="end"):
    """Records how an attempt ended."""

    key: ClaimKey
    attempt: AttemptId
    state: ClaimState
    answer: StoredResponse | None = None
    now_ms: LedgerTime = NO_TIMESTAMP


class CloseRequest(msgspec.Struct, frozen=True, kw_only=True, tag="close"):
    """Tells that no attempt of a request has started or ever will; later commands of it fail."""

    key: ClaimKey
    digest: bytes
    request: RequestId
    retention_ms: int
    now_ms: LedgerTime = NO_TIMESTAMP


LedgerCommand = ClaimAction | EndAttempt | CloseRequest


class ClaimGranted(msgspec.Struct, frozen=True, kw_only=True, tag="granted"):
    """The attempt is recorded: its front, and no other process, may dispatch it."""

    attempt: AttemptId


class ClaimRunning(msgspec.Struct, frozen=True, kw_only=True, tag="running"):
    """Another attempt is recorded and may run."""

    attempt: AttemptId


class ClaimDone(msgspec.Struct, frozen=True, kw_only=True, tag="done"):
    """The action ran; the answer is None if it was too large to store."""

    answer: StoredResponse | None


class ClaimNotRun(msgspec.Struct, frozen=True, kw_only=True, tag="not_run"):
    """No attempt ran, and none of those recorded so far ever will."""


class ClaimUnknown(msgspec.Struct, frozen=True, kw_only=True, tag="unknown"):
    """The action may have run; it is never dispatched again."""


class ClaimAbsent(msgspec.Struct, frozen=True, kw_only=True, tag="absent"):
    """No claim with this key is recorded."""


class KeyReused(msgspec.Struct, frozen=True, kw_only=True, tag="key_reused"):
    """The key belongs to a request with another body."""


class RequestClosed(msgspec.Struct, frozen=True, kw_only=True, tag="closed"):
    """The request was told "not run" before."""


class AttemptSpent(msgspec.Struct, frozen=True, kw_only=True, tag="spent"):
    """The attempt is proven never to run; another one may be claimed."""


LedgerResult = (
    ClaimGranted
    | ClaimRunning
    | ClaimDone
    | ClaimNotRun
    | ClaimUnknown
    | ClaimAbsent
    | KeyReused
    | RequestClosed
    | AttemptSpent
)


class LedgerSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Whole state of a ledger group."""

    clock_ms: LedgerTime
    claims: tuple[Claim, ...]
    """Claims without an end."""

    settled: tuple[PackedClaim, ...] = ()
