"""Encoding of settled claims as bytes, which take a fraction of the memory of objects."""

import msgspec

from samphirespring.process.ids import Incarnation, TargetId
from samphirespring.process.ledger.claims import Claim, PackedClaim
from samphirespring.process.ledger.ids import LedgerTime
from samphirespring.process.ledger.states import ClaimState
from samphirespring.request.ids import AttemptId, IdempotencyKey, RequestId
from samphirespring.request.messages import Header
from samphirespring.version.ids import ServiceName, WorkspaceId


class _Record(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base of records that are encoded as arrays, without field names."""


class _Key(_Record, frozen=True, array_like=True, gc=False):
    workspace: WorkspaceId
    service: ServiceName
    key: IdempotencyKey


class _Assignment(_Record, frozen=True, array_like=True, gc=False):
    attempt: AttemptId
    target: TargetId
    link_address: str
    incarnation: Incarnation
    start_by_wall_ms: int


class _Response(_Record, frozen=True, array_like=True, gc=False):
    status: int
    headers: tuple[Header, ...]
    body: bytes


class _PackedClaim(_Record, frozen=True, array_like=True, gc=False):
    key: _Key
    digest: bytes
    state: ClaimState
    request: RequestId
    place: _Assignment | None
    changed_ms: LedgerTime
    run_limit_ms: int
    retention_ms: int
    answer: _Response | None
    closed_requests: tuple[RequestId, ...]
    spent_attempts: tuple[AttemptId, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_PackedClaim)


def pack_claim(claim: Claim) -> PackedClaim:
    """Return a claim encoded as bytes.

    Args:
        claim: The claim.
    """
    record = msgspec.convert(claim, _PackedClaim, from_attributes=True)
    return PackedClaim(_encoder.encode(record))


def unpack_claim(packed: PackedClaim) -> Claim:
    """Return the claim that was encoded.

    Args:
        packed: Result of `pack_claim` on any replica.
    """
    return msgspec.convert(_decoder.decode(packed), Claim, from_attributes=True)
