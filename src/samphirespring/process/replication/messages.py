"""Messages between the replicas of one group."""

import msgspec

from samphirespring.process.ids import LogIndex, MemberId, ReplicaId, Term
from samphirespring.process.replication.entries import Entry, LogPosition, Member, SnapshotMark


class _Message(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of all messages; `term` is the sender's current term."""

    term: Term


class PreVoteRequest(_Message, frozen=True, kw_only=True, array_like=True, tag="pvq"):
    """Requests a pre-vote: whether the receiver would grant a vote in the next term.

    The receiver's state doesn't change.
    """

    last: LogPosition


class PreVoteReply(_Message, frozen=True, kw_only=True, array_like=True, tag="pvr"):
    """Replies to a `PreVoteRequest`."""

    request_term: Term
    """Term of the `PreVoteRequest`."""

    granted: bool


class VoteRequest(_Message, frozen=True, kw_only=True, array_like=True, tag="vq"):
    """Requests a vote in the sender's term."""

    last: LogPosition
    transfer: bool = False
    """Whether the leader requested this election, after it gave up its lease."""


class VoteReply(_Message, frozen=True, kw_only=True, array_like=True, tag="vr"):
    """Replies to a `VoteRequest`."""

    granted: bool


class Heartbeat(_Message, frozen=True, kw_only=True, array_like=True, tag="h"):
    """Renews the leader's lease and sends the commit index to a follower."""

    sent_at_s: float
    """Send time on the leader's monotonic clock, in seconds; only the leader interprets it."""

    commit_index: LogIndex
    """Never beyond the follower's `match_index`."""

    silences: tuple[tuple[MemberId, float], ...] = ()
    """Members that haven't replied lately, each with the time since its last reply, in seconds."""


class HeartbeatReply(_Message, frozen=True, kw_only=True, array_like=True, tag="hr"):
    """Replies to a `Heartbeat`."""

    sent_at_s: float
    """Send time of the heartbeat, copied from it."""

    match_index: LogIndex
    """Last index that is synced at the follower and known to match the leader's log."""


class AppendRequest(_Message, frozen=True, kw_only=True, array_like=True, tag="aq"):
    """Sends the entries that follow a log position."""

    previous: LogPosition
    entries: tuple[Entry, ...]
    commit_index: LogIndex
    sent_at_s: float
    """Send time on the leader's monotonic clock, in seconds."""


class AppendReply(_Message, frozen=True, kw_only=True, array_like=True, tag="ar"):
    """Acknowledges entries that are synced and match the leader's log."""

    match_index: LogIndex
    sent_at_s: float
    """Latest send time received from the leader in this term, in seconds of its clock."""


class AppendRejection(_Message, frozen=True, kw_only=True, array_like=True, tag="ax"):
    """Rejects entries because the log doesn't match at the position before them."""

    previous_index: LogIndex
    hint_index: LogIndex
    """Last index that may match."""

    sent_at_s: float


class SnapshotChunk(_Message, frozen=True, kw_only=True, array_like=True, tag="sc"):
    """Sends a part of a snapshot."""

    mark: SnapshotMark
    offset: int
    data: bytes
    sent_at_s: float


class SnapshotReply(_Message, frozen=True, kw_only=True, array_like=True, tag="sr"):
    """Requests the next part of a snapshot."""

    position: LogPosition
    next_offset: int
    sent_at_s: float


class TransferRequest(_Message, frozen=True, kw_only=True, array_like=True, tag="tq"):
    """Requests that a follower start an election at once; the sender has stepped down."""


class Announcement(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="an"):
    """Announces a data folder that belongs to no formed group yet."""

    member: Member
    initial_replicas: tuple[ReplicaId, ...] = ()
    """Replicas of a new group; a host with another list of initial replicas doesn't reply."""


class AnnouncementReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="anr"):
    """Replies to an `Announcement`."""

    requester: MemberId
    member: Member
    formed: bool
    """Whether the replying replica belongs to a group, or may have belonged to one before."""

    members: tuple[Member, ...] = ()
    """The group's members in the log of the replying replica; all may be new to the requester."""

    has_group: bool | None = None
    """Whether the replying replica belongs to a group now; None from a build without the field."""


class Departure(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="dp"):
    """Tells the group that a member is about to stop, and asks whether it may.

    Sent repeatedly until the leader replies that it may, because leaders may change meanwhile.
    """


class DepartureReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="dpr"):
    """Replies to a `Departure`; only the leader sends it."""

    may_stop: bool
    """Whether the member has no vote any more, or keeps it because nobody could take it over."""


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
AnsweredMessage = PreVoteRequest | VoteRequest | LeaderMessage | Announcement
"""Messages to which the receiving replica replies, whichever role it has."""

FormationMessage = Announcement | AnnouncementReply
DepartureMessage = Departure | DepartureReply
GroupMessage = ReplicaMessage | FormationMessage | DepartureMessage
