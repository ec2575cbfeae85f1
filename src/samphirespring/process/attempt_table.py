"""Memory of an agent about actions' attempts: each starts at most once, never after a fence."""

import heapq
from collections import OrderedDict

import msgspec

from samphirespring.process.ids import Incarnation
from samphirespring.process.ledger.claims import AttemptPlace, StoredAnswer
from samphirespring.process.ledger.states import AttemptFate
from samphirespring.request.ids import AttemptId
from samphirespring.request.messages import AttemptRequest
from samphirespring.request.states import RefusalCode

RETENTION_MS = 120_000
"""How long an attempt is remembered after its latest start, in milliseconds."""

MAX_START_AHEAD_MS = 120_000
"""Latest start that an attempt may name, in milliseconds after the agent's time."""

ATTEMPT_CAPACITY = 20_000
ANSWER_CAPACITY_BYTES = 4 << 20


class FenceReply(msgspec.Struct, frozen=True, kw_only=True):
    """What an agent knows of an attempt; the answer is there only if it ran and is still kept."""

    fate: AttemptFate
    answer: StoredAnswer | None = None


class AttemptTable:
    """Decides whether an action's attempt may start, and answers what became of it.

    The only clock is the agent's own: wall time at its start plus monotonic time since. It never
    steps back within an incarnation, so that an attempt whose memory is gone is also past its
    latest start, however far the clocks of fronts and agents are apart.

    Args:
        incarnation: The agent's incarnation.
        capacity: Largest number of remembered attempts.
        answer_bytes: Largest total size of the kept answers, in bytes.
    """

    def __init__(
        self,
        *,
        incarnation: Incarnation,
        capacity: int = ATTEMPT_CAPACITY,
        answer_bytes: int = ANSWER_CAPACITY_BYTES,
    ) -> None:
        self._incarnation = incarnation
        self._capacity = capacity
        self._answer_bytes = answer_bytes
        self._stored_bytes = 0
        self._fates: dict[AttemptId, AttemptFate] = {}
        self._answers: OrderedDict[AttemptId, StoredAnswer] = OrderedDict()
        self._order: list[tuple[int, AttemptId]] = []
        self._dropped_until_ms = -1

    @property
    def attempt_count(self) -> int:
        """Number of remembered attempts."""
        return len(self._fates)

    def may_have_started(self, request: AttemptRequest) -> bool:
        """Return whether a copy of an attempt started before, so that a refusal proves nothing.

        Args:
            request: The attempt of an action.
        """
        if request.incarnation != self._incarnation or request.start_by_wall_ms is None:
            return False
        fate = self._fates.get(request.attempt)
        if fate is None:
            return request.start_by_wall_ms <= self._dropped_until_ms
        return fate is not AttemptFate.NOT_STARTED

    def admit(
        self, request: AttemptRequest, *, refusal: RefusalCode | None, now_ms: int
    ) -> RefusalCode | None:
        """Note that an attempt starts, or return why it doesn't and never will.

        Args:
            request: The attempt of an action; no copy of it may have started.
            refusal: Reason of the agent not to run it now; a later copy is refused, too.
            now_ms: The agent's time, in milliseconds of wall time.
        """
        if refusal is not None:
            self._refuse(request, now_ms)
            return refusal
        start_by_ms = request.start_by_wall_ms
        if request.incarnation != self._incarnation or start_by_ms is None:
            return RefusalCode.FENCED
        if request.attempt in self._fates:
            return RefusalCode.FENCED
        if not self._may_start(start_by_ms, now_ms):
            self._refuse(request, now_ms)
            return RefusalCode.EXPIRED
        self._record(request.attempt, start_by_ms, AttemptFate.RUNNING, now_ms)
        return None

    def end(self, attempt: AttemptId, fate: AttemptFate, answer: StoredAnswer | None) -> None:
        """Note how a started attempt ended.

        Args:
            attempt: The attempt.
            fate: How it ended.
            answer: The complete answer, if it is small enough to keep.
        """
        if attempt not in self._fates:
            return
        self._fates[attempt] = fate
        if answer is not None:
            self._store_answer(attempt, answer)

    def fence(self, place: AttemptPlace, *, now_ms: int) -> FenceReply:
        """Return what became of an attempt; one that didn't start never will.

        Args:
            place: The attempt.
            now_ms: The agent's time, in milliseconds of wall time.
        """
        if place.incarnation != self._incarnation:
            return FenceReply(fate=AttemptFate.OTHER_INCARNATION)
        fate = self._fates.get(place.attempt)
        if fate is not None:
            return FenceReply(fate=fate, answer=self._answers.get(place.attempt))
        if place.start_by_wall_ms <= self._dropped_until_ms:
            return FenceReply(fate=AttemptFate.FORGOTTEN)
        self._record(place.attempt, place.start_by_wall_ms, AttemptFate.NOT_STARTED, now_ms)
        return FenceReply(fate=AttemptFate.NOT_STARTED)

    def _refuse(self, request: AttemptRequest, now_ms: int) -> None:
        start_by_ms = request.start_by_wall_ms
        if request.incarnation != self._incarnation or start_by_ms is None:
            return
        if request.attempt not in self._fates and start_by_ms > self._dropped_until_ms:
            self._record(request.attempt, start_by_ms, AttemptFate.NOT_STARTED, now_ms)

    def _may_start(self, start_by_ms: int, now_ms: int) -> bool:
        return self._dropped_until_ms < start_by_ms and (
            now_ms <= start_by_ms <= now_ms + MAX_START_AHEAD_MS
        )

    def _record(self, attempt: AttemptId, start_by_ms: int, fate: AttemptFate, now_ms: int) -> None:
        self._fates[attempt] = fate
        heapq.heappush(self._order, (start_by_ms, attempt))
        while self._order[0][0] + RETENTION_MS < now_ms or len(self._fates) > self._capacity:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        start_by_ms, attempt = heapq.heappop(self._order)
        self._dropped_until_ms = max(self._dropped_until_ms, start_by_ms)
        del self._fates[attempt]
        self._drop_answer(attempt)

    def _store_answer(self, attempt: AttemptId, answer: StoredAnswer) -> None:
        self._answers[attempt] = answer
        self._stored_bytes += len(answer.body)
        while self._stored_bytes > self._answer_bytes:
            self._drop_answer(next(iter(self._answers)))

    def _drop_answer(self, attempt: AttemptId) -> None:
        answer = self._answers.pop(attempt, None)
        if answer is not None:
            self._stored_bytes -= len(answer.body)
