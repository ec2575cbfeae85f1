"""Attempts of an idempotent read beside each other, of which one answers."""

from collections.abc import Awaitable, Callable

import anyio

from samphirespring.process.errors import SamphireError
from samphirespring.process.retry_budget import RetryKind
from samphirespring.process.timers import TimerService
from samphirespring.request.errors import NoTargetError, ResponseCutError
from samphirespring.request.exclusive_response_writer import ExclusiveResponseWriter
from samphirespring.request.hedge_schedule import HedgeWait
from samphirespring.request.messages import AttemptResult, ResponseEnd

HedgeResult = AttemptResult | SamphireError


class Hedge:
    """Runs an attempt, and others beside it if it takes long.

    The first attempt runs in the caller's task. An attempt that has an answer has the others
    cancelled by way of the outlet.

    Args:
        run_attempt: Selects a target and runs one attempt on it.
        plan_next: Returns when another attempt may start, or None if no more may.
        acquire_permit: Returns whether another attempt of a kind may start now.
        outlet: The way back to the caller.
        timers: The timer service.
    """

    def __init__(
        self,
        *,
        run_attempt: Callable[[], Awaitable[AttemptResult]],
        plan_next: Callable[[], HedgeWait | None],
        acquire_permit: Callable[[RetryKind], Awaitable[bool]],
        response: ExclusiveResponseWriter,
        timers: TimerService,
    ) -> None:
        self._run_attempt = run_attempt
        self._plan_next = plan_next
        self._acquire_permit = acquire_permit
        self._response = response
        self._timers = timers
        self._running = 0
        self._ended = anyio.Event()
        self._results: list[HedgeResult] = []

    async def run(self) -> AttemptResult:
        """Return how the attempt that counts ended; the others are cancelled.

        Raises:
            SamphireError: The attempt that counts ended so.
        """
        self._running = 1
        async with anyio.create_task_group() as group:
            group.start_soon(self._start_parallel_attempts, group)
            await self._run_one()
            while self._running > 0 and not self._is_decided():
                self._ended = anyio.Event()
                await self._ended.wait()
            group.cancel_scope.cancel()
        return _select_result(self._results)

    def _is_decided(self) -> bool:
        return any(isinstance(result, ResponseEnd | ResponseCutError) for result in self._results)

    async def _start_parallel_attempts(self, group: anyio.abc.TaskGroup) -> None:
        while (wait := self._plan_next()) is not None:
            await self._timers.wait_for(wait.delay_s)
            if self._response.owner is not None:
                return
            if wait.kind is None or not await self._acquire_permit(wait.kind):
                continue
            # The attempts that ran may have ended meanwhile.
            if self._running > 0 and self._response.owner is None:
                self._running += 1
                group.start_soon(self._run_one)

    async def _run_one(self) -> None:
        result: HedgeResult
        try:
            result = await self._run_attempt()
        except SamphireError as error:
            # Raised outside the group: a task group would wrap it.
            result = error
        self._results.append(result)
        self._running -= 1
        self._ended.set()


def _select_result(results: list[HedgeResult]) -> AttemptResult:
    """Return the end that counts, or raise it: an answer, a cut, an end, a missing target."""
    result = min(results, key=_rank)
    if isinstance(result, SamphireError):
        raise result
    return result


def _rank(result: HedgeResult) -> int:
    if isinstance(result, ResponseEnd):
        return 0
    if isinstance(result, ResponseCutError):
        return 1
    if isinstance(result, NoTargetError):
        return 4
    return 3 if isinstance(result, SamphireError) else 2
