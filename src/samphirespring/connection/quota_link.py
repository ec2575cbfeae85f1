"""RPC method by which fronts ask the leader of the control hosts for credit."""

import msgspec

from samphirespring.connection.link_methods import UnaryMethod
from samphirespring.process.quota.asks import WorkspaceAsk, WorkspaceGrant


class AskQuota(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Asks for credit."""

    asks: tuple[WorkspaceAsk, ...]
    """What the front asks for, by workspace."""


class QuotaReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reply to `AskQuota`."""

    grants: tuple[WorkspaceGrant, ...] = ()
    """A grant for each ask, in their order; empty if nothing was decided."""

    leader_link: str | None = None
    """Link address of the leader, if the replying control host isn't the leader."""

    starts_in_ms: int = 0
    """Time until a new leader grants credit, in milliseconds; 0 if it does already."""


ASK_QUOTA: UnaryMethod[AskQuota, QuotaReply] = UnaryMethod(
    path="/samphire.Quota/Ask", request_type=AskQuota, reply_type=QuotaReply
)
