"""An agent's table of actions' attempts: each starts at most once, and never after a fence."""

import heapq
from collections import OrderedDict

import msgspec

from samphirespring.process.ids import Incarnation
from samphirespring.process.ledger.claims import AttemptAssignment, StoredResponse
from samphirespring.process.ledger.states import AttemptFate
from samphirespring.request.ids import AttemptId
from samphirespring.request.messages import AttemptRequest
from samphirespring.request.states import RefusalCode

RETENTION_MS = 120_000
"""Time for which an entry is kept after the attempt's latest allowed start, in milliseconds."""

MAX_START_AHEAD_MS = 120_000
"""Limit of an attempt's latest allowed start, in milliseconds after the agent's time."""

ATTEMPT_CAPACITY = 20_000
RESPONSE_CAPACITY_BYTES = 4 << 20


class FenceReply(msgspec.Struct, frozen=True, kw_only=True):
    """State of an attempt at its agent; the response is included if it ran and is still stored."""

    fate: AttemptFate
    answer: StoredResponse | None = None


class AttemptTable:
    """Decides whether an action's attempt may start, and holds its result.

    The only clock used is the agent's own: wall time at its start plus monotonic time since. It
    never steps back within an incarnation. An attempt whose entry was dropped is therefore also
    past its latest allowed start, whatever the clock skew between fronts and agents.

    Args:
        incarnation: The agent's incarnation.
        capacity: Largest number of tracked attempts.
        response_bytes: Largest total size of the stored responses, in bytes.
    """

    def __init__(
        self,
        *,
        incarnation: Incarnation,
        capacity: int = ATTEMPT_CAPACITY,
        response_bytes: int = RESPONSE_CAPACITY_BYTES,
    ) -> None:
        self._incarnation = incarnation
        self._capacity = capacity
        self._response_bytes = response_bytes
        self._stored_bytes = 0
        self._fates: dict[AttemptId, AttemptFate] = {}
        self._responses: OrderedDict[AttemptId, StoredResponse] = OrderedDict()
        self._order: list[tuple[int, AttemptId]] = []
        self._dropped_until_ms = -1

    @property
    def attempt_count(self) -> int:
        """Number of tracked attempts."""
        return len(self._fates)

    def may_have_started(self, request: AttemptRequest) -> bool:
        """Return whether a copy of an attempt may have started; then a refusal proves nothing.

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
        """Record the start of an attempt, or return why it may never start.

        Args:
            request: The attempt of an action; no copy of it may have started.
            refusal: The agent's reason to refuse the attempt, if any; later copies are then
                refused, too.
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

    def end(self, attempt: AttemptId, fate: AttemptFate, response: StoredResponse | None) -> None:
        """Record the end of a started attempt.

        Args:
            attempt: The attempt.
            fate: How it ended.
            response: The complete response, or None if there is none to store.
        """
        if attempt not in self._fates:
            return
        self._fates[attempt] = fate
        if response is not None:
            self._store_response(attempt, response)

    def fence(self, assignment: AttemptAssignment, *, now_ms: int) -> FenceReply:
        """Return the state of an attempt; one that didn't start never will.

        Args:
            assignment: The attempt.
            now_ms: The agent's time, in milliseconds of wall time.
        """
        if assignment.incarnation != self._incarnation:
            return FenceReply(fate=AttemptFate.OTHER_INCARNATION)
        fate = self._fates.get(assignment.attempt)
        if fate is not None:
            return FenceReply(fate=fate, answer=self._responses.get(assignment.attempt))
        if assignment.start_by_wall_ms <= self._dropped_until_ms:
            return FenceReply(fate=AttemptFate.FORGOTTEN)
        self._record(
            assignment.attempt, assignment.start_by_wall_ms, AttemptFate.NOT_STARTED, now_ms
        )
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
        self._drop_response(attempt)

    def _store_response(self, attempt: AttemptId, response: StoredResponse) -> None:
        self._responses[attempt] = response
        self._stored_bytes += len(response.body)
        while self._stored_bytes > self._response_bytes:
            self._drop_response(next(iter(self._responses)))

    def _drop_response(self, attempt: AttemptId) -> None:
        response = self._responses.pop(attempt, None)
        if response is not None:
            self._stored_bytes -= len(response.body)
