"""Bearer tokens of HTTP requests."""

from starlette.requests import Request

SCHEME = "bearer"


def read_token(request: Request) -> str | None:
    """Return the bearer token of a request, or None.

    Args:
        request: The request.
    """
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != SCHEME or not token.strip():
        return None
    return token.strip()
