"""One request from its route to its answer: attempts, retries and the answer's way back."""

import anyio

from samphirespring.process.ids import TargetId
from samphirespring.process.mailbox import ask
from samphirespring.process.metric_names import Counter
from samphirespring.process.retry_budget import RetryKind
from samphirespring.process.traffic_limiter import AcquireRetry
from samphirespring.request.answer_outlet import AnswerOutlet
from samphirespring.request.attempt import Attempt, make_attempt_request
from samphirespring.request.caller import AnswerWriter, CallerRequest
from samphirespring.request.context import ExchangeContext
from samphirespring.request.deadline import Deadline, make_deadline
from samphirespring.request.endings import make_request_error
from samphirespring.request.errors import (
    AnswerCutError,
    DeadlineExpiredError,
    NoTargetError,
    RequestError,
)
from samphirespring.request.hedge import Hedge
from samphirespring.request.hedge_schedule import HedgeSchedule, HedgeWait, may_run_beside
from samphirespring.request.ids import AttemptId
from samphirespring.request.messages import AnswerEnd, AttemptEnd, AttemptFailed, AttemptRefused
from samphirespring.request.retry import RetryDecision, RetryPlanner, RetryStep
from samphirespring.request.selection import Candidate
from samphirespring.request.states import FailureKind, Outcome, RefusalCode
from samphirespring.request.target_lease import lease_target
from samphirespring.request.trace import AttemptTrace
from samphirespring.version.ids import DocumentVersion
from samphirespring.version.routes import Route

REPORT_GRACE_S = 0.05
"""Time beyond the deadline for the agent's own report that the deadline passed, in seconds."""

NO_TARGET_RETRY_S = 1

HEDGE_METRICS = {
    RetryKind.HEDGE: Counter.FRONT_HEDGES,
    RetryKind.EXECUTION: Counter.FRONT_STALL_RETRIES,
}
"""Counters of attempts that started beside others."""


FREE_REFUSALS = frozenset({RefusalCode.SUSPECT, RefusalCode.UNKNOWN_TARGET, RefusalCode.DRAINING})
"""Refusals by an agent after which another attempt needs no right to repeat."""


class Exchange:
    """Serves one request by one version of the document.

    Args:
        context: What the front's exchanges share.
        request: The caller's request.
        route: Its route.
        document_version: Version of the document that the route is from.
        writer: Takes the answer.
    """

    def __init__(
        self,
        context: ExchangeContext,
        *,
        request: CallerRequest,
        route: Route,
        document_version: DocumentVersion,
        writer: AnswerWriter,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._policy = route.policy
        self._document_version = document_version
        self._outlet = AnswerOutlet(
            writer, request=request.request, on_claim=self._cancel_other_attempts
        )
        self._planner = RetryPlanner(route.policy, generator=context.generator)
        self._tried: list[Candidate] = []
        self._suspected: set[TargetId] = set()
        """Targets that refused because others were better; they may turn out to be the best."""

        self._open_attempts: dict[AttemptId, anyio.CancelScope] = {}
        self._may_have_run = False
        self._started_s = context.timers.read_now_s()
        self._deadline = self._make_deadline()
        self.traces: list[AttemptTrace] = []
        """What was tried, for the log."""

    @property
    def attempt_count(self) -> int:
        """Attempts made so far."""
        return len(self._tried)

    @property
    def has_answered(self) -> bool:
        """Whether the caller got a complete answer."""
        return any(isinstance(trace.end, AnswerEnd) for trace in self.traces)

    async def run(self) -> None:
        """Serve the request.

        Raises:
            RequestError: No complete answer went to the caller.
        """
        try:
            with self._context.timers.limit_until(self._deadline.at_s + REPORT_GRACE_S):
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
            end = await self._run_round()
            if isinstance(end, AnswerEnd):
                return
            step = self._planner.plan(end, left_ms=self._measure_left_ms())
            if step.decision is not RetryDecision.RETRY:
                raise make_request_error(end, policy=self._policy)
            if not _is_free(end) and not await self._take_retry(self._classify(end)):
                raise make_request_error(end, policy=self._policy)
            await self._wait(step)

    async def _run_round(self) -> AttemptEnd:
        if not may_run_beside(self._policy):
            return await self._run_attempt()
        schedule = HedgeSchedule(self._policy)
        hedge = Hedge(
            run_attempt=self._run_attempt,
            plan_next=lambda: self._plan_hedge(schedule),
            take_right=lambda kind: self._take_hedge(schedule, kind),
            outlet=self._outlet,
            timers=self._context.timers,
        )
        return await hedge.run()

    async def _run_attempt(self) -> AttemptEnd:
        tried = frozenset(candidate.target for candidate in self._tried) - self._suspected
        async with lease_target(
            self._context.table,
            service=self._policy.service,
            tried=tried,
            idempotent=self._policy.idempotent,
            suspected=frozenset(self._suspected),
        ) as candidate:
            if candidate is None:
                raise NoTargetError(
                    f"no target of {self._policy.service} can take the request",
                    retry_after_s=NO_TARGET_RETRY_S,
                )
            return await self._send_attempt(candidate)

    async def _send_attempt(self, candidate: Candidate) -> AttemptEnd:
        message = make_attempt_request(
            self._request,
            policy=self._policy,
            candidate=candidate,
            document_version=self._document_version,
            remaining_ms=self._measure_left_ms(),
        )
        self._tried.append(candidate)
        trace = AttemptTrace(candidate=candidate, started_ms=self._measure_age_ms())
        self.traces.append(trace)
        self._outlet.attempt_count = self.attempt_count
        self._context.metrics.count(Counter.FRONT_ATTEMPTS)
        attempt = Attempt(self._context, message=message, candidate=candidate, outlet=self._outlet)
        # Until its end is known, an attempt may run: cancelling it proves nothing.
        end: AttemptEnd = AttemptFailed(
            attempt=message.attempt, kind=FailureKind.CANCELLED, started=True
        )
        with anyio.CancelScope() as scope:
            self._open_attempts[message.attempt] = scope
            end = await attempt.run()
        del self._open_attempts[message.attempt]
        trace.end = end
        trace.ended_ms = self._measure_age_ms()
        self._note_end(end)
        if isinstance(end, AttemptRefused) and end.code is RefusalCode.SUSPECT:
            self._suspected.add(candidate.target)
        return end

    def _cancel_other_attempts(self, owner: AttemptId) -> None:
        for attempt, scope in self._open_attempts.items():
            if attempt != owner:
                scope.cancel()

    def _note_end(self, end: AttemptEnd) -> None:
        if isinstance(end, AttemptRefused):
            self._context.metrics.count(Counter.FRONT_REFUSALS, end.code.value)
        elif isinstance(end, AttemptFailed):
            self._context.metrics.count(Counter.FRONT_FAILURES, end.kind.value)
            self._may_have_run = self._may_have_run or end.started

    def _plan_hedge(self, schedule: HedgeSchedule) -> HedgeWait | None:
        terms = self._tried[-1].terms if self._tried else None
        return schedule.plan(terms, left_ms=self._measure_left_ms())

    async def _take_hedge(self, schedule: HedgeSchedule, kind: RetryKind) -> bool:
        if not self._open_attempts:
            # The front itself is late: another attempt would wait behind the first one.
            return False
        if not self._planner.may_run_beside(kind, left_ms=self._measure_left_ms()):
            return False
        if not await self._take_retry(kind):
            return False
        self._planner.count_beside(kind)
        schedule.note_started()
        self._context.metrics.count(HEDGE_METRICS[kind])
        return True

    async def _take_retry(self, kind: RetryKind) -> bool:
        granted: bool = await ask(
            self._context.traffic,
            lambda reply: AcquireRetry(
                service=self._policy.service, policy=self._route.service, kind=kind, reply=reply
            ),
        )
        name = Counter.FRONT_RETRIES_GRANTED if granted else Counter.FRONT_RETRY_BUDGET_SPENT
        self._context.metrics.count(name)
        return granted

    def _classify(self, end: AttemptRefused | AttemptFailed) -> RetryKind:
        if isinstance(end, AttemptRefused):
            counts = end.by_target and self._route.service.refusals_are_executions
            return RetryKind.EXECUTION if counts else RetryKind.REFUSED
        return RetryKind.EXECUTION if end.started else RetryKind.REFUSED

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
        return round((self._context.timers.read_now_s() - self._started_s) * 1_000)

    def _measure_left_ms(self) -> int:
        return self._deadline.measure_left_ms(self._context.timers.read_now_s())

    def _check_deadline(self) -> None:
        if self._measure_left_ms() <= 0:
            raise DeadlineExpiredError("the deadline passed before an attempt could start")

    def _make_deadline_error(self) -> RequestError:
        if self._outlet.owner is not None:
            return AnswerCutError("the deadline passed within the answer", outcome=Outcome.UNKNOWN)
        outcome = Outcome.UNKNOWN if self._open_attempts else Outcome.NOT_RUN
        detail = f"no answer before the deadline, which passed {self._name_wait()}"
        return DeadlineExpiredError(detail, outcome=outcome)

    def _name_wait(self) -> str:
        """Return what the request waits for; it tells a slow target from a slow front."""
        if self._open_attempts:
            return "while an attempt ran"
        if self._tried:
            return "between two attempts"
        return "before a target was selected"


def _is_free(end: AttemptRefused | AttemptFailed) -> bool:
    """Return whether another attempt costs backend servers nothing: none was reached.

    Refusals for lack of room count all the same: agents that are busy must not be asked more.
    """
    return isinstance(end, AttemptRefused) and end.code in FREE_REFUSALS and not end.by_target
