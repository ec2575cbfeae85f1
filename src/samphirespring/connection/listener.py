"""Listening sockets of a process."""

import errno
import socket
from typing import Any

from samphirespring.process.addresses import parse_address
from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent

BACKLOG = 2_048
"""Largest number of connections that wait to be accepted."""

EXHAUSTION_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of `accept` that say that the process or the host has nothing left for a connection."""

_log = EventLog()


class AddressUnavailableError(SamphireError):
    """The process can't listen at an address of its settings."""

    code = ErrorCode.ADDRESS_UNAVAILABLE


class Listener(socket.socket):
    """Listening socket that tries once to accept a connection without a free descriptor.

    The event loop then stops watching the socket for a second. Before that it goes on with its
    batch of connections, up to the length of the backlog, and plans another restart for each one
    that fails; the restarts, too, would fail in batches, and their number would grow.
    """

    _is_exhausted = False

    def accept(self) -> tuple[socket.socket, Any]:
        """Return the next connection and the address of its peer.

        Raises:
            BlockingIOError: No connection waits, or the last one could not be accepted.
            OSError: The connection can't be accepted.
        """
        if self._is_exhausted:
            self._is_exhausted = False
            raise BlockingIOError(errno.EAGAIN, "the last connection could not be accepted")
        try:
            return super().accept()
        except OSError as error:
            if error.errno in EXHAUSTION_ERRORS:
                self._is_exhausted = True
                _log.warning(
                    LogEvent.DESCRIPTORS_EXHAUSTED,
                    port=self.getsockname()[1],
                    reason=error.strerror,
                )
            raise


def open_listener(address: str) -> Listener:
    """Return a socket that listens at an address.

    Args:
        address: `IP:port` to listen on.

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
    return Listener(listener.family, listener.type, listener.proto, fileno=listener.detach())
