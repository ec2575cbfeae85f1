"""Calls from a node to the control hosts."""

from collections.abc import Sequence

from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.connection.link_methods import ReplyT, RequestT, UnaryMethod
from samphirespring.connection.link_pool import LinkPool
from samphirespring.process.errors import SamphireError
from samphirespring.process.event_log import EventLog
from samphirespring.process.log_events import LogEvent

CALL_TIMEOUT_S = 2.0

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

    async def call(self, method: UnaryMethod[RequestT, ReplyT], request: RequestT) -> ReplyT:
        """Return the reply of the first control host that replies.

        Args:
            method: The method to call.
            request: The request.

        Raises:
            LinkUnavailableError: No control host replied.
        """
        for address in self._list_in_order():
            try:
                with self._pool.use(address) as link:
                    reply = await link.call(method, request, timeout_s=CALL_TIMEOUT_S)
            except SamphireError as error:
                _log.debug(LogEvent.CONTROL_CALL_FAILED, address=address, code=error.code.value)
                continue
            self._preferred = address
            return reply
        raise LinkUnavailableError("no control host replied", sent=True)

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
