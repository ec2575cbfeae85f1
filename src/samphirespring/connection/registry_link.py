"""Reports of hosts to the registry, over links.

They go as arrays without names, as most of what the fleet sends at rest: new fields go to the end.
"""

import msgspec

from samphirespring.connection.link_methods import UnaryMethod
from samphirespring.process.ids import HostId, Incarnation, RegistryVersion
from samphirespring.process.targets import HostRecord, RegistryDelta
from samphirespring.version.stamp import NO_STAMP, DocumentStamp


class HostReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Renews a host's lease."""

    host: HostId
    incarnation: Incarnation
    sequence: int
    """Number of the host's record within the incarnation."""

    record: HostRecord | None = None
    """Only where the registry may not know it."""


class ReportBatch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reports of some hosts, and what the sender knows of the registry."""

    known_version: RegistryVersion
    reports: tuple[HostReport, ...]
    initial_table_host: HostId | None = None
    """Host of the batch that may be sent to peers for its first table; None wants what changed."""

    unreachable_sources: tuple[str, ...] = ()
    """Link addresses of peers that didn't answer when they were asked for the first table."""

    known_control_digest: int = 0
    """Digest of the control hosts' addresses that the sender knows; 0 for none."""


class BatchReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What changed, and which hosts of the batch must send their records."""

    delta: RegistryDelta
    unknown: tuple[HostId, ...] = ()
    table_sources: tuple[str, ...] = ()
    """Link addresses of peers to ask for the whole table, which this reply then doesn't have."""

    leader_link: str | None = None
    """Link address of the registry's leader, where the answering control host isn't it; nothing of
    the batch was taken then."""

    document: DocumentStamp = NO_STAMP
    """Newest version of the document that the answering process knows of."""

    control_links: tuple[str, ...] = ()
    """Link addresses of all control hosts, if the sender of the batch knows others."""

    age_s: float = 0.0
    """Time since the answering process heard the registry's leader, in seconds."""


REPORT_HOSTS: UnaryMethod[ReportBatch, BatchReply] = UnaryMethod(
    path="/samphire.Registry/ReportHosts", request_type=ReportBatch, reply_type=BatchReply
)
