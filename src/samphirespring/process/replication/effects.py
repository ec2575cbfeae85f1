"""Effects: actions that a replica requests from the task that runs it."""

from dataclasses import dataclass

from samphirespring.connection.replication_link import ReplicationEnvelope
from samphirespring.process.ids import MemberId, PersistToken
from samphirespring.process.replication.entries import (
    Entry,
    HardState,
    Identity,
    Membership,
    SnapshotMark,
)
from samphirespring.process.replication.messages import ReplicaMessage


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Send a message.

    Attributes:
        to: The member.
        message: The message.
    """

    to: MemberId
    message: ReplicaMessage


@dataclass(frozen=True, slots=True, kw_only=True)
class SendSnapshotChunk:
    """Read a part of the newest snapshot and send it.

    Attributes:
        to: The member.
        mark: The snapshot; if it is no longer the newest one, nothing is sent.
        offset: First byte of the part.
        sent_at_s: Send time for the message, in seconds of the monotonic clock.
    """

    to: MemberId
    mark: SnapshotMark
    offset: int
    sent_at_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Persist:
    """Write and sync state; then call `Replica.mark_persisted`.

    Attributes:
        token: Number of this write.
        hard_state: New term and vote to store, if not None.
        entries: Entries to append; the first one may overwrite all entries from its index on.
    """

    token: PersistToken
    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class InstallSnapshot:
    """Write and sync a snapshot in place of the log, and restore the state machine from it.

    Attributes:
        token: Number of this write.
        mark: Metadata of the snapshot.
        data: The encoded state.
    """

    token: PersistToken
    mark: SnapshotMark
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Apply:
    """Apply committed entries.

    Attributes:
        entries: The entries, in order, each exactly once.
    """

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Post:
    """Send an envelope to a process by its link address.

    Attributes:
        address: Link address of the process.
        envelope: The message.
    """

    address: str
    envelope: ReplicationEnvelope


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteIdentity:
    """Write and sync the identity of the data folder, before any later write.

    Attributes:
        identity: The new identity.
    """

    identity: Identity


@dataclass(frozen=True, slots=True, kw_only=True)
class FormGroup:
    """Write and sync the first entry of a new group, and then reopen the files.

    Attributes:
        identity: The identity with the group's lineage.
        membership: The first members.
    """

    identity: Identity
    membership: Membership


Effect = (
    Send | SendSnapshotChunk | Persist | InstallSnapshot | Apply | Post | WriteIdentity | FormGroup
)
