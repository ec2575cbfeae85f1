"""ASGI application that serves callers' HTTP requests."""

from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from typing import Any

import anyio
from uvicorn._types import ASGIReceiveCallable, ASGISendCallable, Scope

from samphirespring.connection.body_holding import read_holding
from samphirespring.connection.caller_body import CallerBodyReader
from samphirespring.connection.caller_dialect import (
    CallerDialect,
    HttpResponseHead,
    SamphireCallerDialect,
)
from samphirespring.connection.http_headers import (
    IDEMPOTENCY_KEY_HEADER,
)
from samphirespring.connection.http_protocol import read_notice
from samphirespring.process.caller_budget import CallerBudget
from samphirespring.process.errors import InternalError, SamphireError
from samphirespring.process.front import Front
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.settings import CallerLimits
from samphirespring.request.body import RequestBody
from samphirespring.request.caller import ResponseMetadata, ResponseWriter
from samphirespring.request.earlier_requests import account_for_earlier_requests
from samphirespring.request.errors import (
    OVERLOAD_RETRY_AFTER_S,
    OverloadedError,
    RequestError,
)
from samphirespring.request.ids import RequestId
from samphirespring.request.messages import Header
from samphirespring.version.document import FleetSection
from samphirespring.version.routes import CompiledDocument

_log = EventLog()


class CallerApp:
    """Serves callers' HTTP requests through the front.

    Args:
        front: The front.
        limits: Limits on the body size and on concurrent requests.
        dialect: Mapping of headers and errors; None uses `SamphireCallerDialect`.
        budget: What the process holds for callers; None has no limit.
    """

    def __init__(
        self,
        front: Front,
        limits: CallerLimits,
        dialect: CallerDialect | None = None,
        *,
        budget: CallerBudget | None = None,
    ) -> None:
        self._front = front
        self._limits = limits
        self._budget = budget
        self._dialect = dialect or SamphireCallerDialect()
        self._in_flight = 0

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        request_id = self._dialect.read_request_id(scope["headers"])
        writer = _HttpAnswerWriter(send, self._dialect)
        try:
            await self._serve(request_id, scope, receive, writer)
        except RequestError as error:
            await writer.write_error(error, error.status, request_id)
        except SamphireError as error:
            _log.error(LogEvent.REQUEST_FAILED, request=request_id, code=error.code.value)
            await writer.write_error(error, 503, request_id)
        except Exception:
            _log.exception(LogEvent.REQUEST_FAILED, request=request_id)
            await writer.write_error(InternalError("internal error"), 500, request_id)

    @contextmanager
    def _count_in_flight(self) -> Iterator[None]:
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1

    def _check_load(self) -> None:
        """Raise an error if another request is too much.

        A request counts once its body has come, or long bodies that stop would keep others out.
        """
        if self._in_flight >= self._limits.concurrent_requests:
            raise OverloadedError(
                "the front has reached its limit of concurrent requests",
                retry_after_s=OVERLOAD_RETRY_AFTER_S,
            )
        if self._budget is not None and not self._budget.has_room:
            raise OverloadedError(
                "the node holds too much for its callers", retry_after_s=OVERLOAD_RETRY_AFTER_S
            )

    async def _serve(
        self,
        request_id: RequestId,
        scope: Any,
        receive: ASGIReceiveCallable,
        writer: "_HttpAnswerWriter",
    ) -> None:
        keyed = any(name == IDEMPOTENCY_KEY_HEADER for name, _ in scope["headers"])
        with account_for_earlier_requests(keyed=keyed):
            self._check_load()
        compiled = self._front.read_document()
        body = await self._read_body(scope, receive, compiled, keyed=keyed)
        if body is None:
            return
        with account_for_earlier_requests(keyed=keyed):
            self._check_load()
        request = self._dialect.make_request(request_id, scope, body, compiled)
        with self._count_in_flight(), anyio.CancelScope() as cancel_scope:
            read_notice(scope).subscribe(cancel_scope.cancel)
            await self._front.serve(request, writer, compiled)

    async def _read_body(
        self,
        scope: Any,
        receive: ASGIReceiveCallable,
        compiled: CompiledDocument | None,
        *,
        keyed: bool,
    ) -> RequestBody | None:
        """Return the body, or None if the caller has left."""
        fleet = FleetSection() if compiled is None else compiled.fleet
        policy = fleet.caller_connections
        reader = CallerBodyReader(
            receive,
            limit_bytes=min(self._limits.body_bytes, policy.body_bytes),
            part_timeout_s=policy.idle_timeout_ms / 1_000,
            holding=read_holding(scope),
        )
        try:
            return await reader.read(length=_read_length(scope["headers"]))
        except OverloadedError:
            with account_for_earlier_requests(keyed=keyed):
                raise


def _read_length(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None


class _HttpAnswerWriter(ResponseWriter):
    """Writes a response as ASGI messages."""

    def __init__(self, send: ASGISendCallable, dialect: CallerDialect) -> None:
        self._send = send
        self._dialect = dialect
        self._head_written = False

    async def write_head(
        self, status: int, headers: Sequence[Header], metadata: ResponseMetadata
    ) -> None:
        """Write status and headers."""
        await self._write_head(self._dialect.make_response_head(status, headers, metadata))

    async def write_error(self, error: SamphireError, status: int, request_id: RequestId) -> None:
        """Write an error response; a response that has already begun is aborted instead.

        Args:
            error: The error.
            status: Default HTTP status of the error.
            request_id: Id of the request.
        """
        if self._head_written:
            await self.abort()
            return
        body = self._dialect.make_error_body(error, status, request_id)
        head = self._dialect.make_error_head(error, status, request_id, body_length=len(body))
        await self._write_head(head)
        await self.write_chunk(body)
        await self.finish()

    async def _write_head(self, head: HttpResponseHead) -> None:
        self._head_written = True
        await self._send(
            {
                "type": "http.response.start",
                "status": head.status,
                "headers": [(header.name, header.value) for header in head.headers],
            }
        )

    async def write_chunk(self, data: bytes) -> None:
        """Write part of the body."""
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self) -> None:
        """End the response, which is complete."""
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})

    async def abort(self) -> None:
        """Leave the response incomplete: the server closes the connection when the request ends."""
