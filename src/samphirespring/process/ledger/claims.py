"""Claims and their parts."""

from typing import NewType

import msgspec

from samphirespring.process.ids import Incarnation, TargetId
from samphirespring.process.ledger.ids import LedgerTime
from samphirespring.process.ledger.states import ClaimState
from samphirespring.request.ids import AttemptId, IdempotencyKey, RequestId
from samphirespring.request.messages import Header
from samphirespring.version.ids import ServiceName, WorkspaceId

MAX_STORED_RESPONSE_BYTES = 1 << 14
"""Largest answer, headers and body, that is stored for resends, in bytes."""


PackedClaim = NewType("PackedClaim", bytes)
"""A settled claim, encoded."""


class ClaimKey(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """What identifies an action."""

    workspace: WorkspaceId
    service: ServiceName
    key: IdempotencyKey


class AttemptAssignment(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One attempt of an action, and the only place where it may start."""

    attempt: AttemptId
    target: TargetId
    link_address: str
    """`IP:port` of the agent's link server."""

    incarnation: Incarnation
    start_by_wall_ms: int
    """Latest start, in milliseconds of wall time by the agent's steady clock."""


class StoredResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server's complete answer."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """The ledger's record of one action."""

    key: ClaimKey
    digest: bytes
    """Hash of method, path and body; the same key with another digest is refused."""

    state: ClaimState
    request: RequestId
    """The request that owns the latest attempt."""

    place: AttemptAssignment | None
    """The latest attempt; None if none was recorded."""

    changed_ms: LedgerTime
    """When the state last changed."""

    run_limit_ms: int
    """Longest run of the latest attempt, in milliseconds."""

    retention_ms: int
    """How long the final state is kept, in milliseconds."""

    answer: StoredResponse | None = None
    """Only for `DONE`, and only if it was small enough to store."""

    closed_requests: tuple[RequestId, ...] = ()
    """Requests that were told "not run"; none of their late commands counts."""

    spent_attempts: tuple[AttemptId, ...] = ()
    """Attempts that are proven never to run; none can be claimed again."""
