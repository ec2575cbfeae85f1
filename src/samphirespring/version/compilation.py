"""Incremental compilation of the document, in short steps."""

from array import array
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from itertools import islice
from typing import TypeVar

import msgspec

from samphirespring.process.errors import InternalError
from samphirespring.version.document import (
    ACCESS_SECTION,
    FLEET_SECTION,
    AccessSection,
    Document,
    FleetSection,
    RoutePolicy,
    ServicePolicy,
    TeamSection,
    WorkspacePolicy,
)
from samphirespring.version.ids import (
    ApiKeyFingerprint,
    Generation,
    SectionName,
    SectionVersion,
    ServiceName,
    WorkspaceId,
)
from samphirespring.version.interning import PolicyInterner
from samphirespring.version.key_table import (
    KeyEntry,
    KeyShard,
    KeyTable,
    find_shard,
    shorten_digest,
    split_fingerprints,
)
from samphirespring.version.routes import CompiledDocument, Route, RoutePart, order_routes
from samphirespring.version.section_set import SectionSet, StoredSection, store_section
from samphirespring.version.stamp import DocumentStamp
from samphirespring.version.workspace_table import (
    SHARD_COUNT,
    WorkspaceEntry,
    WorkspaceShard,
    WorkspaceTable,
    compute_key,
)

ROUTES_PER_STEP = 100
WORKSPACES_PER_STEP = 500
KEYS_PER_STEP = 500
SHARDS_PER_STEP = 8
HOSTS_PER_STEP = 200

ItemT = TypeVar("ItemT")


class _RawSection(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """A team's section whose routes and workspaces are decoded later, in steps."""

    services: dict[ServiceName, ServicePolicy] = {}
    routes: tuple[msgspec.Raw, ...] = ()
    workspaces: dict[WorkspaceId, msgspec.Raw] = {}


class _CompiledSection(msgspec.Struct, frozen=True, kw_only=True):
    """Parts of a compiled section that are needed to replace it in a later version."""

    digest: bytes
    services: dict[ServiceName, ServicePolicy] = msgspec.field(default_factory=dict)
    routes: tuple[RoutePolicy, ...] = ()
    workspace_keys: Sequence[int] = ()
    fingerprints: bytes = b""
    """Fingerprints of the workspaces' API keys, without gaps."""


class _NewWorkspaces:
    """Workspaces of the changed sections, in arrays to save memory with hundreds of thousands."""

    def __init__(self) -> None:
        self.keys = array("q")
        self.policies: list[WorkspacePolicy] = []
        self.api_keys: list[KeyEntry] = []

    def add(self, key: int, policy: WorkspacePolicy) -> None:
        """Add a workspace.

        Args:
            key: Key of the workspace's id.
            policy: Its policy.
        """
        self.keys.append(key)
        self.policies.append(policy)

    def add_api_keys(self, workspace: WorkspaceId, policy: WorkspacePolicy) -> None:
        """Add the API keys of a workspace.

        Args:
            workspace: The workspace.
            policy: Its policy.
        """
        for digest in policy.api_keys:
            self.api_keys.append(KeyEntry(shorten_digest(digest), workspace))

    def read_entries(self, positions: Iterable[int]) -> Iterator[WorkspaceEntry]:
        """Yield the workspaces at some positions.

        Args:
            positions: Positions of the workspaces in the order of their addition.
        """
        for position in positions:
            yield WorkspaceEntry(key=self.keys[position], policy=self.policies[position])


_NO_SECTION = _CompiledSection(digest=b"")


class Compiler:
    """Compiles each version of the document and reuses the unchanged parts of the previous one.

    `compile_steps` is an iterator so that the event loop can serve requests between two steps.
    """

    def __init__(self) -> None:
        self._access = AccessSection()
        self._fleet = FleetSection()
        self._sections: dict[SectionName, _CompiledSection] = {}
        self._services: dict[ServiceName, ServicePolicy] = {}
        self._routes_by_host: dict[str, tuple[Route, ...]] = {}
        self._workspaces = WorkspaceTable()
        self._keys = KeyTable()
        self._interner = PolicyInterner()

    def compile_steps(self, sections: SectionSet) -> Iterator[CompiledDocument | None]:
        """Compile a version; yield None after each step and the compiled document at the end.

        Args:
            sections: The version; the control hosts have validated each section.

        Raises:
            msgspec.MsgspecError: A section doesn't have its type, so it was not validated.
        """
        self._interner = PolicyInterner()
        updated: dict[SectionName, _CompiledSection] = {}
        workspaces = _NewWorkspaces()
        for section in self._list_changed_sections(sections):
            yield None
            if section.name == ACCESS_SECTION:
                self._access = msgspec.json.decode(section.read_text(), type=AccessSection)
                updated[section.name] = _CompiledSection(digest=section.digest)
            elif section.name == FLEET_SECTION:
                self._fleet = msgspec.json.decode(section.read_text(), type=FleetSection)
                updated[section.name] = _CompiledSection(digest=section.digest)
            else:
                yield from self._compile_section(section, updated, workspaces)
        removed = {name for name in self._sections if name not in sections.sections}
        replaced = [self._sections.get(name, _NO_SECTION) for name in (*updated, *removed)]
        yield from self._update_workspaces(replaced, workspaces)
        yield from self._update_keys(replaced, workspaces.api_keys)
        yield from self._update_routes(updated, removed)
        yield CompiledDocument(
            stamp=sections.stamp,
            access=self._access,
            fleet=self._fleet,
            services=self._services,
            routes_by_host=self._routes_by_host,
            workspaces=self._workspaces,
            keys=self._keys,
        )

    def _list_changed_sections(self, sections: SectionSet) -> list[StoredSection]:
        return [
            section
            for name, section in sections.sections.items()
            if self._sections.get(name, _NO_SECTION).digest != section.digest
        ]

    def _compile_section(
        self,
        section: StoredSection,
        updated: dict[SectionName, _CompiledSection],
        workspaces: _NewWorkspaces,
    ) -> Iterator[None]:
        raw = msgspec.json.decode(section.read_text(), type=_RawSection)
        yield None
        routes: list[RoutePolicy] = []
        for routes_batch in _split(raw.routes, ROUTES_PER_STEP):
            for item in routes_batch:
                policy = msgspec.json.decode(item, type=RoutePolicy)
                routes.append(self._interner.intern_route(policy))
            yield None
        keys = array("q")
        first_api_key = len(workspaces.api_keys)
        for batch in _split(raw.workspaces.items(), WORKSPACES_PER_STEP):
            for workspace, item in batch:
                workspace_policy = msgspec.json.decode(item, type=WorkspacePolicy)
                key = compute_key(workspace)
                keys.append(key)
                workspaces.add(key, self._interner.intern_workspace(workspace_policy))
                workspaces.add_api_keys(workspace, workspace_policy)
            yield None
        api_keys = workspaces.api_keys[first_api_key:]
        updated[section.name] = _CompiledSection(
            digest=section.digest,
            services=raw.services,
            routes=tuple(routes),
            workspace_keys=keys,
            fingerprints=b"".join(entry.fingerprint for entry in api_keys),
        )

    def _update_workspaces(
        self, replaced: Sequence[_CompiledSection], new: _NewWorkspaces
    ) -> Iterator[None]:
        removed: defaultdict[int, array[int]] = defaultdict(lambda: array("q"))
        for section in replaced:
            for keys in _split(section.workspace_keys, WORKSPACES_PER_STEP):
                for key in keys:
                    removed[key % SHARD_COUNT].append(key)
                yield None
        added: defaultdict[int, array[int]] = defaultdict(lambda: array("I"))
        for positions in _split(range(len(new.keys)), WORKSPACES_PER_STEP):
            for position in positions:
                added[new.keys[position] % SHARD_COUNT].append(position)
            yield None
        shards: dict[int, WorkspaceShard] = {}
        for shard_numbers in _split(removed.keys() | added.keys(), SHARDS_PER_STEP):
            for number in shard_numbers:
                shards[number] = self._workspaces.rebuild_shard(
                    number,
                    removed=removed.get(number, ()),
                    added=new.read_entries(added.get(number, ())),
                )
            yield None
        if shards:
            self._workspaces = self._workspaces.replace_shards(shards)

    def _update_keys(
        self, replaced: Sequence[_CompiledSection], new: Sequence[KeyEntry]
    ) -> Iterator[None]:
        removed: defaultdict[int, list[ApiKeyFingerprint]] = defaultdict(list)
        for section in replaced:
            for fingerprints in _split(split_fingerprints(section.fingerprints), KEYS_PER_STEP):
                for fingerprint in fingerprints:
                    removed[find_shard(fingerprint)].append(fingerprint)
                yield None
        added: defaultdict[int, list[KeyEntry]] = defaultdict(list)
        for entries in _split(new, KEYS_PER_STEP):
            for entry in entries:
                added[find_shard(entry.fingerprint)].append(entry)
            yield None
        shards: dict[int, KeyShard] = {}
        for shard_numbers in _split(removed.keys() | added.keys(), SHARDS_PER_STEP):
            for number in shard_numbers:
                shards[number] = self._keys.rebuild_shard(
                    number, removed=removed.get(number, ()), added=added.get(number, ())
                )
            yield None
        if shards:
            self._keys = self._keys.replace_shards(shards)

    def _update_routes(
        self, updated: dict[SectionName, _CompiledSection], removed: set[SectionName]
    ) -> Iterator[None]:
        changed = [*updated, *removed]
        hosts = {
            policy.host.lower()
            for name in changed
            for section in (self._sections.get(name, _NO_SECTION), updated.get(name, _NO_SECTION))
            for policy in section.routes
        }
        yield None
        added: defaultdict[str, list[Route]] = defaultdict(list)
        changed_services = self._replace_sections(updated, removed)
        for name, section in updated.items():
            for batch in _split(section.routes, ROUTES_PER_STEP):
                for policy in batch:
                    added[policy.host.lower()].append(self._make_route(name, policy))
                yield None
        routes_by_host = dict(self._routes_by_host)
        yield None
        for host_batch in _split(hosts, HOSTS_PER_STEP):
            for host in host_batch:
                kept = [r for r in routes_by_host.get(host, ()) if r.section not in changed]
                routes_by_host[host] = order_routes([*kept, *added.get(host, ())])
            yield None
        if changed_services:
            yield from self._update_service_policies(routes_by_host, changed_services)
        self._routes_by_host = {host: routes for host, routes in routes_by_host.items() if routes}

    def _replace_sections(
        self, updated: dict[SectionName, _CompiledSection], removed: set[SectionName]
    ) -> set[ServiceName]:
        """Apply the changed sections; return the existing services whose policy changed."""
        for name in removed:
            del self._sections[name]
        self._sections.update(updated)
        before = self._services
        self._services = {
            service: policy
            for section in self._sections.values()
            for service, policy in section.services.items()
        }
        return {name for name, policy in before.items() if self._services.get(name) != policy}

    def _update_service_policies(
        self, routes_by_host: dict[str, tuple[Route, ...]], changed: set[ServiceName]
    ) -> Iterator[None]:
        """Rebuild the routes of all sections whose services have new policies."""
        for hosts in _split(tuple(routes_by_host), HOSTS_PER_STEP):
            for host in hosts:
                routes = routes_by_host[host]
                if any(not changed.isdisjoint(route.services) for route in routes):
                    routes_by_host[host] = tuple(
                        self._make_route(route.section, route.policy) for route in routes
                    )
            yield None

    def _make_route(self, section: SectionName, policy: RoutePolicy) -> Route:
        return Route(
            policy=policy,
            service=self._services[policy.service],
            section=section,
            parts=self._make_parts(section, policy),
        )

    def _make_parts(self, section: SectionName, policy: RoutePolicy) -> tuple[RoutePart, ...]:
        total = sum(policy.split.values())
        end = 0
        parts: list[RoutePart] = []
        for service, weight in policy.split.items():
            end += weight
            part_policy = msgspec.structs.replace(policy, service=service, split={})
            route = Route(policy=part_policy, service=self._services[service], section=section)
            parts.append(RoutePart(route=route, end=end / total))
        return tuple(parts)


def compile_sections(sections: SectionSet) -> CompiledDocument:
    """Return the compiled form of a version in one call, for tools and tests.

    Args:
        sections: The version.
    """
    *_, compiled = Compiler().compile_steps(sections)
    if compiled is None:
        raise InternalError("the last step did not yield the document")
    return compiled


def compile_document(document: Document) -> CompiledDocument:
    """Return the compiled form of a decoded document in one call, for tools and tests.

    Args:
        document: The document.
    """
    parts: dict[SectionName, AccessSection | FleetSection | TeamSection] = {
        ACCESS_SECTION: document.access,
        FLEET_SECTION: document.fleet,
        **document.teams,
    }
    first = SectionVersion(1)
    stored = {
        name: store_section(name, msgspec.json.encode(part), version=first)
        for name, part in parts.items()
    }
    stamp = DocumentStamp(generation=Generation(1), version=document.version)
    return compile_sections(SectionSet(stamp=stamp, sections=stored))


def _split(items: Iterable[ItemT], size: int) -> Iterator[tuple[ItemT, ...]]:
    iterator = iter(items)
    while batch := tuple(islice(iterator, size)):
        yield batch
