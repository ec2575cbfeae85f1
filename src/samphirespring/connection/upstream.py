"""HTTP client of the agent for the backend servers on its host, on httpcore."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager

import httpcore

from samphirespring.connection.backend_dialect import BackendDialect, SamphireDialect
from samphirespring.connection.http_headers import select_end_to_end
from samphirespring.connection.refusals import RefusalReader
from samphirespring.connection.upstream_pool import UpstreamPool
from samphirespring.process.addresses import parse_address
from samphirespring.request.messages import AttemptRequest, ResponseChunk, ResponseHead
from samphirespring.request.states import FailureKind

CONNECT_TIMEOUT_S = 1.0
BODYLESS_STATUSES = frozenset({204, 304})


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


class UpstreamClient:
    """Sends attempts to backend servers and reads their responses.

    Args:
        pool: Connections to the backend servers.
        dialect: Mapping of headers and refusals; None uses `SamphireDialect`.
    """

    def __init__(self, pool: UpstreamPool, dialect: BackendDialect | None = None) -> None:
        self._pool = pool
        self._dialect = dialect or SamphireDialect()

    def make_refusal_reader(self) -> RefusalReader:
        """Return a new reader that detects a refusal in one response."""
        return self._dialect.make_refusal_reader()

    @asynccontextmanager
    async def exchange(
        self, request: AttemptRequest, *, address: str
    ) -> AsyncIterator[AsyncIterator[ResponseHead | ResponseChunk]]:
        """Send a request and yield an iterator over the head and the chunks of the response.

        Args:
            request: The attempt.
            address: `IP:port` of the backend server.
        """
        frames = self._iterate_frames(request, address)
        try:
            yield frames
        finally:
            await frames.aclose()

    async def _iterate_frames(
        self, request: AttemptRequest, address: str
    ) -> AsyncGenerator[ResponseHead | ResponseChunk, None]:
        head_received = False
        http_request = self._make_request(request, address)
        try:
            async with self._pool.use(address) as connection:
                response = await connection.handle_async_request(http_request)
                try:
                    head = _make_head(request, response)
                    if not self._dialect.is_response_to(head, request):
                        # A late response to an earlier request; since its body is unread, closing
                        # the response closes the connection.
                        raise UpstreamError(FailureKind.MISMATCH, started=True)
                    yield head
                    head_received = True
                    async for data in response.aiter_stream():
                        yield ResponseChunk(data=data)
                finally:
                    await response.aclose()
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            raise UpstreamError(FailureKind.CONNECT, started=False) from None
        except (httpcore.ProtocolError, httpcore.NetworkError, httpcore.TimeoutException):
            kind = FailureKind.CUT if head_received else FailureKind.RESET
            raise UpstreamError(kind, started=True) from None

    def _make_request(self, request: AttemptRequest, address: str) -> httpcore.Request:
        parts = parse_address(address)
        url = httpcore.URL(
            scheme=b"http", host=parts.host.encode(), port=parts.port, target=request.path
        )
        headers = self._dialect.make_headers(request)
        if request.body or request.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        return httpcore.Request(
            request.method,
            url,
            headers=headers,
            content=request.body or None,
            extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
        )


def _make_head(request: AttemptRequest, response: httpcore.Response) -> ResponseHead:
    headers = select_end_to_end(response.headers)
    content_length = next((h.value for h in headers if h.name == b"content-length"), None)
    bodyless = request.method == b"HEAD" or response.status in BODYLESS_STATUSES
    return ResponseHead(
        attempt=request.attempt,
        status=response.status,
        headers=headers,
        body_length=None if bodyless or content_length is None else int(content_length),
    )
