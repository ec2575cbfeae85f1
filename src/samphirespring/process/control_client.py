"""Calls from a node to the control hosts."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.connection.link_methods import ReplyT, RequestT, UnaryMethod
from samphirespring.connection.link_pool import LinkPool
from samphirespring.process.errors import SamphireError
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent

CALL_TIMEOUT_S = 2.0
MAX_LEADER_REDIRECTS = 3
"""Number of calls in a row that may be redirected to another control host before a call fails."""


class RedirectingReply(Protocol):
    """Reply of a control host that may name the leader instead of an answer."""

    @property
    def leader_link(self) -> str | None:
        """Link address of the leader, if the replying control host isn't the leader."""


RedirectingReplyT = TypeVar("RedirectingReplyT", bound=RedirectingReply)

_log = EventLog()


class ControlClient:
    """Calls the control host that replied last, and the others if that call fails.

    Args:
        pool: Links to the control hosts.
        addresses: Link addresses of the control hosts.
    """

    def __init__(self, pool: LinkPool, addresses: Sequence[str]) -> None:
        self._pool = pool
        self._addresses = addresses
        self._preferred: str | None = None

    async def call(
        self,
        method: UnaryMethod[RequestT, ReplyT],
        request: RequestT,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> ReplyT:
        """Return the reply of the first control host that replies.

        Args:
            method: The method to call.
            request: The request.
            timeout_s: Timeout of each control host, in seconds.

        Raises:
            LinkUnavailableError: No control host replied.
        """
        for address in self._list_in_order():
            try:
                with self._pool.use(address) as link:
                    reply = await link.call(method, request, timeout_s=timeout_s)
            except SamphireError as error:
                _log.debug(LogEvent.CONTROL_CALL_FAILED, address=address, code=error.code.value)
                # Recorded at once, as this call may be cancelled before another host replies.
                self.record_failure(address)
                continue
            self._preferred = address
            return reply
        raise LinkUnavailableError("no control host replied", sent=True)

    async def call_leader(
        self,
        method: UnaryMethod[RequestT, RedirectingReplyT],
        request: RequestT,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> RedirectingReplyT:
        """Return the reply of the leader, following redirects of the other control hosts.

        Args:
            method: The method to call.
            request: The request.
            timeout_s: Timeout of each control host, in seconds.

        Raises:
            LinkUnavailableError: No control host replied, or none is the leader.
        """
        for _ in range(MAX_LEADER_REDIRECTS):
            reply = await self.call(method, request, timeout_s=timeout_s)
            if reply.leader_link is None:
                return reply
            self.prefer(reply.leader_link)
        raise LinkUnavailableError("no control host is the leader", sent=True)

    def record_failure(self, address: str) -> None:
        """Call a control host last that failed a call, here or outside this client.

        Args:
            address: Its link address.
        """
        addresses = self._list_in_order()
        if addresses and addresses[0] == address:
            self._preferred = addresses[1 % len(addresses)]

    def prefer(self, address: str) -> None:
        """Call this control host first from now on, even if it isn't among `addresses`.

        Args:
            address: Its link address.
        """
        self._preferred = address

    def _list_in_order(self) -> tuple[str, ...]:
        """Return all addresses, beginning with the preferred one."""
        addresses = tuple(self._addresses)
        if self._preferred is None:
            return addresses
        if self._preferred not in addresses:
            return (self._preferred, *addresses)
        start = addresses.index(self._preferred)
        return (*addresses[start:], *addresses[:start])
