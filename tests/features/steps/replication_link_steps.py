import os

import anyio
from behave import given, then, when

from samphirespring.connection.link_server import UploadHandler, serve_link
from samphirespring.connection.replication_link import (
    SEND_REPLICATION,
    ReplicationEnd,
    ReplicationEnvelope,
)
from samphirespring.process.ids import GroupId, LogIndex, MemberId, ReplicaId, Term
from samphirespring.process.metrics.metrics import NullMetrics
from samphirespring.process.replication import messages
from samphirespring.process.replication.entries import LogPosition, Member, Membership, SnapshotMark
from samphirespring.process.replication.peer_sender import PeerSender
from samphirespring.process.timers import MonotonicTimerService

PORT = 20_950 + int(os.environ.get("SAMPHIRE_PORT_OFFSET", "0"))
TIMEOUT_S = 5.0
TERM = Term(3)
POSITION = LogPosition(index=LogIndex(7), term=TERM)
MEMBER = Member(member=MemberId("m-1"), replica=ReplicaId("r-1"), link_address="127.0.0.1:1")
MARK = SnapshotMark(
    index=POSITION.index, term=TERM, membership=Membership(), size_bytes=0, checksum=0
)
MESSAGES = {
    "a pre-vote reply": messages.PreVoteReply(term=TERM, request_term=TERM, granted=True),
    "a vote reply": messages.VoteReply(term=TERM, granted=True),
    "a heartbeat reply": messages.HeartbeatReply(
        term=TERM, sent_at_s=1.0, match_index=POSITION.index
    ),
    "an append reply": messages.AppendReply(term=TERM, match_index=POSITION.index, sent_at_s=1.0),
    "an announcement reply": messages.AnnouncementReply(
        requester=MEMBER.member, member=MEMBER, formed=True
    ),
    "a departure reply": messages.DepartureReply(may_stop=True),
    "a heartbeat": messages.Heartbeat(term=TERM, sent_at_s=1.0, commit_index=POSITION.index),
    "an append request": messages.AppendRequest(
        term=TERM, previous=POSITION, entries=(), commit_index=POSITION.index, sent_at_s=1.0
    ),
    "a snapshot chunk": messages.SnapshotChunk(
        term=TERM, mark=MARK, offset=0, data=b"", sent_at_s=1.0
    ),
    "a pre-vote request": messages.PreVoteRequest(term=TERM, last=POSITION),
    "a vote request": messages.VoteRequest(term=TERM, last=POSITION),
    "an announcement": messages.Announcement(member=MEMBER),
}


class SteppedTimers(MonotonicTimerService):
    """Clock of the test that can be put forward."""

    offset_s = 0.0

    def read_now_s(self):
        return super().read_now_s() + self.offset_s


class SilentPeer:
    """Receives batches, and keeps the messages of each link."""

    def __init__(self):
        self.links = []

    async def receive(self, batches):
        received = []
        self.links.append(received)
        async for batch in batches:
            received.extend(envelope.message for envelope in batch.envelopes)
        return ReplicationEnd()

    async def wait_for(self, count):
        """Wait until a number of messages have arrived on all links together."""
        with anyio.fail_after(TIMEOUT_S):
            while sum(len(link) for link in self.links) < count:
                await anyio.sleep(0.01)


@given("a peer that receives replication messages and sends none")
def step_peer(context):
    context.peer = SilentPeer()


@when("a replica sends it {message}, and requests a pre-vote {silence:d} s later")
def step_send(context, message, silence):
    timers = SteppedTimers()
    address = f"127.0.0.1:{PORT}"
    sender = PeerSender(
        address=address,
        own_address="127.0.0.1:1",
        timers=timers,
        metrics=NullMetrics(),
        tls=None,
    )

    def post(posted):
        sender.post(
            ReplicationEnvelope(
                group=GroupId("lines-0"),
                lineage=None,
                sender=MEMBER.member,
                receiver=None,
                message=posted,
            )
        )

    async def main():
        handlers = [UploadHandler(SEND_REPLICATION, context.peer.receive)]
        async with serve_link(handlers, address=address), anyio.create_task_group() as group:
            group.start_soon(sender.run)
            post(MESSAGES[message])
            await context.peer.wait_for(1)
            timers.offset_s = float(silence)
            with anyio.move_on_after(TIMEOUT_S):
                while sum(len(link) for link in context.peer.links) < 2:
                    # A replica repeats its request until it gets a reply.
                    post(MESSAGES["a pre-vote request"])
                    await anyio.sleep(0.5)
            group.cancel_scope.cancel()

    anyio.run(main)


@then("the peer receives both messages on one link")
def step_check_one_link(context):
    assert len(context.peer.links) == 1, context.peer.links
    assert len(context.peer.links[0]) == 2, context.peer.links


@then("the peer receives the next request on a new link")
def step_check_new_link(context):
    assert len(context.peer.links) == 2, context.peer.links
    assert [len(link) for link in context.peer.links] == [1, 1], context.peer.links
