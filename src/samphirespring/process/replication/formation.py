"""Forms a new group once all its initial replicas have reported an empty data folder.

A replica with an empty folder can't tell whether its group is new or its disk was replaced. The
initial replica with the lowest id forms the group only once all other initial replicas have replied
that they never belonged to one. Otherwise the replica announces itself and waits until the leader
adds it. Hosts in the settings that are to hold no replica must reply as well: they may have held
one before the group was moved to other hosts.
"""

from collections.abc import Sequence

from samphirespring.process.ids import ReplicaId
from samphirespring.process.replication.entries import Member, Membership
from samphirespring.process.replication.messages import AnnouncementReply

REPLY_VALIDITY_S = 3.0
"""How long a reply to an announcement counts, in seconds."""


class Formation:
    """Collects the replies to announcements of this member.

    Args:
        own: Record of this member.
        initial_replicas: Replicas of a new group.
        other_hosts: Hosts that must also reply that they never belonged to the group.
        may_form: Whether this data folder never belonged to a group.
    """

    def __init__(
        self,
        *,
        own: Member,
        initial_replicas: Sequence[ReplicaId],
        other_hosts: Sequence[ReplicaId] = (),
        may_form: bool,
    ) -> None:
        self._own = own
        self.initial_replicas = tuple(sorted(initial_replicas))
        """Replicas of a new group, in order."""
        self._other_hosts = tuple(other_hosts)
        self._may_form = may_form
        self._empty_members: dict[ReplicaId, Member] = {}
        self._replied_at_s: dict[ReplicaId, float] = {}

    def record_reply(self, reply: AnnouncementReply, *, now_s: float) -> None:
        """Record the reply of another replica.

        Args:
            reply: The reply; a reply to an earlier member of this replica is ignored.
            now_s: Monotonic time, in seconds.
        """
        if reply.requester != self._own.member:
            return
        if reply.formed:
            self._may_form = False
            return
        self._empty_members[reply.member.replica] = reply.member
        self._replied_at_s[reply.member.replica] = now_s

    def find_membership(self, now_s: float) -> Membership | None:
        """Return the first membership if this replica may form the group now.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if not self._may_form or self._own.replica != self.initial_replicas[0]:
            return None
        others = self.initial_replicas[1:]
        for replica in (*others, *self._other_hosts):
            if now_s - self._replied_at_s.get(replica, float("-inf")) > REPLY_VALIDITY_S:
                return None
        return Membership(
            members=(self._own, *(self._empty_members[replica] for replica in others))
        )
