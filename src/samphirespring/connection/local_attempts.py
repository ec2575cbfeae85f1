"""Sender that runs attempts for the front's own host without a link."""

from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager

from samphirespring.connection.attempt_link import iterate_frames
from samphirespring.process.queued_frames import QueuedFrames
from samphirespring.request.attempt_sender import AttemptSender
from samphirespring.request.attempt_starter import AttemptStarter
from samphirespring.request.body import RequestBody
from samphirespring.request.messages import AttemptFrame, AttemptRequest


class LocalFirstSender(AttemptSender):
    """Passes attempts for this process's own agent to it directly, and sends all others.

    Args:
        own_address: `IP:port` of this process's link server.
        starter: Starts attempts on this host.
        remote: Sends the other attempts.
    """

    def __init__(
        self,
        *,
        own_address: str,
        starter: AttemptStarter,
        remote: AttemptSender,
    ) -> None:
        self._own_address = own_address
        self._starter = starter
        self._remote = remote

    @asynccontextmanager
    async def send(
        self, request: AttemptRequest, *, body: RequestBody, link_address: str
    ) -> AsyncIterator[AsyncIterator[AttemptFrame]]:
        """Send an attempt and yield an iterator over its frames; leaving early cancels it."""
        if link_address == self._own_address:
            queue = QueuedFrames()
            rest = body if request.body_follows else None
            handle = self._starter.start(request, body=rest, sink=queue)
            try:
                async with aclosing(queue.iterate()) as batches:
                    yield iterate_frames(batches)
            finally:
                handle.cancel()
        else:
            async with self._remote.send(request, body=body, link_address=link_address) as frames:
                yield frames
