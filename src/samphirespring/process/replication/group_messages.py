"""What the task of a replicated group takes from its inbox."""

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
    """Time has moved on."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A message of a peer has come.

    Attributes:
        envelope: The message.
        sender_address: Link address of the sending process.
    """

    envelope: ReplicationEnvelope
    sender_address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposePayload:
    """Asks to commit an encoded command."""

    payload: bytes
    reply: ReplySlot[Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmLeadership:
    """Asks for a confirmation of the lead.

    Attributes:
        by_round: Whether a quorum must answer a message that is sent after the question. The lease
            alone is measured by the steady clock, which stands still while a host is suspended.
        reply: Gets None once the lead is confirmed.
    """

    by_round: bool = False
    reply: ReplySlot[None]


@dataclass(frozen=True, slots=True, kw_only=True)
class UseSeeds:
    """Brings other seeds: control hosts that a member outside of the group announces itself to.

    Attributes:
        seeds: Their link addresses.
    """

    seeds: Mapping[ReplicaId, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadMachine:
    """Asks for a view of the state machine."""

    view: Callable[[], Any]
    reply: ReplySlot[Any]


class ChangeKind(Enum):
    """A change of the membership that an operator asks for."""

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    REMOVE = "remove"
    REPLACE = "replace"


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeMembership:
    """Asks for a change of the membership.

    Attributes:
        kind: The change.
        replica: The replica that comes, is promoted, or leaves.
        lost: The replica that leaves after a REPLACE; None otherwise.
        reply: Gets the membership once it is committed.
    """

    kind: ChangeKind
    replica: ReplicaId
    lost: ReplicaId | None
    reply: ReplySlot[Membership]


@dataclass(frozen=True, slots=True, kw_only=True)
class TransferLeadership:
    """Asks the leader to give the lead to a caught-up voter.

    Attributes:
        to: The voter's replica; None for any.
        reply: Gets the replica that was asked to lead.
    """

    to: ReplicaId | None
    reply: ReplySlot[ReplicaId]


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadStatus:
    """Asks for the status."""

    reply: ReplySlot[GroupStatus]


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteDone:
    """A batch of writes is synced."""

    session: int
    outcome: WriteOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteFailed:
    """A write failed; what is on disk isn't known."""

    session: int
    error: DiskFailedError


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupApplied:
    """Tells a subscriber that the state machine has changed.

    Attributes:
        index: Last applied index.
    """

    index: LogIndex


ProtocolInput = TickDue | Received | WriteDone | WriteFailed | UseSeeds
GroupQuestion = (
    ProposePayload
    | ConfirmLeadership
    | ReadMachine
    | ChangeMembership
    | TransferLeadership
    | ReadStatus
)
GroupInput = ProtocolInput | GroupQuestion
