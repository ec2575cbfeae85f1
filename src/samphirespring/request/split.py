"""Shares of requests among the services of one route."""

import random

GOLDEN_STEP = 0.6180339887498949
"""Fraction of the golden ratio: its multiples, without their whole parts, are evenly spread."""


class SplitSequence:
    """Gives positions that are evenly spread over 0.0 to 1.0 for each route.

    After n requests each service has its share but for a few requests, which random draws reach
    only with many more. Each front starts anywhere, so that fronts with few requests don't all
    begin with the same service.

    Args:
        generator: Source of random numbers.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._positions: dict[str, float] = {}

    def draw(self, route: str) -> float:
        """Return the position of the route's next request, from 0.0 to below 1.0.

        Args:
            route: Name of the route, unique in the document.
        """
        position = self._positions.get(route)
        if position is None:
            position = self._generator.random()
        self._positions[route] = (position + GOLDEN_STEP) % 1.0
        return position
