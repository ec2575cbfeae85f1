"""Attempts that wait for a slot of one target."""

from bisect import insort
from dataclasses import dataclass

from samphirespring.process.mailbox import ReplySlot
from samphirespring.request.messages import AttemptRefused, AttemptRequest
from samphirespring.request.states import RefusalCode
from samphirespring.version.states import PriorityClass

MAX_WAIT_S = 0.05
"""Longest wait for a slot, in seconds; another target may be free meanwhile."""

HELPER_SHARE = 0.5
"""Part of the queue that helper attempts may fill."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Admission:
    """The right to run one attempt in a slot of a target."""

    address: str
    """`IP:port` of the backend server."""


@dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class Waiter:
    """An attempt that waits for a slot.

    Attributes:
        request: The attempt.
        deadline_s: The caller's deadline, in seconds of monotonic time.
        wait_until_s: Latest moment to wait for, in seconds of monotonic time.
        reply: Takes the admission or the refusal.
    """

    request: AttemptRequest
    deadline_s: float
    wait_until_s: float
    reply: ReplySlot[Admission | AttemptRefused]

    @property
    def is_helper(self) -> bool:
        """Whether the attempt is shed first."""
        return self.request.priority is PriorityClass.HELPER

    def refuse(self, code: RefusalCode) -> None:
        """Tell the front that the attempt did not start and never will.

        Args:
            code: Why.
        """
        self.reply.reply(AttemptRefused(attempt=self.request.attempt, code=code))

    def expire(self, now_s: float) -> None:
        """Refuse the attempt because its wait is over.

        Args:
            now_s: Monotonic time, in seconds.
        """
        expired = self.deadline_s <= now_s
        self.refuse(RefusalCode.EXPIRED if expired else RefusalCode.NO_SLOT)


class AdmissionQueue:
    """Bounded queue: interactive reads and actions go before helpers, which are shed first.

    Among the former, lower ranks go first; of equal ones, those that came first.
    """

    def __init__(self) -> None:
        self._urgent: list[Waiter] = []
        self._helpers: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._urgent) + len(self._helpers)

    def offer(self, waiter: Waiter, *, capacity: int) -> RefusalCode | None:
        """Let an attempt wait, or return why it may not.

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
        """Remove and return the attempt that gets the next slot; late ones are refused.

        Args:
            now_s: Monotonic time, in seconds.
        """
        for queue in (self._urgent, self._helpers):
            while queue:
                waiter = queue.pop(0)
                if waiter.wait_until_s > now_s and not waiter.reply.abandoned:
                    return waiter
                waiter.expire(now_s)
        return None

    def remove(self, waiter: Waiter) -> bool:
        """Remove an attempt, and return whether it still waited.

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
            code: Why.
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
