"""Runs one attempt: sends it to an agent, then checks and forwards the response."""

import msgspec

from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.process.errors import SamphireError
from samphirespring.request.body import RequestBody
from samphirespring.request.caller import CallerRequest
from samphirespring.request.context import ExchangeContext
from samphirespring.request.errors import RequestError, ResponseCutError
from samphirespring.request.exclusive_response_writer import ExclusiveResponseWriter
from samphirespring.request.ids import make_attempt_id
from samphirespring.request.messages import (
    AttemptFailed,
    AttemptFrame,
    AttemptRefused,
    AttemptRequest,
    AttemptResult,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
)
from samphirespring.request.response_buffer import ResponseBuffer
from samphirespring.request.selection import Candidate
from samphirespring.request.states import FailureKind, Outcome, RefusalCode
from samphirespring.request.target_source import Selection
from samphirespring.version.document import RoutePolicy
from samphirespring.version.ids import DocumentVersion

CAPACITY_REFUSALS = frozenset(
    {
        RefusalCode.NO_SLOT,
        RefusalCode.SHEDDING,
        RefusalCode.RATE_LIMITED,
        RefusalCode.KEY_LEASE_EXPIRED,
    }
)
"""Refusals after which the target temporarily counts as full."""


class Attempt:
    """Runs one attempt on one target.

    Args:
        context: Dependencies that all exchanges of the front share.
        message: The attempt, as it is sent to the agent.
        body: Body of the caller's request.
        selection: The target.
        response: Writes the caller's response.
    """

    def __init__(
        self,
        context: ExchangeContext,
        *,
        message: AttemptRequest,
        body: RequestBody,
        selection: Selection,
        response: ExclusiveResponseWriter,
    ) -> None:
        self._context = context
        self._message = message
        self._body = body
        self._selection = selection
        self._response = response
        self._buffer = ResponseBuffer(capacity=context.replay_buffer_bytes)

    async def run(self) -> AttemptResult:
        """Send the attempt, forward its response and return its result.

        Raises:
            ResponseCutError: The response was cut off after part of it had been sent to the caller.
        """
        try:
            result = await self._receive_response()
        except LinkUnavailableError as error:
            result = self._make_failure(FailureKind.LINK_LOST, started=error.sent)
        except RequestError:
            raise
        except SamphireError:
            result = self._make_failure(FailureKind.LINK_LOST, started=True)
        if self._buffer.released and not isinstance(result, ResponseEnd):
            raise ResponseCutError("the response was cut off", outcome=Outcome.UNKNOWN)
        self._report_load(result)
        return result

    def _report_load(self, result: AttemptResult) -> None:
        load = result.load
        is_full = isinstance(result, AttemptRefused) and result.code in CAPACITY_REFUSALS
        if load is None and is_full and self._selection.candidate.service_sheds:
            # The wait for a slot ended; the agent's refusal doesn't say more.
            load = msgspec.structs.replace(self._selection.candidate.load, risk=None)
        if load is None:
            return
        if is_full:
            # The agent may report free slots although the backend server itself sheds load.
            load = msgspec.structs.replace(load, free_slots=0)
        self._selection.report_load(load)

    async def _receive_response(self) -> AttemptResult:
        async with self._context.sender.send(
            self._message, body=self._body, link_address=self._selection.candidate.link_address
        ) as frames:
            async for frame in frames:
                result = await self._handle_frame(frame)
                if result is not None:
                    return result
        return self._make_failure(FailureKind.CUT, started=True)

    async def _handle_frame(self, frame: AttemptFrame) -> AttemptResult | None:
        match frame:
            case ResponseHead():
                self._buffer.set_head(frame, expected_attempt=self._message.attempt)
                return None
            case ResponseChunk():
                self._buffer.add_chunk(frame)
                return await self._release() if self._buffer.is_full else None
            case ResponseEnd():
                return await self._finish(frame)
            case AttemptRefused() | AttemptFailed():
                return self._check_result(frame)

    def _check_result(self, result: AttemptRefused | AttemptFailed) -> AttemptResult:
        # Only a result of this very attempt, before any response, proves that nothing ran.
        if result.attempt != self._message.attempt:
            return self._make_failure(FailureKind.LINK_LOST, started=True)
        if isinstance(result, AttemptRefused) and self._buffer.has_head:
            return self._make_failure(FailureKind.CUT, started=True)
        return result

    async def _finish(self, end: ResponseEnd) -> AttemptResult:
        if not self._buffer.is_complete(end):
            return self._make_failure(FailureKind.CUT, started=True)
        failure = await self._release()
        if failure is not None:
            return failure
        await self._response.finish()
        return end

    async def _release(self) -> AttemptFailed | None:
        """Write the buffered part; return a failure if another attempt owns the response."""
        if not self._buffer.released:
            if not self._response.claim(self._message.attempt):
                return self._make_failure(FailureKind.CANCELLED, started=True)
            chunks = self._buffer.release()
            await self._response.write_head(self._buffer)
        else:
            chunks = self._buffer.release()
        await self._response.write_body(chunks)
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
    age_ms: int = 0,
) -> AttemptRequest:
    """Return the message that requests a new attempt at a caller's request from an agent.

    Args:
        request: The caller's request.
        policy: Policy of the request's route.
        candidate: The target.
        document_version: Version of the document that contains the route.
        remaining_ms: Time remaining until the caller's deadline, in milliseconds.
        age_ms: Time since the request arrived, in milliseconds.
    """
    inline = request.body.inline
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
        body=inline or b"",
        body_follows=inline is None,
        body_length=request.body.length,
        remaining_ms=remaining_ms,
        priority=policy.priority,
        rank=policy.rank if request.rank is None else request.rank,
        idempotent=policy.idempotent,
        answer=policy.answer,
        max_risk=candidate.max_risk,
        may_try=candidate.may_try,
        terms=candidate.terms,
        workspace=request.workspace,
        api_key=request.api_key,
        aim_left_ms=policy.aim_ms - age_ms if policy.aim_ms else None,
        work_s=None if candidate.expected is None else candidate.expected.work_s,
        sheds_are_load=candidate.service_sheds,
    )
