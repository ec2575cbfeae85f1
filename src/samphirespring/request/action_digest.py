"""Digest that shows whether two requests with the same idempotency key are the same action."""

import hashlib

from samphirespring.request.caller import CallerRequest

DIGEST_BYTES = 16


def compute_digest(request: CallerRequest, body: bytes) -> bytes:
    """Return a hash of the method, the path with query string, and the body.

    Args:
        request: The caller's request.
        body: Its whole body.
    """
    hasher = hashlib.sha256()
    for part in (request.method.encode(), request.target, body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest()[:DIGEST_BYTES]
