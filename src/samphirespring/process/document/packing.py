"""Compression of the texts in commands and snapshots."""

import zlib

from samphirespring.version.parser import DocumentInvalidError

MAX_UNPACKED_BYTES = 16 << 20
"""Largest decompressed text, in bytes."""


def pack_text(text: bytes) -> bytes:
    """Return a text compressed by zlib.

    Args:
        text: The text.
    """
    return zlib.compress(text)


def unpack_text(data: bytes) -> bytes:
    """Return the decompressed text.

    Args:
        data: What `pack_text` returned.

    Raises:
        DocumentInvalidError: The data isn't one complete text within the size limit.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise DocumentInvalidError((f"a packed text can't be read: {error}",)) from None
    if not decompressor.eof:
        raise DocumentInvalidError(("a packed text is cut short or too large",))
    return text
