"""Kind of a request, by what is known of its cost before it runs."""

from samphirespring.process.ids import WorkKind
from samphirespring.version.routes import Route
from samphirespring.version.states import PlacementMode

KNOWN_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
"""Methods that are told apart; callers could make up any number of others."""

CLASS_BITS = 4
"""Bits by which the lengths of bodies of one class may differ."""


def make_work_kind(route: Route, *, method: str, body_bytes: int | None) -> WorkKind | None:
    """Return the kind of a request: its route, its method and the class of its body's length.

    It is None for services that don't place requests by work, so that no message carries it.

    Args:
        route: Route of the request.
        method: The request's method.
        body_bytes: Length of its body; None if it isn't known.
    """
    if route.service.placement is not PlacementMode.WORK:
        return None
    policy = route.policy
    known_method = method if method in KNOWN_METHODS else "other"
    length = "?" if body_bytes is None else str(-(-body_bytes.bit_length() // CLASS_BITS))
    return WorkKind(f"{known_method} {policy.host}{policy.path_prefix} {length}")
