"""Checks that an action can be distinguished from every other one."""

from samphirespring.request.action_errors import KeyRequiredError, WorkspaceRequiredError
from samphirespring.request.caller import CallerRequest
from samphirespring.version.ids import NO_WORKSPACE
from samphirespring.version.routes import Route


def check_action(request: CallerRequest, *, route: Route) -> None:
    """Reject an action without a required key, or with a key that another caller may also use.

    Args:
        request: The caller's request.
        route: Route of the request.

    Raises:
        KeyRequiredError: The service requires a key for actions.
        WorkspaceRequiredError: The request has a key but no workspace.
    """
    if request.key is None:
        if route.service.key_required:
            raise KeyRequiredError(f"{route.policy.service} requires an Idempotency-Key")
        return
    if request.workspace == NO_WORKSPACE:
        raise WorkspaceRequiredError(
            "an Idempotency-Key is accepted only together with a workspace"
        )
