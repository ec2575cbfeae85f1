"""The front: serves each caller's request with the document in force at its start."""

import math
from collections.abc import Iterator
from contextlib import AbstractAsyncContextManager, contextmanager

import anyio
import msgspec

from samphirespring.process.action_runner import ActionRunner
from samphirespring.process.ending_requests import EndingRequests
from samphirespring.process.logs.request_log import RequestLog
from samphirespring.process.mailbox import Mailbox, ReplySlot, ask
from samphirespring.process.metrics.metric_names import Counter, Timing
from samphirespring.process.quota.client import QuotaMessage
from samphirespring.process.target_table_messages import UseServicePolicies, UseSubsetSize
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.traffic_limiter import AdmitRequest
from samphirespring.request.action_admission import check_action
from samphirespring.request.action_digest import compute_digest
from samphirespring.request.action_exchange import ActionContext, ActionExchange
from samphirespring.request.authentication import authenticate
from samphirespring.request.body import BodyAbortedError, WholeBody
from samphirespring.request.caller import CallerRequest, ResponseWriter
from samphirespring.request.context import ExchangeContext
from samphirespring.request.earlier_requests import account_for_earlier_requests
from samphirespring.request.errors import (
    ApiKeyUnknownError,
    KeyLeaseExpiredError,
    NodeStoppingError,
    NoDocumentError,
    NoRouteError,
    RateLimitedError,
    RequestError,
    RequestTimeoutError,
)
from samphirespring.request.exchange import Exchange
from samphirespring.request.key_gate import KeyGate
from samphirespring.request.limits import find_limits, find_quota
from samphirespring.request.quota_admission import hold_credit
from samphirespring.request.split import SplitSequence
from samphirespring.request.states import Outcome
from samphirespring.version.ids import DocumentVersion
from samphirespring.version.routes import CompiledDocument, Route

INBOX_CAPACITY = 1_000
KEY_LEASE_RETRY_AFTER_S = 1
"""Delay that callers are told while this node may not use API keys, in seconds."""


class UseDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Puts a version of the document in force, unless it is older than the current one."""

    compiled: CompiledDocument


class ReadFrontDump(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the front's state."""

    reply: ReplySlot["FrontDump"]


class EndRequests(msgspec.Struct, frozen=True, kw_only=True):
    """Ends all requests at a given time, because the node stops.

    Attributes:
        at_s: The time, in seconds of monotonic time.
    """

    at_s: float


FrontMessage = UseDocument | ReadFrontDump | EndRequests


class FrontDump(StateDump, frozen=True, kw_only=True):
    """State of the front."""

    document_version: DocumentVersion | None
    requests_in_flight: int
    requests_served: int


class Front(OwnerTask):
    """Owns the document in force and the requests in flight.

    Args:
        context: Dependencies shared by all exchanges.
        actions: Dependencies shared by all actions.
        runner: Runs actions.
        keys: Tells whether the document may be relied on for API keys; None always relies on it.
        quotas: Inbox of the task that owns the credit of workspaces; None applies no quotas.
    """

    def __init__(
        self,
        context: ExchangeContext,
        *,
        actions: ActionContext,
        runner: ActionRunner,
        keys: KeyGate | None = None,
        quotas: Mailbox[QuotaMessage] | None = None,
    ) -> None:
        self.inbox: Mailbox[FrontMessage] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._context = context
        self._actions = actions
        self._runner = runner
        self._keys = keys
        self._quotas = quotas
        self._compiled: CompiledDocument | None = None
        self._request_log = RequestLog(context.timers)
        self._splits = SplitSequence(context.generator)
        self._in_flight = 0
        self._served = 0
        self._requests = EndingRequests()

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "front"

    async def run(self) -> None:
        """Serve messages until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                message = await self.inbox.receive()
                match message:
                    case UseDocument():
                        self._use_document(message.compiled)
                    case ReadFrontDump():
                        message.reply.send(self._make_dump())
                    case EndRequests():
                        tasks.start_soon(self._end_requests, message.at_s)

    async def dump(self) -> FrontDump:
        """Return the front's state at one moment."""
        return await ask(self.inbox, lambda reply: ReadFrontDump(reply=reply))

    def read_document(self) -> CompiledDocument | None:
        """Return the document in force, for a connection that starts a request."""
        return self._compiled

    async def serve(
        self, request: CallerRequest, writer: ResponseWriter, compiled: CompiledDocument | None
    ) -> None:
        """Serve one request with one version of the document.

        Args:
            request: The request.
            writer: Receives the response.
            compiled: The document in force at the request's start.

        Raises:
            RequestError: The caller received no complete response.
        """
        keyed = request.key is not None
        if compiled is None:
            with account_for_earlier_requests(keyed=keyed):
                raise NoDocumentError("this node has no document yet", retry_after_s=1)
        route = compiled.find_route(host=request.host, method=request.method, path=request.path)
        if route is None:
            raise NoRouteError(f"no route for {request.method} {request.host}{request.path}")
        if route.parts:
            name = f"{route.policy.host}{route.policy.path_prefix}"
            route = route.choose_part(self._splits.draw(name))
        with self._count_in_flight():
            with account_for_earlier_requests(keyed=keyed and not route.policy.idempotent):
                request = self._authenticate(request, route, compiled)
            with account_for_earlier_requests(keyed=keyed and not route.policy.idempotent):
                await self._check_limits(request, route, compiled)
            if not route.policy.idempotent:
                check_action(request, route=route)
            if keyed and not route.policy.idempotent:
                await self._serve_action(request, route, compiled, writer)
                return
            # An action without a key can't be resent: only this front dispatches it, once.
            exchange = Exchange(
                self._context,
                request=request,
                route=route,
                document_version=compiled.version,
                writer=writer,
            )
            await self._run_exchange(exchange, request, route, compiled)

    async def _run_exchange(
        self,
        exchange: Exchange,
        request: CallerRequest,
        route: Route,
        compiled: CompiledDocument,
    ) -> None:
        started_at_s = self._context.timers.read_now_s()
        end = "left"
        try:
            self._requests.check_open()
            with self._requests.track() as scope:
                async with self._hold_credit(request, route, compiled):
                    await exchange.run()
                end = "answered"
            if scope.cancelled_caught:
                raise exchange.make_stop_error()
        except RequestError as error:
            end = f"{error.code.value}:{error.outcome.value}"
            raise
        finally:
            elapsed_s = self._context.timers.read_now_s() - started_at_s
            if end == "left" and exchange.has_response:
                # Once the response is complete, the connection reports a disconnect, which cancels
                # this task.
                end = "answered"
            self._request_log.write(
                request=request.request,
                service=route.policy.service,
                route=f"{route.policy.host}{route.policy.path_prefix}",
                document_version=None if self._compiled is None else self._compiled.version,
                end=end,
                took_ms=round(elapsed_s * 1_000),
                attempts=[trace.describe() for trace in exchange.traces],
            )

    async def _serve_action(
        self,
        request: CallerRequest,
        route: Route,
        compiled: CompiledDocument,
        writer: ResponseWriter,
    ) -> None:
        # The digest that tells two actions with one key apart covers the whole body.
        try:
            body = await request.body.read_whole()
        except BodyAbortedError as error:
            raise RequestTimeoutError(error.detail) from None
        request = msgspec.structs.replace(request, body=WholeBody(body))
        exchange = ActionExchange(
            self._actions,
            request=request,
            digest=compute_digest(request, body),
            route=route,
            document_version=compiled.version,
            retention_s=compiled.fleet.ledger_retention_s,
            writer=writer,
        )
        with account_for_earlier_requests(keyed=True):
            self._requests.check_open()
        with self._requests.track() as scope:
            async with self._hold_credit(request, route, compiled, keyed=True):
                await self._runner.serve(exchange)
        if scope.cancelled_caught:
            raise NodeStoppingError(
                "the node stopped while the action ran", outcome=Outcome.UNKNOWN
            )

    def _hold_credit(
        self,
        request: CallerRequest,
        route: Route,
        compiled: CompiledDocument,
        *,
        keyed: bool = False,
    ) -> AbstractAsyncContextManager[None]:
        route_ms = route.policy.deadline_ms
        return hold_credit(
            self._quotas,
            workspace=request.workspace,
            terms=find_quota(compiled, request=request),
            remaining_ms=min(route_ms, request.deadline_ms or route_ms),
            keyed=keyed,
        )

    async def _end_requests(self, at_s: float) -> None:
        await self._context.timers.wait_until(at_s)
        self._requests.end_all()

    def _authenticate(
        self, request: CallerRequest, route: Route, compiled: CompiledDocument
    ) -> CallerRequest:
        """Return a request of the workspace that holds its key; refuse others early.

        A host that started with a saved document, or whose document lags behind, can't tell a key
        that was added meanwhile from one that nobody holds. The agent checks again when the request
        leaves for its target.

        Raises:
            ApiKeyUnknownError: No workspace holds the key.
            KeyLeaseExpiredError: This node can't tell whether one does.
        """
        try:
            authenticated = authenticate(request, route=route, compiled=compiled)
        except ApiKeyUnknownError:
            if self._keys is None or self._keys.may_reject_keys():
                raise
            raise _make_lease_error() from None
        if authenticated.api_key is None or self._keys is None or self._keys.may_use_keys():
            return authenticated
        raise _make_lease_error()

    async def _check_limits(
        self, request: CallerRequest, route: Route, compiled: CompiledDocument
    ) -> None:
        limits = find_limits(compiled, route=route, request=request)
        wait_s: float = await ask(
            self._context.traffic_limiter,
            lambda reply: AdmitRequest(
                service=route.policy.service,
                bucket=limits.bucket,
                workspace_limit=limits.workspace,
                route_name=limits.route_name,
                route_limit=limits.route,
                retry_window_s=route.service.retry_window_s,
                reply=reply,
            ),
        )
        if wait_s > 0.0:
            raise RateLimitedError(
                "the limit of the workspace is spent", retry_after_s=math.ceil(wait_s)
            )

    def _use_document(self, compiled: CompiledDocument) -> None:
        if self._compiled is None or compiled.version > self._compiled.version:
            self._compiled = compiled
            self._context.table.post_always(UseSubsetSize(size=compiled.fleet.subset_size))
            self._context.table.post_always(UseServicePolicies(policies=compiled.services))

    def _make_dump(self) -> FrontDump:
        return FrontDump(
            document_version=None if self._compiled is None else self._compiled.version,
            requests_in_flight=self._in_flight,
            requests_served=self._served,
        )

    @contextmanager
    def _count_in_flight(self) -> Iterator[None]:
        self._in_flight += 1
        metrics = self._context.metrics
        started_at_s = self._context.timers.read_now_s()
        try:
            yield
        except RequestError as error:
            metrics.count(Counter.FRONT_REQUESTS, error.outcome.value)
            metrics.count(Counter.FRONT_ERRORS, error.code.value)
            raise
        else:
            metrics.count(Counter.FRONT_REQUESTS, Outcome.RAN.value)
        finally:
            duration_s = self._context.timers.read_now_s() - started_at_s
            metrics.record_duration(Timing.FRONT_REQUEST_DURATION, duration_s)
            self._in_flight -= 1
            self._served += 1


def _make_lease_error() -> KeyLeaseExpiredError:
    return KeyLeaseExpiredError(
        "this node can't tell whether the API key is valid: its document isn't confirmed as the"
        " newest",
        retry_after_s=KEY_LEASE_RETRY_AFTER_S,
    )
