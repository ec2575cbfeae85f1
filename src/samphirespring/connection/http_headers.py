"""Rules for HTTP headers that the proxy forwards."""

from collections.abc import Collection, Iterable

from samphirespring.request.messages import Header

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that are valid for one connection only (RFC 9110, section 7.6.1)."""

DEADLINE_HEADER = b"samphire-deadline-ms"
"""Remaining time of the request, in milliseconds; from callers and to backend servers."""

ATTEMPT_HEADER = b"samphire-attempt"
"""Attempt id; to backend servers."""

REQUEST_HEADER = b"samphire-request"
OUTCOME_HEADER = b"samphire-outcome"
ATTEMPTS_HEADER = b"samphire-attempts"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"


def select_end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> tuple[Header, ...]:
    """Return the headers that a proxy forwards, with names in lower case.

    Args:
        headers: Headers as received, names in any case.
    """
    pairs = [(name.lower(), value) for name, value in headers]
    named_by_connection = {
        token.strip().lower()
        for name, value in pairs
        if name == b"connection"
        for token in value.split(b",")
    }
    return tuple(
        Header(name, value)
        for name, value in pairs
        if name not in HOP_BY_HOP_HEADERS and name not in named_by_connection
    )


def exclude_headers(
    headers: Iterable[Header], names: Collection[bytes]
) -> list[tuple[bytes, bytes]]:
    """Return headers as pairs, without those with the given names.

    Args:
        headers: Headers with names in lower case.
        names: Names to exclude, in lower case.
    """
    return [(header.name, header.value) for header in headers if header.name not in names]


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, or None.

    Args:
        headers: Headers with names in lower case.
        name: Name in lower case.
    """
    for header in headers:
        if header.name == name:
            return header.value
    return None
