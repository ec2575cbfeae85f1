"""Probes of health endpoints over HTTP."""

from samphirespring.connection.upstream_connection import (
    ConnectionBrokenError,
    UpstreamConnection,
    open_connection,
)
from samphirespring.process.health_probe import HealthProbe

HEALTHY_STATUSES = range(200, 300)
MAX_PROBE_BYTES = 65_536
"""Largest response body of a health endpoint; a larger one fails the probe."""


class HttpHealthProbe(HealthProbe):
    """Sends one GET on a new connection, so that a probe also tests connecting."""

    async def check(self, *, address: str, path: str) -> bool:
        """Return whether a complete response with status 2xx was received."""
        try:
            connection = await open_connection(address)
        except OSError:
            return False
        try:
            return await _send_probe(connection, address=address, path=path)
        except ConnectionBrokenError:
            return False
        finally:
            connection.close()


async def _send_probe(connection: UpstreamConnection, *, address: str, path: str) -> bool:
    connection.begin(bodyless=False)
    connection.write(_encode_probe(address=address, path=path))
    head = await connection.read_head()
    byte_count = 0
    async for data in connection.iterate_body():
        byte_count += len(data)
        if byte_count > MAX_PROBE_BYTES:
            return False
    return head.status in HEALTHY_STATUSES


def _encode_probe(*, address: str, path: str) -> bytes:
    lines = (
        f"GET {path} HTTP/1.1",
        f"host: {address}",
        "user-agent: samphire-probe",
        "connection: close",
    )
    return "\r\n".join((*lines, "", "")).encode()
