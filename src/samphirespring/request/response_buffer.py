"""Buffers the start of a response so that an attempt that is cut off can be retried."""

from samphirespring.process.errors import InternalError
from samphirespring.request.ids import AttemptId
from samphirespring.request.messages import ResponseChunk, ResponseEnd, ResponseHead


class ResponseMismatchError(InternalError):
    """A link delivered a response that belongs to another attempt."""


class ResponseBuffer:
    """Buffers a response until it is complete or larger than the buffer.

    Args:
        capacity: Bytes of the body to buffer.
    """

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._head: ResponseHead | None = None
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._body_length = 0
        self.released = False
        """Whether part of the response was sent to the caller."""

    @property
    def has_head(self) -> bool:
        """Whether the status and headers were received."""
        return self._head is not None

    @property
    def is_full(self) -> bool:
        """Whether the buffered part must be sent to the caller."""
        return self.released or self._buffered_bytes > self._capacity

    def set_head(self, head: ResponseHead, *, expected_attempt: AttemptId) -> None:
        """Store the status and headers.

        Args:
            head: Status and headers.
            expected_attempt: Attempt that the response must belong to.

        Raises:
            ResponseMismatchError: The response belongs to another attempt.
        """
        if head.attempt != expected_attempt:
            raise ResponseMismatchError(f"the response belongs to attempt {head.attempt}")
        self._head = head

    def add_chunk(self, chunk: ResponseChunk) -> None:
        """Append part of the body.

        Args:
            chunk: Part of the body.

        Raises:
            InternalError: The head was not received yet.
        """
        self.read_head()
        self._chunks.append(chunk.data)
        self._buffered_bytes += len(chunk.data)
        self._body_length += len(chunk.data)

    def read_head(self) -> ResponseHead:
        """Return the status and headers."""
        if self._head is None:
            raise InternalError("the response has no head")
        return self._head

    def release(self) -> list[bytes]:
        """Return and drop the buffered body. The attempt can't be retried after this."""
        self.released = True
        chunks = self._chunks
        self._chunks = []
        self._buffered_bytes = 0
        return chunks

    def is_complete(self, end: ResponseEnd) -> bool:
        """Return whether every byte of the response was received.

        Args:
            end: Last frame of the response.
        """
        if self._head is None or end.attempt != self._head.attempt:
            return False
        if end.body_length != self._body_length:
            return False
        declared = self._head.body_length
        return declared is None or declared == self._body_length
