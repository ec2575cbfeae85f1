"""Runs an admitted attempt at a backend server and classifies its result."""

from collections.abc import Callable

import msgspec

from samphirespring.connection.refusals import TypedRefusal
from samphirespring.connection.upstream import SendRefusedError, UpstreamClient, UpstreamError
from samphirespring.process.action_guard import EndAction
from samphirespring.process.agent.admission_queue import Admission
from samphirespring.process.detection.classification import ResponseInspector, classify_failure
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.frame_batcher import FrameBatcher
from samphirespring.process.ledger.states import AttemptFate
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.response_capture import ResponseCapture
from samphirespring.process.stall_watch import AttemptWait
from samphirespring.process.targets import TargetLoad
from samphirespring.process.timers import TimerService
from samphirespring.request.body import BodySource
from samphirespring.request.exclusive_response_writer import REFUSAL_STATUSES
from samphirespring.request.messages import (
    AttemptFailed,
    AttemptRefused,
    AttemptRequest,
    AttemptResult,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
)
from samphirespring.request.states import FailureKind, RefusalCode

ABANDONED_RESPONSE_BYTES = 1 << 20
"""Bytes of a response's body that are read after its front has left.

A short rest is read, so that the action ends undisturbed and its connection can be used again."""

_log = EventLog()


class AttemptExecution:
    """Runs one attempt at a backend server and derives what its result says about the target.

    Args:
        request: The attempt.
        admission: The queue's permission to run the attempt.
        upstream: Connections to backend servers.
        timers: The timer service.
        wait: Tracks how long the attempt waits for the target.
        is_abandoned: Returns whether the front has left; the attempt goes on as an action does.
    """

    def __init__(
        self,
        *,
        request: AttemptRequest,
        admission: Admission,
        upstream: UpstreamClient,
        timers: TimerService,
        wait: AttemptWait,
        is_abandoned: Callable[[], bool],
    ) -> None:
        self._request = request
        self._wait = wait
        self._is_abandoned = is_abandoned
        self._abandoned_bytes = 0
        """Bytes of the body that were read after the front had left."""

        self._admission = admission
        self._upstream = upstream
        self._refusal_reader = upstream.make_refusal_reader()
        self._timers = timers
        self._inspector = ResponseInspector(request.answer, bodyless=request.method == b"HEAD")
        self._capture = ResponseCapture()
        self.send_duration_s = 0.0
        """Time spent sending frames to the front, in seconds; not part of the target's latency."""

        self.body_length = 0
        self.failure: AttemptFailed | None = None
        self.complete = False
        self._observed_outcome: ObservedOutcome | None = None
        self._typed_refusal: TypedRefusal | None = None
        self._send_refusal: RefusalCode | None = None
        """Why the attempt wasn't sent to the backend server."""

    @property
    def ended(self) -> bool:
        """Whether the response is complete, or the attempt failed or wasn't sent."""
        return self.complete or self.failure is not None or self._send_refusal is not None

    async def run(self, batcher: FrameBatcher, body: BodySource | None) -> None:
        """Send the request and forward the response.

        Args:
            batcher: Receives the frames of the response.
            body: Provides the request's body if it isn't part of the request.
        """
        try:
            async with self._upstream.exchange(
                self._request,
                body,
                address=self._admission.address,
                refusal_reader=self._refusal_reader,
            ) as frames:
                async for frame in frames:
                    self._read_frame(frame)
                    if not self._is_abandoned():
                        await self._forward_frame(batcher, frame)
                    elif self._abandoned_bytes > ABANDONED_RESPONSE_BYTES:
                        self._end_abandoned()
                        return
            self.complete = True
        except SendRefusedError as refusal:
            self._send_refusal = refusal.code
        except UpstreamError as error:
            self.fail(error.kind, started=error.started)
        except Exception:
            # All attempts of the process share a task group, which an error would end.
            _log.exception(LogEvent.ATTEMPT_ERROR, attempt=self._request.attempt)
            self.fail(FailureKind.CUT, started=True)

    def _read_frame(self, frame: ResponseHead | ResponseChunk) -> None:
        if isinstance(frame, ResponseHead):
            self._inspector.feed_head(frame)
            self._capture.add_head(frame.status, frame.headers)
            return
        self._inspector.feed_chunk(frame.data)
        self._capture.add_chunk(frame.data)
        self.body_length += len(frame.data)
        if self._is_abandoned():
            self._abandoned_bytes += len(frame.data)

    def _end_abandoned(self) -> None:
        _log.info(
            LogEvent.ABANDONED_RESPONSE_CUT,
            attempt=self._request.attempt,
            request=self._request.request,
            target=self._request.target,
            body_bytes=self.body_length,
        )
        self.fail(FailureKind.CANCELLED, started=True)

    def evaluate_response(self, *, response_sent: bool) -> None:
        """Evaluate the complete response before its last frame is sent.

        Args:
            response_sent: Whether part of the response was already sent to the front.
        """
        if self.failure is not None or self._send_refusal is not None:
            return
        self._observed_outcome = self._inspector.classify()
        if response_sent:
            return
        # Only a complete response can prove that nothing ran.
        self._typed_refusal = self._refusal_reader.read()
        wrong = self._observed_outcome is ObservedOutcome.WRONG and self._typed_refusal is None
        if wrong and self._request.idempotent:
            self.fail(FailureKind.WRONG, started=True)

    def classify(self, latency_s: float) -> ObservedOutcome | None:
        """Return what the attempt says about the target, or None if it says nothing.

        Args:
            latency_s: The target's latency, in seconds.
        """
        if self._send_refusal is not None:
            return None
        if self._typed_refusal is not None:
            return ObservedOutcome.SHED
        if self.failure is None:
            return self._observed_outcome
        terms = self._request.terms
        return classify_failure(
            self.failure,
            elapsed_s=latency_s,
            timeout_s=self._request.remaining_ms / 1_000,
            reference=None if terms is None else terms.reference,
        )

    async def _forward_frame(
        self, batcher: FrameBatcher, frame: ResponseHead | ResponseChunk
    ) -> None:
        started_at_s = self._timers.read_now_s()
        self._wait.pause()
        try:
            await batcher.add(frame)
        finally:
            now_s = self._timers.read_now_s()
            self._wait.resume(now_s)
            self.send_duration_s += now_s - started_at_s

    def fail(self, kind: FailureKind, *, started: bool) -> None:
        """Record a failure of the attempt.

        Args:
            kind: Kind of failure.
            started: False only if no byte of the request was sent to the backend server.
        """
        self.failure = AttemptFailed(attempt=self._request.attempt, kind=kind, started=started)

    def make_action_end(self, result: AttemptResult) -> EndAction:
        """Return the message that reports to the action guard how the attempt ended.

        Args:
            result: Result of the attempt.
        """
        fate = _determine_fate(result, status=self._capture.status)
        response = self._capture.make_response() if fate is AttemptFate.RAN else None
        return EndAction(attempt=self._request.attempt, fate=fate, response=response)

    def make_result(self, load: TargetLoad) -> AttemptResult:
        """Return the result of the attempt, which is its last frame.

        Args:
            load: The target's load after the attempt.
        """
        attempt = self._request.attempt
        if self.failure is not None:
            return msgspec.structs.replace(self.failure, load=load)
        if self._send_refusal is not None:
            return AttemptRefused(attempt=attempt, code=self._send_refusal, load=load)
        refusal = self._typed_refusal
        if refusal is not None:
            return AttemptRefused(
                attempt=attempt,
                code=refusal.code,
                retry_after_ms=refusal.retry_after_ms,
                load=load,
                by_target=True,
            )
        return ResponseEnd(attempt=attempt, body_length=self.body_length, load=load)


def _determine_fate(result: AttemptResult, *, status: int) -> AttemptFate:
    if isinstance(result, ResponseEnd):
        # A refusal without a typed reason doesn't show whether the backend server ran the action.
        return AttemptFate.UNKNOWN if status in REFUSAL_STATUSES else AttemptFate.RAN
    if isinstance(result, AttemptFailed) and result.started:
        return AttemptFate.UNKNOWN
    return AttemptFate.NOT_STARTED
