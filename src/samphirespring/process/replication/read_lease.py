"""Checks for reads and proposals at a replica, and its last contact with the group."""

from samphirespring.process.replication.replica_state import ReplicaState


def has_read_lease(state: ReplicaState, *, now_s: float) -> bool:
    """Return whether a replica leads under a valid lease and has all committed entries.

    Args:
        state: The replica's state.
        now_s: Monotonic time, in seconds.
    """
    leadership = state.leadership
    if leadership is None or state.commit_index < leadership.first_index:
        return False
    end_s = leadership.find_lease_end_s(now_s)
    return end_s is not None and now_s < end_s


def may_propose(state: ReplicaState, *, now_s: float) -> bool:
    """Return whether a replica leads and had recent contact with a quorum.

    Args:
        state: The replica's state.
        now_s: Monotonic time, in seconds.
    """
    return state.leadership is not None and not state.leadership.has_lost_quorum(now_s)


def find_last_contact_at_s(state: ReplicaState, *, now_s: float) -> float | None:
    """Return when a replica last had contact with the group, or None.

    For a leader this is the latest send time that a quorum confirmed, else the time of the last
    message of a leader.

    Args:
        state: The replica's state.
        now_s: Monotonic time, in seconds.
    """
    leadership = state.leadership
    if leadership is None:
        return state.leader_contact_at_s
    contact_at_s = leadership.find_last_contact_at_s(now_s)
    return state.leader_contact_at_s if contact_at_s is None else contact_at_s
