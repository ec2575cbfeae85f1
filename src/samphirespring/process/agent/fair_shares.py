"""Fair order among workspaces whose attempts wait for the slots of one target."""

from samphirespring.version.ids import WorkspaceId


class FairShares:
    """Weighted fair queueing: each start moves the workspace behind those with fewer starts.

    A workspace that had no attempts for a while begins level with the others, neither ahead of them
    nor behind.
    """

    def __init__(self) -> None:
        self._now = 0.0
        """Virtual time: the position of the latest start."""

        self._next: dict[WorkspaceId, float] = {}
        """Positions of the next starts; a workspace without one is at the virtual time."""

    def read_position(self, workspace: WorkspaceId) -> float:
        """Return the position of a workspace.

        Args:
            workspace: The workspace.
        """
        return max(self._now, self._next.get(workspace, 0.0))

    def record_start(self, workspace: WorkspaceId, *, weight: float = 1.0) -> None:
        """Count the start of an attempt.

        Args:
            workspace: Its workspace.
            weight: How many shares the workspace has.
        """
        position = self.read_position(workspace)
        self._now = position
        self._next = {name: next_ for name, next_ in self._next.items() if next_ > position}
        self._next[workspace] = position + 1.0 / weight
