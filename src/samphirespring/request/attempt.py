"""One attempt: it is sent, its answer is checked and passed on."""

import msgspec

from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.process.errors import SamphireError
from samphirespring.process.target_table import UpdateLoad
from samphirespring.request.answer_buffer import AnswerBuffer
from samphirespring.request.answer_outlet import AnswerOutlet
from samphirespring.request.caller import CallerRequest
from samphirespring.request.context import ExchangeContext
from samphirespring.request.errors import AnswerCutError, RequestError
from samphirespring.request.ids import make_attempt_id
from samphirespring.request.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AttemptEnd,
    AttemptFailed,
    AttemptFrame,
    AttemptRefused,
    AttemptRequest,
)
from samphirespring.request.selection import Candidate
from samphirespring.request.states import FailureKind, Outcome, RefusalCode
from samphirespring.version.document import RoutePolicy
from samphirespring.version.ids import DocumentVersion

CAPACITY_REFUSALS = frozenset({RefusalCode.NO_SLOT, RefusalCode.SHEDDING, RefusalCode.RATE_LIMITED})
"""Refusals after which a target counts as full for a while."""


class Attempt:
    """Runs one attempt on one target.

    Args:
        context: What the front's exchanges share.
        message: The attempt as the agent gets it.
        candidate: The target.
        outlet: The way back to the caller.
    """

    def __init__(
        self,
        context: ExchangeContext,
        *,
        message: AttemptRequest,
        candidate: Candidate,
        outlet: AnswerOutlet,
    ) -> None:
        self._context = context
        self._message = message
        self._candidate = candidate
        self._outlet = outlet
        self._buffer = AnswerBuffer(capacity=context.replay_buffer_bytes)

    async def run(self) -> AttemptEnd:
        """Send the attempt, pass the answer on, and return how the attempt ended.

        Raises:
            AnswerCutError: The answer broke off after its beginning had gone to the caller.
        """
        try:
            end = await self._receive_answer()
        except LinkUnavailableError as error:
            end = self._make_failure(FailureKind.LINK_LOST, started=error.sent)
        except RequestError:
            raise
        except SamphireError:
            end = self._make_failure(FailureKind.LINK_LOST, started=True)
        if self._buffer.released and not isinstance(end, AnswerEnd):
            raise AnswerCutError("the answer broke off", outcome=Outcome.UNKNOWN)
        self._note_load(end)
        return end

    def _note_load(self, end: AttemptEnd) -> None:
        load = end.load
        if load is None:
            return
        if isinstance(end, AttemptRefused) and end.code in CAPACITY_REFUSALS:
            # The agent may see free slots where the backend server itself sheds.
            load = msgspec.structs.replace(load, free_slots=0)
        self._context.table.post(UpdateLoad(target=self._candidate.target, load=load))

    async def _receive_answer(self) -> AttemptEnd:
        async with self._context.sender.send(
            self._message, link_address=self._candidate.link_address
        ) as frames:
            async for frame in frames:
                end = await self._take_frame(frame)
                if end is not None:
                    return end
        return self._make_failure(FailureKind.CUT, started=True)

    async def _take_frame(self, frame: AttemptFrame) -> AttemptEnd | None:
        match frame:
            case AnswerHead():
                self._buffer.take_head(frame, expected_attempt=self._message.attempt)
                return None
            case AnswerChunk():
                self._buffer.take_chunk(frame)
                return await self._release() if self._buffer.is_full else None
            case AnswerEnd():
                return await self._finish(frame)
            case AttemptRefused() | AttemptFailed():
                return self._check_end(frame)

    def _check_end(self, end: AttemptRefused | AttemptFailed) -> AttemptEnd:
        # Only a statement about this very attempt, before any answer, proves that nothing ran.
        if end.attempt != self._message.attempt:
            return self._make_failure(FailureKind.LINK_LOST, started=True)
        if isinstance(end, AttemptRefused) and self._buffer.has_head:
            return self._make_failure(FailureKind.CUT, started=True)
        return end

    async def _finish(self, end: AnswerEnd) -> AttemptEnd:
        if not self._buffer.is_complete(end):
            return self._make_failure(FailureKind.CUT, started=True)
        failure = await self._release()
        if failure is not None:
            return failure
        await self._outlet.finish()
        return end

    async def _release(self) -> AttemptFailed | None:
        """Write what is held; an attempt that may not write ends as cancelled."""
        if not self._buffer.released:
            if not self._outlet.claim(self._message.attempt):
                return self._make_failure(FailureKind.CANCELLED, started=True)
            held = self._buffer.release()
            await self._outlet.write_head(self._buffer)
        else:
            held = self._buffer.release()
        await self._outlet.write_body(held)
        return None

    def _make_failure(self, kind: FailureKind, *, started: bool) -> AttemptFailed:
        return AttemptFailed(attempt=self._message.attempt, kind=kind, started=started)


def make_attempt_request(
    request: CallerRequest,
    *,
    policy: RoutePolicy,
    candidate: Candidate,
    document_version: DocumentVersion,
    remaining_ms: int,
) -> AttemptRequest:
    """Return a new attempt of a caller's request, as the agent gets it.

    Args:
        request: The caller's request.
        policy: Policy of its route.
        candidate: The target.
        document_version: Version of the document that the route is from.
        remaining_ms: Time left until the caller's deadline, in milliseconds.
    """
    return AttemptRequest(
        request=request.request,
        attempt=make_attempt_id(),
        target=candidate.target,
        service=policy.service,
        document_version=document_version,
        method=request.method.encode(),
        path=request.target,
        headers=request.headers,
        key=request.key,
        body=request.body,
        remaining_ms=remaining_ms,
        priority=policy.priority,
        rank=policy.rank,
        idempotent=policy.idempotent,
        answer=policy.answer,
        max_risk=candidate.max_risk,
        may_try=candidate.may_try,
        terms=candidate.terms,
    )
