"""The platform's conventions for requests to targets and their responses."""

from samphirespring.connection.backend_dialect import BackendDialect, HttpHeaders
from samphirespring.connection.http_headers import exclude_headers, find_header
from samphirespring.connection.refusals import RefusalReader, TypedRefusal
from samphirespring.platform.headers import DEADLINE_MS, NOT_EXECUTED, REQUEST_ID, SEAL, TARGET_ID
from samphirespring.request.messages import AttemptRequest, ResponseHead
from samphirespring.request.states import RefusalCode

REPLACED_HEADERS = frozenset({DEADLINE_MS, TARGET_ID, b"content-length", b"expect"})
"""Headers of the caller's request that the agent replaces or drops."""

MISDIRECTED = 421
SUCCESS_STATUSES = range(200, 300)


class PlatformBackendDialect(BackendDialect):
    """Uses the platform's headers; a header or status 421 marks a refusal."""

    def make_headers(self, request: AttemptRequest) -> HttpHeaders:
        """Return the headers of an attempt."""
        headers = exclude_headers(request.headers, REPLACED_HEADERS)
        headers.append((DEADLINE_MS, str(request.remaining_ms).encode()))
        headers.append((TARGET_ID, request.target.encode()))
        return headers

    def is_response_to(
        self, head: ResponseHead, request: AttemptRequest, *, is_first: bool
    ) -> bool:
        """Return whether a response matches the request's id.

        A success must echo the id, carry a seal and have no content encoding. Any other response
        may lack the id if it is the first one on its connection.
        """
        echoed = find_header(head.headers, REQUEST_ID)
        if echoed is None and not is_first:
            return False
        if echoed is not None and echoed != request.request.encode():
            return False
        if head.status not in SUCCESS_STATUSES:
            return True
        if find_header(head.headers, b"content-encoding") is not None:
            return False
        return echoed is not None and find_header(head.headers, SEAL) is not None

    def make_refusal_reader(self) -> RefusalReader:
        """Return a reader of the refusal header."""
        return _HeaderRefusalReader()


class _HeaderRefusalReader(RefusalReader):
    """Detects a refusal from the status and headers alone."""

    def __init__(self) -> None:
        self._refusal: TypedRefusal | None = None

    def feed_head(self, head: ResponseHead) -> None:
        """Process the status and headers."""
        if head.status == MISDIRECTED:
            self._refusal = TypedRefusal(code=RefusalCode.UNKNOWN_TARGET, retry_after_ms=None)
        elif find_header(head.headers, NOT_EXECUTED) is not None:
            self._refusal = TypedRefusal(code=RefusalCode.SHEDDING, retry_after_ms=None)

    def feed_chunk(self, data: bytes) -> None:
        """Ignore the body: it doesn't affect the result."""

    def read(self) -> TypedRefusal | None:
        """Return the refusal, or None if the response isn't one."""
        return self._refusal
