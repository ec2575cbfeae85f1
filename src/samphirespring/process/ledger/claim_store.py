"""In-memory store of the claims of one ledger group: open claims as objects, settled as bytes."""

import hashlib
import heapq
from collections import Counter
from collections.abc import Iterator

import msgspec

from samphirespring.process.ledger.claim_packing import pack_claim, unpack_claim
from samphirespring.process.ledger.claims import Claim, ClaimKey, PackedClaim
from samphirespring.process.ledger.compaction import compact_claim
from samphirespring.process.ledger.ids import LedgerTime
from samphirespring.process.ledger.states import ClaimState

DIGEST_BYTES = 16
"""Length of a key's digest.

The hash is BLAKE2: callers choose the keys and could construct collisions for a weaker hash.
"""

EXPIRY_TIME_BYTES = 8
"""Length of the time at the start of an entry in the expiry queue."""

_encoder = msgspec.msgpack.Encoder()


class ClaimStore:
    """Claims by key.

    Almost all claims are settled and only wait for the end of their retention. Each of these is
    stored as one byte string under the digest of its key, without the fields that no later command
    reads.
    """

    def __init__(self) -> None:
        self._open: dict[ClaimKey, Claim] = {}
        self._settled: dict[bytes, PackedClaim] = {}
        self._expiry_queue: list[bytes] = []
        self._state_counts: Counter[ClaimState] = Counter()

    @property
    def state_counts(self) -> dict[ClaimState, int]:
        """Number of claims in each state."""
        return {state: self._state_counts[state] for state in ClaimState}

    def find(self, key: ClaimKey) -> Claim | None:
        """Return one claim, or None.

        Args:
            key: The claim's key.
        """
        if key in self._open:
            return self._open[key]
        return self._find_settled(digest_key(key))

    def put(self, claim: Claim) -> None:
        """Add a claim or replace the one with its key; a settled claim expires after its retention.

        Args:
            claim: The claim.
        """
        digest = digest_key(claim.key)
        self._remove(claim.key, digest)
        self._state_counts[claim.state] += 1
        if claim.state is ClaimState.CLAIMED:
            self._open[claim.key] = claim
            return
        self._settled[digest] = pack_claim(compact_claim(claim))
        heapq.heappush(self._expiry_queue, _make_expiry_entry(claim, digest))

    def expire(self, now_ms: LedgerTime, *, limit: int) -> None:
        """Remove settled claims whose retention is over; all replicas remove the same ones.

        Args:
            now_ms: The group's time, in milliseconds.
            limit: Largest number of claims to remove.
        """
        # Only removed claims count toward the limit. Outdated entries don't: a replica that was
        # restored from a snapshot has none, and all replicas must remove the same claims.
        removed = 0
        while (
            removed < limit
            and self._expiry_queue
            and _read_expiry_ms(self._expiry_queue[0]) <= now_ms
        ):
            entry = heapq.heappop(self._expiry_queue)
            digest = entry[EXPIRY_TIME_BYTES:]
            claim = self._find_settled(digest)
            if claim is not None and _make_expiry_entry(claim, digest) == entry:
                self._remove(claim.key, digest)
                removed += 1

    def iterate_open(self) -> Iterator[Claim]:
        """Yield the claims whose attempt has no recorded end, least recently changed first."""
        yield from tuple(self._open.values())

    def read_settled(self) -> tuple[PackedClaim, ...]:
        """Return all settled claims; the values are immutable."""
        return tuple(self._settled.values())

    def _find_settled(self, digest: bytes) -> Claim | None:
        packed = self._settled.get(digest)
        return None if packed is None else unpack_claim(packed)

    def _remove(self, key: ClaimKey, digest: bytes) -> None:
        previous = self._open.pop(key, None)
        if previous is None:
            packed = self._settled.pop(digest, None)
            previous = None if packed is None else unpack_claim(packed)
        if previous is not None:
            self._state_counts[previous.state] -= 1


def digest_key(key: ClaimKey) -> bytes:
    """Return a digest that identifies a claim within its group.

    Args:
        key: The claim's key.
    """
    return hashlib.blake2b(_encoder.encode(key), digest_size=DIGEST_BYTES).digest()


def _make_expiry_entry(claim: Claim, digest: bytes) -> bytes:
    """Return a claim's expiry time followed by its digest; all replicas sort entries alike."""
    expiry_ms = claim.changed_ms + claim.retention_ms
    return expiry_ms.to_bytes(EXPIRY_TIME_BYTES, "big") + digest


def _read_expiry_ms(entry: bytes) -> LedgerTime:
    return LedgerTime(int.from_bytes(entry[:EXPIRY_TIME_BYTES], "big"))
