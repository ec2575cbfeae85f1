"""HTTP requests of callers and operators in tests."""

import http.client
import json
import time
import urllib.parse
from dataclasses import dataclass

TIMEOUT_S = 15.0
RETRY_DELAY_S = 0.1


@dataclass(frozen=True, kw_only=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self):
        """The body as JSON."""
        return json.loads(self.body)

    @property
    def code(self) -> str | None:
        """Error code of a problem details body, or None for other bodies."""
        if self.headers.get("content-type") != "application/problem+json":
            return None
        return self.json["code"]


def send_request(
    address: str, method: str, path: str, *, headers=None, body: bytes | None = None
) -> Response:
    """Send one request on a new connection and return the complete response.

    Args:
        address: `IP:port`.
        method: HTTP method.
        path: Path with query.
        headers: Header names and values.
        body: Request body, or None.
    """
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        received = connection.getresponse()
        return Response(
            status=received.status,
            headers={name.lower(): value for name, value in received.getheaders()},
            body=received.read(),
        )
    finally:
        connection.close()


def send_json(address: str, method: str, path: str, value, *, headers=None) -> Response:
    """Send a request with a JSON body and return the complete response."""
    return send_request(address, method, path, headers=headers, body=json.dumps(value).encode())


def send_to_leader(addresses, method: str, path: str, value=None, *, token: str) -> Response:
    """Send an operator's request to the control hosts in turn until one serves it.

    Follows a redirect to the leader.

    Args:
        addresses: `IP:port` of the control hosts' operator listeners, in the order to try them.
        method: HTTP method.
        path: Path with query.
        value: Value to send as JSON, or None.
        token: Bearer token of the team.
    """
    headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
    body = None if value is None else json.dumps(value).encode()
    deadline_at_s = time.monotonic() + TIMEOUT_S
    queue = list(addresses)
    while True:
        address = queue.pop(0)
        queue.append(address)
        try:
            response = send_request(address, method, path, headers=headers, body=body)
            if response.status == 307:
                address = urllib.parse.urlsplit(response.headers["location"]).netloc
                response = send_request(address, method, path, headers=headers, body=body)
        except (OSError, http.client.HTTPException):
            response = None
        if response is not None and response.status not in (307, 503):
            return response
        if time.monotonic() > deadline_at_s:
            raise TimeoutError(f"no control host serves {method} {path}: {response}")
        time.sleep(RETRY_DELAY_S)
