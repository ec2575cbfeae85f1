"""Messages to the target table, and its dump."""

from collections.abc import Mapping

import msgspec

from samphirespring.process.document.relay_tree import Peer
from samphirespring.process.host_dump import HostDump
from samphirespring.process.ids import (
    FailureDomainName,
    HostId,
    RegistryVersion,
    TargetId,
    WorkKind,
)
from samphirespring.process.mailbox import ReplySlot
from samphirespring.process.paging import DumpPage, EntryKey, PageRequest
from samphirespring.process.target_advice import TargetAdviceDump
from samphirespring.process.targets import HostRecord, Locality, RegistryDelta, TargetLoad
from samphirespring.process.tasks import PagedDump
from samphirespring.process.work.work_estimator import ServiceWorkDump
from samphirespring.request.selection import Candidate
from samphirespring.request.target_source import SelectionTerms
from samphirespring.version.document import ServicePolicy
from samphirespring.version.ids import ServiceName


class SelectTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a target for an attempt; the requester posts `ReleaseTarget` when it ends."""

    terms: SelectionTerms
    reply: ReplySlot[Candidate | None]
    locality: Locality | None = None
    """Locality of the front that sends the attempt; None for this process's own front."""

    is_shared: bool = False
    """Whether several fronts ask this table, which then explores less."""


class UpdateLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Reports a target's load, which its agent sent with a response."""

    target: TargetId
    load: TargetLoad
    kind: WorkKind | None = None
    """Kind of the request that the attempt belonged to; None if it isn't known."""


class ReleaseTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Reports the end of an attempt of this front on a selected target."""

    target: TargetId


class UseSubsetSize(msgspec.Struct, frozen=True, kw_only=True):
    """Sets how many targets of a service the front uses if the service has more."""

    size: int


class UseServicePolicies(msgspec.Struct, frozen=True, kw_only=True):
    """Applies the policies of all services."""

    policies: Mapping[ServiceName, ServicePolicy]


class UpdatePath(msgspec.Struct, frozen=True, kw_only=True):
    """Reports whether this front can reach a host."""

    host: HostId
    reached: bool


class ProbePath(msgspec.Struct, frozen=True, kw_only=True):
    """Requests that the path prober checks whether this front can reach a host."""

    host: HostId
    link_address: str


class ApplyDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Applies changes of the registry."""

    delta: RegistryDelta


class ReadTableDump(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the table's state."""

    reply: ReplySlot["TargetTableDump"]


class ReadTablePage(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a page of one of the table's long lists."""

    request: PageRequest
    reply: ReplySlot[DumpPage[object]]


class FindScheduler(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the host whose table should select the targets of a service."""

    service: ServiceName
    reply: ReplySlot[Peer | None]
    """The host; None if this process's own table should."""

    excluded: HostId | None = None
    """Host that isn't to be found."""


class UsePresentedHost(msgspec.Struct, frozen=True, kw_only=True):
    """Applies a record that its host sent, ahead of the registry."""

    record: HostRecord


class ReadPeers(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the hosts of one failure domain."""

    domain: FailureDomainName
    reply: ReplySlot[tuple[Peer, ...]]


TableMessage = (
    SelectTarget
    | ReleaseTarget
    | UpdateLoad
    | UpdatePath
    | UseSubsetSize
    | UseServicePolicies
    | ApplyDelta
    | ReadTableDump
    | ReadTablePage
    | ReadPeers
    | FindScheduler
    | UsePresentedHost
)


class TargetTableDump(PagedDump, frozen=True, kw_only=True):
    """State of the target table."""

    registry_version: RegistryVersion
    hosts: tuple[HostDump, ...]
    advice: TargetAdviceDump
    costs: tuple[ServiceWorkDump, ...]
    """Learned costs of the services whose requests are placed by work."""

    held: tuple[EntryKey, ...]
    """Hosts missing from the registry's latest complete table that are kept for a limited time."""

    waiting_messages: int
