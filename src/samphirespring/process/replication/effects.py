"""Effects: actions that a replica requests from the task that runs it."""

import msgspec

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


class Send(msgspec.Struct, frozen=True, kw_only=True):
    """Send a message.

    Attributes:
        to: The member.
        message: The message.
    """

    to: MemberId
    message: ReplicaMessage


class SendSnapshotChunk(msgspec.Struct, frozen=True, kw_only=True):
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


class Persist(msgspec.Struct, frozen=True, kw_only=True):
    """Write and sync state; then call `Replica.mark_persisted`.

    Attributes:
        token: Number of this write.
        hard_state: New term and vote to store, if not None.
        entries: Entries to append; the first one may overwrite all entries from its index on.
    """

    token: PersistToken
    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()


class InstallSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Write and sync a snapshot in place of the log, and restore the state machine from it.

    Attributes:
        token: Number of this write.
        mark: Metadata of the snapshot.
        data: The encoded state.
    """

    token: PersistToken
    mark: SnapshotMark
    data: bytes


class Apply(msgspec.Struct, frozen=True, kw_only=True):
    """Apply committed entries.

    Attributes:
        entries: The entries, in order, each exactly once.
    """

    entries: tuple[Entry, ...]


class Post(msgspec.Struct, frozen=True, kw_only=True):
    """Send an envelope to a process by its link address.

    Attributes:
        address: Link address of the process.
        envelope: The message.
    """

    address: str
    envelope: ReplicationEnvelope


class WriteIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Write and sync the identity of the data folder, before any later write.

    Attributes:
        identity: The new identity.
    """

    identity: Identity


class FormGroup(msgspec.Struct, frozen=True, kw_only=True):
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
