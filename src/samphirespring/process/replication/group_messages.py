"""Messages that the task of a replicated group receives."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from samphirespring.connection.replication_link import ReplicationEnvelope
from samphirespring.process.ids import LogIndex, ReplicaId
from samphirespring.process.mailbox import ReplySlot
from samphirespring.process.replication.entries import Membership
from samphirespring.process.replication.errors import DiskFailedError
from samphirespring.process.replication.group_status import GroupStatus
from samphirespring.process.replication.write_jobs import WriteOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class TickDue:
    """The tick interval has elapsed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerMessage:
    """A replication message from a peer.

    Attributes:
        envelope: The message with its addressing.
        sender_address: Link address of the sending process.
    """

    envelope: ReplicationEnvelope
    sender_address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposePayload:
    """Request to commit an encoded command."""

    payload: bytes
    reply: ReplySlot[Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmLeadership:
    """Request to confirm that this replica is the leader.

    Attributes:
        by_heartbeat_round: Whether a quorum must reply to a message sent after the request. The
            lease isn't enough if a host may be suspended: its monotonic clock then stops.
        reply: Receives None once leadership is confirmed.
    """

    by_heartbeat_round: bool = False
    reply: ReplySlot[None]


@dataclass(frozen=True, slots=True, kw_only=True)
class UseSeeds:
    """Replaces the seeds: the control hosts to which a replica outside the group announces itself.

    Attributes:
        seeds: Link addresses of the seeds.
    """

    seeds: Mapping[ReplicaId, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadStateMachine:
    """Request to read a view of the state machine."""

    view: Callable[[], Any]
    reply: ReplySlot[Any]


class ChangeKind(Enum):
    """Kind of a membership change that an operator requests."""

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    REMOVE = "remove"
    REPLACE = "replace"


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeMembership:
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


@dataclass(frozen=True, slots=True, kw_only=True)
class TransferLeadership:
    """Request to the leader to transfer leadership to a caught-up voter.

    Attributes:
        to: The voter's replica; None for any.
        reply: Receives the replica to which leadership is transferred.
    """

    to: ReplicaId | None
    reply: ReplySlot[ReplicaId]


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadStatus:
    """Request for the replica's status."""

    reply: ReplySlot[GroupStatus]


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteDone:
    """A batch of writes has been synced to disk."""

    session: int
    outcome: WriteOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteFailed:
    """A write failed; the contents of the disk are unknown."""

    session: int
    error: DiskFailedError


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupApplied:
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
    | ReadStatus
)
GroupInput = ProtocolInput | GroupRequest
