"""HTTP endpoint of the metrics, as text."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from samphirespring.connection.http_server import serve_http
from samphirespring.process.caller_budget import CallerBudget
from samphirespring.process.metrics.metrics import Metrics

PATH = "/metrics"


@asynccontextmanager
async def serve_metrics(
    metrics: Metrics, *, address: str | None, budget: CallerBudget | None = None
) -> AsyncIterator[None]:
    """Serve the metrics while the context is open.

    Args:
        metrics: The metrics.
        address: `IP:port` to listen on; None serves nothing.
        budget: Counts what the connections hold; None sets no limit.

    Raises:
        AddressUnavailableError: The address is taken or isn't one of this host.
    """

    async def respond(request: Request) -> Response:
        text = await metrics.read_text()
        return Response(text.body, headers={"content-type": text.content_type})

    if address is None:
        yield
        return
    app = Starlette(routes=[Route(PATH, respond, methods=["GET"])])
    async with serve_http(app, address=address, accepted_timeout_s=0.0, budget=budget):
        yield
