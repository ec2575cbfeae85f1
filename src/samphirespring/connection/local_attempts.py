"""Sender that runs attempts for the front's own host without a link."""

from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import aclosing, asynccontextmanager

from samphirespring.connection.attempt_link import iterate_frames
from samphirespring.request.attempt_sender import AttemptSender
from samphirespring.request.messages import AttemptFrame, AttemptRequest, FrameBatch


class LocalFirstSender(AttemptSender):
    """Passes attempts for this process's own agent to it directly, and sends all others.

    Args:
        own_address: `IP:port` of this process's link server.
        handle: Runs an attempt on this host and yields its batches of frames.
        remote: Sends the other attempts.
    """

    def __init__(
        self,
        *,
        own_address: str,
        handle: Callable[[AttemptRequest], AsyncGenerator[FrameBatch, None]],
        remote: AttemptSender,
    ) -> None:
        self._own_address = own_address
        self._handle = handle
        self._remote = remote

    @asynccontextmanager
    async def send(
        self, request: AttemptRequest, *, link_address: str
    ) -> AsyncIterator[AsyncIterator[AttemptFrame]]:
        """Send an attempt and yield an iterator over its frames; leaving early cancels it."""
        if link_address == self._own_address:
            async with aclosing(self._handle(request)) as batches:
                yield iterate_frames(batches)
        else:
            async with self._remote.send(request, link_address=link_address) as frames:
                yield frames
