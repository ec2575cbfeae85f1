"""RPC method for the messages between replicas of replicated logs."""

import msgspec

from samphirespring.connection.link_methods import UploadMethod
from samphirespring.process.ids import GroupId, GroupLineage, MemberId
from samphirespring.process.replication.messages import GroupMessage


class ReplicationEnvelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One message of one group."""

    group: GroupId
    lineage: GroupLineage | None
    """Formation of the group that the sender belongs to; None before it belongs to one."""

    sender: MemberId
    receiver: MemberId | None
    """None for announcements, whose receiver isn't known to be a member."""

    message: GroupMessage


class ReplicationBatch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Messages of several groups from one process to another."""

    sender_address: str
    """Link address of the sending process."""

    envelopes: tuple[ReplicationEnvelope, ...]


class ReplicationEnd(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reply at the end of a stream of batches."""


SEND_REPLICATION: UploadMethod[ReplicationBatch, ReplicationEnd] = UploadMethod(
    path="/samphirespring.Replication/Carry",
    request_type=ReplicationBatch,
    reply_type=ReplicationEnd,
)
