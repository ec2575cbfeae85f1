"""A backend server whose bytes a test scripts, and exchanges with it through the agent's client."""

import socket
import struct
from contextlib import asynccontextmanager

import anyio
import msgspec

from front.fakes import make_attempt_message
from samphirespring.connection.upstream import UpstreamClient, UpstreamError
from samphirespring.connection.upstream_pool import UpstreamPool
from samphirespring.process.timers import MonotonicTimerService
from samphirespring.request.messages import Header, ResponseHead
from samphirespring.request.states import FailureKind

SEND_BUFFER_BYTES = 16_384


class ScriptedBackend:
    """Accepts connections and passes each request to a script, which writes the response."""

    def __init__(self, script, *, reads_bodies=True):
        self.script = script
        self.reads_bodies = reads_bodies
        self.connections = 0
        self.sent_bytes = 0
        self.requests = []
        self.closed = anyio.Event()

    @asynccontextmanager
    async def serve(self):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, self._serve_connection)
            yield
            group.cancel_scope.cancel()

    async def _serve_connection(self, stream):
        self.connections += 1
        raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        async with stream:
            try:
                data = b""
                while True:
                    while b"\r\n\r\n" not in data:
                        data += await stream.receive()
                    head, _, data = data.partition(b"\r\n\r\n")
                    length = read_length(head) if self.reads_bodies else None
                    while length is not None and len(data) < length:
                        data += await stream.receive()
                    body, data = data[: length or 0], data[length or 0 :]
                    self.requests.append((head, body))
                    await self.script(self, stream, head)
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass
        self.closed.set()

    async def send(self, stream, data):
        await stream.send(data)
        self.sent_bytes += len(data)

    async def send_without_end(self, stream, data):
        while True:
            await self.send(stream, data)


def read_length(head):
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return None


def make_response(body, *, request_id=None):
    id_line = b""
    if request_id is not None:
        id_line = b"X-Request-Id: %b\r\nX-Server-Seal: s\r\n" % request_id
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%b\r\n%b" % (len(body), id_line, body)


def reset(stream):
    """Close a connection so that the peer gets a reset."""
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class Agent:
    """Sends requests to a backend server as the agent does."""

    def __init__(self, dialect=None):
        self.pool = UpstreamPool(MonotonicTimerService())
        self.client = UpstreamClient(self.pool, dialect)

    async def exchange(self, backend, *, body=None, name=b"r", take_bytes=None, **members):
        """Return `(status, body)`, or the kind of the failure."""
        request = make_attempt_message(
            request=name.decode(),
            attempt="a",
            method=b"GET" if body is None else b"POST",
            path=b"/" + name,
            **members,
        )
        headers = (Header(b"host", b"h"), Header(b"x-request-id", name))
        request = msgspec.structs.replace(request, headers=headers)
        parts = []
        status = None
        try:
            async with self.client.exchange(
                request,
                body,
                address=backend.address,
                refusal_reader=self.client.make_refusal_reader(),
            ) as frames:
                async for frame in frames:
                    if isinstance(frame, ResponseHead):
                        status = frame.status
                    else:
                        parts.append(frame.data)
                    if take_bytes is not None and sum(map(len, parts)) >= take_bytes:
                        break
        except UpstreamError as error:
            return error.kind
        return status, b"".join(parts)


FAILURE_KINDS = {
    "reset": FailureKind.RESET,
    "cut": FailureKind.CUT,
    "cancelled": FailureKind.CANCELLED,
}
