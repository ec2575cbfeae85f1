"""Runs parallel attempts of an idempotent read, of which one provides the response."""

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
    """Runs an attempt, and starts further attempts in parallel if it takes long.

    The first attempt runs in the calling task. The first attempt that claims the response writes
    it, and the others are cancelled.

    Args:
        run_attempt: Selects a target and runs one attempt on it.
        plan_next: Returns the wait before the next attempt, or None if no further one may start.
        acquire_permit: Returns whether another attempt of a kind may start now, and counts it.
        response: Writes the caller's response.
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
        """Return the result of the best attempt, and cancel the others.

        Raises:
            SamphireError: The best attempt raised it.
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
            # The running attempts may have ended in the meantime.
            if self._running > 0 and self._response.owner is None:
                self._running += 1
                group.start_soon(self._run_one)

    async def _run_one(self) -> None:
        result: HedgeResult
        try:
            result = await self._run_attempt()
        except SamphireError as error:
            # `run` raises it outside the task group, which would wrap it in an exception group.
            result = error
        self._results.append(result)
        self._running -= 1
        self._ended.set()


def _select_result(results: list[HedgeResult]) -> AttemptResult:
    """Return or raise the best result.

    The order is: a complete response, a response that was cut off, another result, another error,
    no target.
    """
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
