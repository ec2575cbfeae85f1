"""Compact, immutable table of the workspaces that hold API keys."""

import hashlib
from bisect import bisect_left
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from samphirespring.version.ids import ApiKeyDigest, ApiKeyFingerprint, WorkspaceId

FINGERPRINT_BYTES = 16
"""Length of a fingerprint, in bytes: too long to find another key with the same one."""

SHARD_COUNT = 1_024
"""Number of shards of the table; a change copies only the shards that it affects."""


class KeyEntry(NamedTuple):
    """An API key and the workspace that holds it."""

    fingerprint: ApiKeyFingerprint
    workspace: WorkspaceId


class KeyShard(NamedTuple):
    """One shard: its fingerprints in ascending order without gaps, and the holder of each."""

    fingerprints: bytes
    workspaces: tuple[WorkspaceId, ...]

    def find_position(self, fingerprint: ApiKeyFingerprint) -> int:
        """Return the position of a fingerprint, or where it would be inserted.

        Args:
            fingerprint: The fingerprint.
        """
        return bisect_left(range(len(self.workspaces)), fingerprint, key=self.read_fingerprint)

    def read_fingerprint(self, position: int) -> ApiKeyFingerprint:
        """Return the fingerprint at a position.

        Args:
            position: The position.
        """
        start = position * FINGERPRINT_BYTES
        return ApiKeyFingerprint(self.fingerprints[start : start + FINGERPRINT_BYTES])


_EMPTY_SHARD = KeyShard(fingerprints=b"", workspaces=())


class KeyTable:
    """Workspaces by the fingerprint of an API key; immutable.

    Args:
        shards: The `SHARD_COUNT` shards.
    """

    def __init__(self, shards: Sequence[KeyShard] = (_EMPTY_SHARD,) * SHARD_COUNT) -> None:
        self._shards = tuple(shards)
        self.has_keys = any(shard.workspaces for shard in self._shards)
        """Whether any workspace holds a key."""

    def find(self, fingerprint: ApiKeyFingerprint) -> WorkspaceId | None:
        """Return the workspace that holds a key, or None if no workspace does.

        Args:
            fingerprint: Fingerprint of the key.
        """
        shard = self._shards[find_shard(fingerprint)]
        position = shard.find_position(fingerprint)
        if position == len(shard.workspaces):
            return None
        if shard.read_fingerprint(position) != fingerprint:
            return None
        return shard.workspaces[position]

    def replace_shards(self, changed: Mapping[int, KeyShard]) -> "KeyTable":
        """Return a table with some shards replaced.

        Args:
            changed: The new shards, by number.
        """
        return KeyTable([changed.get(number, shard) for number, shard in enumerate(self._shards)])

    def rebuild_shard(
        self, number: int, *, removed: Iterable[ApiKeyFingerprint], added: Iterable[KeyEntry]
    ) -> KeyShard:
        """Return a copy of a shard with some keys removed and others added.

        Args:
            number: Number of the shard.
            removed: Keys to remove.
            added: Keys to add.
        """
        shard = self._shards[number]
        fingerprints = split_fingerprints(shard.fingerprints)
        entries = dict(zip(fingerprints, shard.workspaces, strict=True))
        for fingerprint in removed:
            entries.pop(fingerprint, None)
        entries.update(added)
        ordered = sorted(entries)
        return KeyShard(
            fingerprints=b"".join(ordered),
            workspaces=tuple(entries[fingerprint] for fingerprint in ordered),
        )


def find_shard(fingerprint: ApiKeyFingerprint) -> int:
    """Return the number of the shard that a fingerprint belongs to.

    Args:
        fingerprint: The fingerprint.
    """
    return int.from_bytes(fingerprint[:2]) % SHARD_COUNT


def split_fingerprints(packed: bytes) -> list[ApiKeyFingerprint]:
    """Return fingerprints that were stored without gaps.

    Args:
        packed: The fingerprints.
    """
    starts = range(0, len(packed), FINGERPRINT_BYTES)
    return [ApiKeyFingerprint(packed[start : start + FINGERPRINT_BYTES]) for start in starts]


def make_fingerprint(key: bytes) -> ApiKeyFingerprint:
    """Return the fingerprint of an API key that a caller sent.

    Args:
        key: The key.
    """
    return ApiKeyFingerprint(hashlib.sha256(key).digest()[:FINGERPRINT_BYTES])


def compute_digest(key: bytes) -> ApiKeyDigest:
    """Return the digest by which the document names an API key.

    Args:
        key: The key.
    """
    return ApiKeyDigest(hashlib.sha256(key).hexdigest())


def shorten_digest(digest: ApiKeyDigest) -> ApiKeyFingerprint:
    """Return the fingerprint of an API key from the document's digest of it.

    Args:
        digest: The digest.
    """
    return ApiKeyFingerprint(bytes.fromhex(digest)[:FINGERPRINT_BYTES])
