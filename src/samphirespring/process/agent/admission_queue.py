"""Interface of the queues in which attempts wait for a slot of one target."""

import math
from abc import ABC, abstractmethod

import msgspec

from samphirespring.process.mailbox import ReplySlot
from samphirespring.request.messages import AttemptRefused, AttemptRequest
from samphirespring.request.states import RefusalCode
from samphirespring.version.states import PriorityClass


class Admission(msgspec.Struct, frozen=True, kw_only=True):
    """Permission to run one attempt in a slot of a target."""

    address: str
    """`IP:port` of the backend server."""


class Waiter(msgspec.Struct, frozen=True, kw_only=True, eq=False):
    """An attempt in the queue.

    Attributes:
        request: The attempt.
        arrived_at_s: Time of its arrival, in seconds of monotonic time.
        deadline_at_s: The caller's deadline, in seconds of monotonic time.
        wait_ends_at_s: End of the wait, in seconds of monotonic time.
        aim_needs_start_by_s: Latest start for a response within the aim, in seconds of monotonic
            time; infinite without an aim.
        reply: Receives the admission or the refusal.
    """

    request: AttemptRequest
    arrived_at_s: float
    deadline_at_s: float
    wait_ends_at_s: float
    aim_needs_start_by_s: float = math.inf
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


class SlotPace(msgspec.Struct, frozen=True, kw_only=True):
    """How fast the slots of a target become free.

    Attributes:
        slots: Requests that the target runs concurrently.
        run_s: Usual duration of a request, in seconds.
        slow_run_s: Duration that few requests exceed, in seconds.
    """

    slots: int
    run_s: float
    slow_run_s: float

    def expect_slow_run_s(self, request: AttemptRequest) -> float:
        """Return the duration that few requests like an attempt exceed, in seconds.

        What the attempt itself is expected to cost counts, where its front knows: those of a
        service may differ by far.

        Args:
            request: The attempt.
        """
        if request.work_s is None:
            return self.slow_run_s
        return request.work_s * self.slow_run_s / self.run_s


class AdmissionQueue(ABC):
    """Attempts that wait for a slot; decides who waits, who is refused, and who goes first."""

    rechecks_suspicion = False
    """Whether attempts wait so long that the target may turn suspect meanwhile."""

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting attempts."""

    @property
    @abstractmethod
    def waiting_work_s(self) -> float:
        """Expected work of the waiting attempts, in seconds of a target of usual speed."""

    @abstractmethod
    def find_wait_end(self, request: AttemptRequest, *, pace: SlotPace, now_s: float) -> float:
        """Return until when an attempt may wait, in seconds of monotonic time.

        Args:
            request: The attempt, which arrives now.
            pace: How fast slots become free.
            now_s: Monotonic time, in seconds.
        """

    @abstractmethod
    def offer(self, waiter: Waiter, *, pace: SlotPace, now_s: float) -> RefusalCode | None:
        """Enqueue an attempt, or return why it is refused.

        Args:
            waiter: The attempt.
            pace: How fast slots become free.
            now_s: Monotonic time, in seconds.
        """

    @abstractmethod
    def pop_next(self, *, pace: SlotPace, now_s: float) -> Waiter | None:
        """Remove and return the attempt for the next slot; refuse expired and abandoned ones.

        Args:
            pace: How fast slots become free.
            now_s: Monotonic time, in seconds.
        """

    @abstractmethod
    def remove(self, waiter: Waiter) -> bool:
        """Remove an attempt, and return whether it was still in the queue.

        Args:
            waiter: The attempt.
        """

    @abstractmethod
    def refuse_all(self, code: RefusalCode) -> None:
        """Refuse every waiting attempt.

        Args:
            code: Reason of the refusal.
        """
