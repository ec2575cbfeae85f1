"""Writes the response of an action, whose caller may disconnect before the action ends."""

from collections.abc import Sequence

from samphirespring.process.response_capture import ResponseCapture
from samphirespring.request.caller import ResponseMetadata, ResponseWriter
from samphirespring.request.messages import Header


class ActionWriter(ResponseWriter):
    """Captures the response for the ledger, and forwards it until the caller disconnects.

    Args:
        writer: Writes the response to the caller.
    """

    def __init__(self, writer: ResponseWriter) -> None:
        self._writer = writer
        self._caller_detached = False
        self.capture = ResponseCapture()

    def detach_caller(self) -> None:
        """Stop writing to the caller, which has disconnected."""
        self._caller_detached = True

    async def write_head(
        self, status: int, headers: Sequence[Header], metadata: ResponseMetadata
    ) -> None:
        """Write the status and the headers."""
        self.capture.add_head(status, headers)
        if not self._caller_detached:
            await self._writer.write_head(status, headers, metadata)

    async def write_chunk(self, data: bytes) -> None:
        """Write part of the body."""
        self.capture.add_chunk(data)
        if not self._caller_detached:
            await self._writer.write_chunk(data)

    async def finish(self) -> None:
        """End the response after its last chunk."""
        if not self._caller_detached:
            await self._writer.finish()

    async def abort(self) -> None:
        """Abort the connection so that the caller detects an incomplete response."""
        if not self._caller_detached:
            await self._writer.abort()
