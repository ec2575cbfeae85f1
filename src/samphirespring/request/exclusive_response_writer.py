"""Writes the response of exactly one attempt of a request to the caller."""

from collections.abc import Callable, Sequence

from samphirespring.request.caller import ResponseMetadata, ResponseWriter
from samphirespring.request.ids import AttemptId, RequestId
from samphirespring.request.response_buffer import ResponseBuffer
from samphirespring.request.states import Outcome

REFUSAL_STATUSES = frozenset({429, 503})
"""Statuses with which a backend server may refuse a request."""


class ExclusiveResponseWriter:
    """Lets only the first attempt that claims the response write it.

    Args:
        writer: Writes the response to the caller.
        request: ID of the request.
        on_claim: Called once, with the attempt that claims the response.
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
        """Number of attempts so far, as reported to the caller."""

    @property
    def owner(self) -> AttemptId | None:
        """The attempt that claimed the response; None if no attempt did."""
        return self._owner

    def claim(self, attempt: AttemptId) -> bool:
        """Claim the response for an attempt and return whether the attempt may write it.

        Args:
            attempt: An attempt that has a response.
        """
        if self._owner is None:
            self._owner = attempt
            if self._on_claim is not None:
                self._on_claim(attempt)
        return self._owner == attempt

    async def write_head(self, buffer: ResponseBuffer) -> None:
        """Write the status and headers of the owner's response.

        Args:
            buffer: Buffer of the response.
        """
        head = buffer.read_head()
        # A refusal without a typed reason doesn't show whether the request ran.
        outcome = Outcome.UNKNOWN if head.status in REFUSAL_STATUSES else Outcome.RAN
        metadata = ResponseMetadata(
            request=self._request, outcome=outcome, attempt_count=self.attempt_count
        )
        await self._writer.write_head(head.status, head.headers, metadata)

    async def write_body(self, parts: Sequence[bytes]) -> None:
        """Write parts of the body of the owner's response.

        Args:
            parts: Parts of the body, in order.
        """
        for data in parts:
            await self._writer.write_chunk(data)

    async def finish(self) -> None:
        """End the response after its last chunk."""
        await self._writer.finish()
