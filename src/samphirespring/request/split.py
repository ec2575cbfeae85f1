"""Splits the requests of a route among several services."""

import random

GOLDEN_STEP = 0.6180339887498949
"""Fractional part of the golden ratio; the fractional parts of its multiples are evenly spread."""


class SplitSequence:
    """Generates positions for each route that are evenly spread over 0.0 to 1.0.

    After any number of requests, each service is within a few requests of its share; random draws
    get that close only after many more requests. Each front starts at a random position, so that
    fronts with few requests don't all start with the same service.

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
