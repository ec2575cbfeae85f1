"""Serves one request: selects targets, runs attempts and retries, and forwards the response."""

import anyio

from samphirespring.process.ids import TargetId
from samphirespring.process.mailbox import ask
from samphirespring.process.metrics.metric_names import Counter, Timing
from samphirespring.process.retry_budget import RetryKind
from samphirespring.process.shedding.retry_pool import (
    DENIED,
    GRANTED,
    GrantDecision,
    RetryGrant,
)
from samphirespring.process.traffic_limiter import AcquireRetry
from samphirespring.request.attempt import Attempt, make_attempt_request
from samphirespring.request.attempt_errors import make_request_error, state_retry_after
from samphirespring.request.caller import CallerRequest, ResponseWriter
from samphirespring.request.context import ExchangeContext
from samphirespring.request.deadline import AGENT_REPORT_GRACE_S, Deadline, make_deadline
from samphirespring.request.errors import (
    DeadlineExpiredError,
    NodeStoppingError,
    NoTargetError,
    RequestError,
    ResponseCutError,
)
from samphirespring.request.exclusive_response_writer import ExclusiveResponseWriter
from samphirespring.request.hedge import Hedge
from samphirespring.request.hedge_schedule import HedgeSchedule, HedgeWait, may_run_in_parallel
from samphirespring.request.ids import AttemptId
from samphirespring.request.messages import (
    AttemptFailed,
    AttemptRefused,
    AttemptResult,
    ResponseEnd,
)
from samphirespring.request.pooled_retries import RetryTerms
from samphirespring.request.retry import RetryDecision, RetryPlanner, RetryStep, compute_max_wait_s
from samphirespring.request.selection import Candidate, ExpectedTime
from samphirespring.request.states import FailureKind, Outcome, RefusalCode
from samphirespring.request.target_source import Selection, SelectionTerms
from samphirespring.request.trace import AttemptTrace
from samphirespring.request.work_kind import make_work_kind
from samphirespring.version.ids import DocumentVersion
from samphirespring.version.routes import Route

NO_TARGET_RETRY_AFTER_S = 1
"""Retry delay reported to the caller if no target is available, in seconds."""

STOP_RETRY_AFTER_S = 1
"""Retry delay reported to the caller of a request that a stopping node ends, in seconds."""

HEDGE_METRICS = {
    RetryKind.HEDGE: Counter.FRONT_HEDGES,
    RetryKind.EXECUTION: Counter.FRONT_STALL_RETRIES,
}
"""Counters of attempts that started in parallel with others."""

UNBUDGETED_REFUSALS = frozenset(
    {
        RefusalCode.SUSPECT,
        RefusalCode.UNKNOWN_TARGET,
        RefusalCode.DRAINING,
        RefusalCode.KEY_LEASE_EXPIRED,
    }
)
"""Refusals by an agent after which another attempt doesn't use the retry budget."""


class Exchange:
    """Serves one request with one version of the document.

    Args:
        context: Dependencies that all exchanges of the front share.
        request: The caller's request.
        route: Route of the request.
        document_version: Version of the document that contains the route.
        writer: Writes the response to the caller.
    """

    def __init__(
        self,
        context: ExchangeContext,
        *,
        request: CallerRequest,
        route: Route,
        document_version: DocumentVersion,
        writer: ResponseWriter,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._policy = route.policy
        self._document_version = document_version
        self._response = ExclusiveResponseWriter(
            writer, request=request.request, on_claim=self._cancel_other_attempts
        )
        self._planner = RetryPlanner(route.policy, generator=context.generator)
        self._tried: list[Candidate] = []
        self._suspected: set[TargetId] = set()
        """Targets that refused because others seemed better; they may turn out to be the best."""

        self._open_attempts: dict[AttemptId, anyio.CancelScope] = {}
        self._may_have_run = False
        self._started_at_s = context.timers.read_now_s()
        self._deadline = self._make_deadline()
        self.traces: list[AttemptTrace] = []
        """Attempts so far, for the log."""

    @property
    def attempt_count(self) -> int:
        """Number of attempts so far."""
        return len(self._tried)

    @property
    def has_response(self) -> bool:
        """Whether the caller received a complete response."""
        return any(isinstance(trace.result, ResponseEnd) for trace in self.traces)

    async def run(self) -> None:
        """Serve the request.

        Raises:
            RequestError: The caller received no complete response.
        """
        try:
            with self._context.timers.move_on_at(self._deadline.at_s + AGENT_REPORT_GRACE_S):
                await self._run_attempts()
                return
            raise self._make_deadline_error()
        except RequestError as error:
            error.attempt_count = self.attempt_count
            if self._may_have_run:
                error.outcome = Outcome.UNKNOWN
            raise

    async def _run_attempts(self) -> None:
        while True:
            self._check_deadline()
            result = await self._run_round()
            if isinstance(result, ResponseEnd):
                return
            step = self._planner.plan(result, remaining_ms=self._compute_remaining_ms())
            if step.decision is not RetryDecision.RETRY or not self._request.body.can_replay:
                raise make_request_error(result, policy=self._policy)
            grant = await self._acquire_step(result)
            if grant.decision is not GrantDecision.GRANTED:
                result = state_retry_after(result, grant.wait_s)
                raise make_request_error(result, policy=self._policy)
            await self._wait(step)

    async def _run_round(self) -> AttemptResult:
        if not may_run_in_parallel(self._policy) or self._request.body.inline is None:
            return await self._run_attempt()
        schedule = HedgeSchedule(self._policy)
        hedge = Hedge(
            run_attempt=self._run_attempt,
            plan_next=lambda: self._plan_hedge(schedule),
            acquire_permit=lambda kind: self._acquire_hedge(schedule, kind),
            response=self._response,
            timers=self._context.timers,
        )
        return await hedge.run()

    async def _run_attempt(self) -> AttemptResult:
        tried = frozenset(candidate.target for candidate in self._tried) - self._suspected
        terms = SelectionTerms(
            service=self._policy.service,
            tried=tried,
            idempotent=self._policy.idempotent,
            suspected=frozenset(self._suspected),
            body_bytes=self._request.body.length or 0,
            kind=make_work_kind(
                self._route, method=self._request.method, body_bytes=self._request.body.length
            ),
            aim_ms=self._policy.aim_ms or self._policy.deadline_ms,
        )
        async with self._context.targets.select(terms) as selection:
            if selection is None:
                raise NoTargetError(
                    f"no target of {self._policy.service} can accept the request",
                    retry_after_s=NO_TARGET_RETRY_AFTER_S,
                )
            return await self._send_attempt(selection)

    def _record_expected(self, expected: ExpectedTime | None) -> None:
        if expected is None:
            return
        metrics = self._context.metrics
        metrics.record_duration(Timing.FRONT_EXPECTED_WAIT, expected.wait_s)
        metrics.record_duration(Timing.FRONT_EXPECTED_RUN, expected.run_s)

    async def _send_attempt(self, selection: Selection) -> AttemptResult:
        candidate = selection.candidate
        message = make_attempt_request(
            self._request,
            policy=self._policy,
            candidate=candidate,
            document_version=self._document_version,
            remaining_ms=self._compute_remaining_ms(),
            age_ms=self._measure_age_ms(),
        )
        self._tried.append(candidate)
        trace = AttemptTrace(candidate=candidate, started_ms=self._measure_age_ms())
        self.traces.append(trace)
        self._response.attempt_count = self.attempt_count
        self._context.metrics.count(Counter.FRONT_ATTEMPTS)
        self._record_expected(candidate.expected)
        attempt = Attempt(
            self._context,
            message=message,
            body=self._request.body,
            selection=selection,
            response=self._response,
        )
        # Until its result is known the attempt may run: cancellation doesn't prove otherwise.
        result: AttemptResult = AttemptFailed(
            attempt=message.attempt, kind=FailureKind.CANCELLED, started=True
        )
        with anyio.CancelScope() as scope:
            self._open_attempts[message.attempt] = scope
            result = await attempt.run()
        del self._open_attempts[message.attempt]
        trace.result = result
        trace.ended_ms = self._measure_age_ms()
        self._record_result(result)
        if isinstance(result, AttemptRefused) and result.code is RefusalCode.SUSPECT:
            self._suspected.add(candidate.target)
        return result

    def _cancel_other_attempts(self, owner: AttemptId) -> None:
        for attempt, scope in self._open_attempts.items():
            if attempt != owner:
                scope.cancel()

    def _record_result(self, result: AttemptResult) -> None:
        if isinstance(result, AttemptRefused):
            self._context.metrics.count(Counter.FRONT_REFUSALS, result.code.value)
        elif isinstance(result, AttemptFailed):
            self._context.metrics.count(Counter.FRONT_FAILURES, result.kind.value)
            self._may_have_run = self._may_have_run or result.started

    def _plan_hedge(self, schedule: HedgeSchedule) -> HedgeWait | None:
        terms = self._tried[-1].terms if self._tried else None
        return schedule.plan(terms, remaining_ms=self._compute_remaining_ms())

    async def _acquire_hedge(self, schedule: HedgeSchedule, kind: RetryKind) -> bool:
        if not self._open_attempts:
            # The front itself is slow: another attempt would queue behind the first one.
            return False
        if not self._planner.may_run_in_parallel(kind, remaining_ms=self._compute_remaining_ms()):
            return False
        if not await self._acquire_retry(kind):
            return False
        self._planner.count_parallel_attempt(kind)
        schedule.record_start()
        self._context.metrics.count(HEDGE_METRICS[kind])
        return True

    async def _acquire_step(self, result: AttemptRefused | AttemptFailed) -> RetryGrant:
        """Decide on the retry after an attempt, if need be after a wait."""
        service_sheds = self._tried[-1].service_sheds
        if _is_unbudgeted(result, service_sheds=service_sheds):
            return GRANTED
        kind = self._classify(result)
        if service_sheds and kind is RetryKind.EXECUTION:
            grant = await self._acquire_pooled()
            if grant is not None:
                return grant
        return GRANTED if await self._acquire_retry(kind) else DENIED

    async def _acquire_pooled(self) -> RetryGrant | None:
        """Ask for a retry from the joint budget, until it is granted or denied."""
        grant = await self._ask_pool(has_waited=False)
        while grant is not None and grant.decision is GrantDecision.WAIT:
            await self._context.timers.wait_for(grant.wait_s)
            grant = await self._ask_pool(has_waited=True)
        if grant is not None:
            self._count_decision(granted=grant.decision is GrantDecision.GRANTED)
        return grant

    async def _ask_pool(self, *, has_waited: bool) -> RetryGrant | None:
        reserve_ms = self._policy.retry.execution_reserve_ms
        terms = RetryTerms(
            service=self._policy.service,
            rank=self._policy.rank,
            max_wait_s=compute_max_wait_s(self._compute_remaining_ms(), reserve_ms=reserve_ms),
            has_waited=has_waited,
        )
        return await self._context.retries.acquire(terms, policy=self._route.service)

    async def _acquire_retry(self, kind: RetryKind) -> bool:
        granted: bool = await ask(
            self._context.traffic_limiter,
            lambda reply: AcquireRetry(
                service=self._policy.service, policy=self._route.service, kind=kind, reply=reply
            ),
        )
        self._count_decision(granted=granted)
        return granted

    def _count_decision(self, *, granted: bool) -> None:
        name = Counter.FRONT_RETRIES_GRANTED if granted else Counter.FRONT_RETRY_BUDGET_SPENT
        self._context.metrics.count(name)

    def _classify(self, result: AttemptRefused | AttemptFailed) -> RetryKind:
        if isinstance(result, AttemptRefused):
            counts = result.by_target and self._route.service.refusals_are_executions
            return RetryKind.EXECUTION if counts else RetryKind.REFUSED
        return RetryKind.EXECUTION if result.started else RetryKind.REFUSED

    async def _wait(self, step: RetryStep) -> None:
        if step.delay_s > 0.0:
            await self._context.timers.wait_for(step.delay_s)

    def _make_deadline(self) -> Deadline:
        return make_deadline(
            now_s=self._context.timers.read_now_s(),
            route_ms=self._policy.deadline_ms,
            caller_ms=self._request.deadline_ms,
        )

    def _measure_age_ms(self) -> int:
        return round((self._context.timers.read_now_s() - self._started_at_s) * 1_000)

    def _compute_remaining_ms(self) -> int:
        return self._deadline.compute_remaining_ms(self._context.timers.read_now_s())

    def _check_deadline(self) -> None:
        if self._compute_remaining_ms() <= 0:
            raise DeadlineExpiredError("the deadline passed before an attempt could start")

    def make_stop_error(self) -> RequestError:
        """Return the error for a request that is cancelled because the node stops."""
        if self._response.owner is not None:
            return self._make_cut_error("the node stopped")
        error = NodeStoppingError(
            f"the node stopped {self._describe_wait()}", outcome=self._find_outcome()
        )
        if error.outcome is Outcome.NOT_RUN:
            error.retry_after_s = STOP_RETRY_AFTER_S
        error.attempt_count = self.attempt_count
        return error

    def _make_deadline_error(self) -> RequestError:
        if self._response.owner is not None:
            return self._make_cut_error("the deadline passed")
        return DeadlineExpiredError(
            f"no response before the deadline, which passed {self._describe_wait()}",
            outcome=self._find_outcome(),
        )

    def _make_cut_error(self, detail: str) -> ResponseCutError:
        error = ResponseCutError(
            f"{detail} before the response was complete", outcome=Outcome.UNKNOWN
        )
        error.attempt_count = self.attempt_count
        return error

    def _find_outcome(self) -> Outcome:
        """Return what is known of a request that ends without a response."""
        may_run = bool(self._open_attempts) or self._may_have_run
        return Outcome.UNKNOWN if may_run else Outcome.NOT_RUN

    def _describe_wait(self) -> str:
        """Describe what the request waits for, to distinguish a slow target from a slow front."""
        if self._open_attempts:
            return "while an attempt ran"
        if self._tried:
            return "between two attempts"
        return "before a target was selected"


def _is_unbudgeted(result: AttemptRefused | AttemptFailed, *, service_sheds: bool) -> bool:
    """Return whether a retry doesn't use the retry budget, because no backend server was reached.

    Refusals for lack of capacity do use it, so that retries don't add load to busy agents. They
    don't while most targets shed: the few that don't are full, and the others still have slots.
    """
    if not isinstance(result, AttemptRefused) or result.by_target:
        return False
    return result.code in UNBUDGETED_REFUSALS or service_sheds
