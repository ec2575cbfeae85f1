"""Turns in which connections parse what takes long, so that others are served in between."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque


class Parser(ABC):
    """A connection that has something to parse."""

    @abstractmethod
    def take_turn(self) -> None:
        """Parse a part of it."""


class ParseTurns:
    """Gives one connection its turn in each iteration of the event loop, in the order of asking.

    Very small chunks or headers take far more time than their number of bytes tells. If all
    connections that are ready parsed what they received in one iteration, an ordinary request,
    which needs many iterations, would wait for as many times that of the whole crowd.
    """

    def __init__(self) -> None:
        self._waiting: deque[Parser] = deque()

    def request(self, parser: Parser) -> None:
        """Give a connection a turn.

        Args:
            parser: The connection.
        """
        if not self._waiting:
            self._schedule()
        self._waiting.append(parser)

    def _schedule(self) -> None:
        asyncio.get_running_loop().call_soon(self._give_turn)

    def _give_turn(self) -> None:
        self._waiting[0].take_turn()
        self._waiting.popleft()
        if self._waiting:
            self._schedule()
