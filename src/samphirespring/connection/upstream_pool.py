"""Pool of idle connections to backend servers, for later attempts."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import msgspec

from samphirespring.connection.upstream_connection import UpstreamConnection, open_connection
from samphirespring.process.timers import TimerService

CONNECT_TIMEOUT_S = 1.0
IDLE_LIMIT_S = 4.0
"""How long a connection is kept idle, in seconds; backend servers usually close theirs later."""

MIN_IDLE_LIMIT_S = 0.2
STALE_FACTOR = 0.5
"""Share of the idle time after which a backend server had dropped a connection that becomes the
new limit for its connections."""

STATED_LIMIT_SHARE = 0.8
"""Share of the idle time that a backend server states in its responses that is relied on."""


class ConnectFailedError(Exception):
    """No connection to the backend server could be opened, so no byte was sent."""


class _AddressConnections(msgspec.Struct, kw_only=True):
    """Idle connections to one address, the most recently used one last."""

    idle: list[UpstreamConnection] = msgspec.field(default_factory=list)
    idle_limit_s: float = IDLE_LIMIT_S


class UpstreamPool:
    """Idle connections by address; the most recently used one is reused first.

    The agent admits attempts into slots, so the pool needs no limit and no queue. Some backend
    servers drop idle connections without notice: the pool learns for how long each address keeps
    them, so that few requests are sent on a connection that is gone.

    Args:
        timers: The timer service.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._connections: dict[str, _AddressConnections] = {}

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return sum(len(connections.idle) for connections in self._connections.values())

    @asynccontextmanager
    async def use(self, address: str) -> AsyncIterator[UpstreamConnection]:
        """Yield a connection for one request, and keep it if it can serve another request.

        Args:
            address: `IP:port` of the backend server.

        Raises:
            ConnectFailedError: No connection could be opened.
        """
        connection = self._pop_idle(address) or await _open(address)
        try:
            yield connection
        finally:
            if connection.is_usable:
                connection.idle_since_s = self._timers.read_now_s()
                self._find(address).idle.append(connection)
            else:
                connection.close()

    def limit_idle(self, address: str, stated_s: float) -> None:
        """Apply the idle time that a backend server stated in a response.

        Args:
            address: `IP:port` of the backend server.
            stated_s: The stated time, in seconds.
        """
        connections = self._find(address)
        limit_s = max(MIN_IDLE_LIMIT_S, STATED_LIMIT_SHARE * stated_s)
        connections.idle_limit_s = min(connections.idle_limit_s, limit_s)

    def record_stale(self, address: str, connection: UpstreamConnection) -> None:
        """Learn from a connection that was reused and turned out to be dropped.

        Args:
            address: `IP:port` of the backend server.
            connection: The connection.
        """
        idle_s = self._timers.read_now_s() - connection.idle_since_s
        connections = self._find(address)
        limit_s = max(MIN_IDLE_LIMIT_S, STALE_FACTOR * idle_s)
        connections.idle_limit_s = min(connections.idle_limit_s, limit_s)
        _close_all(connections.idle)

    def close_expired(self) -> None:
        """Close the idle connections that have expired or that the backend server closed."""
        for address, connections in tuple(self._connections.items()):
            expired = [c for c in connections.idle if not self._is_fresh(connections, c)]
            connections.idle = [c for c in connections.idle if c not in expired]
            for connection in expired:
                connection.close()
            if not connections.idle and connections.idle_limit_s == IDLE_LIMIT_S:
                del self._connections[address]

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._connections.values():
            _close_all(connections.idle)
        self._connections.clear()

    def _find(self, address: str) -> _AddressConnections:
        return self._connections.setdefault(address, _AddressConnections())

    def _pop_idle(self, address: str) -> UpstreamConnection | None:
        connections = self._connections.get(address)
        while connections is not None and connections.idle:
            connection = connections.idle.pop()
            if self._is_fresh(connections, connection):
                return connection
            connection.close()
        return None

    def _is_fresh(self, connections: _AddressConnections, connection: UpstreamConnection) -> bool:
        idle_s = self._timers.read_now_s() - connection.idle_since_s
        return connection.is_usable and idle_s < connections.idle_limit_s


async def _open(address: str) -> UpstreamConnection:
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            return await open_connection(address)
    except OSError as error:
        # A timeout is an `OSError`, too.
        raise ConnectFailedError(f"{address}: {error}") from None


def _close_all(idle: list[UpstreamConnection]) -> None:
    for connection in idle:
        connection.close()
    idle.clear()
