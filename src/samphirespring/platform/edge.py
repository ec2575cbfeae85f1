"""The platform's protocols around a node and a control host."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from samphirespring.connection.backend_dialect import BackendDialect
from samphirespring.connection.caller_http import CallerApp
from samphirespring.connection.http_server import serve_http
from samphirespring.platform.announcements import AnnouncementApp
from samphirespring.platform.backend_dialect import PlatformBackendDialect
from samphirespring.platform.caller_dialect import PlatformCallerDialect
from samphirespring.platform.configuration import ServiceTerms
from samphirespring.platform.operator_http import ConfigurationApp
from samphirespring.platform.settings import CoreSettings, SidecarSettings
from samphirespring.platform.units import parse_seconds
from samphirespring.process.programs.edges import (
    ControlEdge,
    ControlParts,
    NodeEdge,
    NodeParts,
)

BUDGET_PART = 0.6
"""Part of the fleet's budget that fronts spend: calls of repeated runs count against the rest."""


class PlatformNodeEdge(NodeEdge):
    """The platform's protocols around a node.

    Args:
        settings: The host's settings.
    """

    def __init__(self, settings: SidecarSettings) -> None:
        self._settings = settings

    def make_dialect(self) -> BackendDialect:
        """Return the platform's headers and refusals."""
        return PlatformBackendDialect()

    def make_caller_app(self, parts: NodeParts) -> CallerApp:
        """Return the ASGI application for clients."""
        dialect = PlatformCallerDialect(self._settings.service)
        return CallerApp(parts.front, self._settings.caller_limits, dialect)

    @asynccontextmanager
    async def serve_local(self, parts: NodeParts) -> AsyncIterator[None]:
        """Serve heartbeats and readiness."""
        app = AnnouncementApp(
            parts.agent,
            readiness=parts.readiness,
            target_address=self._settings.target_address,
        ).make_app()
        async with serve_http(
            app,
            address=self._settings.announcement_listen,
            more_addresses=(self._settings.readiness_listen,),
        ):
            yield


class PlatformControlEdge(ControlEdge):
    """The operator's calls at a control host.

    Args:
        settings: The host's settings.
    """

    def __init__(self, settings: CoreSettings) -> None:
        self._settings = settings

    def make_operator_app(self, parts: ControlParts) -> Any:
        """Return the ASGI application for the operator."""
        return ConfigurationApp(
            parts.documents,
            terms=_read_terms(self._settings),
            operator_port=self._settings.operator_port,
        ).make_app()


def _read_terms(settings: CoreSettings) -> ServiceTerms:
    bounds = settings.bounds
    return ServiceTerms(
        floor=float(bounds.get("floor-share", "0.7")),
        retry_share=float(bounds.get("retry-budget-ratio", "0.1")) * BUDGET_PART,
        retry_floor=float(bounds.get("retry-budget-slack", "12")) * BUDGET_PART,
        retry_window_s=parse_seconds(str(bounds.get("budget-window", "60s"))),
    )
