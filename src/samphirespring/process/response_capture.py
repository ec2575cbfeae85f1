"""Copies an action's response while it is forwarded, so that the ledger can store it."""

from collections.abc import Sequence

from samphirespring.process.ledger.claims import MAX_STORED_RESPONSE_BYTES, StoredResponse
from samphirespring.request.messages import Header


class ResponseCapture:
    """Collects one response, and discards it once it is too large to store."""

    def __init__(self) -> None:
        self._status = 0
        self._headers: tuple[Header, ...] = ()
        self._parts: list[bytes] = []
        self._size = 0

    @property
    def status(self) -> int:
        """Status of the response; 0 before its head."""
        return self._status

    def add_head(self, status: int, headers: Sequence[Header]) -> None:
        """Add status and headers.

        Args:
            status: Status of the response.
            headers: The backend server's headers.
        """
        self._status = status
        self._headers = tuple(headers)
        self._size += sum(len(header.name) + len(header.value) for header in headers)

    def add_chunk(self, data: bytes) -> None:
        """Add part of the body.

        Args:
            data: The bytes.
        """
        self._size += len(data)
        if self._size <= MAX_STORED_RESPONSE_BYTES:
            self._parts.append(data)
        else:
            self._parts.clear()

    def make_response(self) -> StoredResponse | None:
        """Return the complete response, or None if it is too large to store."""
        if self._size > MAX_STORED_RESPONSE_BYTES:
            return None
        return StoredResponse(
            status=self._status, headers=self._headers, body=b"".join(self._parts)
        )
