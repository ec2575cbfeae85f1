"""Runs admitted attempts on the backend servers of the host."""

from collections.abc import AsyncGenerator, Iterator
from contextlib import aclosing, closing, contextmanager, nullcontext

import anyio
import msgspec
from anyio.abc import TaskGroup

from samphirespring.connection.backend_dialect import BackendDialect
from samphirespring.connection.upstream import UpstreamClient
from samphirespring.connection.upstream_pool import UpstreamPool
from samphirespring.process.action_guard import GuardMessage, StartAction
from samphirespring.process.agent.admission_queue import Admission
from samphirespring.process.agent.agent_messages import (
    AdmitAttempt,
    AgentMessage,
    FinishAttempt,
)
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.frame_batcher import FrameBatcher
from samphirespring.process.mailbox import InboxFullError, Mailbox, ReplySlot, ask_always
from samphirespring.process.queued_frames import QueuedFrames
from samphirespring.process.stall_watch import AttemptWait, StallWatch
from samphirespring.process.targets import TargetLoad
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService
from samphirespring.request.attempt_execution import AttemptExecution
from samphirespring.request.attempt_starter import AttemptHandle, AttemptStarter
from samphirespring.request.body import BodySource
from samphirespring.request.frame_sink import FrameSink
from samphirespring.request.key_gate import KeyGate
from samphirespring.request.messages import (
    AttemptFailed,
    AttemptRefused,
    AttemptRequest,
    FrameBatch,
    ResponseEnd,
)
from samphirespring.request.states import FailureKind, RefusalCode

INBOX_CAPACITY = 10_000
CLOSE_EXPIRED_INTERVAL_S = 10.0


class StartAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Requests that an attempt is run and its frames are sent.

    Attributes:
        request: The attempt.
        body: Provides the request's body if it isn't part of the request.
        sink: Receives the frames.
        wait_scope: Scope of the wait for a slot; cancelled when the front disconnects.
        cancel_scope: Scope of an idempotent attempt that runs; cancelled at the same time. An
            action goes on, and reads only a short rest of its response.
    """

    request: AttemptRequest
    body: BodySource | None
    sink: FrameSink
    wait_scope: anyio.CancelScope = msgspec.field(default_factory=anyio.CancelScope)
    cancel_scope: anyio.CancelScope = msgspec.field(default_factory=anyio.CancelScope)


class _ScopeHandle(AttemptHandle):
    """Cancels an attempt by its scopes.

    Args:
        message: The message that starts the attempt.
    """

    def __init__(self, message: StartAttempt) -> None:
        self._message = message

    def cancel(self) -> None:
        """Cancel the attempt if it waits for a slot or is idempotent."""
        self._message.wait_scope.cancel()
        self._message.cancel_scope.cancel()


class AttemptRunnerDump(StateDump, frozen=True, kw_only=True):
    """State of the attempt runner."""

    running: int
    idle_connections: int
    waiting_messages: int


class AttemptRunner(OwnerTask, AttemptStarter):
    """Owns the connections to the backend servers and one child task per attempt.

    Args:
        agent: Inbox of the agent, which admits attempts.
        guard: Inbox of the action guard, which decides whether actions may start.
        timers: The timer service.
        upstream: Sends attempts; None uses a connection pool of the runner's own.
        dialect: Format of requests and responses at backend servers; None for the default one.
        keys: Checks attempts right before they are sent; None checks nothing.
    """

    def __init__(
        self,
        *,
        agent: Mailbox[AgentMessage],
        guard: Mailbox[GuardMessage],
        timers: TimerService,
        upstream: UpstreamClient | None = None,
        dialect: BackendDialect | None = None,
        keys: KeyGate | None = None,
    ) -> None:
        self.inbox: Mailbox[StartAttempt] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._agent = agent
        self._guard = guard
        self._timers = timers
        self._pool = UpstreamPool(timers)
        self._upstream = upstream or UpstreamClient(self._pool, dialect, keys=keys)
        self._stalls = StallWatch(agent=agent, timers=timers)
        self._running = 0

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "attempt_runner"

    async def run(self) -> None:
        """Start attempts until cancelled."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._close_expired_connections)
                group.start_soon(self._stalls.run)
                await self._start_attempts(group)
        finally:
            self._pool.close()

    async def dump(self) -> AttemptRunnerDump:
        """Return the runner's state at one moment."""
        return AttemptRunnerDump(
            running=self._running,
            idle_connections=self._pool.idle_count,
            waiting_messages=self.inbox.waiting_count,
        )

    def start(
        self, request: AttemptRequest, *, body: BodySource | None, sink: FrameSink
    ) -> AttemptHandle:
        """Start an attempt, which sends its frames to a sink and then closes the sink."""
        message = StartAttempt(request=request, body=body, sink=sink)
        self.inbox.post(message)
        return _ScopeHandle(message)

    async def handle_attempt(self, request: AttemptRequest) -> AsyncGenerator[FrameBatch, None]:
        """Run an attempt for a front and yield its frame batches; closing abandons the attempt.

        Args:
            request: The attempt, with its whole body.
        """
        queue = QueuedFrames()
        handle = self.start(request, body=None, sink=queue)
        try:
            async with aclosing(queue.iterate()) as batches:
                async for batch in batches:
                    yield batch
        finally:
            handle.cancel()

    async def _close_expired_connections(self) -> None:
        async for _ in self._timers.subscribe(interval_s=CLOSE_EXPIRED_INTERVAL_S):
            self._pool.close_expired()

    async def _start_attempts(self, group: TaskGroup) -> None:
        while True:
            message = await self.inbox.receive()
            group.start_soon(self._run_attempt, message)

    async def _run_attempt(self, message: StartAttempt) -> None:
        with closing(message.sink):
            batcher = FrameBatcher(message.sink)
            deadline_at_s = self._timers.read_now_s() + message.request.remaining_ms / 1_000
            admission = await self._admit(message)
            rejection = await self._check_action_start(message.request, admission)
            if rejection is not None:
                await batcher.finish(rejection)
                return
            if isinstance(admission, AttemptRefused):
                await batcher.finish(admission)
                return
            if message.cancel_scope.cancel_called:
                # The front disconnected while the attempt waited for its slot.
                await self._finish(message.request, outcome=None, latency_s=0.0)
                return
            with self._count_running():
                await self._run_admitted(message, admission, batcher, deadline_at_s=deadline_at_s)

    async def _admit(self, message: StartAttempt) -> Admission | AttemptRefused:
        request = message.request
        slot: ReplySlot[Admission | AttemptRefused] = ReplySlot()
        try:
            self._agent.post(AdmitAttempt(request=request, reply=slot))
        except InboxFullError:
            return AttemptRefused(attempt=request.attempt, code=RefusalCode.SHEDDING)
        with message.wait_scope:
            await slot.wait()
        # The agent may have replied in the same turn; then the caller releases the slot.
        slot.abandoned = True
        return slot.read() or AttemptRefused(attempt=request.attempt, code=RefusalCode.NO_SLOT)

    async def _check_action_start(
        self, request: AttemptRequest, admission: Admission | AttemptRefused
    ) -> AttemptRefused | AttemptFailed | None:
        """Return why an action must not start, or None; a rejection releases its slot.

        An action without a key is dispatched once, by one front, and needs no check.
        """
        if request.idempotent or request.key is None:
            return None
        refusal = admission if isinstance(admission, AttemptRefused) else None
        rejection: AttemptRefused | AttemptFailed | None = await ask_always(
            self._guard,
            lambda reply: StartAction(request=request, refusal=refusal, reply=reply),
        )
        if rejection is not None and refusal is None:
            await self._finish(request, outcome=None, latency_s=0.0)
        return rejection

    async def _finish(
        self,
        request: AttemptRequest,
        *,
        outcome: ObservedOutcome | None,
        latency_s: float,
        stalled: bool = False,
    ) -> TargetLoad:
        load: TargetLoad = await ask_always(
            self._agent,
            lambda reply: FinishAttempt(
                target=request.target,
                attempt=request.attempt,
                latency_s=latency_s,
                outcome=outcome,
                terms=request.terms,
                reply=reply,
                stalled=stalled,
            ),
        )
        return load

    async def _run_admitted(
        self,
        message: StartAttempt,
        admission: Admission,
        batcher: FrameBatcher,
        *,
        deadline_at_s: float,
    ) -> None:
        started_at_s = self._timers.read_now_s()
        remaining_ms = max(1, round((deadline_at_s - started_at_s) * 1_000))
        request = msgspec.structs.replace(message.request, remaining_ms=remaining_ms)
        wait = AttemptWait(target=request.target, terms=request.terms, now_s=started_at_s)
        execution = AttemptExecution(
            request=request,
            admission=admission,
            upstream=self._upstream,
            timers=self._timers,
            wait=wait,
            is_abandoned=lambda: message.cancel_scope.cancel_called,
        )
        cancel_scope = message.cancel_scope if request.idempotent else nullcontext()
        limit = self._timers.move_on_at(deadline_at_s)
        with self._stalls.track(wait), limit as deadline, cancel_scope:
            await execution.run(batcher, message.body)
        if deadline.cancelled_caught:
            execution.fail(FailureKind.TIMEOUT, started=True)
        elif not execution.ended:
            execution.fail(FailureKind.CANCELLED, started=True)
        execution.evaluate_response(response_sent=batcher.has_sent)
        latency_s = self._timers.read_now_s() - started_at_s - execution.send_duration_s
        load = await self._finish(
            request,
            outcome=execution.classify(latency_s),
            latency_s=latency_s,
            stalled=wait.has_stalled,
        )
        result = execution.make_result(load)
        if not request.idempotent and request.key is not None:
            self._guard.post_always(execution.make_action_end(result))
        if not isinstance(result, ResponseEnd):
            batcher.discard()
        await batcher.finish(result)

    @contextmanager
    def _count_running(self) -> Iterator[None]:
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1
