"""Whether callers should use a node."""

from collections.abc import Callable


class NodeReadiness:
    """Ready from the first document and target table on, until the node begins to stop.

    Args:
        has_document: Returns whether a document is in force.
        has_table: Returns whether the target table has come.
    """

    def __init__(self, *, has_document: Callable[[], bool], has_table: Callable[[], bool]) -> None:
        self._has_document = has_document
        self._has_table = has_table
        self._is_leaving = False

    @property
    def is_ready(self) -> bool:
        """Whether the node can serve requests now and for a while."""
        return not self._is_leaving and self._has_document() and self._has_table()

    def mark_stopping(self) -> None:
        """Note that the node begins to stop."""
        self._is_leaving = True
