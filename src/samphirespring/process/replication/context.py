"""Resources and settings that all replicated groups of a process share."""

from collections.abc import Mapping
from random import Random

import msgspec

from samphirespring.process.ids import FailureDomainName, ReplicaId
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.replication.discovery import Discovery
from samphirespring.process.replication.disk import Disk
from samphirespring.process.replication.timing import ReplicaTiming
from samphirespring.process.replication.transport import ReplicationTransport
from samphirespring.process.timers import TimerService


class GroupLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of one replica.

    Attributes:
        request_batch_size: Largest number of requests and proposals served before the messages of
            peers are handled again; at 1 ms each, that is a quarter of the heartbeat interval.
        write_batch_size: Largest number of appends in one sync.
        snapshot_entries: Applied entries after which a snapshot is taken.
        snapshot_bytes: Sum of applied payloads, in bytes, after which a snapshot is taken.
        retained_entries: Entries before a snapshot that stay in the log for followers that lag.
    """

    request_batch_size: int = 64
    write_batch_size: int = 1_024
    snapshot_entries: int = 10_000
    snapshot_bytes: int = 32 << 20
    retained_entries: int = 1_000


class ReplicationContext(msgspec.Struct, frozen=True, kw_only=True):
    """Resources and settings that all replicated groups of a process share.

    Attributes:
        replica: Replica id of this process.
        link_address: Link address at which peers reach this process.
        peers: Link addresses of all replicas that the settings name, this one included.
        disk: The data folder.
        transport: The links to the peers.
        timers: The timer service.
        random: Source of random numbers.
        metrics: Receives the counters and durations.
        timing: Intervals and timeouts of the consensus protocol.
        limits: Bounds of each replica.
        discovery: How members are found if `peers` names only some hosts; None if it names all.
        failure_domain: Failure domain of this host; None if it isn't known.
    """

    replica: ReplicaId
    link_address: str
    peers: Mapping[ReplicaId, str]
    disk: Disk
    transport: ReplicationTransport
    timers: TimerService
    random: Random
    metrics: Metrics
    timing: ReplicaTiming = msgspec.field(default_factory=ReplicaTiming)
    limits: GroupLimits = msgspec.field(default_factory=GroupLimits)
    discovery: Discovery | None = None
    failure_domain: FailureDomainName | None = None
