"""RPC method that runs an attempt on an agent, and the front's sender for it."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from samphirespring.connection.link_methods import StreamMethod
from samphirespring.connection.link_pool import LinkPool
from samphirespring.request.attempt_sender import AttemptSender
from samphirespring.request.body import RequestBody
from samphirespring.request.messages import AttemptFrame, AttemptRequest, FrameBatch

RUN_ATTEMPT: StreamMethod[AttemptRequest, FrameBatch] = StreamMethod(
    path="/samphire.Agent/RunAttempt", request_type=AttemptRequest, reply_type=FrameBatch
)


class LinkAttemptSender(AttemptSender):
    """Sends attempts over links, each on a stream of its own.

    Agents of versions without `RUN_ATTEMPTS` accept attempts only in this way.

    Args:
        pool: Links to the agents.
    """

    def __init__(self, pool: LinkPool) -> None:
        self._pool = pool

    @asynccontextmanager
    async def send(
        self, request: AttemptRequest, *, body: RequestBody, link_address: str
    ) -> AsyncIterator[AsyncIterator[AttemptFrame]]:
        """Send an attempt and yield an iterator over its frames; leaving early cancels it."""
        if request.body_follows:
            data = await body.read_whole()
            request = msgspec.structs.replace(request, body=data, body_follows=False)
        with self._pool.use(link_address) as link:
            async with link.open_stream(RUN_ATTEMPT, request) as batches:
                yield iterate_frames(batches)


async def iterate_frames(batches: AsyncIterator[FrameBatch]) -> AsyncIterator[AttemptFrame]:
    """Yield the frames of all batches, one by one.

    Args:
        batches: Batches of frames.
    """
    async for batch in batches:
        for frame in batch.frames:
            yield frame
