"""Clients that stay inside the limits of the pages, and are bound to use up a process's memory.

Plain non-blocking sockets: a connection that the process doesn't read takes no more bytes, and one
that it closes or resets is dropped. Responses are never read.
"""

import select
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

RECIPES = "recipes.wheatsheaf.example"
ORDERS = "orders.wheatsheaf.example"

READ_AHEAD_CONNECTIONS = 10
READS_AHEAD = 5_000
ANSWER_BYTES = 20_000
BODY_CONNECTIONS = 150
WHOLE_BODY_BYTES = 240_000
"""Below the size from which a body is passed on to its target before its end."""

LONG_BODY_BYTES = 900_000
PIECE_BYTES = 30_000
LARGE_CHUNK_BYTES = 60_000
SMALL_CHUNK_BYTES = 16
ONE_BYTE_CHUNKS = 200_000
COMPLETE_EVERY = 10
"""One body in so many is sent to its end; the others stop one byte before it."""

QUIET_S = 1.5
"""Time without an accepted byte after which the crowd has sent what it can."""

SENDING_LIMIT_S = 40.0
TURN_PAUSE_S = 0.005


@dataclass(frozen=True, kw_only=True)
class Script:
    """What one connection sends.

    Attributes:
        data: All its bytes.
        piece_bytes: Most bytes that it sends in one turn.
    """

    data: bytes
    piece_bytes: int


class Crowd:
    """Open connections with what each has still to send.

    Args:
        address: `IP:port` of the callers' listener.
        scripts: What each connection sends.
    """

    def __init__(self, address: str, scripts: list[Script]) -> None:
        host, _, port = address.rpartition(":")
        self._peer = (host, int(port))
        self._scripts = scripts
        self._sent: dict[socket.socket, int] = {}
        self._script_of: dict[socket.socket, Script] = {}

    def send_all(self, observe: Callable[[], None]) -> None:
        """Send until everything is sent or the process takes nothing more.

        Args:
            observe: Called after each turn.
        """
        for script in self._scripts:
            self._connect(script)
        end_at_s = time.monotonic() + SENDING_LIMIT_S
        quiet_at_s = time.monotonic() + QUIET_S
        while time.monotonic() < min(end_at_s, quiet_at_s):
            if self._take_turn():
                quiet_at_s = time.monotonic() + QUIET_S
            observe()
            time.sleep(TURN_PAUSE_S)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._sent:
            connection.close()
        self._sent.clear()

    def _connect(self, script: Script) -> None:
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.settimeout(QUIET_S)
        try:
            connection.connect(self._peer)
        except OSError:
            # A process may accept no more connections.
            connection.close()
            return
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sent[connection] = 0
        self._script_of[connection] = script

    def _take_turn(self) -> bool:
        """Let each connection send a piece; return whether any byte was taken."""
        pending = [c for c, sent in self._sent.items() if sent < len(self._script_of[c].data)]
        poller = select.poll()
        by_descriptor = {connection.fileno(): connection for connection in pending}
        for descriptor in by_descriptor:
            poller.register(descriptor, select.POLLOUT)
        taken = [self._send_piece(by_descriptor[number]) for number, _ in poller.poll(0)]
        return any(taken)

    def _send_piece(self, connection: socket.socket) -> bool:
        script = self._script_of[connection]
        start = self._sent[connection]
        view = memoryview(script.data)[start : start + script.piece_bytes]
        try:
            self._sent[connection] += connection.send(view)
        except BlockingIOError:
            return False
        except OSError:
            del self._sent[connection]
            connection.close()
            return False
        return True


@contextmanager
def open_crowd(
    address: str, scripts: list[Script], *, observe: Callable[[], None]
) -> Iterator[Crowd]:
    """Let a crowd send what it can; its connections stay open while the context is.

    Args:
        address: `IP:port` of the callers' listener.
        scripts: What each connection sends.
        observe: Called again and again while it sends.
    """
    crowd = Crowd(address, scripts)
    try:
        crowd.send_all(observe)
        yield crowd
    finally:
        crowd.close()


def make_reads_ahead() -> list[Script]:
    """Return connections that send many reads ahead; their answers stay unread."""
    return [_make_reads(number) for number in range(READ_AHEAD_CONNECTIONS)]


def make_whole_bodies() -> list[Script]:
    """Return connections with a body that is sent at once."""
    body = b"x" * WHOLE_BODY_BYTES
    return [
        _make_upload(number, _frame_length(WHOLE_BODY_BYTES), body)
        for number in range(BODY_CONNECTIONS)
    ]


def make_bodies_in_pieces() -> list[Script]:
    """Return connections with a long body that is sent piece by piece, by turns with a key."""
    body = b"x" * LONG_BODY_BYTES
    return [
        _make_upload(
            number,
            _frame_length(LONG_BODY_BYTES),
            body,
            piece_bytes=PIECE_BYTES,
            has_key=number % 2 == 0,
        )
        for number in range(BODY_CONNECTIONS)
    ]


def make_large_chunks() -> list[Script]:
    """Return connections with a body in large chunks."""
    body = _make_chunks(WHOLE_BODY_BYTES, chunk_bytes=LARGE_CHUNK_BYTES)
    return [_make_upload(number, CHUNKED, body) for number in range(BODY_CONNECTIONS)]


def make_small_chunks() -> list[Script]:
    """Return connections with a body in very small chunks."""
    body = _make_chunks(WHOLE_BODY_BYTES, chunk_bytes=SMALL_CHUNK_BYTES)
    return [_make_upload(number, CHUNKED, body) for number in range(BODY_CONNECTIONS)]


def make_one_byte_chunks() -> list[Script]:
    """Return connections with a body in chunks of one byte."""
    body = _make_chunks(ONE_BYTE_CHUNKS, chunk_bytes=1)
    return [_make_upload(number, CHUNKED, body) for number in range(BODY_CONNECTIONS)]


def make_configurations(form: str, *, count: int, size_bytes: int) -> list[Script]:
    """Return connections that send a control host of the platform configurations of a size.

    Args:
        form: `whole`, `piece by piece` or `in large chunks`.
        count: Number of connections.
        size_bytes: Size of each configuration, in bytes.
    """
    text = b'{"version": 1, "resources": [%b]}' % (b" " * size_bytes)
    framing = _frame_length(len(text))
    if form == "in large chunks":
        text = _make_chunks(size_bytes, chunk_bytes=LARGE_CHUNK_BYTES)
        framing = CHUNKED
    head = b"POST /api/config/replace HTTP/1.1\r\nHost: control\r\nX-Base-Version: 0\r\n"
    data = b"%b%b\r\n\r\n%b" % (head, framing, text[:-1])
    piece_bytes = PIECE_BYTES if form == "piece by piece" else len(data)
    return [Script(data=data, piece_bytes=piece_bytes)] * count


def make_all() -> list[Script]:
    """Return all kinds of connections together."""
    return [
        *make_reads_ahead(),
        *make_whole_bodies(),
        *make_bodies_in_pieces(),
        *make_large_chunks(),
        *make_small_chunks(),
    ]


CROWDS = {
    "many reads sent ahead on few connections, with unread answers": make_reads_ahead,
    "large bodies sent whole": make_whole_bodies,
    "large bodies sent piece by piece": make_bodies_in_pieces,
    "bodies in large chunks": make_large_chunks,
    "bodies in very small chunks": make_small_chunks,
    "bodies in chunks of one byte": make_one_byte_chunks,
    "all of these together": make_all,
}

CHUNKED = b"Transfer-Encoding: chunked"


def _make_reads(number: int) -> Script:
    read = (
        f"GET /recipes/7 HTTP/1.1\r\nHost: {RECIPES}\r\n"
        f"X-Workspace: crowd-{number}\r\nX-Answer-Bytes: {ANSWER_BYTES}\r\n\r\n"
    ).encode()
    data = read * READS_AHEAD
    return Script(data=data, piece_bytes=len(data))


def _make_upload(
    number: int, framing: bytes, body: bytes, *, piece_bytes: int = 0, has_key: bool = False
) -> Script:
    key = f"Idempotency-Key: crowd-{number}\r\n" if has_key else ""
    head = (
        f"POST /kit-orders HTTP/1.1\r\nHost: {ORDERS}\r\nX-Workspace: crowd-{number}\r\n{key}"
    ).encode()
    is_complete = number % COMPLETE_EVERY == COMPLETE_EVERY - 1
    data = b"%b%b\r\n\r\n%b" % (head, framing, body if is_complete else body[:-1])
    return Script(data=data, piece_bytes=piece_bytes or len(data))


def _make_chunks(size_bytes: int, *, chunk_bytes: int) -> bytes:
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return chunk * (size_bytes // chunk_bytes) + b"0\r\n\r\n"


def _frame_length(size_bytes: int) -> bytes:
    return b"Content-Length: %d" % size_bytes
