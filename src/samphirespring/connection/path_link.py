"""RPC method with which nodes check their paths to each other."""

import msgspec

from samphirespring.connection.link_methods import UnaryMethod


class Ping(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a reply, which shows that the path works."""


class PingReply(msgspec.Struct, frozen=True, kw_only=True):
    """Shows that the peer received the ping."""


PING: UnaryMethod[Ping, PingReply] = UnaryMethod(
    path="/samphire.Agent/Ping", request_type=Ping, reply_type=PingReply
)


async def handle_ping(request: Ping) -> PingReply:
    """Return a reply.

    Args:
        request: The request.
    """
    return PingReply()
