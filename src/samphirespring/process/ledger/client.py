"""Client of a front for the ledger groups' leaders."""

from collections.abc import Sequence

from samphirespring.connection.ledger_link import (
    PROPOSE_CLAIM,
    READ_CLAIM,
    LedgerCommitUnknown,
    LedgerRedirect,
    LedgerReply,
    LedgerResultReply,
    ProposeClaim,
    ReadClaimState,
)
from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.connection.link_methods import RequestT, UnaryMethod
from samphirespring.connection.link_pool import LinkPool
from samphirespring.process.errors import SamphireError
from samphirespring.process.ledger.action_ledger import ActionLedger, LedgerOutage
from samphirespring.process.ledger.claims import ClaimKey
from samphirespring.process.ledger.commands import LedgerCommand, LedgerResult
from samphirespring.process.ledger.leader_search import LeaderCache, LeaderSearch
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.version.ids import WorkspaceId

CALL_TIMEOUT_S = 1.0
"""Timeout of one control host, on top of the wait that the call requests, in seconds."""

_log = EventLog()


class LedgerClient(ActionLedger):
    """Calls the last known leader of a workspace's group, and searches for a new one on failure.

    Args:
        pool: Links to the control hosts.
        addresses: Link addresses of the control hosts.
    """

    def __init__(self, pool: LinkPool, addresses: Sequence[str]) -> None:
        self._pool = pool
        self._leaders = LeaderCache(addresses)

    async def propose(self, command: LedgerCommand) -> LedgerResult | LedgerOutage:
        """Commit a command and return its result."""
        return await self._call(
            PROPOSE_CLAIM,
            ProposeClaim(command=command),
            workspace=command.key.workspace,
            timeout_s=CALL_TIMEOUT_S,
        )

    async def read(
        self, key: ClaimKey, *, wait_s: float, any_replica: bool
    ) -> LedgerResult | LedgerOutage:
        """Return the state of a claim."""
        request = ReadClaimState(key=key, wait_ms=int(wait_s * 1_000), any_replica=any_replica)
        return await self._call(
            READ_CLAIM,
            request,
            workspace=key.workspace,
            timeout_s=wait_s + CALL_TIMEOUT_S,
        )

    async def _call(
        self,
        method: UnaryMethod[RequestT, LedgerReply],
        request: RequestT,
        *,
        workspace: WorkspaceId,
        timeout_s: float,
    ) -> LedgerResult | LedgerOutage:
        uncertain = False
        search = self._leaders.start_search(workspace)
        while (address := search.choose_next()) is not None:
            reply = await self._call_host(method, request, address=address, timeout_s=timeout_s)
            match reply:
                case LedgerResultReply():
                    self._leaders.record_leader(workspace, address)
                    return reply.result
                case LedgerRedirect():
                    self._apply_redirect(reply, search)
                case LedgerOutage():
                    uncertain = uncertain or reply.uncertain
                    self._leaders.drop_leader(workspace)
        return LedgerOutage(uncertain=uncertain)

    def _apply_redirect(self, reply: LedgerRedirect, search: LeaderSearch) -> None:
        if reply.layout is not None:
            self._leaders.update_layout(reply.layout)
        search.apply_redirect(leader=reply.leader_address, replicas=reply.replica_addresses)

    async def _call_host(
        self,
        method: UnaryMethod[RequestT, LedgerReply],
        request: RequestT,
        *,
        address: str,
        timeout_s: float,
    ) -> LedgerResultReply | LedgerRedirect | LedgerOutage:
        try:
            with self._pool.use(address) as link:
                reply = await link.call(method, request, timeout_s=timeout_s)
        except LinkUnavailableError as error:
            return LedgerOutage(uncertain=error.sent)
        except SamphireError as error:
            _log.warning(LogEvent.LEDGER_CALL_FAILED, address=address, code=error.code.value)
            return LedgerOutage(uncertain=True)
        if isinstance(reply, LedgerCommitUnknown):
            return LedgerOutage(uncertain=True)
        return reply
