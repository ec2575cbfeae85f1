"""Serves one action: performs the steps that its coordinator decides."""

from contextlib import AsyncExitStack

import msgspec

from samphirespring.process.errors import ErrorCode, InternalError
from samphirespring.process.ledger.action_ledger import ActionLedger, LedgerOutage
from samphirespring.process.ledger.claims import AttemptAssignment, ClaimKey, StoredResponse
from samphirespring.process.ledger.commands import EndAttempt, LedgerResult
from samphirespring.process.ledger.fencer import AttemptFencer
from samphirespring.process.ledger.states import ClaimState
from samphirespring.process.mailbox import ask
from samphirespring.process.metrics.metric_names import Counter
from samphirespring.process.retry_budget import RetryKind
from samphirespring.process.traffic_limiter import AcquireRetry
from samphirespring.request.action_coordinator import ActionCoordinator
from samphirespring.request.action_errors import make_action_error
from samphirespring.request.action_messages import (
    ActionEvent,
    ActionStep,
    AttemptCompleted,
    AttemptLost,
    AttemptNotStarted,
    CallLedger,
    ChooseTarget,
    Conclude,
    FateReported,
    FenceAttempt,
    FenceFailed,
    LedgerFailed,
    LedgerReplied,
    NoTarget,
    Pause,
    ReadClaim,
    Resumed,
    RunAttempt,
    TargetChosen,
)
from samphirespring.request.action_progress import ActionPlan
from samphirespring.request.action_writer import ActionWriter
from samphirespring.request.attempt import Attempt, make_attempt_request
from samphirespring.request.attempt_errors import make_request_error
from samphirespring.request.caller import CallerRequest, ResponseMetadata, ResponseWriter
from samphirespring.request.context import ExchangeContext
from samphirespring.request.deadline import AGENT_REPORT_GRACE_S, make_deadline
from samphirespring.request.errors import RequestError, ResponseCutError
from samphirespring.request.exclusive_response_writer import (
    REFUSAL_STATUSES,
    ExclusiveResponseWriter,
)
from samphirespring.request.ids import IdempotencyKey, make_attempt_id
from samphirespring.request.messages import (
    AttemptFailed,
    AttemptRefused,
    AttemptResult,
    ResponseEnd,
)
from samphirespring.request.retry import RetryDecision, RetryPlanner
from samphirespring.request.states import Outcome
from samphirespring.request.target_source import Selection, SelectionTerms
from samphirespring.request.work_kind import make_work_kind
from samphirespring.version.ids import DocumentVersion
from samphirespring.version.routes import Route

START_WINDOW_MS = 10_000
"""Maximum time from the claim of an attempt to its start, in milliseconds."""


class ActionContext(msgspec.Struct, frozen=True, kw_only=True):
    """Dependencies that all actions of a front share.

    Attributes:
        exchange: Dependencies that all exchanges share.
        ledger: Client of the ledger.
        fencer: Requests the fate of attempts from agents.
    """

    exchange: ExchangeContext
    ledger: ActionLedger
    fencer: AttemptFencer


class ActionResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of an action at its front.

    Attributes:
        error: Error for the caller; None if it received a response.
        end_command: Command to commit afterwards; None if there is none.
    """

    error: RequestError | None
    end_command: EndAttempt | None


class ActionExchange:
    """Serves one action with one version of the document.

    Args:
        context: Dependencies that all actions of the front share.
        request: The caller's request.
        digest: Digest of the request; see `compute_digest`.
        route: Route of the request.
        document_version: Version of the document that contains the route.
        retention_s: How long the ledger keeps the outcome, in seconds.
        writer: Writes the response to the caller.
    """

    def __init__(
        self,
        context: ActionContext,
        *,
        request: CallerRequest,
        digest: bytes,
        route: Route,
        document_version: DocumentVersion,
        retention_s: int,
        writer: ResponseWriter,
    ) -> None:
        self._context = context
        # With a generated key the front's own retries are safe, but a resend by the caller isn't
        # recognised as the same action.
        key = request.key or IdempotencyKey(request.request)
        self._request = msgspec.structs.replace(request, key=key)
        self._digest = digest
        self._route = route
        self._policy = route.policy
        self._service = route.service
        self._planner = RetryPlanner(route.policy, generator=context.exchange.generator)
        self._refusal: AttemptRefused | AttemptFailed | None = None
        self._document_version = document_version
        self._writer = ActionWriter(writer)
        self._response = ExclusiveResponseWriter(
            self._writer, request=request.request, on_claim=lambda attempt: None
        )
        self._timers = context.exchange.timers
        self._plan = self._make_plan(
            key, key_from_caller=request.key is not None, retention_s=retention_s
        )
        self._coordinator = ActionCoordinator(self._plan)
        self._selection: Selection | None = None
        self._acquired_target = AsyncExitStack()

    async def run(self) -> ActionResult:
        """Serve the action and return its result."""
        async with self._acquired_target:
            step = self._coordinator.start()
            while not isinstance(step, Conclude):
                event = await self._perform(step)
                step = self._coordinator.handle(event, now_s=self._timers.read_now_s())
        return await self._conclude(step)

    def detach_caller(self) -> None:
        """Stop writing to the caller, which has disconnected; the action continues."""
        self._writer.detach_caller()

    async def _perform(self, step: ActionStep) -> ActionEvent:
        match step:
            case ChooseTarget():
                return await self._choose(step)
            case CallLedger():
                return _convert_reply(await self._context.ledger.propose(step.command))
            case ReadClaim():
                return await self._read(step)
            case RunAttempt():
                return await self._run_attempt(step.assignment)
            case FenceAttempt():
                return await self._fence(step.assignment)
            case Pause():
                await self._timers.wait_for(step.delay_s)
                return Resumed()
            case Conclude():
                raise InternalError("the action has ended")

    async def _choose(self, step: ChooseTarget) -> ActionEvent:
        await self._acquired_target.aclose()
        terms = SelectionTerms(
            service=self._policy.service,
            idempotent=False,
            tried=frozenset(step.tried),
            body_bytes=self._request.body.length or 0,
            kind=make_work_kind(
                self._route, method=self._request.method, body_bytes=self._request.body.length
            ),
            aim_ms=self._policy.aim_ms or self._policy.deadline_ms,
        )
        selection = await self._acquired_target.enter_async_context(
            self._context.exchange.targets.select(terms)
        )
        if selection is None:
            return NoTarget()
        self._selection = selection
        candidate = selection.candidate
        start_by_ms = self._timers.read_wall_ns() // 1_000_000 + START_WINDOW_MS
        return TargetChosen(
            assignment=AttemptAssignment(
                attempt=make_attempt_id(),
                target=candidate.target,
                link_address=candidate.link_address,
                incarnation=candidate.incarnation,
                start_by_wall_ms=start_by_ms,
            )
        )

    async def _read(self, step: ReadClaim) -> ActionEvent:
        return _convert_reply(
            await self._context.ledger.read(
                self._plan.key, wait_s=step.wait_s, any_replica=step.any_replica
            )
        )

    async def _run_attempt(self, assignment: AttemptAssignment) -> ActionEvent:
        if self._selection is None:
            raise InternalError("an attempt was recorded without a target")
        remaining_ms = int((self._plan.deadline_at_s - self._timers.read_now_s()) * 1_000)
        message = make_attempt_request(
            self._request,
            policy=self._policy,
            candidate=self._selection.candidate,
            document_version=self._document_version,
            remaining_ms=max(1, remaining_ms),
        )
        message = msgspec.structs.replace(
            message,
            attempt=assignment.attempt,
            incarnation=assignment.incarnation,
            start_by_wall_ms=assignment.start_by_wall_ms,
        )
        self._response.attempt_count = self._coordinator.attempt_count
        self._context.exchange.metrics.count(Counter.FRONT_ATTEMPTS)
        attempt = Attempt(
            self._context.exchange,
            message=message,
            body=self._request.body,
            selection=self._selection,
            response=self._response,
        )
        result: AttemptResult | None = None
        try:
            with self._timers.move_on_at(self._plan.deadline_at_s + AGENT_REPORT_GRACE_S):
                result = await attempt.run()
        except ResponseCutError:
            return AttemptLost(ended=True)
        return await self._convert_result(result)

    async def _convert_result(self, result: AttemptResult | None) -> ActionEvent:
        if result is None:
            # After the head was written, the caller can't be sent a stored copy of the response.
            return AttemptLost(ended=self._response.owner is not None)
        if isinstance(result, ResponseEnd):
            capture = self._writer.capture
            unknown = capture.status in REFUSAL_STATUSES
            state = ClaimState.UNKNOWN if unknown else ClaimState.DONE
            return AttemptCompleted(
                state=state, response=None if unknown else capture.make_response()
            )
        if isinstance(result, AttemptRefused) or not result.started:
            return await self._convert_refusal(result)
        # Only an agent reports the load. Without it, the front only lost contact with the attempt.
        return AttemptLost(ended=result.load is not None or self._response.owner is not None)

    async def _convert_refusal(self, result: AttemptRefused | AttemptFailed) -> ActionEvent:
        self._refusal = result
        code = result.code if isinstance(result, AttemptRefused) else None
        remaining_ms = int((self._plan.deadline_at_s - self._timers.read_now_s()) * 1_000)
        step = self._planner.plan(result, remaining_ms=remaining_ms)
        if step.decision is not RetryDecision.RETRY or not await self._acquire_retry():
            return AttemptNotStarted(code=code, retry_delay_s=None)
        return AttemptNotStarted(code=code, retry_delay_s=step.delay_s)

    async def _acquire_retry(self) -> bool:
        granted: bool = await ask(
            self._context.exchange.traffic_limiter,
            lambda reply: AcquireRetry(
                service=self._policy.service,
                policy=self._service,
                kind=RetryKind.REFUSED,
                reply=reply,
            ),
        )
        name = Counter.FRONT_RETRIES_GRANTED if granted else Counter.FRONT_RETRY_BUDGET_SPENT
        self._context.exchange.metrics.count(name)
        return granted

    async def _fence(self, assignment: AttemptAssignment) -> ActionEvent:
        reply = await self._context.fencer.fence(assignment)
        if reply is None:
            return FenceFailed()
        return FateReported(fate=reply.fate, response=reply.answer)

    async def _conclude(self, conclusion: Conclude) -> ActionResult:
        metrics = self._context.exchange.metrics
        metrics.count(Counter.ACTION_OUTCOMES, conclusion.outcome.value)
        if self._coordinator.joined:
            metrics.count(Counter.ACTION_JOINED)
        if conclusion.stored is not None:
            metrics.count(Counter.ACTION_REPLAYED)
            await self._write_stored(conclusion.stored)
        if conclusion.error is None:
            return ActionResult(error=None, end_command=conclusion.end_command)
        error = self._make_error(conclusion)
        error.attempt_count = self._coordinator.attempt_count
        return ActionResult(error=error, end_command=conclusion.end_command)

    def _make_error(self, conclusion: Conclude) -> RequestError:
        if self._response.owner is not None:
            return ResponseCutError("the response was cut off", outcome=Outcome.UNKNOWN)
        if conclusion.error is ErrorCode.REFUSED and self._refusal is not None:
            return make_request_error(self._refusal, policy=self._policy)
        return make_action_error(conclusion)

    async def _write_stored(self, response: StoredResponse) -> None:
        metadata = ResponseMetadata(
            request=self._request.request,
            outcome=Outcome.RAN,
            attempt_count=self._coordinator.attempt_count,
        )
        await self._writer.write_head(response.status, response.headers, metadata)
        if response.body:
            await self._writer.write_chunk(response.body)
        await self._writer.finish()

    def _make_plan(
        self, key: IdempotencyKey, *, key_from_caller: bool, retention_s: int
    ) -> ActionPlan:
        deadline = make_deadline(
            now_s=self._timers.read_now_s(),
            route_ms=self._policy.deadline_ms,
            caller_ms=self._request.deadline_ms,
        )
        return ActionPlan(
            key=ClaimKey(workspace=self._request.workspace, service=self._policy.service, key=key),
            key_from_caller=key_from_caller,
            digest=self._digest,
            request=self._request.request,
            deadline_at_s=deadline.at_s,
            reserve_s=self._policy.retry.execution_reserve_ms / 1_000,
            max_attempts=self._policy.retry.max_attempts,
            retention_ms=retention_s * 1_000,
        )


def _convert_reply(reply: LedgerResult | LedgerOutage) -> ActionEvent:
    if isinstance(reply, LedgerOutage):
        return LedgerFailed(uncertain=reply.uncertain)
    return LedgerReplied(result=reply)
