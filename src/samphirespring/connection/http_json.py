"""JSON requests and responses of operators and backend servers."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from samphirespring.connection.body_holding import read_holding
from samphirespring.connection.problems import (
    PROBLEM_CONTENT_TYPE,
    encode_problem,
    make_problem,
)
from samphirespring.process.errors import DECODE_ERRORS, ErrorCode, InternalError, SamphireError
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent

BodyT = TypeVar("BodyT")

STATUS_BY_CODE = {
    ErrorCode.ANNOUNCEMENT_INVALID: 400,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.CHANGE_ID_REUSED: 409,
    ErrorCode.LEDGER_LAYOUT_FIXED: 409,
    ErrorCode.DOCUMENT_INVALID: 422,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.MALFORMED_REQUEST: 400,
    ErrorCode.SECTION_UNKNOWN: 404,
    ErrorCode.GROUP_UNKNOWN: 404,
    ErrorCode.LIST_UNKNOWN: 404,
    ErrorCode.HOST_UNKNOWN: 404,
    ErrorCode.TARGET_UNKNOWN: 404,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.VERSION_CONFLICT: 409,
}
"""HTTP status by error code; all other codes have status 503."""

_log = EventLog()


class JsonBodyTooLargeError(SamphireError):
    """A JSON body is larger than the endpoint accepts."""

    code = ErrorCode.BODY_TOO_LARGE


class JsonBodyRefusedError(SamphireError):
    """The rest of a JSON body isn't accepted now; nothing was done."""

    code = ErrorCode.OVERLOADED


class JsonBodyInvalidError(SamphireError):
    """A JSON body isn't of the declared type."""

    code = ErrorCode.MALFORMED_REQUEST


def respond_json(value: Any, *, status: int = 200) -> Response:
    """Return a value as a JSON response.

    Args:
        value: Anything that msgspec encodes.
        status: HTTP status.
    """
    return Response(msgspec.json.encode(value), status_code=status, media_type="application/json")


def respond_error(error: SamphireError) -> Response:
    """Return a response with the problem details of an error.

    Args:
        error: The error.
    """
    status = STATUS_BY_CODE.get(error.code, 503)
    return Response(
        encode_problem(make_problem(error, status=status)),
        status_code=status,
        media_type=PROBLEM_CONTENT_TYPE.decode(),
    )


async def read_json(request: Request, body_type: type[BodyT], *, limit_bytes: int) -> BodyT:
    """Return the decoded and validated body of a request.

    Args:
        request: The request.
        body_type: Type of the body.
        limit_bytes: Largest body, in bytes.

    Raises:
        JsonBodyTooLargeError: The body is larger.
        JsonBodyInvalidError: The body isn't of the type.
    """
    body = await read_body(request, limit_bytes=limit_bytes)
    return decode_json(body, body_type, error_type=JsonBodyInvalidError)


def decode_json(
    text: bytes, body_type: type[BodyT], *, error_type: Callable[[str], SamphireError]
) -> BodyT:
    """Return the value of a JSON text from outside.

    Args:
        text: The JSON text.
        body_type: Type of the value.
        error_type: Error to raise, called with a description.

    Raises:
        SamphireError: The text isn't JSON, is nested too deeply, or a field is missing or has an
            invalid type or value.
    """
    try:
        return msgspec.json.decode(text, type=body_type)
    except DECODE_ERRORS as error:
        raise error_type(str(error)) from None


async def read_body(request: Request, *, limit_bytes: int) -> bytes:
    """Return the complete body of a request, which counts as held until the response.

    Args:
        request: The request.
        limit_bytes: Largest body, in bytes.

    Raises:
        JsonBodyTooLargeError: The body is larger.
        JsonBodyRefusedError: The process holds too much for its clients.
    """
    holding = read_holding(request.scope)
    body = bytearray()
    async for data in request.stream():
        if holding.is_refused:
            raise JsonBodyRefusedError("the process holds too much for its clients")
        holding.add(len(data))
        body.extend(data)
        if len(body) > limit_bytes:
            raise JsonBodyTooLargeError(f"the body is larger than {limit_bytes} bytes")
    return bytes(body)


def convert_errors(
    endpoint: Callable[[Request], Awaitable[Response]],
) -> Callable[[Request], Awaitable[Response]]:
    """Wrap an endpoint so that errors become responses with problem details.

    Args:
        endpoint: May raise a `SamphireError`.
    """

    async def serve(request: Request) -> Response:
        try:
            return await endpoint(request)
        except SamphireError as error:
            return respond_error(error)
        except Exception:
            _log.exception(LogEvent.ENDPOINT_FAILED, path=request.url.path)
            return respond_error(InternalError("internal error"))

    return serve
