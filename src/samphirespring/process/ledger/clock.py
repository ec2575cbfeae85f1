"""Clock of a ledger group, which never runs faster than real time."""

import math

from samphirespring.process.ledger.ids import LedgerTime


class LedgerClock:
    """Timestamps a leader's commands without relying on a wall clock.

    A group's first command has time 0. A leader adds the monotonic time elapsed since it read the
    group's time from the committed state. Periods without a leader don't count, so a claim is kept
    for at least its retention in real time, independent of the hosts' wall clocks.
    """

    def __init__(self) -> None:
        self._anchor_ms = LedgerTime(0)
        self._anchored_at_s = -math.inf

    def read(self, *, committed_ms: LedgerTime, now_s: float) -> LedgerTime:
        """Return the timestamp for a command that is proposed now.

        Args:
            committed_ms: Latest time of the commands that this replica has applied.
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
