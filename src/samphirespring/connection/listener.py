"""Listening sockets of a process."""

import errno
import os
import resource
import socket
import sys
from typing import Any

from samphirespring.connection.dead_peers import DeadPeerDetection
from samphirespring.process.addresses import parse_address
from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent

BACKLOG = 2_048
"""Largest number of connections that wait to be accepted."""

BATCH = 16
"""Connections that are accepted in a row before other callbacks get their turn. Up to three batches
are open beyond a limit on connections, as others are closed some turns later."""

EXHAUSTION_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of `accept` that say that the process or the host has nothing left for a connection."""

_log = EventLog()


class AddressUnavailableError(SamphireError):
    """The process can't listen at an address of its settings."""

    code = ErrorCode.ADDRESS_UNAVAILABLE


class Listener(socket.socket):
    """Listening socket that accepts short batches, and tries once without a free descriptor.

    The event loop accepts as many connections at once as the backlog is long. After a failure it
    stops watching the socket for a second, but goes on with its batch and plans another restart for
    each one that fails; the restarts, too, would fail in batches, and their number would grow.

    Args:
        listener: The listening socket, which this one replaces.
        descriptor_limit: Number from which on descriptors aren't used for connections.
        dead_peers: When connections of clients that have gone are closed; None leaves this to the
            kernel's defaults.
    """

    def __init__(
        self,
        listener: socket.socket,
        *,
        descriptor_limit: int,
        dead_peers: DeadPeerDetection | None = None,
    ) -> None:
        super().__init__(listener.family, listener.type, listener.proto, fileno=listener.detach())
        self._descriptor_limit = descriptor_limit
        self._dead_peers = dead_peers
        self._last_descriptor = 0
        self._accepted_in_row = 0
        self._is_exhausted = False

    def accept(self) -> tuple[socket.socket, Any]:
        """Return the next connection and the address of its peer.

        Raises:
            BlockingIOError: No connection waits, or the batch has ended.
            ConnectionAbortedError: The client has closed the connection already.
            OSError: The connection can't be accepted.
        """
        if self._is_exhausted or self._accepted_in_row >= BATCH:
            self._is_exhausted = False
            self._accepted_in_row = 0
            raise BlockingIOError(errno.EAGAIN, "the batch has ended")
        try:
            self._check_reserve()
            connection, peer = super().accept()
        except OSError as error:
            if error.errno in EXHAUSTION_ERRORS:
                self._is_exhausted = True
                _log.warning(
                    LogEvent.DESCRIPTORS_EXHAUSTED,
                    port=self.getsockname()[1],
                    reason=error.strerror,
                )
            raise
        self._last_descriptor = connection.fileno()
        self._accepted_in_row += 1
        self._limit_silence(connection)
        return connection, peer

    def _limit_silence(self, connection: socket.socket) -> None:
        if self._dead_peers is None:
            return
        try:
            self._dead_peers.apply(connection)
        except OSError as error:
            # The client has closed it already.
            connection.close()
            raise ConnectionAbortedError(error.errno, error.strerror) from None

    def _check_reserve(self) -> None:
        """Raise an error if the lowest free descriptor is one of the reserved ones."""
        if self._last_descriptor + 1 < self._descriptor_limit:
            return
        free = os.dup(self.fileno())
        os.close(free)
        if free >= self._descriptor_limit:
            raise OSError(errno.EMFILE, "the other descriptors are reserved")


def open_listener(
    address: str, *, reserved_share: float = 0.0, dead_peers: DeadPeerDetection | None = None
) -> Listener:
    """Return a socket that listens at an address.

    Args:
        address: `IP:port` to listen on.
        reserved_share: Share of the process's descriptors that its connections don't use.
        dead_peers: When connections of clients that have gone are closed; None leaves this to the
            kernel's defaults.

    Raises:
        AddressUnavailableError: The address is taken or isn't one of this host.
    """
    parts = parse_address(address)
    family = socket.AF_INET6 if ":" in parts.host else socket.AF_INET
    try:
        listener = socket.create_server(parts, family=family, backlog=BACKLOG)
    except OSError as error:
        reason = error.strerror or str(error)
        _log.error(LogEvent.LISTEN_FAILED, host=parts.host, port=parts.port, reason=reason)
        raise AddressUnavailableError(f"{address}: {reason}") from None
    listener.setblocking(False)
    return Listener(
        listener,
        descriptor_limit=compute_descriptor_limit(reserved_share),
        dead_peers=dead_peers,
    )


def compute_descriptor_limit(reserved_share: float) -> int:
    """Return the number of descriptors that the process may open, less a reserved share.

    Args:
        reserved_share: The share.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return sys.maxsize
    return int(soft_limit * (1.0 - reserved_share))
