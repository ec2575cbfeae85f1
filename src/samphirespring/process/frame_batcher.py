"""Batches the frames of one attempt, so that a short response is sent as one message."""

from samphirespring.request.frame_sink import FrameSink
from samphirespring.request.messages import AttemptFrame, FrameBatch, ResponseChunk

BATCH_BYTES = 1 << 16
"""Buffered bytes of the response body from which a batch is sent."""


class FrameBatcher:
    """Sends frames in batches.

    Batching adds no delay for callers, as a front buffers the beginning of a response anyway.

    Args:
        sink: Receives the batches.
    """

    def __init__(self, sink: FrameSink) -> None:
        self._sink = sink
        self._frames: list[AttemptFrame] = []
        self._buffered_bytes = 0
        self.has_sent = False
        """Whether a batch was sent; after that, the attempt can no longer be refused."""

    async def add(self, frame: AttemptFrame) -> None:
        """Buffer a frame, and send the batch if it has reached `BATCH_BYTES`.

        Args:
            frame: The frame.
        """
        self._frames.append(frame)
        if isinstance(frame, ResponseChunk):
            self._buffered_bytes += len(frame.data)
        if self._buffered_bytes >= BATCH_BYTES:
            await self._flush()

    def discard(self) -> None:
        """Drop the buffered frames, because the response isn't passed on."""
        self._frames.clear()
        self._buffered_bytes = 0

    async def finish(self, frame: AttemptFrame) -> None:
        """Buffer the last frame and send the batch.

        Args:
            frame: The last frame.
        """
        self._frames.append(frame)
        await self._flush()

    async def _flush(self) -> None:
        self.has_sent = True
        batch = FrameBatch(frames=tuple(self._frames))
        self._frames.clear()
        self._buffered_bytes = 0
        await self._sink.send(batch)
