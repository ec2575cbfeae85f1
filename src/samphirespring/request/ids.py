"""Identifiers of a request and its attempts."""

import secrets
from typing import NewType

ATTEMPT_ID_BYTES = 8
"""Random bytes in an attempt ID, which is sent over links three times per attempt."""

RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
IdempotencyKey = NewType("IdempotencyKey", str)


def make_attempt_id() -> AttemptId:
    """Return a new random attempt ID."""
    return AttemptId(secrets.token_hex(ATTEMPT_ID_BYTES))
