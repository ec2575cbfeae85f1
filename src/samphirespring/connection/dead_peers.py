"""Detection of peers that have gone without closing their connections."""

import socket

import msgspec

MILLISECONDS_PER_S = 1_000


class DeadPeerDetection(msgspec.Struct, frozen=True, kw_only=True):
    """When the kernel gives up a connection whose peer acknowledges nothing.

    A peer that has lost power, or can't be reached any more, closes nothing: without these limits
    its connection, and whatever was granted over it, would be kept for a quarter of an hour.

    Attributes:
        idle_s: Time without a packet after which the kernel probes the peer, in seconds.
        interval_s: Time between two probes, in seconds.
        probes: Number of probes without a reply after which the connection is closed.
        unacknowledged_s: How long sent bytes may stay unacknowledged, in seconds; a connection with
            probes that are not answered isn't closed sooner either.
    """

    idle_s: int
    interval_s: int
    probes: int
    unacknowledged_s: int

    def apply(self, connection: socket.socket) -> None:
        """Set the limits on a connection.

        Args:
            connection: The connected socket.
        """
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, self.idle_s)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, self.interval_s)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, self.probes)
        connection.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            self.unacknowledged_s * MILLISECONDS_PER_S,
        )
