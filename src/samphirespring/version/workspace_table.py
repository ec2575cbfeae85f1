"""Compact, immutable table of the policies of the workspaces that the document names."""

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from samphirespring.version.document import WorkspacePolicy
from samphirespring.version.ids import WorkspaceId

SHARD_COUNT = 1_024
"""Number of shards of the table; a change copies only the shards that it affects."""


class WorkspaceEntry(NamedTuple):
    """Policy of one workspace, keyed by the hash of its id.

    Two ids with the same 64-bit hash would share a policy. Each process keys the hash at random, so
    a caller can't choose colliding ids; among 330,000 ids the chance of a collision is about 3 in
    10^9.
    """

    key: int
    policy: WorkspacePolicy


class WorkspaceShard(NamedTuple):
    """One shard of the table: its keys in ascending order, and the policy of each key."""

    keys: Sequence[int]
    policies: tuple[WorkspacePolicy, ...]


_EMPTY_SHARD = WorkspaceShard(keys=array("q"), policies=())


class WorkspaceTable:
    """Policies by workspace; immutable.

    Args:
        shards: The `SHARD_COUNT` shards.
    """

    def __init__(self, shards: Sequence[WorkspaceShard] = (_EMPTY_SHARD,) * SHARD_COUNT) -> None:
        self._shards = tuple(shards)

    def find(self, workspace: WorkspaceId) -> WorkspacePolicy | None:
        """Return the policy of a workspace, or None if the document doesn't name it.

        Args:
            workspace: The workspace.
        """
        key = compute_key(workspace)
        shard = self._shards[key % SHARD_COUNT]
        position = bisect_left(shard.keys, key)
        if position < len(shard.keys) and shard.keys[position] == key:
            return shard.policies[position]
        return None

    def replace_shards(self, changed: Mapping[int, WorkspaceShard]) -> "WorkspaceTable":
        """Return a table with some shards replaced.

        Args:
            changed: The new shards, by number.
        """
        return WorkspaceTable(
            [changed.get(number, shard) for number, shard in enumerate(self._shards)]
        )

    def rebuild_shard(
        self, number: int, *, removed: Iterable[int], added: Iterable[WorkspaceEntry]
    ) -> WorkspaceShard:
        """Return a copy of a shard with some entries removed and others added.

        Args:
            number: Number of the shard.
            removed: Keys to remove.
            added: Entries to add or replace.
        """
        shard = self._shards[number]
        entries = dict(zip(shard.keys, shard.policies, strict=True))
        for key in removed:
            entries.pop(key, None)
        for entry in added:
            entries[entry.key] = entry.policy
        keys = sorted(entries)
        return WorkspaceShard(keys=array("q", keys), policies=tuple(entries[key] for key in keys))


def compute_key(workspace: WorkspaceId) -> int:
    """Return the key of a workspace, which is valid in this process only.

    Args:
        workspace: The workspace.
    """
    return hash(workspace)
