"""Messages that the task of a replicated group receives."""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any

import msgspec

from samphirespring.connection.replication_link import ReplicationEnvelope
from samphirespring.process.ids import LogIndex, ReplicaId
from samphirespring.process.mailbox import ReplySlot
from samphirespring.process.replication.entries import Membership
from samphirespring.process.replication.errors import DiskFailedError
from samphirespring.process.replication.group_status import GroupStatus
from samphirespring.process.replication.write_jobs import WriteOutcome


class TickDue(msgspec.Struct, frozen=True, kw_only=True):
    """The tick interval has elapsed."""


class PeerMessage(msgspec.Struct, frozen=True, kw_only=True):
    """A replication message from a peer.

    Attributes:
        envelope: The message with its addressing.
        sender_address: Link address of the sending process.
    """

    envelope: ReplicationEnvelope
    sender_address: str


class ProposePayload(msgspec.Struct, frozen=True, kw_only=True):
    """Request to commit an encoded command."""

    payload: bytes
    reply: ReplySlot[Any]


class ConfirmLeadership(msgspec.Struct, frozen=True, kw_only=True):
    """Request to confirm that this replica is the leader.

    Attributes:
        by_heartbeat_round: Whether a quorum must reply to a message sent after the request. The
            lease isn't enough if a host may be suspended: its monotonic clock then stops.
        reply: Receives None once leadership is confirmed.
    """

    by_heartbeat_round: bool = False
    reply: ReplySlot[None]


class Depart(msgspec.Struct, frozen=True, kw_only=True):
    """Request to hand over this replica's vote before a planned stop.

    Attributes:
        reply: Receives whether the replica may stop now; if not, the request is to be repeated.
    """

    reply: ReplySlot[bool]


class UseSeeds(msgspec.Struct, frozen=True, kw_only=True):
    """Replaces the seeds: the control hosts to which a replica outside the group announces itself.

    Attributes:
        seeds: Link addresses of the seeds.
    """

    seeds: Mapping[ReplicaId, str]


class ReadStateMachine(msgspec.Struct, frozen=True, kw_only=True):
    """Request to read a view of the state machine."""

    view: Callable[[], Any]
    reply: ReplySlot[Any]


class ChangeKind(Enum):
    """Kind of a membership change that an operator requests."""

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    REMOVE = "remove"
    REPLACE = "replace"


class ChangeMembership(msgspec.Struct, frozen=True, kw_only=True):
    """Request for a membership change.

    Attributes:
        kind: The change.
        replica: The replica that is added, promoted or removed.
        lost: The replica that a REPLACE removes; None otherwise.
        reply: Receives the membership once it is committed.
    """

    kind: ChangeKind
    replica: ReplicaId
    lost: ReplicaId | None
    reply: ReplySlot[Membership]


class TransferLeadership(msgspec.Struct, frozen=True, kw_only=True):
    """Request to the leader to transfer leadership to a caught-up voter.

    Attributes:
        to: The voter's replica; None for any.
        reply: Receives the replica to which leadership is transferred.
    """

    to: ReplicaId | None
    reply: ReplySlot[ReplicaId]


class ReadStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Request for the replica's status."""

    reply: ReplySlot[GroupStatus]


class WriteDone(msgspec.Struct, frozen=True, kw_only=True):
    """A batch of writes has been synced to disk."""

    session: int
    outcome: WriteOutcome


class WriteFailed(msgspec.Struct, frozen=True, kw_only=True):
    """A write failed; the contents of the disk are unknown."""

    session: int
    error: DiskFailedError


class GroupApplied(msgspec.Struct, frozen=True, kw_only=True):
    """Notifies a subscriber that the state machine has changed.

    Attributes:
        index: Last applied index.
    """

    index: LogIndex


ProtocolInput = TickDue | PeerMessage | WriteDone | WriteFailed | UseSeeds
GroupRequest = (
    ProposePayload
    | ConfirmLeadership
    | ReadStateMachine
    | ChangeMembership
    | TransferLeadership
    | Depart
    | ReadStatus
)
GroupInput = ProtocolInput | GroupRequest
