"""The platform's conventions for callers' requests and their responses."""

import uuid
from collections.abc import Iterable, Sequence
from typing import Any

from samphirespring.connection.caller_dialect import (
    CallerDialect,
    HttpResponseHead,
    list_problem_headers,
    read_api_key,
    read_caller_request,
)
from samphirespring.connection.http_headers import select_end_to_end
from samphirespring.platform.headers import (
    API_KEY,
    CALLER_SERVICE,
    DEADLINE_MS,
    REQUEST_ID,
    SEAL,
    TENANT,
)
from samphirespring.process.errors import SamphireError
from samphirespring.request.body import RequestBody
from samphirespring.request.caller import CallerRequest, ResponseMetadata
from samphirespring.request.errors import RequestError
from samphirespring.request.ids import RequestId
from samphirespring.request.messages import Header
from samphirespring.request.states import Outcome
from samphirespring.version.ids import ServiceName
from samphirespring.version.routes import CompiledDocument

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee a caller that its request didn't and won't run."""

BAD_GATEWAY = 502

REPLACED = frozenset({CALLER_SERVICE, TENANT, API_KEY})
"""Headers that a target never gets as the caller sent them, whether or not there are tenants."""


class PlatformCallerDialect(CallerDialect):
    """Uses the platform's headers.

    Sends a status that guarantees "not run" only if that is proven; otherwise sends 502 instead.

    Args:
        service: Service of the target on this host, which sends all requests to this node.
    """

    def __init__(self, service: ServiceName) -> None:
        self._service = service

    def read_request_id(self, headers: Iterable[tuple[bytes, bytes]]) -> RequestId:
        """Return the id that the caller sent, or a new one."""
        for name, value in headers:
            if name == REQUEST_ID:
                return RequestId(value.decode("latin-1"))
        return RequestId(uuid.uuid4().hex)

    def make_request(
        self,
        request_id: RequestId,
        scope: Any,
        body: RequestBody,
        compiled: CompiledDocument | None,
    ) -> CallerRequest:
        """Return the request as the front handles it."""
        headers = select_end_to_end(scope["headers"])
        forwarded = tuple(header for header in headers if header.name not in REPLACED)
        return read_caller_request(
            request_id,
            scope,
            body,
            headers=(*forwarded, Header(CALLER_SERVICE, self._service.encode())),
            deadline_header=DEADLINE_MS,
            api_key=read_api_key(headers, compiled),
        )

    def make_response_head(
        self, status: int, headers: Sequence[Header], metadata: ResponseMetadata
    ) -> HttpResponseHead:
        """Return a target's head unchanged, unless its status guarantees "not run" without proof.

        A replaced status drops the seal, which signs the target's own response.
        """
        if status not in NOT_RUN_STATUSES:
            return HttpResponseHead(status=status, headers=tuple(headers))
        unsealed = tuple(header for header in headers if header.name != SEAL)
        return HttpResponseHead(status=BAD_GATEWAY, headers=unsealed)

    def make_error_head(
        self, error: SamphireError, status: int, request_id: RequestId, *, body_length: int
    ) -> HttpResponseHead:
        """Return the head of a problem report."""
        headers = list_problem_headers(REQUEST_ID, request_id, body_length=body_length)
        proves_not_run = isinstance(error, RequestError) and error.outcome is Outcome.NOT_RUN
        if status in NOT_RUN_STATUSES and not proves_not_run:
            status = BAD_GATEWAY
        if isinstance(error, RequestError) and error.retry_after_s is not None:
            headers.append(Header(b"retry-after", str(error.retry_after_s).encode()))
        return HttpResponseHead(status=status, headers=tuple(headers))
