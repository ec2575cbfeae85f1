"""Which services have their requests placed by work, as far as their routes show."""

from collections.abc import Iterable, Mapping, Sequence

from samphirespring.version.document import RoutePolicy
from samphirespring.version.ids import ServiceName
from samphirespring.version.states import PlacementMode

MAX_DEADLINE_AIMS = 2.5
"""Ratio of a route's deadline to its aim up to which a slow target can't be made up for: a second
attempt would come too late."""


def choose_placements(routes: Iterable[RoutePolicy]) -> Mapping[ServiceName, PlacementMode]:
    """Return how the requests of each service are placed.

    They are placed by work if several routes share the service, so that costs may differ, and one
    of them leaves little time beyond its aim.

    Args:
        routes: All routes.
    """
    routes_by_service: dict[ServiceName, list[RoutePolicy]] = {}
    for route in routes:
        for service in route.services:
            routes_by_service.setdefault(service, []).append(route)
    return {service: _choose_placement(found) for service, found in routes_by_service.items()}


def _choose_placement(routes: Sequence[RoutePolicy]) -> PlacementMode:
    is_shared = len(routes) > 1
    if is_shared and any(_is_tight(route) for route in routes):
        return PlacementMode.WORK
    return PlacementMode.SLOTS


def _is_tight(route: RoutePolicy) -> bool:
    return 0 < route.deadline_ms <= MAX_DEADLINE_AIMS * route.aim_ms
