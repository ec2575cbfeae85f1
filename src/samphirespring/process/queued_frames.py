"""Frames of an attempt that are read in the same process."""

from collections.abc import AsyncGenerator, AsyncIterator

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream

from samphirespring.request.frame_sink import FrameSink
from samphirespring.request.messages import FrameBatch

BATCH_BUFFER = 2
"""Batches of one attempt that are buffered for a slow reader."""


class QueuedFrames(FrameSink):
    """Bounded queue of batches between an agent and its reader."""

    def __init__(self) -> None:
        self._send, self._receive = anyio.create_memory_object_stream[FrameBatch](BATCH_BUFFER)

    async def send(self, batch: FrameBatch) -> None:
        """Append a batch; waits while the queue is full."""
        try:
            await self._send.send(batch)
        except anyio.BrokenResourceError:
            # The reader has left: nobody waits for the frames any more.
            return

    def close(self) -> None:
        """End the queue."""
        self._send.close()

    async def iterate(self) -> AsyncGenerator[FrameBatch, None]:
        """Yield the batches; closing the iterator drops the others."""
        async with self._receive:
            async for batch in _iterate(self._receive):
                yield batch


def _iterate(stream: MemoryObjectReceiveStream[FrameBatch]) -> AsyncIterator[FrameBatch]:
    return aiter(stream)
