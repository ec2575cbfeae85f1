"""The way back to the caller of an action, who may leave before its end."""

from collections.abc import Sequence

from samphirespring.process.response_capture import ResponseCapture
from samphirespring.request.caller import AnswerFacts, AnswerWriter
from samphirespring.request.messages import Header


class ActionWriter(AnswerWriter):
    """Captures the answer for the ledger and passes it on while the caller is there.

    Args:
        writer: Takes the answer.
    """

    def __init__(self, writer: AnswerWriter) -> None:
        self._writer = writer
        self._caller_left = False
        self.capture = ResponseCapture()

    def leave(self) -> None:
        """Write nothing to the caller any more."""
        self._caller_left = True

    async def write_head(self, status: int, headers: Sequence[Header], facts: AnswerFacts) -> None:
        """Write status and headers."""
        self.capture.add_head(status, headers)
        if not self._caller_left:
            await self._writer.write_head(status, headers, facts)

    async def write_chunk(self, data: bytes) -> None:
        """Write part of the body."""
        self.capture.add_chunk(data)
        if not self._caller_left:
            await self._writer.write_chunk(data)

    async def finish(self) -> None:
        """End the answer; it is complete."""
        if not self._caller_left:
            await self._writer.finish()

    async def abort(self) -> None:
        """Break the connection, so that the caller sees that the answer is cut."""
        if not self._caller_left:
            await self._writer.abort()
