"""A host of the target table as dumps show it: with names, which links leave out."""

import msgspec

from samphirespring.process.ids import (
    FailureDomainName,
    HostId,
    Incarnation,
    RegionName,
    TargetId,
)
from samphirespring.process.targets import HostRecord, TargetLoad
from samphirespring.version.ids import ServiceName


class LocalityDump(msgspec.Struct, frozen=True, kw_only=True):
    """Where a host stands."""

    region: RegionName
    failure_domain: FailureDomainName
    host: HostId


class HostTargetDump(msgspec.Struct, frozen=True, kw_only=True):
    """One target of a host."""

    target: TargetId
    service: ServiceName
    load: TargetLoad


class HostDump(msgspec.Struct, frozen=True, kw_only=True):
    """One host."""

    locality: LocalityDump
    incarnation: Incarnation
    link_address: str
    sequence: int
    targets: tuple[HostTargetDump, ...]


def dump_host(record: HostRecord) -> HostDump:
    """Return a host's record with the names of its parts.

    Args:
        record: The record.
    """
    where = record.locality
    return HostDump(
        locality=LocalityDump(
            region=where.region, failure_domain=where.failure_domain, host=where.host
        ),
        incarnation=record.incarnation,
        link_address=record.link_address,
        sequence=record.sequence,
        targets=tuple(
            HostTargetDump(target=target.target, service=target.service, load=target.load)
            for target in record.targets
        ),
    )
