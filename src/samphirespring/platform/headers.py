"""Names of the platform's headers, in lower case."""

REQUEST_ID = b"x-request-id"
"""Id of one attempt of a client; its answer echoes it."""

DEADLINE_MS = b"x-request-deadline"
"""Time left for the request, in milliseconds."""

TARGET_ID = b"x-expected-instance"
"""The only target that may run the request."""

CALLER_SERVICE = b"x-caller-service"
"""Service of the host where the request began."""

SEAL = b"x-server-seal"
"""A target's signature under its answer."""

NOT_EXECUTED = b"x-not-executed"
"""The target states that it did not and will not run the request."""

BASE_REVISION = b"x-base-version"
"""Revision that a submitted configuration was made from."""
