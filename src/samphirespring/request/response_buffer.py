"""Holds back the beginning of an answer, so that a cut one can be retried unseen."""

from samphirespring.process.errors import InternalError
from samphirespring.request.ids import AttemptId
from samphirespring.request.messages import ResponseChunk, ResponseEnd, ResponseHead


class ResponseMismatchError(InternalError):
    """A link brought an answer that belongs to another attempt."""


class ResponseBuffer:
    """Buffers one answer until it is complete or too long to hold.

    Args:
        capacity: Bytes of the body that are held back.
    """

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._head: ResponseHead | None = None
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._body_length = 0
        self.released = False
        """Whether any part has gone to the caller."""

    @property
    def has_head(self) -> bool:
        """Whether status and headers came."""
        return self._head is not None

    @property
    def is_full(self) -> bool:
        """Whether the held part must go to the caller."""
        return self.released or self._held_bytes > self._capacity

    def set_head(self, head: ResponseHead, *, expected_attempt: AttemptId) -> None:
        """Take status and headers.

        Args:
            head: The head.
            expected_attempt: The attempt that this answer must belong to.

        Raises:
            ResponseMismatchError: The answer belongs to another attempt.
        """
        if head.attempt != expected_attempt:
            raise ResponseMismatchError(f"the answer belongs to attempt {head.attempt}")
        self._head = head

    def add_chunk(self, chunk: ResponseChunk) -> None:
        """Take part of the body.

        Args:
            chunk: The part.

        Raises:
            InternalError: The head has not come yet.
        """
        self.read_head()
        self._held.append(chunk.data)
        self._held_bytes += len(chunk.data)
        self._body_length += len(chunk.data)

    def read_head(self) -> ResponseHead:
        """Return status and headers."""
        if self._head is None:
            raise InternalError("answer has no head")
        return self._head

    def release(self) -> list[bytes]:
        """Return the held parts of the body; from now on a retry is impossible."""
        self.released = True
        held = self._held
        self._held = []
        self._held_bytes = 0
        return held

    def is_complete(self, end: ResponseEnd) -> bool:
        """Return whether every byte of the answer came.

        Args:
            end: The agent's end frame.
        """
        if self._head is None or end.attempt != self._head.attempt:
            return False
        if end.body_length != self._body_length:
            return False
        stated = self._head.body_length
        return stated is None or stated == self._body_length
