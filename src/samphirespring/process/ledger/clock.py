"""Time of a ledger group, which never runs faster than real time."""

import math

from samphirespring.process.ledger.ids import LedgerTime


class LedgerClock:
    """Stamps a leader's commands without trusting any wall clock.

    The first command of a group is at 0. A leader adds the monotonic time that has passed since it
    read the group's time from committed state. Time without a leader doesn't count, so that a claim
    is kept at least as long as its retention in real time, whatever the hosts' wall clocks say.
    """

    def __init__(self) -> None:
        self._anchor_ms = LedgerTime(0)
        self._anchored_at_s = -math.inf

    def read(self, *, committed_ms: LedgerTime, now_s: float) -> LedgerTime:
        """Return the time for a command that is proposed now.

        Args:
            committed_ms: Latest time among the commands that this replica applied.
            now_s: Monotonic time, in seconds.
        """
        if math.isinf(self._anchored_at_s):
            self._anchor(committed_ms, now_s)
        elapsed_ms = int((now_s - self._anchored_at_s) * 1_000)
        reading_ms = LedgerTime(self._anchor_ms + elapsed_ms)
        if committed_ms > reading_ms:
            self._anchor(committed_ms, now_s)
            return committed_ms
        return reading_ms

    def _anchor(self, committed_ms: LedgerTime, now_s: float) -> None:
        self._anchor_ms = committed_ms
        self._anchored_at_s = now_s
