"""Adapter for the platform's protocols at a node."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from samphirespring.connection.backend_dialect import BackendDialect
from samphirespring.connection.caller_http import CallerApp
from samphirespring.connection.http_server import serve_http
from samphirespring.platform.announcements import AnnouncementApp
from samphirespring.platform.backend_dialect import PlatformBackendDialect
from samphirespring.platform.caller_dialect import PlatformCallerDialect
from samphirespring.platform.settings import PlatformNodeSettings
from samphirespring.process.composition.node_adapter import NodeAdapter, NodeComponents


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
        return CallerApp(
            components.front,
            self._settings.caller_limits,
            dialect,
            budget=components.caller_budget,
        )

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
            accepted_timeout_s=0.0,
            budget=components.management_budget,
        ):
            yield
