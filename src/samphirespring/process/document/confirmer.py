"""Confirms to nodes which version of the document is the newest, on the leading control host."""

from collections.abc import Sequence

import msgspec

from samphirespring.connection.confirmation_link import ConfirmDocument, DocumentConfirmation
from samphirespring.process.document.service import DocumentService
from samphirespring.process.errors import SamphireError
from samphirespring.process.mailbox import Mailbox, ReplySlot, ask
from samphirespring.process.replication.leader_link import FindLink, find_leader_link
from samphirespring.process.replication.state_machine import NotLeaderError
from samphirespring.process.tasks import OwnerTask, StateDump
from samphirespring.process.timers import TimerService

INBOX_CAPACITY = 20_000
ROUND_INTERVAL_S = 0.3
"""Shortest time between the beginnings of two rounds, in seconds: not much less than between two
heartbeats of a leader, so that rounds take the place of heartbeats and send little of their own."""


class RequestConfirmation(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the newest version as of a time after this message."""

    reply: ReplySlot[DocumentConfirmation]


class DocumentConfirmerDump(StateDump, frozen=True, kw_only=True):
    """State of the confirmer."""

    rounds: int
    """Rounds that were begun since the process started."""

    confirmed: int
    """Requests that were confirmed."""


class DocumentConfirmer(OwnerTask):
    """Owns the requests for confirmations; one heartbeat round serves all that came before it.

    Args:
        documents: Confirms that this replica leads and has applied all commits.
        find_link: Returns the link address of a replica, or None if it isn't known.
        timers: The timer service.
    """

    def __init__(
        self,
        *,
        documents: DocumentService,
        find_link: FindLink,
        timers: TimerService,
    ) -> None:
        self.inbox: Mailbox[RequestConfirmation] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self._documents = documents
        self._find_link = find_link
        self._timers = timers
        self._round_count = 0
        self._confirmed_count = 0

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "document_confirmer"

    async def run(self) -> None:
        """Serve requests until cancelled."""
        while True:
            requests = await self.inbox.receive_all()
            next_at_s = self._timers.read_now_s() + ROUND_INTERVAL_S
            await self._serve_round(requests)
            await self._timers.wait_until(next_at_s)

    async def dump(self) -> DocumentConfirmerDump:
        """Return the state."""
        return DocumentConfirmerDump(rounds=self._round_count, confirmed=self._confirmed_count)

    async def confirm(self, request: ConfirmDocument) -> DocumentConfirmation:
        """Return the newest committed version as of a time after the request was received.

        Args:
            request: The request.

        Raises:
            SamphireError: No quorum confirms that this control host leads.
        """
        try:
            return await ask(self.inbox, lambda reply: RequestConfirmation(reply=reply))
        except NotLeaderError as error:
            link = await find_leader_link(error, self._find_link)
            if link is None:
                raise
            return DocumentConfirmation(leader_link=link)

    async def _serve_round(self, requests: Sequence[RequestConfirmation]) -> None:
        self._round_count += 1
        try:
            stamp = await self._documents.confirm_stamp()
        except SamphireError as error:
            for request in requests:
                request.reply.fail(error)
            return
        self._confirmed_count += len(requests)
        for request in requests:
            request.reply.send(DocumentConfirmation(stamp=stamp, age_s=0.0))
