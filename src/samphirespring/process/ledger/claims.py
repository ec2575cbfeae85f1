"""Claims on actions and the structs that they consist of."""

from typing import NewType

import msgspec

from samphirespring.process.ids import Incarnation, TargetId
from samphirespring.process.ledger.ids import LedgerTime
from samphirespring.process.ledger.states import ClaimState
from samphirespring.request.ids import AttemptId, IdempotencyKey, RequestId
from samphirespring.request.messages import Header
from samphirespring.version.ids import ServiceName, WorkspaceId

MAX_STORED_RESPONSE_BYTES = 1 << 14
"""Largest response, headers and body together, that is stored for resends, in bytes."""


PackedClaim = NewType("PackedClaim", bytes)
"""A settled claim, encoded by `pack_claim`."""


class ClaimKey(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Identity of an action."""

    workspace: WorkspaceId
    service: ServiceName
    key: IdempotencyKey


class AttemptAssignment(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One attempt of an action, and the only agent process that may start it."""

    attempt: AttemptId
    target: TargetId
    link_address: str
    """`IP:port` of the agent's link server."""

    incarnation: Incarnation
    start_by_wall_ms: int
    """Latest start, as wall time in milliseconds; the agent compares it with its steady clock."""


class StoredResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Complete response of a backend server."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """The ledger's record of one action."""

    key: ClaimKey
    digest: bytes
    """Hash of method, path and body; a claim with the same key and another digest is rejected."""

    state: ClaimState
    request: RequestId
    """The request that owns the latest attempt."""

    place: AttemptAssignment | None
    """The latest attempt; None if none was recorded."""

    changed_ms: LedgerTime
    """Time of the last change of the state."""

    run_limit_ms: int
    """Longest duration of the latest attempt, in milliseconds."""

    retention_ms: int
    """Time for which the final state is kept, in milliseconds."""

    answer: StoredResponse | None = None
    """Response of the backend server; set only for `DONE`, if it was small enough to store."""

    closed_requests: tuple[RequestId, ...] = ()
    """Requests that were reported as not run; their late commands have no effect."""

    spent_attempts: tuple[AttemptId, ...] = ()
    """Attempts that are certain never to run; none can be claimed again."""
