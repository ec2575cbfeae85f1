"""What a front asks for a workspace, and what it is granted."""

import msgspec

from samphirespring.version.ids import WorkspaceId


class WorkspaceAsk(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Credit that a front asks for, for one workspace."""

    workspace: WorkspaceId
    waiting: int
    """Requests that wait for credit."""

    promised: int = 0
    """How many of them were promised credit that is due."""

    ahead: int = 0
    """Credit for requests that are likely to come soon."""

    returned: int = 0
    """Credit that was granted earlier, hasn't ended, and isn't needed."""


class WorkspaceGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Credit that a front is granted, for one workspace."""

    credit: int
    promised: int = 0
    """Requests without credit that are promised the next one, at intervals of the quota's rate.

    Those without either are beyond the quota."""

    wait_ms: int = 0
    """Time until there is more credit, in milliseconds; set if `credit` is below `waiting`."""
