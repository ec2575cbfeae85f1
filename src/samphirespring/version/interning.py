"""Interning of equal policy values, which keeps the memory of many routes small."""

import sys
from collections.abc import Hashable
from typing import TypeVar

import msgspec

from samphirespring.version.document import RoutePolicy, WorkspacePolicy
from samphirespring.version.ids import ServiceName

ValueT = TypeVar("ValueT", bound=Hashable)


class PolicyInterner:
    """Returns the same object for equal values."""

    def __init__(self) -> None:
        self._values: dict[Hashable, Hashable] = {}

    def intern_route(self, policy: RoutePolicy) -> RoutePolicy:
        """Return an equal route whose strings and nested policies are shared.

        Args:
            policy: The route.
        """
        return msgspec.structs.replace(
            policy,
            host=sys.intern(policy.host),
            path_prefix=sys.intern(policy.path_prefix),
            service=ServiceName(sys.intern(policy.service)),
            methods=self._intern(policy.methods),
            retry=self._intern(policy.retry),
            hedge=self._intern(policy.hedge),
            answer=self._intern(policy.answer),
            limit=self._intern(policy.limit),
        )

    def intern_workspace(self, policy: WorkspacePolicy) -> WorkspacePolicy:
        """Return the shared object that is equal to a workspace's policy without its API keys.

        The keys differ between all workspaces; a `KeyTable` holds them.

        Args:
            policy: The policy.
        """
        return self._intern(msgspec.structs.replace(policy, api_keys=()))

    def _intern(self, value: ValueT) -> ValueT:
        # The type is part of the key, since values of different types can be equal: 1 equals 1.0.
        shared = self._values.setdefault((type(value), value), value)
        assert isinstance(shared, type(value))
        return shared
