"""Messages to the agent, and its dumps."""

import math
from collections.abc import Mapping
from typing import Annotated

import msgspec

from samphirespring.process.agent.admission_queue import Admission
from samphirespring.process.bounds import (
    BOUNDED_NAME,
    UNKNOWN_START,
    AnnouncementSequence,
    BoundedSequence,
    BoundedWallMs,
    DurationS,
    IpPort,
    SlotCount,
    WallMs,
    check_address,
)
from samphirespring.process.detection.observations import Stall
from samphirespring.process.detection.probe_schedule import ProbePlan
from samphirespring.process.detection.reference import PoolReference
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.detection.target_evaluator import DetectionTerms
from samphirespring.process.detection.target_health import HealthDump
from samphirespring.process.ids import Incarnation, TargetId
from samphirespring.process.mailbox import ReplySlot
from samphirespring.process.states import TargetPhase
from samphirespring.process.targets import HostRecord, LeaveRecord, TargetLoad
from samphirespring.process.tasks import StateDump
from samphirespring.request.ids import AttemptId
from samphirespring.request.messages import AttemptRefused, AttemptRequest
from samphirespring.version.document import ServicePolicy
from samphirespring.version.ids import DocumentVersion, ServiceName

LONGEST_FACTOR = 1.5
"""Ratio of the longest attempts of a pool to its 97th percentile."""

HEALTH_PATH = r"^/[!-~]*$"
"""Pattern of a path that is valid in an HTTP request line."""


class Announcement(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Announcement of one target by its backend server."""

    service: Annotated[ServiceName, BOUNDED_NAME]
    address: IpPort
    """`IP:port` where the backend server listens for requests."""

    phase: TargetPhase = TargetPhase.SERVING
    slots: SlotCount | None = None
    """Limit of concurrent requests of the target; None applies the service's policy."""

    started_ms: BoundedWallMs = UNKNOWN_START
    """Start of the backend server, in milliseconds of wall time; a later start takes precedence."""

    sequence: BoundedSequence = AnnouncementSequence(0)
    """Number of the announcement since that start; one lower than the latest is ignored."""

    cold_s: DurationS | None = None
    """Duration of the slow start, in seconds; None if the backend server doesn't state it."""

    health_path: Annotated[str, msgspec.Meta(pattern=HEALTH_PATH, max_length=1_000)] | None = None
    """Path of the target's health endpoint; None disables probes of the target."""

    def __post_init__(self) -> None:
        """Check the address."""
        check_address(self.address)


class AnnouncementReceipt(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to an announcement."""

    target: TargetId
    incarnation: Incarnation
    lease_s: float
    """The announcement must be renewed within this time, in seconds."""


class AnnounceTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Adds a target or renews its lease."""

    target: TargetId
    announcement: Announcement
    reply: ReplySlot[AnnouncementReceipt]


class WithdrawTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Removes a target; requests in flight continue."""

    target: TargetId
    started_ms: WallMs = UNKNOWN_START
    """Start of the backend server that withdraws, in milliseconds of wall time; 0 for any."""

    reply: ReplySlot[bool]
    """Whether the target was registered."""


class UseLeaveRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Delivers the departures and drains that are recorded from before this process started."""

    record: LeaveRecord


class AdmitAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Requests a slot for an attempt."""

    request: AttemptRequest
    reply: ReplySlot[Admission | AttemptRefused]


class FinishAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Releases a slot and reports the outcome of the attempt."""

    target: TargetId
    attempt: AttemptId
    latency_s: float
    """Latency of the target, without time in queues and on links, in seconds."""

    outcome: ObservedOutcome | None
    """Outcome as evidence of the target's health; None if it is no evidence."""

    terms: DetectionTerms | None
    reply: ReplySlot[TargetLoad]
    stalled: bool = False
    """Whether `RecordStall` reported the attempt before."""


class RecordStall(msgspec.Struct, frozen=True, kw_only=True):
    """Reports an attempt in flight whose wait far exceeds the usual latency."""

    target: TargetId
    stall: Stall
    terms: DetectionTerms | None


class ListProbePlans(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the probe plans of the host's targets."""

    reply: ReplySlot[tuple[ProbePlan, ...]]


class RecordProbe(msgspec.Struct, frozen=True, kw_only=True):
    """Reports the result of a probe."""

    target: TargetId
    succeeded: bool


class UsePolicies(msgspec.Struct, frozen=True, kw_only=True):
    """Applies the services' policies of a new version of the document."""

    version: DocumentVersion
    services: Mapping[ServiceName, ServicePolicy]


class ReadHostRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the host's record for the registry."""

    reply: ReplySlot[HostRecord | None]


class DrainHost(msgspec.Struct, frozen=True, kw_only=True):
    """Makes the agent refuse new attempts, because the process stops.

    As long as the front accepts callers, whose requests the process waits for, attempts are
    admitted that end in time as a rule: they hardly prolong the stop.

    Attributes:
        callers_end_at_s: Until when the front accepts callers, in seconds of monotonic time.
        ends_at_s: End of the process, in seconds of monotonic time.
    """

    callers_end_at_s: float = -math.inf
    ends_at_s: float = -math.inf

    def admits(self, reference: PoolReference | None, *, now_s: float) -> bool:
        """Return whether an attempt on a target may still start.

        Args:
            reference: Latencies of the target's pool; None if they aren't known.
            now_s: Monotonic time, in seconds.
        """
        if reference is None:
            return False
        accepts_callers = now_s <= self.callers_end_at_s
        longest_s = LONGEST_FACTOR * reference.read_p97_s()
        may_be_cut_off = now_s + longest_s > self.ends_at_s
        return accepts_callers and not may_be_cut_off


class SetDrain(msgspec.Struct, frozen=True, kw_only=True):
    """Starts or ends a drain on an operator's request."""

    target: TargetId | None
    """The target; None means all targets of the host."""

    draining: bool
    reply: ReplySlot[bool]
    """Whether the target is registered."""


class LocalTargetDump(StateDump, frozen=True, kw_only=True):
    """State of one target on this host."""

    target: TargetId
    announcement: Announcement
    load: TargetLoad
    running: int
    waiting: int
    lease_left_s: float
    health: HealthDump


class AgentDump(StateDump, frozen=True, kw_only=True):
    """State of the agent."""

    incarnation: Incarnation
    draining: bool
    document_version: DocumentVersion | None
    drained_by_operator: tuple[TargetId, ...]
    targets: tuple[LocalTargetDump, ...]
    running: int
    waiting_messages: int


class ReadAgentDump(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the agent's state."""

    reply: ReplySlot[AgentDump]


AgentMessage = (
    AnnounceTarget
    | WithdrawTarget
    | UseLeaveRecord
    | AdmitAttempt
    | FinishAttempt
    | ListProbePlans
    | RecordProbe
    | RecordStall
    | UsePolicies
    | ReadHostRecord
    | DrainHost
    | SetDrain
    | ReadAgentDump
)
