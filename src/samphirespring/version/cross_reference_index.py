"""Index of the names that sections define and use, to validate one section against the others."""

from collections.abc import Iterator
from typing import NamedTuple, TypeVar

import msgspec

from samphirespring.version.document import RoutePolicy, TeamSection
from samphirespring.version.ids import (
    ApiKeyFingerprint,
    SectionName,
    ServiceName,
    WorkspaceId,
)
from samphirespring.version.key_table import KeyEntry, shorten_digest

KeyT = TypeVar("KeyT")

ANY_METHOD = "*"


class RouteKey(NamedTuple):
    """Combination of host, path prefix and method that only one route may have."""

    host: str
    path_prefix: str
    method: str


class _SectionNames(msgspec.Struct):
    services: frozenset[ServiceName]
    route_services: tuple[tuple[ServiceName, ...], ...]
    """Services of each route."""

    route_keys: frozenset[RouteKey]
    workspaces: frozenset[WorkspaceId]
    api_keys: tuple[ApiKeyFingerprint, ...]


class CrossReferenceIndex(msgspec.Struct):
    """Services, routes and workspaces of all sections, each with the section that owns it."""

    _sections: dict[SectionName, _SectionNames] = msgspec.field(default_factory=dict)
    _services: dict[ServiceName, SectionName] = msgspec.field(default_factory=dict)
    _routes: dict[RouteKey, SectionName] = msgspec.field(default_factory=dict)
    _workspaces: dict[WorkspaceId, SectionName] = msgspec.field(default_factory=dict)
    _api_keys: dict[ApiKeyFingerprint, SectionName] = msgspec.field(default_factory=dict)

    def put(self, name: SectionName, section: TeamSection) -> None:
        """Add or replace a section; a name that another section already owns stays with its owner.

        Args:
            name: The section.
            section: Its content.
        """
        self.remove(name)
        names = _SectionNames(
            services=frozenset(section.services),
            route_services=tuple(route.services for route in section.routes),
            route_keys=frozenset(key for route in section.routes for key in list_route_keys(route)),
            workspaces=frozenset(section.workspaces),
            api_keys=tuple(entry.fingerprint for entry in list_api_keys(section)),
        )
        self._sections[name] = names
        for service in names.services:
            self._services.setdefault(service, name)
        for key in names.route_keys:
            self._routes.setdefault(key, name)
        for workspace in names.workspaces:
            self._workspaces.setdefault(workspace, name)
        for fingerprint in names.api_keys:
            self._api_keys.setdefault(fingerprint, name)

    def remove(self, name: SectionName) -> None:
        """Remove a section, if the index has it.

        Args:
            name: The section.
        """
        names = self._sections.pop(name, None)
        if names is None:
            return
        for service in names.services:
            _drop(self._services, service, name)
        for key in names.route_keys:
            _drop(self._routes, key, name)
        for workspace in names.workspaces:
            _drop(self._workspaces, workspace, name)
        for fingerprint in names.api_keys:
            _drop(self._api_keys, fingerprint, name)

    def find_duplicates(self, name: SectionName, section: TeamSection) -> list[str]:
        """Return problems for names that another section owns and for routes that occur twice.

        Args:
            name: The section.
            section: Its content.
        """
        problems: list[str] = []
        for service in section.services:
            owner = self._services.get(service, name)
            if owner != name:
                problems.append(
                    f"service is also defined in section {owner}"
                    f" - at `$.{name}.services.{service}`"
                )
        for workspace in section.workspaces:
            owner = self._workspaces.get(workspace, name)
            if owner != name:
                problems.append(
                    f"workspace is also named in section {owner}"
                    f" - at `$.{name}.workspaces.{workspace}`"
                )
        problems.extend(self._find_duplicate_keys(name, section))
        problems.extend(self._find_duplicate_routes(name, section))
        return problems

    def find_unknown_services(self, name: SectionName, section: TeamSection) -> list[str]:
        """Return problems for the routes of a section whose service no section defines.

        Args:
            name: The section.
            section: Its content.
        """
        return [
            f"unknown service `{service}` - at `$.{name}.routes[{position}].service`"
            for position, route in enumerate(section.routes)
            for service in route.services
            if service not in section.services and self._is_undefined(service, excluding=name)
        ]

    def find_dangling_routes(self, name: SectionName, section: TeamSection | None) -> list[str]:
        """Return problems for routes of other sections whose service a change would remove.

        Args:
            name: The section to change.
            section: Its new content; None if the section is removed.
        """
        names = self._sections.get(name)
        if names is None:
            return []
        kept = frozenset[ServiceName]() if section is None else frozenset(section.services)
        lost = names.services - kept
        if not lost:
            return []
        return [
            f"unknown service `{service}` - at `$.{other}.routes[{position}].service`"
            for other, entry in self._sections.items()
            if other != name
            for position, services in enumerate(entry.route_services)
            for service in services
            if service in lost
        ]

    def _is_undefined(self, service: ServiceName, *, excluding: SectionName) -> bool:
        owner = self._services.get(service)
        return owner is None or owner == excluding

    def _find_duplicate_keys(self, name: SectionName, section: TeamSection) -> list[str]:
        problems: list[str] = []
        holders: dict[ApiKeyFingerprint, WorkspaceId] = {}
        for entry in list_api_keys(section):
            owner = self._api_keys.get(entry.fingerprint, name)
            holder = holders.setdefault(entry.fingerprint, entry.workspace)
            if owner != name:
                where = f"a workspace of section {owner}"
            elif holder != entry.workspace:
                where = f"workspace {holder}"
            else:
                continue
            problems.append(
                f"an API key also belongs to {where}"
                f" - at `$.{name}.workspaces.{entry.workspace}.api_keys`"
            )
        return problems

    def _find_duplicate_routes(self, name: SectionName, section: TeamSection) -> list[str]:
        problems: list[str] = []
        positions: dict[RouteKey, int] = {}
        for position, route in enumerate(section.routes):
            for key in list_route_keys(route):
                owner = self._routes.get(key, name)
                first = positions.setdefault(key, position)
                if owner != name:
                    where = f"section {owner}"
                elif first != position:
                    where = f"`$.{name}.routes[{first}]`"
                else:
                    continue
                problems.append(
                    f"host, path prefix and method {key.method} are also routed by {where}"
                    f" - at `$.{name}.routes[{position}]`"
                )
        return problems


def list_api_keys(section: TeamSection) -> Iterator[KeyEntry]:
    """Yield the API keys of a section's workspaces.

    Args:
        section: The section.
    """
    for workspace, policy in section.workspaces.items():
        for digest in policy.api_keys:
            yield KeyEntry(shorten_digest(digest), workspace)


def list_route_keys(route: RoutePolicy) -> list[RouteKey]:
    """Return the keys that a route occupies, one for each of its methods.

    Args:
        route: The route.
    """
    host = route.host.lower()
    methods = route.methods or (ANY_METHOD,)
    return [RouteKey(host, route.path_prefix, method) for method in methods]


def _drop(owners: dict[KeyT, SectionName], key: KeyT, name: SectionName) -> None:
    if owners.get(key) == name:
        del owners[key]
