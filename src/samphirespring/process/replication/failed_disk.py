"""Replies to requests while the replica's disk has failed; it then neither votes nor leads."""

from samphirespring.process.replication.group_inbox import GroupInbox
from samphirespring.process.replication.group_messages import (
    ChangeMembership,
    ConfirmLeadership,
    Depart,
    GroupInput,
    ProposePayload,
    ReadStateMachine,
    ReadStatus,
    TransferLeadership,
)
from samphirespring.process.replication.group_status import GroupStatus
from samphirespring.process.replication.state_machine import NotLeaderError


async def serve_failed_disk(inbox: GroupInbox, status: GroupStatus) -> None:
    """Reply to requests until cancelled; messages of peers are dropped.

    Args:
        inbox: Inbox of the group's task.
        status: Status shown to operators.
    """
    while True:
        for message in await inbox.receive_batch():
            _reply(message, status)


def _reply(message: GroupInput, status: GroupStatus) -> None:
    error = NotLeaderError(f"the disk has failed: {status.disk_error}")
    match message:
        case ReadStatus(reply=reply):
            reply.send(status)
        case ReadStateMachine(view=view, reply=reply):
            reply.send(view())
        case ProposePayload(reply=reply):
            reply.fail(error)
        case ConfirmLeadership(reply=leadership_reply):
            leadership_reply.fail(error)
        case ChangeMembership(reply=change_reply):
            change_reply.fail(error)
        case TransferLeadership(reply=transfer_reply):
            transfer_reply.fail(error)
        case Depart(reply=departure_reply):
            departure_reply.send(True)
