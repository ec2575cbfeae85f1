"""State of a leader during one term."""

from collections.abc import Mapping

from samphirespring.process.ids import LogIndex, MemberId, Term
from samphirespring.process.replication.effects import Effect, Send, SendSnapshotChunk
from samphirespring.process.replication.entries import LogPosition
from samphirespring.process.replication.messages import (
    AppendRejection,
    AppendReply,
    AppendRequest,
    FollowerMessage,
    Heartbeat,
    HeartbeatReply,
    SnapshotReply,
)
from samphirespring.process.replication.persistence import PersistenceTracker
from samphirespring.process.replication.progress import FollowerProgress
from samphirespring.process.replication.quorum import find_quorum_contact_at_s, find_quorum_match
from samphirespring.process.replication.replica_log import ReplicaLog
from samphirespring.process.replication.timing import ReplicaTiming
from samphirespring.process.states import FollowerMode

APPEND_ENTRY_LIMIT = 512
"""Largest number of entries in one message."""

APPEND_BYTE_LIMIT = 1 << 20
"""Sum of payloads, in bytes, from which no further entry is added to a message."""

IN_FLIGHT_ENTRY_LIMIT = 4096
"""Largest number of entries sent to one follower and not yet acknowledged."""

SNAPSHOT_RESEND_S = 1.0

REPORTED_SILENCE_S = 1.0
"""Time without a reply from which a leader tells its followers of a silent member, in seconds."""

SILENCE_CHECK_S = 1.0
"""Time for which a leader itself must have missed a member that an earlier leader missed, too."""


class Leadership:
    """Tracks the followers' progress, the lease and the commit index of one term.

    Args:
        member: The leader.
        term: Its term.
        log: The replica's log; the replica appends to it.
        persistence: Tracks the replica's writes.
        timing: Intervals and timeouts.
        silent_since_s: When the members that the previous leader missed were heard last, in
            seconds of monotonic time.
        now_s: Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        member: MemberId,
        term: Term,
        log: ReplicaLog,
        persistence: PersistenceTracker,
        timing: ReplicaTiming,
        silent_since_s: Mapping[MemberId, float],
        now_s: float,
    ) -> None:
        self._member = member
        self._term = term
        self._log = log
        self._persistence = persistence
        self._timing = timing
        self._silent_since_s = dict(silent_since_s)
        self._started_at_s = now_s
        self._tracked_since_s: dict[MemberId, float] = {}
        """When each follower was tracked first: at the start of the term, or once it was added."""
        self._heartbeat_due_at_s = now_s
        self._first_index = LogIndex(log.last.index + 1)
        self.followers: dict[MemberId, FollowerProgress] = {}
        self.refresh_followers()

    @property
    def first_index(self) -> LogIndex:
        """Index of the first entry of this term."""
        return self._first_index

    def refresh_followers(self) -> None:
        """Track the followers of the newest membership; existing progress is kept."""
        tracked = self.followers
        self.followers = {}
        for record in self._log.membership.members:
            if record.member != self._member:
                fresh = FollowerProgress(next_index=LogIndex(max(1, self._log.last.index)))
                self.followers[record.member] = tracked.get(record.member, fresh)

    def find_last_contact_at_s(self, now_s: float) -> float | None:
        """Return the latest send time that a quorum of voters has confirmed, or None.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return find_quorum_contact_at_s(
            self._log.membership, self.followers, leader=self._member, now_s=now_s
        )

    def list_unresponsive(self, now_s: float, *, limit_s: float) -> frozenset[MemberId]:
        """Return the followers without a reply for longer than a limit.

        Args:
            now_s: Monotonic time, in seconds.
            limit_s: The limit, in seconds.
        """
        return frozenset(
            member
            for member, silence_s in self._measure_silences(now_s).items()
            if silence_s > limit_s
        )

    def _measure_silences(self, now_s: float) -> dict[MemberId, float]:
        """Return the time since the last reply of each follower to this or an earlier leader.

        What an earlier leader missed counts only once this one has missed the follower, too.
        """
        inherits = now_s - self._started_at_s > SILENCE_CHECK_S
        silences = {}
        for member, progress in self.followers.items():
            heard_at_s = self._tracked_since_s.setdefault(member, now_s)
            if inherits:
                heard_at_s = self._silent_since_s.get(member, heard_at_s)
            if progress.contact_s is not None:
                heard_at_s = progress.contact_s
            silences[member] = now_s - heard_at_s
        return silences

    def request_heartbeats(self) -> None:
        """Send heartbeats at once, so that a quorum soon confirms the leadership."""
        self._heartbeat_due_at_s = float("-inf")

    def find_lease_end_s(self, now_s: float) -> float | None:
        """Return the end of the lease, in seconds, or None before the first lease.

        Args:
            now_s: Monotonic time, in seconds.
        """
        contact_at_s = self.find_last_contact_at_s(now_s)
        return None if contact_at_s is None else contact_at_s + self._timing.lease_s

    def has_lost_quorum(self, now_s: float) -> bool:
        """Return whether the leader must step down because its lease has expired.

        Args:
            now_s: Monotonic time, in seconds.
        """
        end_s = self.find_lease_end_s(now_s)
        if end_s is None:
            end_s = self._started_at_s + self._timing.lease_s
        return now_s >= end_s

    def find_commit_index(self) -> LogIndex | None:
        """Return the last index to commit, or None if a quorum has no entry of this term."""
        index = find_quorum_match(
            self._log.membership,
            self.followers,
            leader=self._member,
            leader_synced=self._persistence.synced_index,
        )
        # Entries of earlier terms commit only together with an entry of this term (Raft, 5.4.2).
        return index if self._log.find_term(index) == self._term else None

    def record_reply(self, sender: MemberId, message: FollowerMessage) -> bool:
        """Record the progress in a reply; return whether the sender is a follower.

        Args:
            sender: Member that sent the reply.
            message: The reply; its term is this one.
        """
        progress = self.followers.get(sender)
        if progress is None:
            return False
        progress.record_contact(message.sent_at_s)
        match message:
            case HeartbeatReply():
                if progress.record_match(message.match_index):
                    progress.resume()
                progress.check_heartbeat_reply()
            case AppendReply():
                progress.record_match(message.match_index)
                progress.resume()
            case AppendRejection():
                if message.previous_index > progress.match_index:
                    progress.rewind(message.hint_index)
            case SnapshotReply():
                progress.record_snapshot_offset(message.position, message.next_offset)
        return True

    def make_due_heartbeats(self, *, commit_index: LogIndex, now_s: float) -> list[Effect]:
        """Return the heartbeats that are due.

        Args:
            commit_index: Last committed index.
            now_s: Monotonic time, in seconds.
        """
        if now_s < self._heartbeat_due_at_s:
            return []
        self._heartbeat_due_at_s = now_s + self._timing.heartbeat_s
        silences = tuple(
            (member, silence_s)
            for member, silence_s in self._measure_silences(now_s).items()
            if silence_s > REPORTED_SILENCE_S
        )
        return [
            Send(
                to=member,
                message=Heartbeat(
                    term=self._term,
                    sent_at_s=now_s,
                    commit_index=min(commit_index, progress.match_index),
                    silences=silences,
                ),
            )
            for member, progress in self.followers.items()
        ]

    def make_appends(self, *, commit_index: LogIndex, now_s: float) -> list[Effect]:
        """Return the entries and snapshot parts to send now.

        Args:
            commit_index: Last committed index.
            now_s: Monotonic time, in seconds.
        """
        effects: list[Effect] = []
        for member, progress in self.followers.items():
            effects.extend(self._make_follower_appends(member, progress, commit_index, now_s))
        return effects

    def _make_follower_appends(
        self, member: MemberId, progress: FollowerProgress, commit_index: LogIndex, now_s: float
    ) -> list[Effect]:
        if progress.mode is FollowerMode.SNAPSHOT:
            return self._make_snapshot_chunk(member, progress, now_s)
        effects: list[Effect] = []
        while self._may_send(progress):
            previous_index = LogIndex(progress.next_index - 1)
            previous_term = self._log.find_term(previous_index)
            if previous_term is None:
                return [*effects, *self._start_snapshot(member, progress, now_s)]
            request = self._make_request(
                LogPosition(index=previous_index, term=previous_term), commit_index, now_s
            )
            effects.append(Send(to=member, message=request))
            progress.next_index = LogIndex(request.entries[-1].index + 1)
            progress.paused = progress.mode is FollowerMode.PROBE
        return effects

    def _may_send(self, progress: FollowerProgress) -> bool:
        if progress.paused or progress.next_index > self._log.last.index:
            return False
        in_flight = progress.next_index - 1 - progress.match_index
        return progress.mode is FollowerMode.PROBE or in_flight < IN_FLIGHT_ENTRY_LIMIT

    def _make_request(
        self, previous: LogPosition, commit_index: LogIndex, now_s: float
    ) -> AppendRequest:
        first = LogIndex(previous.index + 1)
        last = min(self._log.last.index, LogIndex(previous.index + APPEND_ENTRY_LIMIT))
        entries = self._log.read(first, last)
        size_bytes = 0
        count = 0
        for entry in entries:
            size_bytes += len(entry.payload)
            count += 1
            if size_bytes >= APPEND_BYTE_LIMIT:
                break
        return AppendRequest(
            term=self._term,
            previous=previous,
            entries=entries[:count],
            commit_index=commit_index,
            sent_at_s=now_s,
        )

    def _start_snapshot(
        self, member: MemberId, progress: FollowerProgress, now_s: float
    ) -> list[Effect]:
        if self._log.snapshot is None:
            return []
        progress.start_snapshot(self._log.snapshot)
        return self._make_snapshot_chunk(member, progress, now_s)

    def _make_snapshot_chunk(
        self, member: MemberId, progress: FollowerProgress, now_s: float
    ) -> list[Effect]:
        newest = self._log.snapshot
        if newest is None:
            return []
        if progress.snapshot != newest:
            progress.start_snapshot(newest)
        if now_s < progress.snapshot_sent_s + SNAPSHOT_RESEND_S:
            return []
        progress.snapshot_sent_s = now_s
        return [
            SendSnapshotChunk(
                to=member, mark=newest, offset=progress.snapshot_offset, sent_at_s=now_s
            )
        ]
