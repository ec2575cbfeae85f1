"""Findings on a valid document that are likely mistakes: entries without effect, odd limits."""

from collections.abc import Iterator
from enum import Enum

import msgspec

from samphirespring.version.document import (
    FLEET_SECTION,
    Document,
    FleetSection,
    RoutePolicy,
    ServicePolicy,
    WorkspacePolicy,
)
from samphirespring.version.document_changes import EntryChange
from samphirespring.version.ids import ServiceName
from samphirespring.version.states import PriorityClass, RetryPlan


class FindingKind(Enum):
    """What is likely wrong with an entry of a document."""

    ROUTE_NEVER_MATCHES = "route_never_matches"

    SERVICE_UNUSED = "service_unused"
    """No route leads to the service."""

    WORKSPACE_WITHOUT_KEY = "workspace_without_key"
    """Others have API keys, so that nobody can show that a request belongs to this workspace."""

    NEVER_RETRIED = "never_retried"
    """The deadline leaves no time for a retry."""

    AIM_AFTER_DEADLINE = "aim_after_deadline"
    HEDGE_WITHOUT_EFFECT = "hedge_without_effect"
    PLAN_WITHOUT_EFFECT = "plan_without_effect"
    """Retries are planned only for services whose short faults are tracked."""

    LIMIT_ABOVE_QUOTA = "limit_above_quota"
    """One front would admit more than all of them together may."""

    HEADER_TIMEOUT_AFTER_IDLE = "header_timeout_after_idle"
    """A connection counts as idle before the head of its request is late."""


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """One finding.

    Attributes:
        kind: What is likely wrong.
        path: JSON path of the entry.
        detail: What was found, for people.
    """

    kind: FindingKind
    path: str
    detail: str


class DocumentReport(msgspec.Struct, frozen=True, kw_only=True):
    """What there is to know of a document before it is sent.

    Attributes:
        findings: What is likely wrong.
        changes: In what it differs from another document.
    """

    findings: tuple[Finding, ...]
    changes: tuple[EntryChange, ...] = ()


def check_document(document: Document) -> tuple[Finding, ...]:
    """Return what is likely wrong in a valid document, in the order of its sections.

    Args:
        document: The document.
    """
    return (
        *_check_fleet(document.fleet),
        *_check_routes(document),
        *_check_services(document),
        *_check_workspaces(document),
    )


def _check_fleet(fleet: FleetSection) -> Iterator[Finding]:
    connections = fleet.caller_connections
    if connections.header_timeout_ms > connections.idle_timeout_ms:
        yield Finding(
            kind=FindingKind.HEADER_TIMEOUT_AFTER_IDLE,
            path=f"$.{FLEET_SECTION}.caller_connections.header_timeout_ms",
            detail=f"{connections.header_timeout_ms} ms, but connections are idle after"
            f" {connections.idle_timeout_ms} ms",
        )


def _check_routes(document: Document) -> Iterator[Finding]:
    for name, team in document.teams.items():
        for position, route in enumerate(team.routes):
            path = f"$.{name}.routes[{position}]"
            yield from _check_match(route, path)
            yield from _check_route(route, path)


def _check_route(route: RoutePolicy, path: str) -> Iterator[Finding]:
    if route.aim_ms > route.deadline_ms:
        yield Finding(
            kind=FindingKind.AIM_AFTER_DEADLINE,
            path=f"{path}.aim_ms",
            detail=f"{route.aim_ms} ms, after the deadline of {route.deadline_ms} ms",
        )
    reserve_ms = route.retry.execution_reserve_ms
    if route.retry.max_attempts > 1 and reserve_ms >= route.deadline_ms:
        yield Finding(
            kind=FindingKind.NEVER_RETRIED,
            path=f"{path}.retry.execution_reserve_ms",
            detail=f"{reserve_ms} ms must remain of {route.deadline_ms} ms",
        )
    if route.hedge.enabled:
        yield from _check_hedge(route, path)


def _check_hedge(route: RoutePolicy, path: str) -> Iterator[Finding]:
    reason = None
    if not route.idempotent:
        reason = "the route's requests may run only once"
    elif route.priority is not PriorityClass.INTERACTIVE:
        reason = f"requests of the class `{route.priority.value}` are never hedged"
    elif route.hedge.delay_ms >= route.deadline_ms:
        reason = f"a delay of {route.hedge.delay_ms} ms, a deadline of {route.deadline_ms} ms"
    if reason is not None:
        yield Finding(kind=FindingKind.HEDGE_WITHOUT_EFFECT, path=f"{path}.hedge", detail=reason)


def _check_match(route: RoutePolicy, path: str) -> Iterator[Finding]:
    """Find out why no request can match a route."""
    reason = None
    if ":" in route.host or "/" in route.host:
        reason = f"requests name their hosts without a port or path, not `{route.host}`"
    elif "?" in route.path_prefix or "#" in route.path_prefix:
        reason = f"paths are matched without their queries, not as `{route.path_prefix}`"
    elif route.methods and not any(method.isupper() for method in route.methods):
        reason = f"methods are matched as sent, not as `{', '.join(route.methods)}`"
    if reason is not None:
        yield Finding(kind=FindingKind.ROUTE_NEVER_MATCHES, path=path, detail=reason)


def _check_services(document: Document) -> Iterator[Finding]:
    used: set[ServiceName] = set()
    for team in document.teams.values():
        for route in team.routes:
            used.update(route.services)
    for name, team in document.teams.items():
        for service, policy in team.services.items():
            path = f"$.{name}.services.{service}"
            if service not in used:
                yield Finding(
                    kind=FindingKind.SERVICE_UNUSED, path=path, detail="no route leads to it"
                )
            yield from _check_service(policy, path)


def _check_service(policy: ServicePolicy, path: str) -> Iterator[Finding]:
    if policy.retry_plan is RetryPlan.BY_SERVICE and policy.suspicion is None:
        yield Finding(
            kind=FindingKind.PLAN_WITHOUT_EFFECT,
            path=f"{path}.retry_plan",
            detail="`suspicion` is null",
        )


def _check_workspaces(document: Document) -> Iterator[Finding]:
    have_keys = any(
        policy.api_keys for team in document.teams.values() for policy in team.workspaces.values()
    )
    for name, team in document.teams.items():
        for workspace, policy in team.workspaces.items():
            path = f"$.{name}.workspaces.{workspace}"
            if have_keys and not policy.api_keys:
                yield Finding(
                    kind=FindingKind.WORKSPACE_WITHOUT_KEY,
                    path=path,
                    detail="other workspaces have API keys",
                )
            yield from _check_limits(policy, document.fleet, path)


def _check_limits(policy: WorkspacePolicy, fleet: FleetSection, path: str) -> Iterator[Finding]:
    limit = policy.limit or fleet.default_limit
    if limit is None or policy.quota is None:
        return
    if limit.requests_per_s > policy.quota.requests_per_s:
        yield Finding(
            kind=FindingKind.LIMIT_ABOVE_QUOTA,
            path=f"{path}.quota",
            detail=f"{policy.quota.requests_per_s:g} requests/s at all fronts,"
            f" {limit.requests_per_s:g} at each",
        )
