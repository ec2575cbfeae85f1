"""Rate limits that apply to a request."""

import msgspec

from samphirespring.process.quota.terms import QuotaTerms, make_terms
from samphirespring.request.caller import CallerRequest
from samphirespring.version.document import RateLimit
from samphirespring.version.ids import NO_WORKSPACE
from samphirespring.version.routes import CompiledDocument, Route


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Rate limits that one front applies to one request.

    Attributes:
        bucket: Name of the token bucket: the workspace, or the caller's address if there is none.
        workspace: Limit of the workspace across all routes.
        route: Limit of the workspace on the route.
        route_name: Name of the route, unique in the document.
    """

    bucket: str
    workspace: RateLimit | None
    route: RateLimit | None
    route_name: str


def find_limits(
    compiled: CompiledDocument, *, route: Route, request: CallerRequest
) -> RequestLimits:
    """Return the rate limits that a front applies to a request.

    Args:
        compiled: The document.
        route: The request's route.
        request: The request.
    """
    fronts = compiled.fleet.limit_fronts
    workspace = compiled.find_workspace(request.workspace)
    limit = (
        compiled.fleet.default_limit
        if workspace is None or workspace.limit is None
        else workspace.limit
    )
    policy = route.policy
    return RequestLimits(
        bucket=_name_bucket(request),
        workspace=_divide_limit(limit, fronts),
        route=_divide_limit(policy.limit, fronts),
        route_name=f"{','.join(policy.methods)} {policy.host}{policy.path_prefix}",
    )


def find_quota(compiled: CompiledDocument, *, request: CallerRequest) -> QuotaTerms | None:
    """Return the quota that applies to a request, or None if its workspace has none.

    Args:
        compiled: The document.
        request: The request.
    """
    workspace = compiled.find_workspace(request.workspace)
    if workspace is None or workspace.quota is None:
        return None
    return make_terms(workspace.quota, compiled.fleet)


def _name_bucket(request: CallerRequest) -> str:
    if request.workspace != NO_WORKSPACE:
        return request.workspace
    # Can't collide: workspace names contain no spaces.
    return f"address {request.address}"


def _divide_limit(limit: RateLimit | None, fronts: int) -> RateLimit | None:
    if limit is None or fronts == 1:
        return limit
    return RateLimit(
        requests_per_s=limit.requests_per_s / fronts, burst=max(1, limit.burst // fronts)
    )
