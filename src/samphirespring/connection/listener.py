"""Listening sockets of a process."""

import socket

from samphirespring.process.addresses import parse_address
from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent

BACKLOG = 2_048
"""Largest number of connections that wait to be accepted."""

_log = EventLog()


class AddressUnavailableError(SamphireError):
    """The process can't listen at an address of its settings."""

    code = ErrorCode.ADDRESS_UNAVAILABLE


def open_listener(address: str) -> socket.socket:
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
    return listener
