"""What the fleet knows of a target and of the host that speaks for it."""

import msgspec

from samphirespring.process.detection.summaries import TargetSummary
from samphirespring.process.ids import (
    FailureDomainName,
    HostId,
    Incarnation,
    RegionName,
    RegistryVersion,
    TargetId,
)
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.version.ids import ServiceName


class Locality(msgspec.Struct, frozen=True, kw_only=True, gc=False, array_like=True):
    """Where a host stands."""

    region: RegionName
    failure_domain: FailureDomainName
    host: HostId


class TargetLoad(msgspec.Struct, frozen=True, kw_only=True, gc=False, array_like=True):
    """What the agent says of a target with each answer."""

    phase: TargetPhase
    condition: TargetCondition
    free_slots: int
    slots: int
    severity: float = 0.0
    """How strong the evidence of sickness is; orders targets for ejection."""

    weight: float = 1.0
    """Share of its usual requests that the target should get."""

    risk: float | None = None
    """Probability that the target is in a fault; None if its agent doesn't say."""

    summary: TargetSummary | None = None
    """What the target adds to the pool's reference; goes with answers only."""


class TargetRecord(msgspec.Struct, frozen=True, kw_only=True, gc=False, array_like=True):
    """One target in the registry and in the tables of the fronts."""

    target: TargetId
    service: ServiceName
    load: TargetLoad


class HostRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One host's lease in the registry: who speaks for its targets, and where."""

    locality: Locality
    incarnation: Incarnation
    link_address: str
    """`IP:port` of the agent's link server."""

    sequence: int
    """Number of this content within the incarnation."""

    targets: tuple[TargetRecord, ...] = ()


class RegistryDelta(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Changes of the registry between two versions."""

    since: RegistryVersion
    version: RegistryVersion
    complete: bool
    """Whether `hosts` is the whole table, not the changes since `since`."""

    hosts: tuple[HostRecord, ...] = ()
    gone: tuple[HostId, ...] = ()


NO_DELTA = RegistryDelta(since=RegistryVersion(0), version=RegistryVersion(0), complete=False)
"""Tells nothing: what a host gets that must look for its first table elsewhere."""
