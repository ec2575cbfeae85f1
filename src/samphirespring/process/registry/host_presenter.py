"""Presents a host's record where targets are selected, ahead of the registry."""

from samphirespring.connection.link_pool import LinkPool
from samphirespring.connection.registry_link import PRESENT_HOST
from samphirespring.process.document.relay_tree import Peer
from samphirespring.process.errors import SamphireError
from samphirespring.process.ids import HostId, TargetId
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import Mailbox, ask_always
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.target_table_messages import FindScheduler, TableMessage
from samphirespring.process.targets import HostRecord, TargetRecord
from samphirespring.version.ids import ServiceName

CALL_TIMEOUT_S = 0.5

_log = EventLog()


class HostPresenter:
    """Sends the record of a host with new usable targets to the hosts that select for others.

    A target that is usable again, as after a restart of its node, would otherwise get nothing until
    the registry's changes have come down the tree of relays.

    Args:
        table: Inbox of the own target table, which knows the hosts that select.
        links: Links to these hosts.
    """

    def __init__(self, *, table: Mailbox[TableMessage], links: LinkPool) -> None:
        self._table = table
        self._links = links
        self._usable: frozenset[TargetId] = frozenset()

    def has_news(self, record: HostRecord) -> bool:
        """Return whether a target is usable that wasn't in the record before.

        Args:
            record: The latest record of the own host.
        """
        usable = frozenset(target.target for target in record.targets if _is_usable(target))
        has_news = not usable <= self._usable
        self._usable = usable
        return has_news

    async def present(self, record: HostRecord) -> None:
        """Send a record; a host that can't be reached gets it from the registry.

        Args:
            record: The latest record of the own host.
        """
        for service in sorted({target.service for target in record.targets}):
            peer = await self._find_scheduler(service, excluded=record.locality.host)
            if peer is not None:
                await self._send(record, peer)

    async def _find_scheduler(self, service: ServiceName, *, excluded: HostId) -> Peer | None:
        peer: Peer | None = await ask_always(
            self._table,
            lambda reply: FindScheduler(service=service, excluded=excluded, reply=reply),
        )
        return peer

    async def _send(self, record: HostRecord, peer: Peer) -> None:
        try:
            with self._links.use(peer.link_address) as link:
                await link.call(PRESENT_HOST, record, timeout_s=CALL_TIMEOUT_S)
        except SamphireError as error:
            _log.info(LogEvent.HOST_NOT_PRESENTED, peer=peer.host, code=error.code.value)


def _is_usable(target: TargetRecord) -> bool:
    return (
        target.load.phase is TargetPhase.SERVING
        and target.load.condition is not TargetCondition.UNHEALTHY
    )
