"""Client of the operator API, which tries several control hosts."""

import ssl
from collections.abc import Sequence
from typing import Any, TypeVar
from urllib.parse import urlsplit

import httpcore
import msgspec

from samphirespring.connection.operator_problems import OperatorProblem
from samphirespring.process.errors import DECODE_ERRORS, ErrorCode, SamphireError
from samphirespring.process.timers import TimerService

BodyT = TypeVar("BodyT")

CALL_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.3
"""Delay after a round in which no control host could serve the request, in seconds."""

MAX_REDIRECTS = 3
REDIRECT_STATUS = 307
FIRST_ERROR_STATUS = 300

RETRIED_CODES = frozenset(
    {
        ErrorCode.NOT_LEADER,
        ErrorCode.NO_QUORUM,
        ErrorCode.COMMIT_UNKNOWN,
        ErrorCode.NO_DOCUMENT,
        ErrorCode.INBOX_FULL,
        ErrorCode.BUSY,
    }
)
"""Codes after which another control host, or the same one later, may serve the request."""


class NoControlHostError(SamphireError):
    """No control host could serve the request in time."""

    code = ErrorCode.LINK_UNAVAILABLE


class OperatorApiError(SamphireError):
    """A control host returned an error.

    Args:
        problem: Problem details of the error.
    """

    code = ErrorCode.INTERNAL

    def __init__(self, problem: OperatorProblem) -> None:
        super().__init__(f"{problem.code}: {problem.detail}")
        self.problem = problem


class OperatorClient:
    """Sends each request until a control host serves it; sending a request again is safe.

    Reads change nothing, changes carry a change id, and a drain may be set repeatedly.

    Args:
        addresses: `IP:port` of each control host's operator API.
        token: Bearer token of the team.
        tls: Context for TLS; None uses plain HTTP.
        timers: The timer service.
        timeout_s: Longest time for one request with all its retries, in seconds.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[str],
        token: str,
        tls: ssl.SSLContext | None,
        timers: TimerService,
        timeout_s: float,
    ) -> None:
        self._addresses = list(addresses)
        self._headers = [(b"authorization", f"Bearer {token}".encode())]
        self._tls = tls
        self._timers = timers
        self._timeout_s = timeout_s

    async def read(self, path: str, body_type: type[BodyT]) -> BodyT:
        """Return the decoded response to a GET.

        Args:
            path: Path with query.
            body_type: Type of the response body.

        Raises:
            OperatorApiError: A control host returned an error.
            NoControlHostError: No control host served the request in time.
        """
        return msgspec.json.decode(await self.send("GET", path), type=body_type)

    async def send(self, method: str, path: str, body: Any = None) -> bytes:
        """Return the body of the response to a request.

        Args:
            method: HTTP method.
            path: Path with query.
            body: Value to send as JSON; None sends none.

        Raises:
            OperatorApiError: A control host returned an error.
            NoControlHostError: No control host served the request in time.
        """
        content = b"" if body is None else msgspec.json.encode(body)
        deadline_s = self._timers.read_now_s() + self._timeout_s
        last_error = NoControlHostError("no control host is configured")
        while True:
            for address in tuple(self._addresses):
                try:
                    return await self._send_to(address, method, path, content)
                except NoControlHostError as error:
                    last_error = error
                    self._addresses.remove(address)
                    self._addresses.append(address)
            if self._timers.read_now_s() + RETRY_DELAY_S >= deadline_s:
                raise last_error
            await self._timers.wait_for(RETRY_DELAY_S)

    async def _send_to(self, address: str, method: str, path: str, content: bytes) -> bytes:
        for _ in range(MAX_REDIRECTS):
            response = await self._exchange(address, method, path, content)
            if response.status < FIRST_ERROR_STATUS:
                return response.content
            if response.status == REDIRECT_STATUS:
                address = _read_location(response) or address
                continue
            _raise_problem(address, response)
        raise NoControlHostError(f"{address}: more than {MAX_REDIRECTS} redirects")

    async def _exchange(
        self, address: str, method: str, path: str, content: bytes
    ) -> httpcore.Response:
        scheme = "http" if self._tls is None else "https"
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), CALL_TIMEOUT_S)
        try:
            async with httpcore.AsyncConnectionPool(ssl_context=self._tls) as pool:
                return await pool.request(
                    method,
                    f"{scheme}://{address}{path}",
                    headers=self._headers,
                    content=content,
                    extensions={"timeout": timeouts},
                )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            OSError,
        ) as error:
            raise NoControlHostError(f"{address}: {error or type(error).__name__}") from None


def _read_location(response: httpcore.Response) -> str | None:
    for name, value in response.headers:
        if name.lower() == b"location":
            return urlsplit(value.decode("latin-1")).netloc or None
    return None


def _raise_problem(address: str, response: httpcore.Response) -> None:
    try:
        problem = msgspec.json.decode(response.content, type=OperatorProblem)
        code = ErrorCode(problem.code)
    except DECODE_ERRORS:
        raise NoControlHostError(
            f"{address}: status {response.status} without a known code"
        ) from None
    if code in RETRIED_CODES:
        raise NoControlHostError(f"{address}: {problem.code}: {problem.detail}")
    raise OperatorApiError(problem)
