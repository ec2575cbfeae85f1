"""Deadline of a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Deadline:
    """Moment by which the caller wants its answer.

    Attributes:
        at_s: The moment, in seconds of monotonic time.
    """

    at_s: float

    def compute_remaining_s(self, now_s: float) -> float:
        """Return the time left, in seconds; negative once it has passed.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return self.at_s - now_s

    def compute_remaining_ms(self, now_s: float) -> int:
        """Return the time left, in whole milliseconds, at least 0.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return max(0, int(self.compute_remaining_s(now_s) * 1_000))


def make_deadline(*, now_s: float, route_ms: int, caller_ms: int | None) -> Deadline:
    """Return the earlier of the route's and the caller's deadline.

    Args:
        now_s: Monotonic time at the request's arrival, in seconds.
        route_ms: Longest time that the route grants, in milliseconds.
        caller_ms: Time that the caller grants, in milliseconds; None if it said nothing.
    """
    granted_ms = route_ms if caller_ms is None else min(route_ms, caller_ms)
    return Deadline(at_s=now_s + granted_ms / 1_000)
