"""Ends the requests that a stopping node can't complete."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from samphirespring.request.errors import NodeStoppingError
from samphirespring.request.exchange import STOP_RETRY_AFTER_S


class EndingRequests:
    """Holds a cancel scope for each request in flight, until all of them are ended at once."""

    def __init__(self) -> None:
        self._scopes: set[anyio.CancelScope] = set()
        self._has_ended = False

    def check_open(self) -> None:
        """Raise an error if the requests were ended: another one must not start.

        Raises:
            NodeStoppingError: The requests were ended.
        """
        if self._has_ended:
            raise NodeStoppingError("the node stops", retry_after_s=STOP_RETRY_AFTER_S)

    @contextmanager
    def track(self) -> Iterator[anyio.CancelScope]:
        """Yield a scope for one request, which is cancelled when the requests are ended."""
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    def end_all(self) -> None:
        """End the requests in flight, and let no other one start."""
        self._has_ended = True
        for scope in self._scopes:
            scope.cancel()
