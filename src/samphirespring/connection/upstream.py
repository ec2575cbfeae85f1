"""HTTP client of the agent for the backend servers on its host."""

import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from samphirespring.connection.backend_dialect import BackendDialect, SamphireDialect
from samphirespring.connection.body_upload import BodyUpload, make_framing_header
from samphirespring.connection.http_headers import select_end_to_end
from samphirespring.connection.refusals import RefusalReader
from samphirespring.connection.response_parser import BODYLESS_STATUSES, ParsedHead
from samphirespring.connection.upstream_connection import (
    ConnectionBrokenError,
    UpstreamConnection,
)
from samphirespring.connection.upstream_pool import ConnectFailedError, UpstreamPool
from samphirespring.request.body import BodySource
from samphirespring.request.key_gate import KeyGate
from samphirespring.request.messages import AttemptRequest, ResponseChunk, ResponseHead
from samphirespring.request.states import FailureKind, RefusalCode

KEEP_ALIVE_TIMEOUT = re.compile(rb"(?:^|[,\s])timeout=([0-9]{1,6})(?:$|[,\s])", re.IGNORECASE)


class UpstreamError(Exception):
    """An attempt failed on the connection to the backend server.

    Args:
        kind: Kind of the failure.
        started: False only if no byte of the request reached the backend server.
    """

    def __init__(self, kind: FailureKind, *, started: bool) -> None:
        super().__init__(kind.value)
        self.kind = kind
        self.started = started


class SendRefusedError(Exception):
    """An attempt must not be sent; no byte of it was.

    Args:
        code: Reason of the refusal.
    """

    def __init__(self, code: RefusalCode) -> None:
        super().__init__(code.value)
        self.code = code


class UpstreamClient:
    """Sends attempts to backend servers and reads their responses.

    Args:
        pool: Connections to the backend servers.
        dialect: Mapping of headers and refusals; None uses `SamphireDialect`.
        keys: Checks each attempt right before it is sent, after all waiting; None checks nothing.
    """

    def __init__(
        self,
        pool: UpstreamPool,
        dialect: BackendDialect | None = None,
        *,
        keys: KeyGate | None = None,
    ) -> None:
        self._pool = pool
        self._keys = keys
        self._dialect = dialect or SamphireDialect()

    def make_refusal_reader(self) -> RefusalReader:
        """Return a new reader that detects a refusal in one response."""
        return self._dialect.make_refusal_reader()

    @asynccontextmanager
    async def exchange(
        self,
        request: AttemptRequest,
        body: BodySource | None,
        *,
        address: str,
        refusal_reader: RefusalReader,
    ) -> AsyncIterator[AsyncIterator[ResponseHead | ResponseChunk]]:
        """Send a request and yield an iterator over the head and the chunks of the response.

        A body that follows is sent while the response is read: a backend server may respond before
        it has read the whole body.

        Args:
            request: The attempt.
            body: Provides the request's body if it isn't part of the request.
            address: `IP:port` of the backend server.
            refusal_reader: Gets the response, to tell after it whether it is a refusal.

        Raises:
            UpstreamError: No connection can be opened.
            SendRefusedError: The attempt must not be sent.
        """
        try:
            async with self._pool.use(address) as connection:
                connection.begin(bodyless=request.method == b"HEAD")
                upload = None if body is None else BodyUpload(connection, body, request.body_length)
                async with _running(upload):
                    yield self._iterate_frames(connection, request, address, upload, refusal_reader)
        except ConnectFailedError:
            raise UpstreamError(FailureKind.CONNECT, started=False) from None

    async def _iterate_frames(
        self,
        connection: UpstreamConnection,
        request: AttemptRequest,
        address: str,
        upload: BodyUpload | None,
        refusal_reader: RefusalReader,
    ) -> AsyncIterator[ResponseHead | ResponseChunk]:
        """Yield the frames of a response, and close its connection behind a refusal.

        A late copy of the refusal could otherwise pass for the response to a later attempt at the
        same request, and prove that nothing ran while the backend server runs it.
        """
        head_received = False
        try:
            parsed = await self._send(connection, request, address, upload)
            head = _make_head(request, parsed)
            is_first = connection.served_count == 0
            if not self._dialect.is_response_to(head, request, is_first=is_first):
                # A late response to an earlier request; with its body unread, the connection is
                # closed.
                raise UpstreamError(FailureKind.MISMATCH, started=True)
            self._limit_idle(address, parsed)
            refusal_reader.feed_head(head)
            yield head
            head_received = True
            async for data in connection.iterate_body():
                refusal_reader.feed_chunk(data)
                yield ResponseChunk(data=data)
        except ConnectionBrokenError:
            if upload is not None and upload.was_aborted:
                raise UpstreamError(FailureKind.CANCELLED, started=True) from None
            kind = FailureKind.CUT if head_received else FailureKind.RESET
            raise UpstreamError(kind, started=True) from None
        if refusal_reader.read() is not None:
            connection.close()

    async def _send(
        self,
        connection: UpstreamConnection,
        request: AttemptRequest,
        address: str,
        upload: BodyUpload | None,
    ) -> ParsedHead:
        """Send the request and return the head of the response."""
        head = self._encode_head(request)
        try:
            # Nothing is awaited between this check and the write.
            self._check_key(request)
            connection.write(head, request.body)
            if upload is not None:
                upload.begin()
            return await connection.read_head()
        except ConnectionBrokenError as error:
            if connection.served_count and not error.received:
                self._pool.record_stale(address, connection)
            raise

    def _check_key(self, request: AttemptRequest) -> None:
        code = None if self._keys is None else self._keys.check(request)
        if code is not None:
            raise SendRefusedError(code)

    def _limit_idle(self, address: str, head: ParsedHead) -> None:
        for name, value in head.headers:
            match = KEEP_ALIVE_TIMEOUT.search(value) if name == b"keep-alive" else None
            if match is not None:
                self._pool.limit_idle(address, float(match[1]))

    def _encode_head(self, request: AttemptRequest) -> bytes:
        headers = self._dialect.make_headers(request)
        if request.body_follows:
            headers.append(make_framing_header(request.body_length))
        elif request.body or request.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        lines = [b"%b %b HTTP/1.1" % (request.method, request.path)]
        lines += [b"%b: %b" % header for header in headers]
        return b"\r\n".join((*lines, b"", b""))


@asynccontextmanager
async def _running(upload: BodyUpload | None) -> AsyncIterator[None]:
    """Run an upload while the context is open; leaving ends it.

    An exception from inside the context leaves it as it is: a task group would wrap it, and no
    handler of the exchange would recognize it.
    """
    if upload is None:
        yield
        return
    error: Exception | None = None
    async with anyio.create_task_group() as group:
        group.start_soon(upload.run)
        try:
            yield
        except Exception as raised:
            error = raised
        group.cancel_scope.cancel()
    if error is not None:
        raise error


def _make_head(request: AttemptRequest, parsed: ParsedHead) -> ResponseHead:
    bodyless = request.method == b"HEAD" or parsed.status in BODYLESS_STATUSES
    return ResponseHead(
        attempt=request.attempt,
        status=parsed.status,
        headers=select_end_to_end(parsed.headers),
        body_length=None if bodyless else parsed.body_length,
    )
