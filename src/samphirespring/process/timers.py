"""Timer service: the only source of time for the components of a process."""

import math
import time
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import AbstractContextManager, contextmanager

import anyio
import anyio.lowlevel
import msgspec


class Tick(msgspec.Struct, frozen=True):
    """A tick of a subscription.

    Attributes:
        now_s: Monotonic time at delivery, in seconds.
    """

    now_s: float


class TimerService(ABC):
    """Reads the clocks, waits, and delivers ticks to subscribers."""

    @abstractmethod
    def read_now_s(self) -> float:
        """Return monotonic time in seconds."""

    @abstractmethod
    def read_boot_s(self) -> float:
        """Return the time since the boot of the host in seconds, including times of suspension."""

    @abstractmethod
    def read_wall_ns(self) -> int:
        """Return wall time in nanoseconds since the Unix epoch."""

    @abstractmethod
    def read_boottime_s(self) -> float:
        """Return the time since the host booted in seconds, including time it was suspended."""

    @abstractmethod
    async def wait_until(self, due_at_s: float) -> None:
        """Wait until a point in monotonic time.

        Args:
            due_at_s: The monotonic time to wait for, in seconds.
        """

    def subscribe(self, *, interval_s: float) -> "Subscription":
        """Return a new subscription; ticks that are missed while the subscriber is busy are merged.

        Args:
            interval_s: Time between two ticks, in seconds.
        """
        return Subscription(self, interval_s=interval_s)

    @abstractmethod
    def move_on_at(self, due_at_s: float) -> AbstractContextManager[anyio.CancelScope]:
        """Cancel the body of the context at a point in monotonic time.

        Args:
            due_at_s: The monotonic time of the cancellation, in seconds.

        Returns:
            The context manager of the scope, whose `cancelled_caught` is true if the time ran out.
        """

    async def wait_for(self, delay_s: float) -> None:
        """Wait for a duration.

        Args:
            delay_s: The duration, in seconds.
        """
        await self.wait_until(self.read_now_s() + delay_s)


class Subscription:
    """Ticks at a fixed interval, as an asynchronous iterator.

    Args:
        timers: The timer service.
        interval_s: Time between two ticks, in seconds.
    """

    def __init__(self, timers: TimerService, *, interval_s: float) -> None:
        self._timers = timers
        self._interval_s = interval_s

    async def __aiter__(self) -> AsyncIterator[Tick]:
        due_at_s = self._timers.read_now_s() + self._interval_s
        while True:
            await self._timers.wait_until(due_at_s)
            now_s = self._timers.read_now_s()
            yield Tick(now_s=now_s)
            # A timer may fire a rounding error before its time.
            late_s = max(0.0, self._timers.read_now_s() - due_at_s)
            missed_count = math.floor(late_s / self._interval_s)
            due_at_s += (missed_count + 1) * self._interval_s


class MonotonicTimerService(TimerService):
    """Timer service that uses the clocks of the operating system."""

    def read_now_s(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def read_boot_s(self) -> float:
        """Return the time since the boot of the host in seconds, including times of suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_wall_ns(self) -> int:
        """Return wall time in nanoseconds since the Unix epoch."""
        return time.time_ns()

    def read_boottime_s(self) -> float:
        """Return the time since the host booted in seconds, including time it was suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def wait_until(self, due_at_s: float) -> None:
        """Wait until a point in monotonic time."""
        await anyio.sleep(max(0.0, due_at_s - self.read_now_s()))

    def move_on_at(self, due_at_s: float) -> anyio.CancelScope:
        """Cancel the body of the context at a point in monotonic time."""
        # The event loop's own clock may have another origin than the monotonic clock.
        remaining_s = due_at_s - self.read_now_s()
        return anyio.CancelScope(deadline=anyio.current_time() + remaining_s)


class ManualTimerService(TimerService):
    """Timer service whose time changes only through `advance`, for replay and tests.

    Args:
        start_s: Monotonic time at the start, in seconds.
        start_wall_ns: Wall time at the start, in nanoseconds.
    """

    def __init__(self, *, start_s: float = 0.0, start_wall_ns: int = 0) -> None:
        self._start_s = start_s
        self._start_wall_ns = start_wall_ns
        self._now_s = start_s
        self._suspended_s = 0.0
        self._waiters: list[_Waiter] = []

    def read_now_s(self) -> float:
        """Return the manual time in seconds."""
        return self._now_s

    def read_boot_s(self) -> float:
        """Return the manual time with all times of suspension, in seconds."""
        return self._now_s + self._suspended_s

    def read_wall_ns(self) -> int:
        """Return the manual wall time in nanoseconds."""
        return self._start_wall_ns + round((self._now_s - self._start_s) * 1e9)

    def read_boottime_s(self) -> float:
        """Return the manual time in seconds."""
        return self._now_s

    async def wait_until(self, due_at_s: float) -> None:
        """Wait until `advance` moves the time to `due_at_s`."""
        if due_at_s <= self._now_s:
            await anyio.lowlevel.checkpoint()
            return
        due = anyio.Event()
        with self._register(due_at_s, due.set):
            await due.wait()

    @contextmanager
    def move_on_at(self, due_at_s: float) -> Iterator[anyio.CancelScope]:
        """Cancel the body of the context once `advance` moves the time to `due_at_s`."""
        with anyio.CancelScope() as scope, self._register(due_at_s, scope.cancel):
            if due_at_s <= self._now_s:
                scope.cancel()
            yield scope

    def advance(self, duration_s: float) -> None:
        """Move the time forward and wake the waiters that are due.

        Args:
            duration_s: The duration to add, in seconds.
        """
        self._now_s += duration_s
        for waiter in self._waiters:
            if waiter.due_at_s <= self._now_s:
                waiter.wake()

    def suspend(self, duration_s: float) -> None:
        """Suspend the host: monotonic time stands still meanwhile, so no waiter is woken.

        Args:
            duration_s: Duration of the suspension, in seconds.
        """
        self._suspended_s += duration_s

    @contextmanager
    def _register(self, due_at_s: float, wake: Callable[[], None]) -> Iterator[None]:
        waiter = _Waiter(due_at_s=due_at_s, wake=wake)
        self._waiters.append(waiter)
        try:
            yield
        finally:
            self._waiters.remove(waiter)


class _Waiter(msgspec.Struct, frozen=True, eq=False):
    due_at_s: float
    wake: Callable[[], None]
