"""A host of the target table as dumps show it: with field names, which link messages omit."""

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
    """Location of a host."""

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
    """Convert a host's record to its dump, which has field names.

    Args:
        record: The record.
    """
    locality = record.locality
    return HostDump(
        locality=LocalityDump(
            region=locality.region, failure_domain=locality.failure_domain, host=locality.host
        ),
        incarnation=record.incarnation,
        link_address=record.link_address,
        sequence=record.sequence,
        targets=tuple(
            HostTargetDump(target=target.target, service=target.service, load=target.load)
            for target in record.targets
        ),
    )
