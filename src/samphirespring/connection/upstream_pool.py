"""Pool of idle connections to backend servers, for later attempts."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import httpcore

from samphirespring.process.addresses import parse_address

KEEPALIVE_EXPIRY_S = 4.0
"""How long a connection is kept idle, in seconds; backend servers close theirs later."""


class UpstreamPool:
    """Idle connections by address; the most recently used one is reused first.

    The agent admits attempts into slots, so the pool needs no limit and no queue. The cost of
    acquiring a connection doesn't grow with the number of connections.
    """

    def __init__(self) -> None:
        self._idle: dict[str, list[httpcore.AsyncHTTPConnection]] = {}

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return sum(len(connections) for connections in self._idle.values())

    @asynccontextmanager
    async def use(self, address: str) -> AsyncIterator[httpcore.AsyncHTTPConnection]:
        """Yield a connection for one request, and keep it if it can serve another request.

        Args:
            address: `IP:port` of the backend server.
        """
        connection = await self._pop_idle(address) or make_connection(address)
        try:
            yield connection
        finally:
            if connection.is_idle() and not _has_trailing_data(connection):
                self._idle.setdefault(address, []).append(connection)
            else:
                await close_connection(connection)

    async def close_expired(self) -> None:
        """Close the idle connections that have expired or that the backend server closed."""
        for address, connections in tuple(self._idle.items()):
            expired = [c for c in connections if c.has_expired()]
            kept = [c for c in connections if c not in expired]
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
            for connection in expired:
                await close_connection(connection)

    async def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                await close_connection(connection)
        self._idle.clear()

    async def _pop_idle(self, address: str) -> httpcore.AsyncHTTPConnection | None:
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            if not connection.has_expired():
                return connection
            await close_connection(connection)
        return None


def make_connection(address: str) -> httpcore.AsyncHTTPConnection:
    """Return a new connection, which connects with its first request.

    Args:
        address: `IP:port` of the backend server.
    """
    parts = parse_address(address)
    origin = httpcore.Origin(scheme=b"http", host=parts.host.encode(), port=parts.port)
    return httpcore.AsyncHTTPConnection(origin, keepalive_expiry=KEEPALIVE_EXPIRY_S)


def _has_trailing_data(connection: httpcore.AsyncHTTPConnection) -> bool:
    """Return whether bytes were received after a complete response: they belong to no request.

    Args:
        connection: An idle connection.
    """
    # httpcore treats such bytes as the start of the next response, and has no public API for them.
    inner = getattr(connection, "_connection", None)
    state = getattr(inner, "_h11_state", None)
    return state is not None and bool(state.trailing_data[0])


async def close_connection(connection: httpcore.AsyncHTTPConnection) -> None:
    """Close a connection, even while the calling task is being cancelled.

    Args:
        connection: The connection.
    """
    with anyio.CancelScope(shield=True):
        await connection.aclose()
