"""RPC method for the reports of hosts to the registry.

The messages are encoded as arrays without field names, because they are most of the traffic of an
idle fleet. New fields must be added at the end.
"""

import msgspec

from samphirespring.connection.link_methods import UnaryMethod
from samphirespring.process.ids import HostId, Incarnation, RegistryVersion, TargetId
from samphirespring.process.targets import HostRecord, RegistryDelta, TargetDeparture
from samphirespring.version.stamp import NO_STAMP, DocumentStamp


class HostReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Renews a host's lease."""

    host: HostId
    incarnation: Incarnation
    sequence: int
    """Number of the host's record within the incarnation."""

    record: HostRecord | None = None
    """Sent only if the registry may not have it."""


class ReportBatch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reports of some hosts, and which state of the registry the sender has."""

    known_version: RegistryVersion
    reports: tuple[HostReport, ...]
    initial_table_host: HostId | None = None
    """Host of the batch that may get its first table from peers; None requests the changes."""

    unreachable_sources: tuple[str, ...] = ()
    """Link addresses of peers that didn't reply to a request for the first table."""

    known_control_digest: int = 0
    """Digest of the control hosts' addresses that the sender has; 0 for none."""


class BatchReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Changes of the registry, and the hosts of the batch that must send their records."""

    delta: RegistryDelta
    hosts_without_record: tuple[HostId, ...] = ()
    table_sources: tuple[str, ...] = ()
    """Link addresses of peers that have the whole table, which this reply then omits."""

    leader_link: str | None = None
    """Link address of the registry's leader, if the replying control host isn't the leader; nothing
    of the batch was applied then."""

    document: DocumentStamp = NO_STAMP
    """Newest version of the document that exists according to the replying process."""

    control_links: tuple[str, ...] = ()
    """Link addresses of all control hosts, if the sender of the batch has other ones."""

    age_s: float = 0.0
    """Time since the replying process's last contact with the registry's leader, in seconds."""


class RecordReceipt(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reply to `PRESENT_HOST`."""


class RecordDeparture(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Records that a target of a host has left."""

    host: HostId
    departure: TargetDeparture


class ReadDepartures(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Requests the recorded departures and drains of a host's targets."""

    host: HostId


class DeparturesReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reply to `RecordDeparture`, sent once it is committed, and to `ReadDepartures`."""

    departures: tuple[TargetDeparture, ...] = ()
    leader_link: str | None = None
    """Link address of the registry's leader, if the replying control host isn't the leader; nothing
    was recorded or read then."""

    drained: tuple[TargetId | None, ...] = ()
    """Targets that operators drain; None stands for all targets of the host."""


REPORT_HOSTS: UnaryMethod[ReportBatch, BatchReply] = UnaryMethod(
    path="/samphire.Registry/ReportHosts", request_type=ReportBatch, reply_type=BatchReply
)
RECORD_DEPARTURE: UnaryMethod[RecordDeparture, DeparturesReply] = UnaryMethod(
    path="/samphire.Registry/RecordDeparture",
    request_type=RecordDeparture,
    reply_type=DeparturesReply,
)
READ_DEPARTURES: UnaryMethod[ReadDepartures, DeparturesReply] = UnaryMethod(
    path="/samphire.Registry/ReadDepartures",
    request_type=ReadDepartures,
    reply_type=DeparturesReply,
)

PRESENT_HOST: UnaryMethod[HostRecord, RecordReceipt] = UnaryMethod(
    path="/samphire.Table/PresentHost", request_type=HostRecord, reply_type=RecordReceipt
)
"""Presents a host to one that selects targets for others, ahead of the registry."""
