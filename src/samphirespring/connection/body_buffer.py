"""Parts of a body, joined as far as it saves memory."""

PART_BYTES = 16_384
"""Size from which a part is kept as it is. One growing buffer would be moved again and again, and
leave holes in the memory; a list of very small parts would take far more than their bytes."""


class BodyBuffer:
    """Keeps the parts of a body in their order."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._tail = bytearray()
        """Small parts behind the others."""

    def add(self, part: bytes) -> None:
        """Append a part.

        Args:
            part: The part.
        """
        if not self._tail and len(part) >= PART_BYTES:
            self._parts.append(part)
            return
        self._tail += part
        if len(self._tail) >= PART_BYTES:
            self._parts.append(bytes(self._tail))
            self._tail = bytearray()

    def join(self) -> bytes:
        """Return the whole body."""
        if not self._tail and len(self._parts) == 1:
            return self._parts[0]
        return b"".join((*self._parts, self._tail))
