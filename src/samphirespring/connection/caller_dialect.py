"""Mapping of callers' HTTP requests and responses to the front's types."""

import re
import uuid
from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

from samphirespring.connection.http_headers import (
    ATTEMPTS_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    REQUEST_HEADER,
    find_header,
    select_end_to_end,
)
from samphirespring.connection.problems import (
    PROBLEM_CONTENT_TYPE,
    encode_problem,
    make_problem,
)
from samphirespring.process.errors import SamphireError
from samphirespring.request.body import RequestBody
from samphirespring.request.caller import CallerRequest, ResponseMetadata
from samphirespring.request.errors import (
    DeadlineExpiredError,
    MalformedRequestError,
    RequestError,
)
from samphirespring.request.ids import IdempotencyKey, RequestId
from samphirespring.request.messages import Header
from samphirespring.request.states import Outcome
from samphirespring.version.document import FleetSection
from samphirespring.version.ids import NO_WORKSPACE, ApiKeyFingerprint, WorkspaceId
from samphirespring.version.key_table import make_fingerprint
from samphirespring.version.routes import CompiledDocument

KEY_PATTERN = re.compile(rb"^[!-~]{1,200}$")
WORKSPACE_PATTERN = re.compile(rb"^[!-~]{1,200}$")


class HttpResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of a response to the caller."""

    status: int
    headers: tuple[Header, ...]


class CallerDialect(ABC):
    """Maps requests, responses and errors to the headers of one caller protocol."""

    @abstractmethod
    def read_request_id(self, headers: Iterable[tuple[bytes, bytes]]) -> RequestId:
        """Return the id of a request.

        Args:
            headers: Headers of the request as received, names in lower case.
        """

    @abstractmethod
    def make_request(
        self,
        request_id: RequestId,
        scope: Any,
        body: RequestBody,
        compiled: CompiledDocument | None,
    ) -> CallerRequest:
        """Return the request as the front's type.

        Args:
            request_id: Id of the request.
            scope: The ASGI scope.
            body: Its body.
            compiled: The document in force.

        Raises:
            RequestError: The request is malformed, or its deadline has passed.
        """

    @abstractmethod
    def make_response_head(
        self, status: int, headers: Sequence[Header], metadata: ResponseMetadata
    ) -> HttpResponseHead:
        """Return the head of a backend server's response.

        Args:
            status: Status of the response.
            headers: Headers of the response.
            metadata: Outcome, number of attempts and request id.
        """

    @abstractmethod
    def make_error_head(
        self, error: SamphireError, status: int, request_id: RequestId, *, body_length: int
    ) -> HttpResponseHead:
        """Return the head of an error response.

        Args:
            error: The error.
            status: Default HTTP status of the error.
            request_id: Id of the request.
            body_length: Length of the body that follows, in bytes.
        """

    def make_error_body(self, error: SamphireError, status: int, request_id: RequestId) -> bytes:
        """Return the body of an error response, with problem details.

        Args:
            error: The error.
            status: Default HTTP status of the error.
            request_id: Id of the request.
        """
        return encode_problem(make_problem(error, status=status, request=request_id))


class SamphireCallerDialect(CallerDialect):
    """Dialect with Samphire headers."""

    def read_request_id(self, headers: Iterable[tuple[bytes, bytes]]) -> RequestId:
        """Return a new id."""
        return RequestId(uuid.uuid4().hex)

    def make_request(
        self,
        request_id: RequestId,
        scope: Any,
        body: RequestBody,
        compiled: CompiledDocument | None,
    ) -> CallerRequest:
        """Return the request as the front's type."""
        headers = select_end_to_end(scope["headers"])
        fleet = FleetSection() if compiled is None else compiled.fleet
        return read_caller_request(
            request_id,
            scope,
            body,
            headers=headers,
            deadline_header=DEADLINE_HEADER,
            workspace=_read_workspace(headers, fleet),
            key=_read_key(headers),
            api_key=read_api_key(headers, compiled),
        )

    def make_response_head(
        self, status: int, headers: Sequence[Header], metadata: ResponseMetadata
    ) -> HttpResponseHead:
        """Return the head of a backend server's response, with headers for the metadata."""
        metadata_headers = (
            Header(OUTCOME_HEADER, metadata.outcome.value.encode()),
            Header(ATTEMPTS_HEADER, str(metadata.attempt_count).encode()),
            Header(REQUEST_HEADER, metadata.request.encode()),
        )
        return HttpResponseHead(status=status, headers=(*headers, *metadata_headers))

    def make_error_head(
        self, error: SamphireError, status: int, request_id: RequestId, *, body_length: int
    ) -> HttpResponseHead:
        """Return the head of a response with problem details."""
        headers = list_problem_headers(REQUEST_HEADER, request_id, body_length=body_length)
        if isinstance(error, RequestError):
            headers.append(Header(ATTEMPTS_HEADER, str(error.attempt_count).encode()))
            headers.append(Header(OUTCOME_HEADER, error.outcome.value.encode()))
            if error.retry_after_s is not None:
                headers.append(Header(b"retry-after", str(error.retry_after_s).encode()))
        else:
            # An internal error doesn't show whether an attempt ran.
            headers.append(Header(OUTCOME_HEADER, Outcome.UNKNOWN.value.encode()))
        return HttpResponseHead(status=status, headers=tuple(headers))


def read_caller_request(
    request_id: RequestId,
    scope: Any,
    body: RequestBody,
    *,
    headers: tuple[Header, ...],
    deadline_header: bytes,
    workspace: WorkspaceId = NO_WORKSPACE,
    key: IdempotencyKey | None = None,
    api_key: ApiKeyFingerprint | None = None,
) -> CallerRequest:
    """Return the request as the front's type.

    Args:
        request_id: Id of the request.
        scope: The ASGI scope.
        body: Its body.
        headers: The headers to forward.
        deadline_header: Header with the remaining time.
        workspace: The workspace that the request belongs to.
        key: Idempotency key of an action.
        api_key: Fingerprint of the API key.

    Raises:
        MalformedRequestError: A header is missing or malformed.
    """
    return CallerRequest(
        request=request_id,
        method=scope["method"],
        host=read_host(headers),
        path=scope["path"],
        target=read_target(scope),
        headers=headers,
        body=body,
        deadline_ms=read_deadline_ms(headers, deadline_header),
        address=read_address(scope),
        workspace=workspace,
        key=key,
        api_key=api_key,
    )


def list_problem_headers(
    id_header: bytes, request_id: RequestId, *, body_length: int
) -> list[Header]:
    """Return the headers common to all responses with problem details.

    Args:
        id_header: Header that carries the request's id.
        request_id: Id of the request.
        body_length: Length of the body, in bytes.
    """
    return [
        Header(b"content-type", PROBLEM_CONTENT_TYPE),
        Header(b"content-length", str(body_length).encode()),
        Header(id_header, request_id.encode("latin-1")),
    ]


def read_target(scope: Any) -> bytes:
    """Return the path with its query, unchanged.

    Args:
        scope: The ASGI scope.
    """
    query: bytes = scope["query_string"]
    raw_path: bytes = scope["raw_path"]
    return raw_path + b"?" + query if query else raw_path


def read_host(headers: Sequence[Header]) -> str:
    """Return the host name of the Host header, without port and in lower case.

    Args:
        headers: The headers.

    Raises:
        MalformedRequestError: The Host header is missing.
    """
    value = find_header(headers, b"host")
    if value is None:
        raise MalformedRequestError("the Host header is missing")
    host = value.decode("latin-1").lower()
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]


def read_address(scope: Any) -> str:
    """Return the caller's IP address, empty if it isn't known.

    Args:
        scope: The ASGI scope.
    """
    client: tuple[str, int] | None = scope.get("client")
    return "" if client is None else client[0]


def read_deadline_ms(headers: Sequence[Header], name: bytes) -> int | None:
    """Return the time that the caller allows, in milliseconds, or None without the header.

    Args:
        headers: The headers.
        name: Name of the header, in lower case.

    Raises:
        MalformedRequestError: The value isn't a number.
        DeadlineExpiredError: The allowed time is 0.
    """
    value = find_header(headers, name)
    if value is None:
        return None
    if not value.isdigit() or len(value) > 9:
        raise MalformedRequestError(f"{name.decode().title()} isn't a whole number of milliseconds")
    if int(value) == 0:
        raise DeadlineExpiredError("the deadline had passed when the request arrived")
    return int(value)


def read_api_key(
    headers: Sequence[Header], compiled: CompiledDocument | None
) -> ApiKeyFingerprint | None:
    """Return the fingerprint of the API key, or None if there is not exactly one.

    Args:
        headers: The headers.
        compiled: The document in force; if it requires no API keys, none is read.
    """
    if compiled is None or not compiled.requires_keys:
        return None
    name = compiled.fleet.api_key_header.lower().encode()
    keys = [header.value for header in headers if header.name == name]
    return make_fingerprint(keys[0]) if len(keys) == 1 else None


def _read_key(headers: Sequence[Header]) -> IdempotencyKey | None:
    value = find_header(headers, IDEMPOTENCY_KEY_HEADER)
    if value is None:
        return None
    if not KEY_PATTERN.match(value):
        raise MalformedRequestError("Idempotency-Key isn't 1 to 200 visible ASCII characters")
    return IdempotencyKey(value.decode())


def _read_workspace(headers: Sequence[Header], fleet: FleetSection) -> WorkspaceId:
    value = find_header(headers, fleet.workspace_header.lower().encode())
    if value is None:
        return NO_WORKSPACE
    if not WORKSPACE_PATTERN.match(value):
        raise MalformedRequestError("the workspace header isn't 1 to 200 visible ASCII characters")
    return WorkspaceId(value.decode())
