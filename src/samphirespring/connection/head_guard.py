"""Size of the head of a request, while it is received."""


class HeadGuard:
    """Measures the head of a request, and what is received beside its body.

    Args:
        limit_bytes: Largest size of the head with the trailers, in bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._size_bytes = 0
        """Size of the complete parts of the head and the trailers, in bytes."""

        self._pending_bytes = 0
        """Bytes of a part that isn't complete."""

        self._uncounted_bytes = 0
        """Bytes of the current feed that belong to no complete part."""

        self._has_progress = False
        self.expects_head = False
        """Whether a head has begun and isn't complete."""

    @property
    def is_exceeded(self) -> bool:
        """Whether the head, the trailers or a part that has no end is too large."""
        return self._size_bytes + self._pending_bytes > self._limit_bytes

    @property
    def size_bytes(self) -> int:
        """Size of the head that isn't complete, in bytes; 0 between two heads."""
        return self._size_bytes + self._pending_bytes if self.expects_head else 0

    @property
    def head_bytes(self) -> int:
        """Size of the complete parts of the latest head and its trailers, in bytes."""
        return self._size_bytes

    def begin_feed(self, size_bytes: int) -> None:
        """Record received bytes before they are parsed.

        Args:
            size_bytes: Number of bytes.
        """
        self._uncounted_bytes = size_bytes
        self._has_progress = False

    def end_feed(self) -> None:
        """Count the received bytes of a part that isn't complete."""
        if self._has_progress:
            self._pending_bytes = 0
        if self.expects_head or not self._has_progress:
            self._pending_bytes += max(0, self._uncounted_bytes)

    def count(self, size_bytes: int) -> None:
        """Count a complete part of the head or a trailer.

        Args:
            size_bytes: Number of bytes.
        """
        self._size_bytes += size_bytes
        self._uncounted_bytes -= size_bytes
        self._has_progress = True

    def count_body(self, size_bytes: int) -> None:
        """Count a part of the body, which has its own limit.

        Args:
            size_bytes: Number of bytes.
        """
        self._uncounted_bytes -= size_bytes
        self._has_progress = True

    def begin_head(self) -> None:
        """Begin a request."""
        self.expects_head = True
        self._has_progress = True
        self._size_bytes = 0
        self._pending_bytes = 0

    def end_head(self) -> None:
        """End the head of the request."""
        self.expects_head = False
        self._has_progress = True
