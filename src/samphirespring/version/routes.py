"""Routes compiled from one version of the document."""

from collections.abc import Mapping

import msgspec

from samphirespring.version.document import (
    AccessSection,
    FleetSection,
    RoutePolicy,
    ServicePolicy,
    WorkspacePolicy,
)
from samphirespring.version.ids import (
    ApiKeyFingerprint,
    DocumentVersion,
    SectionName,
    ServiceName,
    WorkspaceId,
)
from samphirespring.version.key_table import KeyTable
from samphirespring.version.stamp import DocumentStamp
from samphirespring.version.workspace_table import WorkspaceTable


class Route(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """A route with the policy of its service."""

    policy: RoutePolicy
    service: ServicePolicy
    section: SectionName
    parts: tuple["RoutePart", ...] = ()
    """Routes to each of the services that share the requests; empty if there is one service."""

    @property
    def services(self) -> tuple[ServiceName, ...]:
        """All services that may receive the requests."""
        return self.policy.services

    def choose_part(self, position: float) -> "Route":
        """Return the route to one of the services that share the requests.

        Args:
            position: From 0.0 to below 1.0; evenly spread positions give each service its share.
        """
        for part in self.parts:
            if position < part.end:
                return part.route
        return self.parts[-1].route if self.parts else self


class RoutePart(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """The route to one of the services that share the requests."""

    route: Route
    end: float
    """Sum of the shares up to and including this one."""


class CompiledDocument:
    """Compiled form of one version of the document as a front uses it; immutable.

    Args:
        stamp: The version.
        access: Teams and their permissions.
        fleet: Settings of the whole fleet.
        services: Policies of all services.
        routes_by_host: Routes by host name, in the order in which they are tried.
        workspaces: Policies of the workspaces, without their API keys.
        keys: Workspaces by API key.
    """

    def __init__(
        self,
        *,
        stamp: DocumentStamp,
        access: AccessSection,
        fleet: FleetSection,
        services: Mapping[ServiceName, ServicePolicy],
        routes_by_host: Mapping[str, tuple[Route, ...]],
        workspaces: WorkspaceTable,
        keys: KeyTable,
    ) -> None:
        self.stamp = stamp
        self.access = access
        self.fleet = fleet
        self.services = services
        self._routes_by_host = routes_by_host
        self._workspaces = workspaces
        self._keys = keys

    @property
    def version(self) -> DocumentVersion:
        """Version of the document."""
        return self.stamp.version

    @property
    def requires_keys(self) -> bool:
        """Whether requests need an API key, except on routes that are exempt."""
        return self.fleet.api_keys_required or self._keys.has_keys

    def find_route(self, *, host: str, method: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix.

        Args:
            host: Host name of the request, without port, in lower case.
            method: HTTP method.
            path: Path without query.
        """
        for route in self._routes_by_host.get(host, ()):
            if not _matches_prefix(path, route.policy.path_prefix):
                continue
            if route.policy.methods and method not in route.policy.methods:
                continue
            return route
        return None

    def find_workspace(self, workspace: WorkspaceId) -> WorkspacePolicy | None:
        """Return the policy of a workspace, or None if the document doesn't name it.

        Args:
            workspace: The workspace.
        """
        return self._workspaces.find(workspace)

    def find_key_holder(self, fingerprint: ApiKeyFingerprint) -> WorkspaceId | None:
        """Return the workspace that holds an API key, or None if no workspace does.

        Args:
            fingerprint: Fingerprint of the key.
        """
        return self._keys.find(fingerprint)


def order_routes(routes: list[Route]) -> tuple[Route, ...]:
    """Return the routes of one host in the order in which they are tried.

    Longer prefixes come first; among equal prefixes, routes that name their methods come first.

    Args:
        routes: The routes.
    """
    return tuple(
        sorted(
            routes,
            key=lambda route: (-len(route.policy.path_prefix), not route.policy.methods),
        )
    )


def _matches_prefix(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"
