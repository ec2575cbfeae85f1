"""Gathers the frames of one attempt, so that a short answer travels as one message."""

from contextlib import suppress

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from samphirespring.request.messages import AttemptFrame, FrameBatch, ResponseChunk

BATCH_BYTES = 1 << 16
"""Bytes of the answer's body that are gathered before they are sent."""


class FrameBatcher:
    """Sends frames in batches; after the receiver has left, frames are dropped.

    A front holds the beginning of an answer back anyway, so callers see no delay from it.

    Args:
        stream: Takes the batches.
    """

    def __init__(self, stream: MemoryObjectSendStream[FrameBatch]) -> None:
        self._stream = stream
        self._frames: list[AttemptFrame] = []
        self._held_bytes = 0
        self.has_sent = False
        """Whether any frame went out; what did can't be replaced by a refusal."""

    async def add(self, frame: AttemptFrame) -> None:
        """Take a frame, and send what is held if it is enough.

        Args:
            frame: The frame.
        """
        self._frames.append(frame)
        if isinstance(frame, ResponseChunk):
            self._held_bytes += len(frame.data)
        if self._held_bytes >= BATCH_BYTES:
            await self._send_held()

    def discard(self) -> None:
        """Drop the frames that are held, because the answer isn't passed on."""
        self._frames.clear()
        self._held_bytes = 0

    async def finish(self, frame: AttemptFrame) -> None:
        """Take the last frame, and send what is held.

        Args:
            frame: The frame.
        """
        self._frames.append(frame)
        await self._send_held()

    async def _send_held(self) -> None:
        self.has_sent = True
        batch = FrameBatch(frames=tuple(self._frames))
        self._frames.clear()
        self._held_bytes = 0
        with suppress(anyio.BrokenResourceError):
            await self._stream.send(batch)
