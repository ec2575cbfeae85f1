"""Adapters for the platform's protocols at a node and at a control host."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from samphirespring.connection.backend_dialect import BackendDialect
from samphirespring.connection.caller_http import CallerApp
from samphirespring.connection.http_server import serve_http
from samphirespring.platform.announcements import AnnouncementApp
from samphirespring.platform.backend_dialect import PlatformBackendDialect
from samphirespring.platform.caller_dialect import PlatformCallerDialect
from samphirespring.platform.configuration import ServiceDefaults
from samphirespring.platform.operator_http import ConfigurationApp
from samphirespring.platform.settings import PlatformControlSettings, PlatformNodeSettings
from samphirespring.platform.units import parse_seconds
from samphirespring.process.programs.adapters import (
    ControlAdapter,
    ControlComponents,
    NodeAdapter,
    NodeComponents,
)

FRONT_BUDGET_SHARE = 0.6
"""Share of the fleet's retry budget that the fronts may spend.

The rest is for the calls that a repeated execution makes in turn, which count against the budget
too.
"""


class PlatformNodeAdapter(NodeAdapter):
    """Serves the platform's protocols at a node.

    Args:
        settings: The host's settings.
    """

    def __init__(self, settings: PlatformNodeSettings) -> None:
        self._settings = settings

    def make_dialect(self) -> BackendDialect:
        """Return the platform's header names and forms of refusal."""
        return PlatformBackendDialect()

    def make_caller_app(self, components: NodeComponents) -> CallerApp:
        """Return the ASGI application for callers."""
        dialect = PlatformCallerDialect(self._settings.service)
        return CallerApp(components.front, self._settings.caller_limits, dialect)

    @asynccontextmanager
    async def serve_local(self, components: NodeComponents) -> AsyncIterator[None]:
        """Serve heartbeats and readiness."""
        app = AnnouncementApp(
            components.agent,
            readiness=components.readiness,
            target_address=self._settings.target_address,
        ).make_app()
        async with serve_http(
            app,
            address=self._settings.announcement_listen,
            more_addresses=(self._settings.readiness_listen,),
        ):
            yield


class PlatformControlAdapter(ControlAdapter):
    """Serves the operator's calls at a control host.

    Args:
        settings: The host's settings.
    """

    def __init__(self, settings: PlatformControlSettings) -> None:
        self._settings = settings

    def make_operator_app(self, components: ControlComponents) -> Any:
        """Return the ASGI application for the operator."""
        return ConfigurationApp(
            components.documents,
            defaults=_read_defaults(self._settings),
            operator_port=self._settings.operator_port,
        ).make_app()


def _read_defaults(settings: PlatformControlSettings) -> ServiceDefaults:
    bounds = settings.bounds
    return ServiceDefaults(
        floor=float(bounds.get("floor-share", "0.7")),
        retry_share=float(bounds.get("retry-budget-ratio", "0.1")) * FRONT_BUDGET_SHARE,
        retry_floor=float(bounds.get("retry-budget-slack", "12")) * FRONT_BUDGET_SHARE,
        retry_window_s=parse_seconds(str(bounds.get("budget-window", "60s"))),
    )
