"""Answers for a replica whose disk has failed: it neither votes nor leads."""

from samphirespring.process.replication.group_inbox import GroupInbox
from samphirespring.process.replication.group_messages import (
    ChangeMembership,
    ConfirmLead,
    GroupInput,
    ProposePayload,
    ReadMachine,
    ReadStatus,
    TransferLead,
)
from samphirespring.process.replication.group_status import GroupStatus
from samphirespring.process.replication.state_machine import NotLeaderError


async def serve_outage(inbox: GroupInbox, status: GroupStatus) -> None:
    """Answer questions until cancelled; messages of peers are dropped.

    Args:
        inbox: Inbox of the group's task.
        status: What an operator sees.
    """
    while True:
        for message in await inbox.receive_batch():
            _answer(message, status)


def _answer(message: GroupInput, status: GroupStatus) -> None:
    refusal = NotLeaderError(f"the disk has failed: {status.disk_error}")
    match message:
        case ReadStatus(reply=reply):
            reply.send(status)
        case ReadMachine(view=view, reply=reply):
            reply.send(view())
        case ProposePayload(reply=reply):
            reply.fail(refusal)
        case ConfirmLead(reply=lead_reply):
            lead_reply.fail(refusal)
        case ChangeMembership(reply=change_reply):
            change_reply.fail(refusal)
        case TransferLead(reply=transfer_reply):
            transfer_reply.fail(refusal)
