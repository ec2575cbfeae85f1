"""Queue of attempts that wait briefly for a slot before their front tries another target."""

from bisect import insort

from samphirespring.process.agent.admission_queue import AdmissionQueue, SlotPace, Waiter
from samphirespring.request.messages import AttemptRequest
from samphirespring.request.states import RefusalCode

MAX_WAIT_S = 0.05
"""Longest wait for a slot, in seconds; after it the front can try another target."""

HELPER_SHARE = 0.5
"""Share of the queue that attempts of the helper class may fill."""


class BriefQueue(AdmissionQueue):
    """Bounded queue: interactive reads and actions precede helpers, which are shed first.

    Interactive reads and actions are ordered by rank, lowest first, and by arrival within a rank.
    """

    def __init__(self) -> None:
        self._urgent: list[Waiter] = []
        self._helpers: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._urgent) + len(self._helpers)

    @property
    def waiting_work_s(self) -> float:
        """Expected work of the waiting attempts, in seconds of a target of usual speed."""
        return sum(w.request.work_s or 0.0 for w in (*self._urgent, *self._helpers))

    def find_wait_end(self, request: AttemptRequest, *, pace: SlotPace, now_s: float) -> float:
        """Return until when an attempt may wait, in seconds of monotonic time."""
        return now_s + min(request.remaining_ms / 1_000, MAX_WAIT_S)

    def offer(self, waiter: Waiter, *, pace: SlotPace, now_s: float) -> RefusalCode | None:
        """Enqueue an attempt, or return why it is refused; as many wait as there are slots."""
        capacity = pace.slots
        if waiter.is_helper:
            if len(self) >= capacity * HELPER_SHARE:
                return RefusalCode.SHEDDING
            self._helpers.append(waiter)
            return None
        if len(self) >= capacity and not self._shed_helper():
            return RefusalCode.NO_SLOT
        insort(self._urgent, waiter, key=lambda other: other.request.rank)
        return None

    def pop_next(self, *, pace: SlotPace, now_s: float) -> Waiter | None:
        """Remove and return the attempt for the next slot; refuse expired and abandoned ones."""
        for queue in (self._urgent, self._helpers):
            while queue:
                waiter = queue.pop(0)
                if waiter.wait_ends_at_s > now_s and not waiter.reply.abandoned:
                    return waiter
                waiter.expire(now_s)
        return None

    def remove(self, waiter: Waiter) -> bool:
        """Remove an attempt, and return whether it was still in the queue."""
        queue = self._helpers if waiter.is_helper else self._urgent
        if waiter not in queue:
            return False
        queue.remove(waiter)
        return True

    def refuse_all(self, code: RefusalCode) -> None:
        """Refuse every waiting attempt."""
        for waiter in (*self._urgent, *self._helpers):
            waiter.refuse(code)
        self._urgent.clear()
        self._helpers.clear()

    def _shed_helper(self) -> bool:
        if not self._helpers:
            return False
        self._helpers.pop().refuse(RefusalCode.SHEDDING)
        return True
