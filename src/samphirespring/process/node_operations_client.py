"""Calls the operations of nodes over links, for the operators of a control host.

`NodeOperations` serves these calls at the node.
"""

from samphirespring.connection.link_errors import LinkUnavailableError
from samphirespring.connection.link_methods import ReplyT, RequestT, UnaryMethod
from samphirespring.connection.link_pool import LinkPool
from samphirespring.connection.operation_link import (
    DRAIN,
    DUMP,
    DrainRequest,
    DumpRequest,
)
from samphirespring.process.errors import ErrorCode, SamphireError
from samphirespring.process.ids import HostId, TargetId
from samphirespring.process.paging import PageRequest
from samphirespring.process.registry.commands import HostDrain
from samphirespring.process.registry_service import RegistryService
from samphirespring.process.targets import HostRecord

CALL_TIMEOUT_S = 5.0


class HostUnknownError(SamphireError):
    """No host with this name has a lease in the registry."""

    code = ErrorCode.HOST_UNKNOWN


class TargetNotFoundError(SamphireError):
    """No host announces this target."""

    code = ErrorCode.TARGET_UNKNOWN


class NodeOperationsClient:
    """Finds nodes in the registry and calls their operations.

    Args:
        registry: The registry.
        links: Links to the nodes.
    """

    def __init__(self, *, registry: RegistryService, links: LinkPool) -> None:
        self._registry = registry
        self._links = links

    async def list_hosts(self) -> tuple[HostRecord, ...]:
        """Return the hosts with a lease."""
        return (await self._registry.read_table()).hosts

    async def set_host_drain(self, host: HostId, *, draining: bool) -> None:
        """Start or end the drain of all targets of a host, which outlives the host's process.

        Args:
            host: The host.
            draining: Whether the drain starts.

        Raises:
            HostUnknownError: The host has no lease.
            NotLeaderError: Another control host is the registry's leader.
            LinkUnavailableError: The host doesn't reply; it follows once it starts again.
        """
        record = await self._find_host(host)
        await self._record_drain(record, target=None, draining=draining)
        await self._call(record, DRAIN, DrainRequest(target=None, draining=draining))

    async def set_target_drain(self, target: TargetId, *, draining: bool) -> None:
        """Start or end the drain of one target, which outlives its host's process.

        Args:
            target: The target.
            draining: Whether the drain starts.

        Raises:
            TargetNotFoundError: No host announces the target.
            NotLeaderError: Another control host is the registry's leader.
            LinkUnavailableError: The host doesn't reply; it follows once it starts again.
        """
        for record in await self.list_hosts():
            if any(entry.target == target for entry in record.targets):
                await self._record_drain(record, target=target, draining=draining)
                request = DrainRequest(target=target, draining=draining)
                receipt = await self._call(record, DRAIN, request)
                if receipt.known:
                    return
        raise TargetNotFoundError(f"no host announces target {target}")

    async def read_dump(self, host: HostId, *, page: PageRequest | None = None) -> bytes:
        """Return the dump of a host's node as JSON, or one page of a list in it.

        Args:
            host: The host.
            page: The page; None reads the whole dump.

        Raises:
            HostUnknownError: The host has no lease.
            LinkUnavailableError: The host doesn't reply.
        """
        record = await self._find_host(host)
        return (await self._call(record, DUMP, DumpRequest(page=page))).text

    async def _record_drain(
        self, record: HostRecord, *, target: TargetId | None, draining: bool
    ) -> None:
        host = record.locality.host
        await self._registry.record_drain(HostDrain(host=host, target=target, draining=draining))

    async def _find_host(self, host: HostId) -> HostRecord:
        for record in await self.list_hosts():
            if record.locality.host == host:
                return record
        raise HostUnknownError(f"host {host} has no lease in the registry")

    async def _call(
        self, record: HostRecord, method: UnaryMethod[RequestT, ReplyT], request: RequestT
    ) -> ReplyT:
        try:
            with self._links.use(record.link_address) as link:
                return await link.call(method, request, timeout_s=CALL_TIMEOUT_S)
        except LinkUnavailableError as error:
            raise LinkUnavailableError(
                f"host {record.locality.host}: {error.detail}", sent=error.sent
            ) from None
