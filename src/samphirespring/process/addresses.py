"""Socket addresses in the notation of the settings."""

from typing import NamedTuple


class SocketAddress(NamedTuple):
    """An IP address and a port, in the order that socket functions expect."""

    host: str
    port: int


def parse_address(text: str) -> SocketAddress:
    """Parse an `IP:port` string.

    Args:
        text: The address; an IPv6 address is enclosed in brackets.
    """
    host, _, port = text.rpartition(":")
    return SocketAddress(host=host.strip("[]"), port=int(port))
