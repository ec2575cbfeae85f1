"""One action from its claim to its answer: carries out what the coordinator decides."""

from contextlib import AsyncExitStack
from dataclasses import dataclass

import msgspec

from samphirespring.process.errors import ErrorCode, InternalError
from samphirespring.process.ledger.caller import LedgerCaller, LedgerOutage
from samphirespring.process.ledger.claims import AttemptPlace, ClaimKey, StoredAnswer
from samphirespring.process.ledger.commands import EndAttempt, LedgerResult
from samphirespring.process.ledger.fencer import AttemptFencer
from samphirespring.process.ledger.states import ClaimState
from samphirespring.process.mailbox import ask
from samphirespring.process.metric_names import Counter
from samphirespring.process.retry_budget import RetryKind
from samphirespring.process.traffic_limiter import AcquireRetry
from samphirespring.request.action_coordinator import ActionCoordinator
from samphirespring.request.action_digest import compute_digest
from samphirespring.request.action_errors import make_action_error
from samphirespring.request.action_messages import (
    ActionEvent,
    ActionStep,
    AttemptAnswered,
    AttemptLost,
    AttemptNotStarted,
    CallLedger,
    ChooseTarget,
    Conclude,
    FateKnown,
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
from samphirespring.request.answer_outlet import REFUSAL_STATUSES, AnswerOutlet
from samphirespring.request.attempt import Attempt, make_attempt_request
from samphirespring.request.caller import AnswerFacts, AnswerWriter, CallerRequest
from samphirespring.request.context import ExchangeContext
from samphirespring.request.deadline import make_deadline
from samphirespring.request.endings import make_request_error
from samphirespring.request.errors import AnswerCutError, RequestError
from samphirespring.request.ids import IdempotencyKey, make_attempt_id
from samphirespring.request.messages import AnswerEnd, AttemptEnd, AttemptFailed, AttemptRefused
from samphirespring.request.retry import RetryDecision, RetryPlanner
from samphirespring.request.selection import Candidate
from samphirespring.request.states import Outcome
from samphirespring.request.target_lease import lease_target
from samphirespring.version.ids import DocumentVersion
from samphirespring.version.routes import Route

START_WINDOW_MS = 10_000
"""Longest time from a claim to the start of its attempt, in milliseconds."""

REPORT_GRACE_S = 0.05
"""Time beyond the deadline for the agent's own report that the deadline passed, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ActionContext:
    """What the actions of one front share.

    Attributes:
        exchange: What all exchanges share.
        ledger: Calls to the ledger.
        fencer: Asks agents what became of an attempt.
    """

    exchange: ExchangeContext
    ledger: LedgerCaller
    fencer: AttemptFencer


@dataclass(frozen=True, slots=True, kw_only=True)
class ActionEnd:
    """How an action ended at its front.

    Attributes:
        error: What the caller is told; None if it got an answer.
        record: What is still to be committed.
    """

    error: RequestError | None
    record: EndAttempt | None


class ActionExchange:
    """Serves one action by one version of the document.

    Args:
        context: What the front's actions share.
        request: The caller's request.
        route: Its route.
        document_version: Version of the document that the route is from.
        retention_s: How long the outcome is kept, in seconds.
        writer: Takes the answer.
    """

    def __init__(
        self,
        context: ActionContext,
        *,
        request: CallerRequest,
        route: Route,
        document_version: DocumentVersion,
        retention_s: int,
        writer: AnswerWriter,
    ) -> None:
        self._context = context
        # A key of the front's own: its retries are safe, a second tap isn't recognised.
        key = request.key or IdempotencyKey(request.request)
        self._request = msgspec.structs.replace(request, key=key)
        self._policy = route.policy
        self._service = route.service
        self._planner = RetryPlanner(route.policy, generator=context.exchange.generator)
        self._refusal: AttemptRefused | AttemptFailed | None = None
        self._document_version = document_version
        self._writer = ActionWriter(writer)
        self._outlet = AnswerOutlet(
            self._writer, request=request.request, on_claim=lambda attempt: None
        )
        self._timers = context.exchange.timers
        self._plan = self._make_plan(
            key, key_from_caller=request.key is not None, retention_s=retention_s
        )
        self._coordinator = ActionCoordinator(self._plan)
        self._candidate: Candidate | None = None
        self._lease = AsyncExitStack()

    async def run(self) -> ActionEnd:
        """Serve the action and return how it ended."""
        async with self._lease:
            step = self._coordinator.start()
            while not isinstance(step, Conclude):
                event = await self._perform(step)
                step = self._coordinator.handle(event, now_s=self._timers.read_now_s())
        return await self._conclude(step)

    def leave(self) -> None:
        """Note that the caller left; the action runs on."""
        self._writer.leave()

    async def _perform(self, step: ActionStep) -> ActionEvent:
        match step:
            case ChooseTarget():
                return await self._choose(step)
            case CallLedger():
                return _convert_reply(await self._context.ledger.propose(step.command))
            case ReadClaim():
                return await self._read(step)
            case RunAttempt():
                return await self._run_attempt(step.place)
            case FenceAttempt():
                return await self._fence(step.place)
            case Pause():
                await self._timers.wait_for(step.delay_s)
                return Resumed()
            case Conclude():
                raise InternalError("the action has ended")

    async def _choose(self, step: ChooseTarget) -> ActionEvent:
        await self._lease.aclose()
        candidate = await self._lease.enter_async_context(
            lease_target(
                self._context.exchange.table,
                service=self._policy.service,
                idempotent=False,
                tried=step.tried,
            )
        )
        if candidate is None:
            return NoTarget()
        self._candidate = candidate
        start_by_ms = self._timers.read_wall_ns() // 1_000_000 + START_WINDOW_MS
        return TargetChosen(
            place=AttemptPlace(
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

    async def _run_attempt(self, place: AttemptPlace) -> ActionEvent:
        if self._candidate is None:
            raise InternalError("an attempt was recorded without a target")
        left_ms = int((self._plan.deadline_s - self._timers.read_now_s()) * 1_000)
        message = make_attempt_request(
            self._request,
            policy=self._policy,
            candidate=self._candidate,
            document_version=self._document_version,
            remaining_ms=max(1, left_ms),
        )
        message = msgspec.structs.replace(
            message,
            attempt=place.attempt,
            incarnation=place.incarnation,
            start_by_wall_ms=place.start_by_wall_ms,
        )
        self._outlet.attempt_count = self._coordinator.attempt_count
        self._context.exchange.metrics.count(Counter.FRONT_ATTEMPTS)
        attempt = Attempt(
            self._context.exchange, message=message, candidate=self._candidate, outlet=self._outlet
        )
        end: AttemptEnd | None = None
        try:
            with self._timers.limit_until(self._plan.deadline_s + REPORT_GRACE_S):
                end = await attempt.run()
        except AnswerCutError:
            return AttemptLost(ended=True)
        return await self._convert_end(end)

    async def _convert_end(self, end: AttemptEnd | None) -> ActionEvent:
        if end is None:
            # Once its head went out, the caller can be given no other copy of the answer.
            return AttemptLost(ended=self._outlet.owner is not None)
        if isinstance(end, AnswerEnd):
            capture = self._writer.capture
            unknown = capture.status in REFUSAL_STATUSES
            state = ClaimState.UNKNOWN if unknown else ClaimState.DONE
            return AttemptAnswered(state=state, answer=None if unknown else capture.make_response())
        if isinstance(end, AttemptRefused) or not end.started:
            return await self._convert_refusal(end)
        # Only the agent reports the load: without it, the front merely lost sight of the attempt.
        return AttemptLost(ended=end.load is not None or self._outlet.owner is not None)

    async def _convert_refusal(self, end: AttemptRefused | AttemptFailed) -> ActionEvent:
        self._refusal = end
        code = end.code if isinstance(end, AttemptRefused) else None
        left_ms = int((self._plan.deadline_s - self._timers.read_now_s()) * 1_000)
        step = self._planner.plan(end, left_ms=left_ms)
        if step.decision is not RetryDecision.RETRY or not await self._take_retry():
            return AttemptNotStarted(code=code, retry_delay_s=None)
        return AttemptNotStarted(code=code, retry_delay_s=step.delay_s)

    async def _take_retry(self) -> bool:
        granted: bool = await ask(
            self._context.exchange.traffic,
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

    async def _fence(self, place: AttemptPlace) -> ActionEvent:
        reply = await self._context.fencer.fence(place)
        if reply is None:
            return FenceFailed()
        return FateKnown(fate=reply.fate, answer=reply.answer)

    async def _conclude(self, conclusion: Conclude) -> ActionEnd:
        metrics = self._context.exchange.metrics
        metrics.count(Counter.ACTION_OUTCOMES, conclusion.outcome.value)
        if self._coordinator.joined:
            metrics.count(Counter.ACTION_JOINED)
        if conclusion.stored is not None:
            metrics.count(Counter.ACTION_REPLAYED)
            await self._write_stored(conclusion.stored)
        if conclusion.error is None:
            return ActionEnd(error=None, record=conclusion.record)
        error = self._make_error(conclusion)
        error.attempt_count = self._coordinator.attempt_count
        return ActionEnd(error=error, record=conclusion.record)

    def _make_error(self, conclusion: Conclude) -> RequestError:
        if self._outlet.owner is not None:
            return AnswerCutError("the answer broke off", outcome=Outcome.UNKNOWN)
        if conclusion.error is ErrorCode.REFUSED and self._refusal is not None:
            return make_request_error(self._refusal, policy=self._policy)
        return make_action_error(conclusion)

    async def _write_stored(self, answer: StoredAnswer) -> None:
        facts = AnswerFacts(
            request=self._request.request,
            outcome=Outcome.RAN,
            attempt_count=self._coordinator.attempt_count,
        )
        await self._writer.write_head(answer.status, answer.headers, facts)
        if answer.body:
            await self._writer.write_chunk(answer.body)
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
            digest=compute_digest(self._request),
            request=self._request.request,
            deadline_s=deadline.at_s,
            reserve_s=self._policy.retry.execution_reserve_ms / 1_000,
            max_attempts=self._policy.retry.max_attempts,
            retention_ms=retention_s * 1_000,
        )


def _convert_reply(reply: LedgerResult | LedgerOutage) -> ActionEvent:
    if isinstance(reply, LedgerOutage):
        return LedgerFailed(uncertain=reply.uncertain)
    return LedgerReplied(result=reply)
