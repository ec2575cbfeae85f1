"""One admitted attempt at a backend server, from its request to its judged end."""

import msgspec

from samphirespring.connection.refusals import TypedRefusal
from samphirespring.connection.upstream import Upstream, UpstreamError
from samphirespring.process.action_guard import EndAction
from samphirespring.process.admission_queue import Admission
from samphirespring.process.answer_capture import AnswerCapture
from samphirespring.process.detection.classification import ResponseInspector, classify_failure
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.frame_batcher import FrameBatcher
from samphirespring.process.ledger.states import AttemptFate
from samphirespring.process.stall_watch import AttemptWait
from samphirespring.process.targets import TargetLoad
from samphirespring.process.timers import TimerService
from samphirespring.request.answer_outlet import REFUSAL_STATUSES
from samphirespring.request.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AttemptEnd,
    AttemptFailed,
    AttemptRefused,
    AttemptRequest,
)
from samphirespring.request.states import FailureKind


class AttemptExecution:
    """One attempt on its way through the backend server: how far it came, and what that says.

    Args:
        request: The attempt.
        admission: The right to run it.
        upstream: The connections to backend servers.
        timers: The timer service.
        wait: How long the target lets wait.
    """

    def __init__(
        self,
        *,
        request: AttemptRequest,
        admission: Admission,
        upstream: Upstream,
        timers: TimerService,
        wait: AttemptWait,
    ) -> None:
        self._request = request
        self._wait = wait
        self._admission = admission
        self._upstream = upstream
        self._refusal = upstream.make_refusal_reader()
        self._timers = timers
        self._inspector = ResponseInspector(request.answer, bodyless=request.method == b"HEAD")
        self._capture = AnswerCapture()
        self.sending_s = 0.0
        """Time spent on sending frames to the front, which is not the target's, in seconds."""

        self.body_length = 0
        self.failure: AttemptFailed | None = None
        self.complete = False
        self._judgement: ObservedOutcome | None = None
        self._typed_refusal: TypedRefusal | None = None

    @property
    def ended(self) -> bool:
        """Whether the answer is complete or the attempt failed."""
        return self.complete or self.failure is not None

    async def run(self, batcher: FrameBatcher) -> None:
        """Send the request and pass the answer on.

        Args:
            batcher: Takes the answer's frames.
        """
        try:
            async with self._upstream.exchange(
                self._request, address=self._admission.address
            ) as frames:
                async for frame in frames:
                    if isinstance(frame, AnswerHead):
                        self._refusal.take_head(frame)
                        self._inspector.feed_head(frame)
                        self._capture.take_head(frame.status, frame.headers)
                    else:
                        self._inspector.feed_chunk(frame.data)
                        self._capture.take_chunk(frame.data)
                        self.body_length += len(frame.data)
                        self._refusal.take_chunk(frame.data)
                    await self._pass_frame(batcher, frame)
            self.complete = True
        except UpstreamError as error:
            self.fail(error.kind, started=error.started)

    def conclude(self, *, answer_sent: bool) -> None:
        """Judge the complete answer, before any of it is passed on.

        Args:
            answer_sent: Whether part of the answer is on its way to the front.
        """
        if self.failure is not None:
            return
        self._judgement = self._inspector.classify()
        if answer_sent:
            return
        # Only a whole answer can prove that nothing ran.
        self._typed_refusal = self._refusal.read()
        wrong = self._judgement is ObservedOutcome.WRONG and self._typed_refusal is None
        if wrong and self._request.idempotent:
            self.fail(FailureKind.WRONG, started=True)

    def classify(self, latency_s: float) -> ObservedOutcome | None:
        """Return what the attempt says of the target, or None for nothing.

        Args:
            latency_s: Time that the target took, in seconds.
        """
        if self._typed_refusal is not None:
            return ObservedOutcome.SHED
        if self.failure is None:
            return self._judgement
        terms = self._request.terms
        return classify_failure(
            self.failure,
            elapsed_s=latency_s,
            granted_s=self._request.remaining_ms / 1_000,
            reference=None if terms is None else terms.reference,
        )

    async def _pass_frame(self, batcher: FrameBatcher, frame: AnswerHead | AnswerChunk) -> None:
        started_s = self._timers.read_now_s()
        self._wait.pause()
        try:
            await batcher.add(frame)
        finally:
            now_s = self._timers.read_now_s()
            self._wait.resume(now_s)
            self.sending_s += now_s - started_s

    def fail(self, kind: FailureKind, *, started: bool) -> None:
        """Record how the attempt failed.

        Args:
            kind: How it failed.
            started: False only if no byte of the request reached the backend server.
        """
        self.failure = AttemptFailed(attempt=self._request.attempt, kind=kind, started=started)

    def make_note(self, end: AttemptEnd) -> EndAction:
        """Return what the guard should remember of an action's attempt.

        Args:
            end: The last frame.
        """
        fate = _find_fate(end, status=self._capture.status)
        answer = self._capture.make_answer() if fate is AttemptFate.RAN else None
        return EndAction(attempt=self._request.attempt, fate=fate, answer=answer)

    def make_end(self, load: TargetLoad) -> AttemptEnd:
        """Return the last frame.

        Args:
            load: The target's load after the attempt.
        """
        attempt = self._request.attempt
        if self.failure is not None:
            return msgspec.structs.replace(self.failure, load=load)
        refusal = self._typed_refusal
        if refusal is not None:
            return AttemptRefused(
                attempt=attempt,
                code=refusal.code,
                retry_after_ms=refusal.retry_after_ms,
                load=load,
                by_target=True,
            )
        return AnswerEnd(attempt=attempt, body_length=self.body_length, load=load)


def _find_fate(end: AttemptEnd, *, status: int) -> AttemptFate:
    if isinstance(end, AnswerEnd):
        # An untyped refusal doesn't say whether the backend server ran the action.
        return AttemptFate.UNKNOWN if status in REFUSAL_STATUSES else AttemptFate.RAN
    if isinstance(end, AttemptFailed) and end.started:
        return AttemptFate.UNKNOWN
    return AttemptFate.NOT_STARTED
