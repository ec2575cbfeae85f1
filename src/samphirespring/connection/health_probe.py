"""Probes of health endpoints over HTTP."""

import anyio
import httpcore

from samphirespring.process.addresses import parse_address
from samphirespring.process.health_probe import HealthProbe

HEALTHY_STATUSES = range(200, 300)
PROBE_HEADERS = [(b"user-agent", b"samphire-probe"), (b"connection", b"close")]
MAX_PROBE_BYTES = 65_536
"""Largest response body of a health endpoint; a larger one fails the probe."""


class HttpHealthProbe(HealthProbe):
    """Sends one GET on a new connection, so that a probe also tests connecting."""

    async def check(self, *, address: str, path: str) -> bool:
        """Return whether a complete response with status 2xx was received."""
        parts = parse_address(address)
        url = httpcore.URL(
            scheme=b"http", host=parts.host.encode(), port=parts.port, target=path.encode()
        )
        headers = [(b"host", address.encode()), *PROBE_HEADERS]
        origin = httpcore.Origin(scheme=b"http", host=url.host, port=parts.port)
        connection = httpcore.AsyncHTTPConnection(origin)
        try:
            request = httpcore.Request(b"GET", url, headers=headers)
            return await _read_response(await connection.handle_async_request(request))
        except (httpcore.ProtocolError, httpcore.NetworkError, httpcore.TimeoutException):
            return False
        finally:
            with anyio.CancelScope(shield=True):
                await connection.aclose()


async def _read_response(response: httpcore.Response) -> bool:
    byte_count = 0
    try:
        async for data in response.aiter_stream():
            byte_count += len(data)
            if byte_count > MAX_PROBE_BYTES:
                return False
    finally:
        await response.aclose()
    return response.status in HEALTHY_STATUSES
