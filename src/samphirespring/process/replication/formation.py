"""Forms a new group once enough of its initial replicas have reported an empty data folder.

A replica with an empty folder can't tell whether its group is new or its disk was replaced. If the
settings say which replicas start for the first time, a majority of the initial replicas must be
among them, and none may belong to a group: a commit needs a majority, so no group can have
committed anything. If the settings don't say so, all initial replicas must reply that they never
belonged to a group. Of the replicas that may form the group, the one with the lowest id does so;
the others announce themselves and wait until the leader adds them. Hosts in the settings that are
to hold no replica must reply as well: they may have held one before the group was moved to other
hosts.
"""

from collections.abc import Sequence

import msgspec

from samphirespring.process.ids import ReplicaId
from samphirespring.process.replication.entries import Member, Membership
from samphirespring.process.replication.messages import AnnouncementReply

REPLY_VALIDITY_S = 3.0
"""How long a reply to an announcement counts, in seconds."""


class _EmptyReplica(msgspec.Struct, frozen=True, kw_only=True):
    """A replica that replied that it belongs to no group.

    Attributes:
        member: Its record.
        may_form: Whether it never belonged to one.
        replied_at_s: When it replied, in seconds of monotonic time.
    """

    member: Member
    may_form: bool
    replied_at_s: float


class Formation:
    """Collects the replies to announcements of this member.

    Args:
        own: Record of this member.
        initial_replicas: Replicas of a new group.
        other_hosts: Hosts that must also reply that they never belonged to the group.
        may_form: Whether this data folder never belonged to a group.
        knows_first_start: Whether `may_form` comes from the settings, so that a replica that lost
            its disk doesn't claim it.
    """

    def __init__(
        self,
        *,
        own: Member,
        initial_replicas: Sequence[ReplicaId],
        other_hosts: Sequence[ReplicaId] = (),
        may_form: bool,
        knows_first_start: bool = False,
    ) -> None:
        self._own = own
        self.initial_replicas = tuple(sorted(initial_replicas))
        """Replicas of a new group, in order."""
        self._other_hosts = tuple(other_hosts)
        self._may_form = may_form
        self._knows_first_start = knows_first_start
        self._replies: dict[ReplicaId, _EmptyReplica] = {}
        self._formed_at_s: dict[ReplicaId, float] = {}
        """When each replica replied that it belongs to a group, in seconds of monotonic time."""

    def record_reply(self, reply: AnnouncementReply, *, now_s: float) -> None:
        """Record the reply of another replica.

        Args:
            reply: The reply; a reply to an earlier member of this replica is ignored.
            now_s: Monotonic time, in seconds.
        """
        if reply.requester != self._own.member:
            return
        is_undecided = self._knows_first_start and reply.has_group is False
        if reply.formed and not is_undecided:
            # Whether the group lives on is open if the settings say which replicas are new: the
            # only replica that belonged to it may lose its disk.
            self._may_form = self._may_form and self._knows_first_start
            self._formed_at_s[reply.member.replica] = now_s
            return
        # The disk of a replica that belonged to a group before has been replaced.
        self._formed_at_s.pop(reply.member.replica, None)
        self._replies[reply.member.replica] = _EmptyReplica(
            member=reply.member, may_form=not reply.formed, replied_at_s=now_s
        )

    def find_membership(self, now_s: float) -> Membership | None:
        """Return the first membership if this replica may form the group now.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if not self._may_form or self._own.replica not in self.initial_replicas:
            return None
        others = [replica for replica in self.initial_replicas if replica != self._own.replica]
        fresh = {
            replica: reply
            for replica, reply in self._replies.items()
            if now_s - reply.replied_at_s <= REPLY_VALIDITY_S
        }
        if not fresh.keys() >= {*others, *self._other_hosts}:
            return None
        if any(now_s - at_s <= REPLY_VALIDITY_S for at_s in self._formed_at_s.values()):
            return None
        eligible = [replica for replica in others if fresh[replica].may_form]
        if any(replica < self._own.replica for replica in eligible):
            return None
        if 2 * (len(eligible) + 1) <= len(self.initial_replicas):
            return None
        return Membership(members=(self._own, *(fresh[replica].member for replica in others)))
