"""Calls an ASGI application without a socket."""

import json
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Response:
    status: int
    headers: dict
    body: bytes

    def read_json(self):
        return json.loads(self.body)


async def call_app(app, method, path, *, token=None, body=None, query=""):
    """Return the response to one request; `body` is bytes, or a value to encode as JSON."""
    data = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
    headers = [(b"host", b"127.0.0.1:1")]
    if token is not None:
        headers.append((b"authorization", f"Bearer {token}".encode()))
    scope = {
        "type": "http",
        "asgi": {"version": "3.0"},
        "http_version": "1.1",
        "method": method,
        "scheme": "http",
        "path": path,
        "raw_path": path.encode(),
        "query_string": query.encode(),
        "root_path": "",
        "headers": headers,
        "client": ("127.0.0.1", 2),
        "server": ("127.0.0.1", 1),
    }
    messages = []

    async def receive():
        return {"type": "http.request", "body": data, "more_body": False}

    async def send(message):
        messages.append(message)

    await app(scope, receive, send)
    return Response(
        status=messages[0]["status"],
        headers={k.decode(): v.decode() for k, v in messages[0]["headers"]},
        body=b"".join(message.get("body", b"") for message in messages[1:]),
    )
