"""Translates the operator's configuration into sections of the document."""

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from enum import Enum
from typing import Annotated, Any

import msgspec
import xxhash

from samphirespring.platform.headers import API_KEY, TENANT
from samphirespring.platform.units import parse_exact_ms, parse_ms
from samphirespring.process.errors import DECODE_ERRORS
from samphirespring.version.document import (
    AIM_MARGIN_MS,
    FLEET_SECTION,
    CallerConnectionPolicy,
    DetectionPolicy,
    FleetSection,
    RateLimit,
    RetryPolicy,
    RoutePolicy,
    ServicePolicy,
    SuspicionPolicy,
    TeamSection,
    WorkspacePolicy,
)
from samphirespring.version.ids import Revision, SectionName, ServiceName, WorkspaceId
from samphirespring.version.key_table import compute_digest
from samphirespring.version.parser import DocumentInvalidError
from samphirespring.version.placement import choose_placements
from samphirespring.version.states import (
    AdmissionMode,
    DetectionMode,
    PlacementMode,
    PriorityClass,
    RetryPlan,
)

OPERATOR_SECTION = SectionName("operator")
"""Section that holds the operator's services."""

ROUTE_SECTION = "routes"
"""Sections that hold the operator's routes; a number follows."""

WORKSPACE_SECTION = "workspaces"
"""Sections that hold the operator's tenants; a number follows."""

ENTRIES_PER_SECTION = 400
"""Routes or tenants of a section, about. A change of one of them sends and compiles its section
anew, and a section has a largest size."""

MAX_QUOTA_NUMBER = 1e12
"""Largest rate per second, and largest burst, of a tenant's quota."""

_QuotaNumber = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_QUOTA_NUMBER)]


class _RouteKind(Enum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"
    """Like `unsafe`, with large bodies."""


class DeploymentDefaults(msgspec.Struct, frozen=True, kw_only=True):
    """Values that the deployment sets for all services and tenants.

    Attributes:
        floor: Smallest share of a service's capacity that ejection must leave.
        retry_share: Additional attempts allowed per request.
        retry_floor: Additional attempts of all fronts together in a window, besides `retry_share`.
        retry_window_s: Length of the window, in seconds.
        suspicion: How often and for how long targets have short faults.
        admission: What happens to attempts that find no free slot.
        key_lease_ms: Longest time for which a host runs requests with keys without a confirmation
            that its document is the newest, in milliseconds; 0 sets no limit.
        quota_overshoot: Share by which a quota may be exceeded within a window.
        quota_slack: Requests that may be added to a quota within a window.
        quota_window_s: Length of that window, in seconds.
        retry_plan: Who decides on retries while most targets of a service shed.
        pooled_retry_factor: Factor on the additional attempts that one host grants for many fronts.
    """

    floor: float = 0.7
    retry_share: float = 0.1
    retry_floor: float = 12.0
    retry_window_s: float = 60.0
    suspicion: SuspicionPolicy = SuspicionPolicy(share=0.3, span_s=2.7)
    admission: AdmissionMode = AdmissionMode.BRIEF
    key_lease_ms: int = 0
    quota_overshoot: float = 0.0
    quota_slack: int = 0
    quota_window_s: float = 5.0
    retry_plan: RetryPlan = RetryPlan.BY_FRONT
    pooled_retry_factor: float = 1.0


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """A submitted configuration as sections of the document."""

    revision: Revision
    sections: dict[SectionName, bytes]


class _ConfigurationObject(msgspec.Struct, frozen=True, kw_only=True, rename="kebab"):
    """Base of all objects in a configuration; unknown fields are ignored."""


class _WeightedService(_ConfigurationObject, frozen=True, kw_only=True):
    service: ServiceName
    weight: Annotated[int, msgspec.Meta(ge=0)]


class _RouteSpec(_ConfigurationObject, frozen=True, kw_only=True):
    host: str
    path_prefix: str
    kind: _RouteKind
    timeout: str
    """Time limit of a request; all of it may be spent waiting for capacity."""

    aim: str = "0ms"
    """Time within which a response has its full value."""

    priority: int = 0
    """0 is the highest priority."""

    auth_exempt: bool = False
    """Whether the route's requests need no key."""

    service: ServiceName | None = None
    traffic_split: tuple[_WeightedService, ...] = ()
    max_attempts: int


class _ServiceSpec(_ConfigurationObject, frozen=True, kw_only=True):
    """Reads no fields: all of them concern connections, which the agents limit by slots."""


class _TenantSpec(_ConfigurationObject, frozen=True, kw_only=True):
    api_keys: tuple[Annotated[str, msgspec.Meta(min_length=1)], ...] = ()
    priority: int | None = None
    """Takes precedence over the route's priority."""

    rate_per_s: _QuotaNumber = 0.0
    """Requests per second through all nodes together; 0 sets no limit."""

    burst: _QuotaNumber = 0.0


class _LimitsSpec(_ConfigurationObject, frozen=True, kw_only=True):
    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout: str | None = None
    idle_timeout: str | None = None


class _Metadata(_ConfigurationObject, frozen=True, kw_only=True):
    name: str = ""


class _Resource(_ConfigurationObject, frozen=True, kw_only=True):
    type: str
    metadata: _Metadata = _Metadata()
    spec: msgspec.Raw


class _Configuration(_ConfigurationObject, frozen=True, kw_only=True):
    version: Annotated[int, msgspec.Meta(ge=1)]
    resources: tuple[_Resource, ...]


def translate_configuration(text: bytes, *, defaults: DeploymentDefaults) -> Submission:
    """Return a configuration as sections of the document.

    Args:
        text: The operator's JSON text.
        defaults: Values that the deployment sets for all services.

    Raises:
        DocumentInvalidError: The text isn't valid JSON, or a field is invalid.
    """
    try:
        configuration = msgspec.json.decode(text, type=_Configuration)
        return Submission(
            revision=Revision(configuration.version),
            sections=_make_sections(configuration, defaults),
        )
    except DECODE_ERRORS as error:
        raise DocumentInvalidError((str(error),)) from None


def _make_sections(
    configuration: _Configuration, defaults: DeploymentDefaults
) -> dict[SectionName, bytes]:
    routes: list[RoutePolicy] = []
    named_services: set[ServiceName] = set()
    services: dict[ServiceName, ServicePolicy] = {}
    workspaces: dict[WorkspaceId, WorkspacePolicy] = {}
    connections = CallerConnectionPolicy()
    for resource in configuration.resources:
        match resource.type:
            case "routes":
                route = msgspec.json.decode(resource.spec, type=_RouteSpec)
                routes.append(_make_route(route))
                named_services.update(_list_services(route))
            case "services":
                msgspec.json.decode(resource.spec, type=_ServiceSpec)
                services[ServiceName(resource.metadata.name)] = _make_service(defaults)
            case "tenants":
                workspace = WorkspaceId(resource.metadata.name)
                if workspace in workspaces:
                    raise ValueError(f"tenant `{workspace}` occurs twice")
                spec = msgspec.json.decode(resource.spec, type=_TenantSpec)
                workspaces[workspace] = _make_workspace(spec)
            case "limits":
                connections = _make_connection_policy(
                    msgspec.json.decode(resource.spec, type=_LimitsSpec)
                )
            case _:
                raise ValueError(f"unknown resource type `{resource.type}`")
    unknown = sorted(named_services - services.keys())
    if unknown:
        raise ValueError(f"a route names the unknown service `{unknown[0]}`")
    placements = choose_placements(routes)
    services = {
        service: msgspec.structs.replace(
            policy, placement=placements.get(service, PlacementMode.SLOTS)
        )
        for service, policy in services.items()
    }
    fleet = FleetSection(caller_connections=connections, ledger_groups=0)
    if workspaces:
        fleet = _require_keys(fleet, defaults)
    sections = {
        FLEET_SECTION: fleet,
        OPERATOR_SECTION: TeamSection(services=services),
        **_divide_routes(routes),
        **_divide_workspaces(workspaces),
    }
    return {name: _encode(section) for name, section in sections.items()}


def _divide_routes(routes: Sequence[RoutePolicy]) -> dict[SectionName, TeamSection]:
    """Return sections of routes; a route stays in its section whatever becomes of the others."""
    parts: defaultdict[int, list[RoutePolicy]] = defaultdict(list)
    count = _count_sections(len(routes))
    for route in routes:
        parts[_choose_section(f"{route.host.lower()}{route.path_prefix}", count)].append(route)
    return {
        SectionName(f"{ROUTE_SECTION}-{number}"): TeamSection(routes=tuple(part))
        for number, part in sorted(parts.items())
    }


def _divide_workspaces(
    workspaces: Mapping[WorkspaceId, WorkspacePolicy],
) -> dict[SectionName, TeamSection]:
    """Return sections of workspaces, chosen like those of routes."""
    parts: defaultdict[int, dict[WorkspaceId, WorkspacePolicy]] = defaultdict(dict)
    count = _count_sections(len(workspaces))
    for workspace, policy in workspaces.items():
        parts[_choose_section(workspace, count)][workspace] = policy
    return {
        SectionName(f"{WORKSPACE_SECTION}-{number}"): TeamSection(workspaces=part)
        for number, part in sorted(parts.items())
    }


def _count_sections(entries: int) -> int:
    """Return the number of sections, a power of two: few changes alter it."""
    return 1 << (max(0, entries - 1) // ENTRIES_PER_SECTION).bit_length()


def _choose_section(name: str, count: int) -> int:
    return xxhash.xxh64_intdigest(name.encode()) % count


def _require_keys(fleet: FleetSection, defaults: DeploymentDefaults) -> FleetSection:
    return msgspec.structs.replace(
        fleet,
        workspace_header=TENANT.decode(),
        api_key_header=API_KEY.decode(),
        api_keys_required=True,
        key_lease_ms=defaults.key_lease_ms,
        quota_overshoot=defaults.quota_overshoot,
        quota_slack=defaults.quota_slack,
        quota_window_s=defaults.quota_window_s,
    )


def _make_workspace(spec: _TenantSpec) -> WorkspacePolicy:
    return WorkspacePolicy(
        api_keys=tuple(compute_digest(key.encode()) for key in dict.fromkeys(spec.api_keys)),
        rank=spec.priority,
        quota=_make_quota(spec),
    )


def _make_quota(spec: _TenantSpec) -> RateLimit | None:
    if spec.rate_per_s == 0.0:
        return None
    return RateLimit(requests_per_s=spec.rate_per_s, burst=max(1, math.floor(spec.burst)))


def _list_services(spec: _RouteSpec) -> Iterator[ServiceName]:
    """Yield all services that a route names, also those that get none of its requests."""
    if spec.service is not None:
        yield spec.service
    for entry in spec.traffic_split:
        yield entry.service


def _make_route(spec: _RouteSpec) -> RoutePolicy:
    idempotent = spec.kind is _RouteKind.SAFE
    split = _add_weights(spec.traffic_split)
    service = spec.service
    if service is None:
        service = next(iter(split), None)
    if service is None:
        raise ValueError("a route names no service")
    exact_timeout_ms = parse_exact_ms(spec.timeout)
    exact_aim_ms = parse_exact_ms(spec.aim)
    if exact_aim_ms - exact_timeout_ms >= AIM_MARGIN_MS:
        raise ValueError(f"the aim {spec.aim} is a minute or more above {spec.timeout}")
    # Rounded so that both stay on their side of the document's limits.
    timeout_ms = math.ceil(exact_timeout_ms)
    return RoutePolicy(
        host=spec.host,
        path_prefix=spec.path_prefix,
        service=service,
        split=split,
        idempotent=idempotent,
        priority=PriorityClass.INTERACTIVE if idempotent else PriorityClass.ACTION,
        rank=spec.priority,
        key_exempt=spec.auth_exempt,
        aim_ms=math.floor(exact_aim_ms),
        deadline_ms=timeout_ms,
        retry=RetryPolicy(max_attempts=spec.max_attempts, capacity_wait_ms=timeout_ms),
    )


def _add_weights(parts: Iterable[_WeightedService]) -> dict[ServiceName, int]:
    """Return the weight of each service that has one; one that is named twice has the sum."""
    weights: dict[ServiceName, int] = {}
    for part in parts:
        if part.weight > 0:
            weights[part.service] = weights.get(part.service, 0) + part.weight
    return weights


def _make_service(defaults: DeploymentDefaults) -> ServicePolicy:
    return ServicePolicy(
        floor=defaults.floor,
        detection=DetectionPolicy(mode=DetectionMode.FAST),
        suspicion=defaults.suspicion,
        admission=defaults.admission,
        refusals_are_executions=True,
        retry_share=defaults.retry_share,
        retry_floor=defaults.retry_floor,
        retry_window_s=defaults.retry_window_s,
        retry_plan=defaults.retry_plan,
        pooled_retry_factor=defaults.pooled_retry_factor,
        slow_start_s=3.0,
    )


def _make_connection_policy(spec: _LimitsSpec) -> CallerConnectionPolicy:
    default = CallerConnectionPolicy()
    return CallerConnectionPolicy(
        header_bytes=spec.max_header_bytes or default.header_bytes,
        body_bytes=spec.max_body_bytes or default.body_bytes,
        header_timeout_ms=_read_ms(spec.header_timeout, default.header_timeout_ms),
        idle_timeout_ms=_read_ms(spec.idle_timeout, default.idle_timeout_ms),
    )


def _read_ms(text: str | None, default_ms: int) -> int:
    return default_ms if text is None else parse_ms(text)


def _encode(section: Any) -> bytes:
    return msgspec.json.encode(section)
