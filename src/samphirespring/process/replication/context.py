"""What all replicated groups of a process share."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from samphirespring.process.ids import ReplicaId
from samphirespring.process.metrics import Metrics
from samphirespring.process.replication.discovery import Discovery
from samphirespring.process.replication.disk import Disk
from samphirespring.process.replication.timing import ReplicaTiming
from samphirespring.process.replication.transport import ReplicationTransport
from samphirespring.process.timers import TimerService


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupLimits:
    """Bounds of one replica.

    Attributes:
        batch_requests: Most questions and proposals that are served between two looks at the
            messages of peers; at 1 ms each that is a quarter of the time between two heartbeats.
        batch_writes: Largest number of appends in one sync.
        snapshot_entries: Applied entries after which a snapshot is taken.
        snapshot_bytes: Sum of applied payloads, in bytes, after which a snapshot is taken.
        retained_entries: Covered entries that stay in the log for followers that lag.
    """

    batch_requests: int = 64
    batch_writes: int = 1_024
    snapshot_entries: int = 10_000
    snapshot_bytes: int = 32 << 20
    retained_entries: int = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicationContext:
    """What all replicated groups of a process share.

    Attributes:
        replica: Replica id of this process.
        link_address: Address that peers reach it by.
        peers: Link addresses of all replicas that the settings name, this one included.
        disk: The data folder.
        transport: The links to the peers.
        timers: The timer service.
        random: Source of random numbers.
        metrics: Where to count and measure.
        timing: Time spans of the consensus protocol.
        limits: Bounds of each replica.
        discovery: How members are found where `peers` names only some; None if it names all.
    """

    replica: ReplicaId
    link_address: str
    peers: Mapping[ReplicaId, str]
    disk: Disk
    transport: ReplicationTransport
    timers: TimerService
    random: Random
    metrics: Metrics
    timing: ReplicaTiming = field(default_factory=ReplicaTiming)
    limits: GroupLimits = field(default_factory=GroupLimits)
    discovery: Discovery | None = None
