"""Flow control of a connection on which requests are sent ahead."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from uvicorn.protocols.http.flow_control import FlowControl


class PipelineFlow(FlowControl):
    """Stops reading once enough was sent ahead, and while the process holds too much.

    A connection that isn't read doesn't tell that its client has gone, so some may wait.

    Args:
        transport: The transport of the connection.
        is_full: Returns whether enough waits.
    """

    def __init__(self, transport: asyncio.Transport, *, is_full: Callable[[], bool]) -> None:
        super().__init__(transport)
        self._is_full = is_full
        self._is_queueing = False
        self._is_held = False
        self._was_paused = False
        """Whether reading was paused for another reason when `hold` was called."""

    @contextmanager
    def queueing(self) -> Iterator[None]:
        """Treat pauses inside the context as caused by a request that is queued."""
        self._is_queueing = True
        try:
            yield
        finally:
            self._is_queueing = False

    def hold(self) -> None:
        """Stop reading until `unhold`, whatever the requests need."""
        if self._is_held:
            return
        self._was_paused = self.read_paused
        super().pause_reading()
        self._is_held = True

    def unhold(self) -> None:
        """Read on as the requests need it."""
        self._is_held = False
        if not self._was_paused:
            self.resume_reading()

    def detach(self) -> None:
        """Forget the connection, which has ended."""
        self._is_full = _is_never_full

    def pause_reading(self) -> None:
        """Stop reading, unless more requests may be queued."""
        if not self._is_queueing or self._is_full():
            super().pause_reading()

    def resume_reading(self) -> None:
        """Read on, unless enough waits or the connection is held."""
        if self._is_held:
            self._was_paused = False
        elif not self._is_full():
            super().resume_reading()


def _is_never_full() -> bool:
    return False
