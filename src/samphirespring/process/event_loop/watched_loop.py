"""Event loop that logs when it hardly waits."""

import asyncio
import selectors
from collections.abc import Callable
from typing import Any

from samphirespring.process.event_loop.loop_load import LoopLoad, LoopMeter
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.timers import MonotonicTimerService, TimerService

_log = EventLog()


class MeteredSelector(selectors.DefaultSelector):
    """Selector that measures how long the event loop waits in it.

    Args:
        record: Receives the load after each window.
        timers: The timer service.
    """

    def __init__(self, record: Callable[[LoopLoad], None], *, timers: TimerService) -> None:
        super().__init__()
        self._record = record
        self._timers = timers
        self._meter = LoopMeter(now_s=timers.read_now_s())

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the events that are ready, after waiting for them if there are none."""
        began_at_s = self._timers.read_now_s()
        events: list[tuple[selectors.SelectorKey, int]] = super().select(timeout)
        load = self._meter.record_look(
            began_at_s=began_at_s,
            ended_at_s=self._timers.read_now_s(),
            may_wait=timeout is None or timeout > 0.0,
            events=len(events),
        )
        if load is not None:
            self._record(load)
        return events


def make_watched_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop that logs each window in which it hardly waited."""
    return asyncio.SelectorEventLoop(
        MeteredSelector(_log_busy_loop, timers=MonotonicTimerService())
    )


def make_backend_options() -> dict[str, Any]:
    """Return the options with which anyio runs a program on a watched loop."""
    return {"loop_factory": make_watched_loop}


def _log_busy_loop(load: LoopLoad) -> None:
    if not load.is_busy:
        return
    _log.warning(
        LogEvent.EVENT_LOOP_BUSY,
        duration_ms=round(load.duration_s * 1_000),
        waited_ms=round(load.waited_s * 1_000),
        turns=load.turns,
        idle_turns=load.idle_turns,
        events=load.events,
        longest_turn_ms=round(load.longest_turn_s * 1_000),
    )
