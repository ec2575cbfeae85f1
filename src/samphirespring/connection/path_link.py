"""Signs of life between nodes, over links."""

import msgspec

from samphirespring.connection.link_methods import UnaryMethod


class Ping(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for a sign."""


class PingReply(msgspec.Struct, frozen=True, kw_only=True):
    """The sign."""


PING: UnaryMethod[Ping, PingReply] = UnaryMethod(
    path="/samphire.Agent/Ping", request_type=Ping, reply_type=PingReply
)


async def handle_ping(request: Ping) -> PingReply:
    """Give a sign.

    Args:
        request: The request.
    """
    return PingReply()
