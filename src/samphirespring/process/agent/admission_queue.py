"""Bounded queue of attempts that wait for a slot of one target."""

from bisect import insort

import msgspec

from samphirespring.process.mailbox import ReplySlot
from samphirespring.request.messages import AttemptRefused, AttemptRequest
from samphirespring.request.states import RefusalCode
from samphirespring.version.states import PriorityClass

MAX_WAIT_S = 0.05
"""Longest wait for a slot, in seconds; after it the front can try another target."""

HELPER_SHARE = 0.5
"""Share of the queue that attempts of the helper class may fill."""


class Admission(msgspec.Struct, frozen=True, kw_only=True):
    """Permission to run one attempt in a slot of a target."""

    address: str
    """`IP:port` of the backend server."""


class Waiter(msgspec.Struct, frozen=True, kw_only=True, eq=False):
    """An attempt in the queue.

    Attributes:
        request: The attempt.
        deadline_at_s: The caller's deadline, in seconds of monotonic time.
        wait_ends_at_s: End of the wait, in seconds of monotonic time.
        reply: Receives the admission or the refusal.
    """

    request: AttemptRequest
    deadline_at_s: float
    wait_ends_at_s: float
    reply: ReplySlot[Admission | AttemptRefused]

    @property
    def is_helper(self) -> bool:
        """Whether the attempt belongs to the helper class, which is shed first."""
        return self.request.priority is PriorityClass.HELPER

    def refuse(self, code: RefusalCode) -> None:
        """Reply that the attempt did not start and never will.

        Args:
            code: Reason of the refusal.
        """
        self.reply.send(AttemptRefused(attempt=self.request.attempt, code=code))

    def expire(self, now_s: float) -> None:
        """Refuse the attempt because its wait is over.

        Args:
            now_s: Monotonic time, in seconds.
        """
        expired = self.deadline_at_s <= now_s
        self.refuse(RefusalCode.EXPIRED if expired else RefusalCode.NO_SLOT)


class AdmissionQueue:
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

    def offer(self, waiter: Waiter, *, capacity: int) -> RefusalCode | None:
        """Enqueue an attempt, or return why it is refused.

        Args:
            waiter: The attempt.
            capacity: Largest number of waiting attempts.
        """
        if waiter.is_helper:
            if len(self) >= capacity * HELPER_SHARE:
                return RefusalCode.SHEDDING
            self._helpers.append(waiter)
            return None
        if len(self) >= capacity and not self._shed_helper():
            return RefusalCode.NO_SLOT
        insort(self._urgent, waiter, key=lambda other: other.request.rank)
        return None

    def pop_next(self, *, now_s: float) -> Waiter | None:
        """Remove and return the attempt for the next slot; refuse expired and abandoned ones.

        Args:
            now_s: Monotonic time, in seconds.
        """
        for queue in (self._urgent, self._helpers):
            while queue:
                waiter = queue.pop(0)
                if waiter.wait_ends_at_s > now_s and not waiter.reply.abandoned:
                    return waiter
                waiter.expire(now_s)
        return None

    def remove(self, waiter: Waiter) -> bool:
        """Remove an attempt, and return whether it was still in the queue.

        Args:
            waiter: The attempt.
        """
        queue = self._helpers if waiter.is_helper else self._urgent
        if waiter not in queue:
            return False
        queue.remove(waiter)
        return True

    def refuse_all(self, code: RefusalCode) -> None:
        """Refuse every waiting attempt.

        Args:
            code: Reason of the refusal.
        """
        for waiter in (*self._urgent, *self._helpers):
            waiter.refuse(code)
        self._urgent.clear()
        self._helpers.clear()

    def _shed_helper(self) -> bool:
        if not self._helpers:
            return False
        self._helpers.pop().refuse(RefusalCode.SHEDDING)
        return True
