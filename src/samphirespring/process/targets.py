"""Records of targets and hosts that agents, registries and fronts exchange."""

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
    """Location of a host."""

    region: RegionName
    failure_domain: FailureDomainName
    host: HostId


class TargetWork(msgspec.Struct, frozen=True, kw_only=True, gc=False, array_like=True):
    """What a target still has to do, as its agent expects it."""

    remaining_s: float
    """Work of all attempts that run or wait, in seconds of a target of usual speed."""

    pace: float
    """Ratio of the target's times to the usual ones; at 2.0 it takes twice as long."""

    run_s: float | None = None
    """Time that the attempt that carries the report took, in seconds; None if the attempt says
    nothing about its cost."""


class TargetSheds(msgspec.Struct, frozen=True, kw_only=True, gc=False, array_like=True):
    """What a target sheds of its requests."""

    share: float
    """Share of its latest attempts that it shed."""

    fault_risk: float
    """Probability that it is in a fault, if what it sheds is no sign of one."""


class TargetLoad(msgspec.Struct, frozen=True, kw_only=True, gc=False, array_like=True):
    """State of a target that its agent reports with each response."""

    phase: TargetPhase
    condition: TargetCondition
    free_slots: int
    slots: int
    severity: float = 0.0
    """Strength of the evidence that the target is unhealthy; orders targets for ejection."""

    weight: float = 1.0
    """Share of its usual requests that the target should receive."""

    risk: float | None = None
    """Probability that the target is in a fault; None if its agent doesn't report it."""

    summary: TargetSummary | None = None
    """The target's contribution to the pool's reference; sent with responses only."""

    work: TargetWork | None = None
    """What the target still has to do; None unless its service places requests by work."""

    sheds: TargetSheds | None = None
    """What it sheds; None if next to nothing."""


class TargetRecord(msgspec.Struct, frozen=True, kw_only=True, gc=False, array_like=True):
    """One target in the registry and in the tables of the fronts."""

    target: TargetId
    service: ServiceName
    load: TargetLoad


class HostRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One host's entry in the registry: its agent, the agent's address and its targets."""

    locality: Locality
    incarnation: Incarnation
    link_address: str
    """`IP:port` of the agent's link server."""

    sequence: int
    """Number of the record's content within the incarnation; grows with each change."""

    targets: tuple[TargetRecord, ...] = ()


class TargetDeparture(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A target that withdrew or began to drain: its earlier announcements are outdated."""

    target: TargetId
    started_ms: int
    """Start of the backend server that left, in milliseconds of wall time."""

    sequence: int
    """Announcements of this start with a lower number are outdated, and those of earlier starts."""


class LeaveRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Targets of a host that are to get no work, as far as earlier processes of the host knew.

    Attributes:
        departures: The latest departure of each target.
        drained: Targets that operators drain; None stands for all targets of the host.
    """

    departures: tuple[TargetDeparture, ...] = ()
    drained: tuple[TargetId | None, ...] = ()


class RegistryDelta(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Changes of the registry between two versions."""

    since: RegistryVersion
    version: RegistryVersion
    complete: bool
    """Whether `hosts` is the complete table rather than the changes since `since`."""

    hosts: tuple[HostRecord, ...] = ()
    gone: tuple[HostId, ...] = ()


NO_DELTA = RegistryDelta(since=RegistryVersion(0), version=RegistryVersion(0), complete=False)
"""Empty delta for a host that must get its first table from another source."""
