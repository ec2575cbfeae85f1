"""Measures which share of its time an event loop waits for input or timers."""

import msgspec

WINDOW_S = 1.0
"""Shortest time over which the load is measured, in seconds."""

BUSY_SHARE = 0.9
"""Share of a window without waiting from which the loop counts as busy."""


class LoopLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of an event loop over one window.

    Many turns with few input events point at callbacks that schedule each other again at once; one
    long turn points at a step that takes long; many input events point at a load from outside.

    Attributes:
        duration_s: Length of the window, in seconds.
        waited_s: Time in which the loop waited, in seconds.
        turns: Number of turns of the loop.
        idle_turns: Turns that began with neither an input event nor a wait.
        events: Number of input events.
        longest_turn_s: Longest time from one look at the input to the next, in seconds.
    """

    duration_s: float
    waited_s: float
    turns: int
    idle_turns: int
    events: int
    longest_turn_s: float

    @property
    def is_busy(self) -> bool:
        """Whether the loop hardly waited."""
        return self.duration_s - self.waited_s >= BUSY_SHARE * self.duration_s


class LoopMeter:
    """Adds up the turns of an event loop, and yields its load once a window is over.

    Args:
        now_s: Monotonic time, in seconds.
    """

    def __init__(self, *, now_s: float) -> None:
        self._turn_began_at_s = now_s
        self._window = _Window(began_at_s=now_s)

    def record_look(
        self, *, began_at_s: float, ended_at_s: float, may_wait: bool, events: int
    ) -> LoopLoad | None:
        """Record one look at the input, which ends a turn and begins the next one.

        Args:
            began_at_s: When the loop began to look, in seconds of monotonic time.
            ended_at_s: When it had the events, in seconds of monotonic time.
            may_wait: Whether it waited for events if there were none.
            events: Number of input events.

        Returns:
            The load, if this look ended a window.
        """
        window = self._window
        window.turns += 1
        window.events += events
        window.idle_turns += not may_wait and events == 0
        if may_wait:
            window.waited_s += ended_at_s - began_at_s
        window.longest_turn_s = max(window.longest_turn_s, began_at_s - self._turn_began_at_s)
        self._turn_began_at_s = ended_at_s
        if ended_at_s < window.began_at_s + WINDOW_S:
            return None
        self._window = _Window(began_at_s=ended_at_s)
        return window.make_load(ended_at_s)


class _Window(msgspec.Struct, kw_only=True):
    """What was added up since the beginning of a window; the fields are those of `LoopLoad`."""

    began_at_s: float
    waited_s: float = 0.0
    turns: int = 0
    idle_turns: int = 0
    events: int = 0
    longest_turn_s: float = 0.0

    def make_load(self, now_s: float) -> LoopLoad:
        return LoopLoad(
            duration_s=now_s - self.began_at_s,
            waited_s=self.waited_s,
            turns=self.turns,
            idle_turns=self.idle_turns,
            events=self.events,
            longest_turn_s=self.longest_turn_s,
        )
