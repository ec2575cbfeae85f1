"""Identifiers of one request and of its attempts."""

import secrets
from typing import NewType

ATTEMPT_ID_BYTES = 8
"""Random bytes of an attempt's id, which goes over the links three times for each attempt."""

RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
IdempotencyKey = NewType("IdempotencyKey", str)


def make_attempt_id() -> AttemptId:
    """Return an id that no other attempt has."""
    return AttemptId(secrets.token_hex(ATTEMPT_ID_BYTES))
