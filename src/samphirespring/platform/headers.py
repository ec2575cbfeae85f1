"""Names of the platform's headers, in lower case."""

REQUEST_ID = b"x-request-id"
"""Id of one attempt of a caller; the response echoes it."""

DEADLINE_MS = b"x-request-deadline"
"""Time remaining for the request, in milliseconds."""

TARGET_ID = b"x-expected-instance"
"""The only target that may run the request."""

CALLER_SERVICE = b"x-caller-service"
"""Service on the host that the request comes from."""

API_KEY = b"x-api-key"
"""Key of the tenant that a caller's request belongs to."""

TENANT = b"x-tenant"
"""Tenant that holds the request's key."""

SEAL = b"x-server-seal"
"""A target's signature of its response."""

NOT_EXECUTED = b"x-not-executed"
"""The target states that it did not and will not run the request."""

BASE_REVISION = b"x-base-version"
"""Revision that a submitted configuration is based on."""
