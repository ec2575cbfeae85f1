"""Readiness of a node for the requests of callers."""

from collections.abc import Callable


class NodeReadiness:
    """Ready once the node has a document and a target table, until it begins to stop.

    Args:
        has_document: Returns whether a document is in force.
        has_table: Returns whether the target table has been received.
    """

    def __init__(self, *, has_document: Callable[[], bool], has_table: Callable[[], bool]) -> None:
        self._has_document = has_document
        self._has_table = has_table
        self._is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether the node can serve requests and isn't stopping."""
        return not self._is_stopping and self._has_document() and self._has_table()

    def mark_stopping(self) -> None:
        """Record that the node begins to stop."""
        self._is_stopping = True
