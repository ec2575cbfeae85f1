"""Decides which workspace a request belongs to, by its API key."""

import msgspec

from samphirespring.request.caller import CallerRequest
from samphirespring.request.errors import ApiKeyUnknownError
from samphirespring.request.messages import Header
from samphirespring.version.ids import NO_WORKSPACE, WorkspaceId
from samphirespring.version.routes import CompiledDocument, Route


def authenticate(
    request: CallerRequest, *, route: Route, compiled: CompiledDocument
) -> CallerRequest:
    """Return a request with the workspace that holds its API key, in place of what it claimed.

    Neither the key nor a workspace that the caller named are passed on. A request for an exempt
    route has no workspace. If the document requires no keys, requests remain as they are.

    Args:
        request: The request as received.
        route: Its route.
        compiled: The document.

    Raises:
        ApiKeyUnknownError: The request needs a key, and carries none that a workspace holds.
    """
    if not compiled.requires_keys:
        return msgspec.structs.replace(request, api_key=None)
    if route.policy.key_exempt:
        return msgspec.structs.replace(
            request,
            headers=_replace_headers(request, NO_WORKSPACE, compiled),
            workspace=NO_WORKSPACE,
            api_key=None,
        )
    workspace = _find_holder(request, compiled)
    policy = compiled.find_workspace(workspace)
    return msgspec.structs.replace(
        request,
        headers=_replace_headers(request, workspace, compiled),
        workspace=workspace,
        rank=None if policy is None else policy.rank,
    )


def _find_holder(request: CallerRequest, compiled: CompiledDocument) -> WorkspaceId:
    if request.api_key is None:
        raise ApiKeyUnknownError("the request must carry exactly one API key")
    workspace = compiled.find_key_holder(request.api_key)
    if workspace is None:
        raise ApiKeyUnknownError("no workspace holds the API key")
    return workspace


def _replace_headers(
    request: CallerRequest, workspace: WorkspaceId, compiled: CompiledDocument
) -> tuple[Header, ...]:
    workspace_header = compiled.fleet.workspace_header.lower().encode()
    replaced = (workspace_header, compiled.fleet.api_key_header.lower().encode())
    kept = (header for header in request.headers if header.name not in replaced)
    if workspace == NO_WORKSPACE:
        return tuple(kept)
    return (*kept, Header(workspace_header, workspace.encode()))
