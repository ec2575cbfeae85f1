"""Mapping of workspaces to shards and ledger groups."""

import xxhash

from samphirespring.process.ledger.ids import ShardNumber
from samphirespring.version.document import LedgerLayout
from samphirespring.version.ids import WorkspaceId


def find_shard(workspace: WorkspaceId, layout: LedgerLayout) -> ShardNumber:
    """Return the shard of a workspace, the same in every process.

    Args:
        workspace: The workspace.
        layout: The ledger's layout.
    """
    return ShardNumber(xxhash.xxh64_intdigest(workspace.encode()) % layout.shards)


def find_group_index(workspace: WorkspaceId, layout: LedgerLayout) -> int:
    """Return the index of the group that holds a workspace's claims.

    Args:
        workspace: The workspace.
        layout: The ledger's layout.
    """
    return find_shard(workspace, layout) % layout.groups
