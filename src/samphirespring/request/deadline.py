"""Deadline of a request."""

import msgspec

AGENT_REPORT_GRACE_S = 0.05
"""Time beyond the deadline in which the agent can report a timeout itself, in seconds."""


class Deadline(msgspec.Struct, frozen=True, kw_only=True):
    """Time by which the caller needs its response.

    Attributes:
        at_s: Monotonic time, in seconds.
    """

    at_s: float

    def compute_remaining_s(self, now_s: float) -> float:
        """Return the remaining time, in seconds; negative after the deadline.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        return self.at_s - now_s

    def compute_remaining_ms(self, now_s: float) -> int:
        """Return the remaining time, in whole milliseconds, at least 0.

        Args:
            now_s: Current monotonic time, in seconds.
        """
        return max(0, int(self.compute_remaining_s(now_s) * 1_000))


def make_deadline(*, now_s: float, route_ms: int, caller_ms: int | None) -> Deadline:
    """Return the earlier of the route's and the caller's deadline.

    Args:
        now_s: Monotonic time at which the request arrived, in seconds.
        route_ms: Maximum duration that the route allows, in milliseconds.
        caller_ms: Timeout that the caller requested, in milliseconds; None if it requested none.
    """
    granted_ms = route_ms if caller_ms is None else min(route_ms, caller_ms)
    return Deadline(at_s=now_s + granted_ms / 1_000)
