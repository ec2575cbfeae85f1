"""Operations on a node that operators request through the control hosts."""

from collections.abc import Sequence

import msgspec

from samphirespring.connection.operation_link import (
    DrainReceipt,
    DrainRequest,
    DumpReply,
    DumpRequest,
)
from samphirespring.process.agent.agent_messages import AgentMessage, SetDrain
from samphirespring.process.dump import collect_dump, read_dump_page
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.logs.log_events import LogEvent
from samphirespring.process.mailbox import Mailbox, ask
from samphirespring.process.tasks import OwnerTask

_log = EventLog()


class NodeOperations:
    """Serves the operations of a node, which control hosts call through `NodeOperationsClient`.

    Args:
        agent: Inbox of the agent.
        tasks: The tasks whose state is in the dump.
    """

    def __init__(self, *, agent: Mailbox[AgentMessage], tasks: Sequence[OwnerTask]) -> None:
        self._agent = agent
        self._tasks = tasks

    async def set_drain(self, request: DrainRequest) -> DrainReceipt:
        """Start or end a drain.

        Args:
            request: The target or host to drain.
        """
        known: bool = await ask(
            self._agent,
            lambda reply: SetDrain(target=request.target, draining=request.draining, reply=reply),
        )
        _log.info(LogEvent.DRAIN_SET, target=request.target, draining=request.draining, known=known)
        return DrainReceipt(known=known)

    async def read_dump(self, request: DumpRequest) -> DumpReply:
        """Return the dump of the process, or one page of a list in it.

        Args:
            request: The request.

        Raises:
            ListUnknownError: The process has no such list.
        """
        if request.page is not None:
            page = await read_dump_page(self._tasks, request.page)
            return DumpReply(text=msgspec.json.encode(page))
        return DumpReply(text=msgspec.json.encode(await collect_dump(self._tasks)))
