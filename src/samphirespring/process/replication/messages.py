"""Messages that the replicas of one group send each other."""

import msgspec

from samphirespring.process.ids import LogIndex, MemberId, ReplicaId, Term
from samphirespring.process.replication.entries import Entry, LogPosition, Member, SnapshotMark


class _Message(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of all messages; the term is the sender's current one."""

    term: Term


class PreVoteRequest(_Message, frozen=True, kw_only=True, array_like=True, tag="pvq"):
    """Asks whether a vote in the next term would be granted; changes nothing at the receiver."""

    last: LogPosition


class PreVoteReply(_Message, frozen=True, kw_only=True, array_like=True, tag="pvr"):
    """Answers `PreVoteRequest`."""

    request_term: Term
    """Term of the request that is answered."""

    granted: bool


class VoteRequest(_Message, frozen=True, kw_only=True, array_like=True, tag="vq"):
    """Asks for a vote in the sender's term."""

    last: LogPosition
    transfer: bool = False
    """The leader asked for this election and gave up its lease before."""


class VoteReply(_Message, frozen=True, kw_only=True, array_like=True, tag="vr"):
    """Answers `VoteRequest`."""

    granted: bool


class Heartbeat(_Message, frozen=True, kw_only=True, array_like=True, tag="h"):
    """Keeps the leader's lease and tells followers what is committed."""

    sent_at_s: float
    """The leader's monotonic time, in seconds; only the leader interprets it."""

    commit_index: LogIndex
    """Never beyond what the follower is known to have."""


class HeartbeatReply(_Message, frozen=True, kw_only=True, array_like=True, tag="hr"):
    """Answers `Heartbeat`."""

    sent_at_s: float
    """Echo of the heartbeat's."""

    match_index: LogIndex
    """Last index that is synced here and known to match the leader's log."""


class AppendRequest(_Message, frozen=True, kw_only=True, array_like=True, tag="aq"):
    """Brings entries that follow a position."""

    previous: LogPosition
    entries: tuple[Entry, ...]
    commit_index: LogIndex
    sent_at_s: float
    """The leader's monotonic time, in seconds."""


class AppendReply(_Message, frozen=True, kw_only=True, array_like=True, tag="ar"):
    """Says that entries are synced and match."""

    match_index: LogIndex
    sent_at_s: float
    """Latest time that the leader sent in this term, in seconds of its clock."""


class AppendRejection(_Message, frozen=True, kw_only=True, array_like=True, tag="ax"):
    """Says that the position before some entries doesn't match."""

    previous_index: LogIndex
    hint_index: LogIndex
    """Last index that may match."""

    sent_at_s: float


class SnapshotChunk(_Message, frozen=True, kw_only=True, array_like=True, tag="sc"):
    """Brings a part of a snapshot."""

    mark: SnapshotMark
    offset: int
    data: bytes
    sent_at_s: float


class SnapshotReply(_Message, frozen=True, kw_only=True, array_like=True, tag="sr"):
    """Asks for the next part of a snapshot."""

    position: LogPosition
    next_offset: int
    sent_at_s: float


class TransferRequest(_Message, frozen=True, kw_only=True, array_like=True, tag="tq"):
    """Asks a follower to start an election at once; the sender no longer leads."""


class Announcement(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="an"):
    """Says that a data folder exists that belongs to no formed group yet."""

    member: Member
    first_replicas: tuple[ReplicaId, ...] = ()
    """Replicas that the group would be formed of; who would form it of others keeps silent."""


class AnnouncementReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="anr"):
    """Answers `Announcement`."""

    requester: MemberId
    member: Member
    formed: bool
    """Whether the replying replica belongs to a group, or once did."""

    members: tuple[Member, ...] = ()
    """The group's members as the replying replica knows them; the asker may know none of them."""


ReplicaMessage = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | Heartbeat
    | HeartbeatReply
    | AppendRequest
    | AppendReply
    | AppendRejection
    | SnapshotChunk
    | SnapshotReply
    | TransferRequest
)
LeaderMessage = Heartbeat | AppendRequest | SnapshotChunk
FollowerMessage = HeartbeatReply | AppendReply | AppendRejection | SnapshotReply
FormationMessage = Announcement | AnnouncementReply
GroupMessage = ReplicaMessage | FormationMessage
