"""Watches attempts in flight for targets that accept requests and never respond."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from samphirespring.process.agent.agent_messages import AgentMessage, RecordStall
from samphirespring.process.detection.observations import Stall
from samphirespring.process.detection.stalls import compute_stall_stage
from samphirespring.process.detection.target_evaluator import DetectionTerms
from samphirespring.process.ids import TargetId
from samphirespring.process.mailbox import InboxFullError, Mailbox
from samphirespring.process.timers import TimerService

TICK_INTERVAL_S = 0.1


class AttemptWait:
    """Tracks how long one attempt has waited for data from its target.

    Time in which the front doesn't accept the data doesn't count against the target.

    Args:
        target: The target.
        terms: Detection terms that the front sent.
        now_s: Monotonic time of the attempt's start, in seconds.
    """

    __slots__ = ("_since_s", "_stage", "started_s", "target", "terms")

    def __init__(self, *, target: TargetId, terms: DetectionTerms | None, now_s: float) -> None:
        self.target = target
        self.terms = terms
        self.started_s = now_s
        self._since_s: float | None = now_s
        """Start of the current wait, in seconds of monotonic time; None while paused."""

        self._stage = 0

    @property
    def has_stalled(self) -> bool:
        """Whether the attempt was reported as stalled."""
        return self._stage > 0

    def pause(self) -> None:
        """Stop the wait while data of the target is passed on to the front."""
        self._since_s = None

    def resume(self, now_s: float) -> None:
        """Start waiting for the target again.

        Args:
            now_s: Monotonic time, in seconds.
        """
        self._since_s = now_s

    def find_stall(self, now_s: float) -> Stall | None:
        """Return the stall if the wait has reached a stage that was not reported yet.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self._since_s is None or self.terms is None:
            return None
        stage = compute_stall_stage(now_s - self._since_s, self.terms.reference)
        if stage <= self._stage:
            return None
        return Stall(
            at_s=now_s, started_at_s=self.started_s, stage=stage, counted_stage=self._stage
        )

    def record_stall(self, stall: Stall) -> None:
        """Record that a stage has been reported, so that it counts only once.

        Args:
            stall: The reported stall.
        """
        self._stage = stall.stage


class StallWatch:
    """Reports stalled attempts to the agent; part of the attempt runner's task.

    Args:
        agent: Inbox of the agent.
        timers: The timer service.
    """

    def __init__(self, *, agent: Mailbox[AgentMessage], timers: TimerService) -> None:
        self._agent = agent
        self._timers = timers
        self._waits: set[AttemptWait] = set()
        self._has_waits = anyio.Event()

    @contextmanager
    def track(self, wait: AttemptWait) -> Iterator[None]:
        """Watch an attempt while the context is open.

        Args:
            wait: The attempt's wait.
        """
        self._waits.add(wait)
        self._has_waits.set()
        try:
            yield
        finally:
            self._waits.remove(wait)

    async def run(self) -> None:
        """Check all attempts in flight at each tick, until cancelled."""
        while True:
            await self._has_waits.wait()
            await self._timers.wait_for(TICK_INTERVAL_S)
            self.check_stalls(self._timers.read_now_s())
            if not self._waits:
                self._has_waits = anyio.Event()

    def check_stalls(self, now_s: float) -> None:
        """Report new stalls of the attempts in flight to the agent.

        Args:
            now_s: Monotonic time, in seconds.
        """
        for wait in self._waits:
            stall = wait.find_stall(now_s)
            if stall is None:
                continue
            try:
                self._agent.post(RecordStall(target=wait.target, stall=stall, terms=wait.terms))
            except InboxFullError:
                # The next tick finds this stall again.
                return
            wait.record_stall(stall)
