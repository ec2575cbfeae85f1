"""The way back to the caller, which exactly one attempt of a request may use."""

from collections.abc import Callable, Sequence

from samphirespring.request.caller import ResponseMetadata, ResponseWriter
from samphirespring.request.ids import AttemptId, RequestId
from samphirespring.request.response_buffer import ResponseBuffer
from samphirespring.request.states import Outcome

REFUSAL_STATUSES = frozenset({429, 503})
"""Statuses by which a backend server may refuse a request."""


class ExclusiveResponseWriter:
    """Lets the first attempt that asks write its answer, and no other.

    Args:
        writer: Takes the answer.
        request: The request.
        on_claim: Called once with the attempt that writes.
    """

    def __init__(
        self,
        writer: ResponseWriter,
        *,
        request: RequestId,
        on_claim: Callable[[AttemptId], None] | None = None,
    ) -> None:
        self._writer = writer
        self._request = request
        self._on_claim = on_claim
        self._owner: AttemptId | None = None
        self.attempt_count = 0
        """Attempts made so far, which the caller is told."""

    @property
    def owner(self) -> AttemptId | None:
        """The attempt whose answer the caller gets; None while nothing was written."""
        return self._owner

    def claim(self, attempt: AttemptId) -> bool:
        """Return whether an attempt may write; from now on no other one may.

        Args:
            attempt: The attempt that has an answer.
        """
        if self._owner is None:
            self._owner = attempt
            if self._on_claim is not None:
                self._on_claim(attempt)
        return self._owner == attempt

    async def write_head(self, buffer: ResponseBuffer) -> None:
        """Write status and headers of the owner's answer.

        Args:
            buffer: Holds the answer.
        """
        head = buffer.read_head()
        # An untyped refusal doesn't say whether the backend server ran the request.
        outcome = Outcome.UNKNOWN if head.status in REFUSAL_STATUSES else Outcome.RAN
        metadata = ResponseMetadata(
            request=self._request, outcome=outcome, attempt_count=self.attempt_count
        )
        await self._writer.write_head(head.status, head.headers, metadata)

    async def write_body(self, parts: Sequence[bytes]) -> None:
        """Write parts of the body of the owner's answer.

        Args:
            parts: The parts.
        """
        for data in parts:
            await self._writer.write_chunk(data)

    async def finish(self) -> None:
        """End the answer; it is complete."""
        await self._writer.finish()
