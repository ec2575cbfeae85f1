"""HTTP API of a control host through which the operator submits and reads the configuration."""

from collections.abc import Awaitable, Callable

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from samphirespring.connection.http_json import JsonBodyInvalidError, read_body
from samphirespring.connection.problems import (
    PROBLEM_CONTENT_TYPE,
    encode_problem,
    make_problem,
)
from samphirespring.platform.configuration import DeploymentDefaults, translate_configuration
from samphirespring.platform.headers import BASE_REVISION
from samphirespring.process.addresses import parse_address
from samphirespring.process.document.errors import RevisionConflictError
from samphirespring.process.document.service import DocumentService
from samphirespring.process.errors import InternalError, SamphireError
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.replication.state_machine import NotLeaderError
from samphirespring.version.ids import Revision
from samphirespring.version.parser import DocumentInvalidError

MAX_CONFIGURATION_BYTES = 16 << 20
"""Largest configuration, in bytes."""

MAX_REVISION_DIGITS = 18
BAD_REQUEST = 400
PRECONDITION_FAILED = 412
TEMPORARY_REDIRECT = 307
UNAVAILABLE = 503

Endpoint = Callable[[Request], Awaitable[Response]]

_log = EventLog()


class ConfigurationApp:
    """Serves the operator's reads and replacements of the configuration.

    There is no authentication: anyone who can connect may change the configuration.

    Args:
        documents: Reads and replaces the document.
        defaults: Values that the deployment sets for all services.
        operator_port: Port of the operator's calls, the same on all control hosts.
    """

    def __init__(
        self, documents: DocumentService, *, defaults: DeploymentDefaults, operator_port: int
    ) -> None:
        self._documents = documents
        self._defaults = defaults
        self._operator_port = operator_port
        self._translating = anyio.Lock()
        """Held while a configuration is translated, which takes long for a large one: several that
        come at once would hold up the process's other tasks together."""

    def make_app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/api/config/replace", self._convert_errors(self._replace), methods=["POST"]),
                Route("/api/config/read", self._convert_errors(self._read), methods=["GET"]),
            ]
        )

    async def _replace(self, request: Request) -> Response:
        text = await read_body(request, limit_bytes=MAX_CONFIGURATION_BYTES)
        async with self._translating:
            submission = translate_configuration(text, defaults=self._defaults)
        await self._documents.replace(
            base=_read_base_revision(request),
            revision=submission.revision,
            submitted=text,
            sections=submission.sections,
        )
        return Response(b"{}", media_type="application/json")

    async def _read(self, request: Request) -> Response:
        text = await self._documents.read_submitted()
        if text is None:
            return Response(status_code=UNAVAILABLE)
        return Response(text, media_type="application/json")

    def _convert_errors(self, endpoint: Endpoint) -> Endpoint:
        async def serve(request: Request) -> Response:
            try:
                return await endpoint(request)
            except NotLeaderError as error:
                return self._redirect(request, error)
            except SamphireError as error:
                _log.info(
                    LogEvent.DOCUMENT_NOT_REPLACED, code=error.code.value, detail=error.detail
                )
                return _respond_problem(error, _choose_status(error))
            except Exception:
                _log.exception(LogEvent.ENDPOINT_FAILED, path=request.url.path)
                return _respond_problem(InternalError("internal error"), UNAVAILABLE)

        return serve

    def _redirect(self, request: Request, error: NotLeaderError) -> Response:
        if error.leader is None:
            return _respond_problem(error, UNAVAILABLE)
        # The replica id of a control host found by discovery is its link address.
        host = parse_address(error.leader).host
        location = f"http://{host}:{self._operator_port}{request.url.path}"
        return Response(status_code=TEMPORARY_REDIRECT, headers={"location": location})


def _read_base_revision(request: Request) -> Revision:
    text = request.headers.get(BASE_REVISION.decode(), "")
    if not text.isascii() or not text.isdigit() or len(text) > MAX_REVISION_DIGITS:
        raise JsonBodyInvalidError("the base revision must be a whole number")
    return Revision(int(text))


def _choose_status(error: SamphireError) -> int:
    if isinstance(error, RevisionConflictError):
        return PRECONDITION_FAILED
    if isinstance(error, DocumentInvalidError | JsonBodyInvalidError):
        return BAD_REQUEST
    return UNAVAILABLE


def _respond_problem(error: SamphireError, status: int) -> Response:
    body = encode_problem(make_problem(error, status=status, request=None))
    return Response(body, status_code=status, media_type=PROBLEM_CONTENT_TYPE.decode())
