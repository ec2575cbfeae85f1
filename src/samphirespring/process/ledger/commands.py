"""Commands to a ledger group, which links and the log carry, and their results."""

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
"""Time of a command to which the leader hasn't assigned a timestamp yet."""


class ClaimAction(msgspec.Struct, frozen=True, kw_only=True, tag="claim"):
    """Requests the right to dispatch one attempt."""

    key: ClaimKey
    digest: bytes
    request: RequestId
    place: AttemptAssignment
    replaces: AttemptId | None = None
    """Previous attempt of the same request, which is certain never to run."""

    run_limit_ms: int
    retention_ms: int
    now_ms: LedgerTime = NO_TIMESTAMP


class EndAttempt(msgspec.Struct, frozen=True, kw_only=True, tag="end"):
    """Records the end of an attempt."""

    key: ClaimKey
    attempt: AttemptId
    state: ClaimState
    answer: StoredResponse | None = None
    now_ms: LedgerTime = NO_TIMESTAMP


class CloseRequest(msgspec.Struct, frozen=True, kw_only=True, tag="close"):
    """Declares that no attempt of a request has started or will start; its later claims fail."""

    key: ClaimKey
    digest: bytes
    request: RequestId
    retention_ms: int
    now_ms: LedgerTime = NO_TIMESTAMP


LedgerCommand = ClaimAction | EndAttempt | CloseRequest


class ClaimGranted(msgspec.Struct, frozen=True, kw_only=True, tag="granted"):
    """The attempt is recorded; only the front that claimed it may dispatch it."""

    attempt: AttemptId


class ClaimRunning(msgspec.Struct, frozen=True, kw_only=True, tag="running"):
    """An attempt is recorded and may be running."""

    attempt: AttemptId


class ClaimDone(msgspec.Struct, frozen=True, kw_only=True, tag="done"):
    """The action ran; `answer` is None if the response was too large to store."""

    answer: StoredResponse | None


class ClaimNotRun(msgspec.Struct, frozen=True, kw_only=True, tag="not_run"):
    """No attempt ran, and none of the recorded attempts will."""


class ClaimUnknown(msgspec.Struct, frozen=True, kw_only=True, tag="unknown"):
    """The action may have run; it is not dispatched again."""


class ClaimAbsent(msgspec.Struct, frozen=True, kw_only=True, tag="absent"):
    """No claim with this key is recorded."""


class KeyReused(msgspec.Struct, frozen=True, kw_only=True, tag="key_reused"):
    """The key was used before with another method, path or body."""


class RequestClosed(msgspec.Struct, frozen=True, kw_only=True, tag="closed"):
    """The request was already reported as not run."""


class AttemptSpent(msgspec.Struct, frozen=True, kw_only=True, tag="spent"):
    """The attempt is certain never to run; another attempt may be claimed."""


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
    """Complete state of a ledger group."""

    clock_ms: LedgerTime
    claims: tuple[Claim, ...]
    """Open claims: those whose attempt has no recorded end."""

    settled: tuple[PackedClaim, ...] = ()
