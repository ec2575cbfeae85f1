"""Messages to the agent, which speaks for the targets on its host."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

import msgspec

from samphirespring.process.admission_queue import Admission
from samphirespring.process.detection.observations import Stall
from samphirespring.process.detection.probe_schedule import ProbePlan
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.detection.target_evaluator import DetectionTerms
from samphirespring.process.detection.target_health import HealthDump
from samphirespring.process.ids import Incarnation, TargetId
from samphirespring.process.mailbox import ReplySlot
from samphirespring.process.states import TargetPhase
from samphirespring.process.targets import HostRecord, TargetLoad
from samphirespring.process.tasks import StateDump
from samphirespring.request.messages import AttemptRefused, AttemptRequest
from samphirespring.version.document import ServicePolicy
from samphirespring.version.ids import DocumentVersion, ServiceName

HEALTH_PATH = r"^/[!-~]*$"
"""Pattern of a path that may stand in a request line."""


class Announcement(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What a backend server says of one of its targets."""

    service: ServiceName
    address: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
    """`IP:port` where the backend server takes requests."""

    phase: TargetPhase = TargetPhase.SERVING
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)] | None = None
    """Requests that the target runs at the same time; None takes the service's policy."""

    started_ms: Annotated[int, msgspec.Meta(ge=0)] = 0
    """Start of the backend server, in milliseconds of wall time; a later start goes first."""

    sequence: Annotated[int, msgspec.Meta(ge=0)] = 0
    """Number of the announcement since that start; lower ones that come later are ignored."""

    cold_s: Annotated[float, msgspec.Meta(ge=0.0)] | None = None
    """How long the target stays slow after its start, in seconds; None if it doesn't say."""

    health_path: Annotated[str, msgspec.Meta(pattern=HEALTH_PATH, max_length=1_000)] | None = None
    """Path of the target's health endpoint; None has the target not probed."""


class AnnouncementReceipt(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an announcement."""

    target: TargetId
    incarnation: Incarnation
    lease_s: float
    """The announcement must be renewed within this time, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AnnounceTarget:
    """Brings an announcement, new or renewed."""

    target: TargetId
    announcement: Announcement
    reply: ReplySlot[AnnouncementReceipt]


@dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawTarget:
    """Takes a target out; requests in flight go on."""

    target: TargetId
    started_ms: int = 0
    """Start of the backend server that leaves, in milliseconds of wall time; 0 for any."""

    reply: ReplySlot[bool]
    """Whether the target was known."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmitAttempt:
    """Asks for a slot."""

    request: AttemptRequest
    reply: ReplySlot[Admission | AttemptRefused]


@dataclass(frozen=True, slots=True, kw_only=True)
class FinishAttempt:
    """Gives a slot back, with what was seen."""

    target: TargetId
    latency_s: float
    """Time that the target took, without queues and links, in seconds."""

    outcome: ObservedOutcome | None
    """What the attempt says of the target; None says nothing."""

    terms: DetectionTerms | None
    reply: ReplySlot[TargetLoad]
    stalled: bool = False
    """Whether `NoteStall` told of the attempt before."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NoteStall:
    """Tells that an attempt in flight has waited far longer than usual."""

    target: TargetId
    stall: Stall
    terms: DetectionTerms | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ListProbes:
    """Asks which targets of the host are to be probed."""

    reply: ReplySlot[tuple[ProbePlan, ...]]


@dataclass(frozen=True, slots=True, kw_only=True)
class NoteProbe:
    """Brings the result of a probe."""

    target: TargetId
    succeeded: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class UsePolicies:
    """Brings the services' policies of a new version of the document."""

    version: DocumentVersion
    services: Mapping[ServiceName, ServicePolicy]


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportHost:
    """Asks for the host's record for the registry."""

    reply: ReplySlot[HostRecord | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainHost:
    """Refuses all new work from now on."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SetDrain:
    """Starts or ends a drain that an operator asks for."""

    target: TargetId | None
    """The target; None means all targets of the host."""

    draining: bool
    reply: ReplySlot[bool]
    """Whether the target is known."""


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


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadAgentDump:
    """Asks for the agent's state."""

    reply: ReplySlot[AgentDump]


AgentMessage = (
    AnnounceTarget
    | WithdrawTarget
    | AdmitAttempt
    | FinishAttempt
    | ListProbes
    | NoteProbe
    | NoteStall
    | UsePolicies
    | ReportHost
    | DrainHost
    | SetDrain
    | ReadAgentDump
)
