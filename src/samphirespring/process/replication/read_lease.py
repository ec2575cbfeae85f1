"""When a replica may answer as leader, and how old the knowledge of another one is."""

from samphirespring.process.replication.replica_state import ReplicaState


def has_read_lease(state: ReplicaState, *, now_s: float) -> bool:
    """Return whether a replica may answer as leader, and knows all that is committed.

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
    """Return whether a replica leads and heard a quorum lately.

    Args:
        state: The replica's state.
        now_s: Monotonic time, in seconds.
    """
    return state.leadership is not None and not state.leadership.has_lost_quorum(now_s)


def find_contact_s(state: ReplicaState, *, now_s: float) -> float | None:
    """Return when a replica was last known to be in touch with the rest, or None.

    For a leader that is when a quorum last heard it, else when this replica last heard a leader.

    Args:
        state: The replica's state.
        now_s: Monotonic time, in seconds.
    """
    leadership = state.leadership
    if leadership is None:
        return state.leader_contact_at_s
    contact_s = leadership.find_contact_s(now_s)
    return state.leader_contact_at_s if contact_s is None else contact_s
