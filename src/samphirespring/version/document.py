"""The document: its sections and their fields, as decoded from JSON."""

from typing import Annotated

import msgspec

from samphirespring.version.ids import (
    DocumentVersion,
    SectionName,
    SectionVersion,
    ServiceName,
    TeamName,
    WorkspaceId,
)
from samphirespring.version.states import DetectionMode, PriorityClass

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0.0)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]

AIM_MARGIN_MS = 60_000
"""An aim so far above its route's deadline is a mistake, in milliseconds."""

ACCESS_SECTION = SectionName("access")
FLEET_SECTION = SectionName("fleet")


class _Part(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, gc=False):
    """Base of all parts of the document: unknown fields are errors; no part holds a cycle."""


class RetryPolicy(_Part, frozen=True, kw_only=True, gc=False):
    """When and how often attempts of a request may be repeated."""

    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 3
    """Attempts of one request, the first included."""

    execution_reserve_ms: Milliseconds = 50
    """Part of the deadline that a retry must leave for execution, in milliseconds."""

    capacity_wait_ms: Milliseconds = 1_000
    """Longest total wait for free capacity in one request, in milliseconds."""

    rate_limit_wait_ms: Milliseconds = 20_000
    """Longest total wait for rate limits in one request, in milliseconds; 0 disables it."""


class HedgePolicy(_Part, frozen=True, kw_only=True, gc=False):
    """When a second attempt of an idempotent read may start before the first one ended."""

    enabled: bool = False
    """Whether hedging is on."""

    delay_ms: Milliseconds = 100
    """Wait before the second attempt, in milliseconds."""


class ResponseCheck(_Part, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """What a right answer of a route looks like."""

    statuses: tuple[int, ...] = ()
    """Expected status codes; empty accepts all below 500."""

    content_type: str | None = None
    """Expected media type, without parameters; null accepts all."""

    required_members: tuple[str, ...] = ()
    """Members that the JSON object in the body must have."""


class RateLimit(_Part, frozen=True, kw_only=True, gc=False):
    """Token bucket."""

    requests_per_s: PositiveFloat
    """Tokens that come back each second."""

    burst: PositiveInt
    """Largest number of tokens."""


class DetectionPolicy(_Part, frozen=True, kw_only=True, gc=False):
    """Weights of detection time against false ejections."""

    mode: DetectionMode = DetectionMode.CAREFUL
    """`fast` weighs detection time more, `careful` false ejections."""

    probe_interval_s: PositiveFloat = 5.0
    """Mean time between two probes of a target that names a health path, in seconds."""

    probe_timeout_s: PositiveFloat = 1.0
    """Time after which a probe without an answer has failed, in seconds."""


class SuspicionPolicy(_Part, frozen=True, kw_only=True, gc=False):
    """How targets fall into short faults, which decides where the next request goes."""

    share: Annotated[float, msgspec.Meta(gt=0.0, lt=1.0)]
    """Share of the targets that are in a fault at any time."""

    span_s: PositiveFloat
    """Mean length of a fault, in seconds."""


class ServicePolicy(_Part, frozen=True, kw_only=True, gc=False):
    """What holds for all targets of one service."""

    floor: Share = 0.7
    """Least share of the service's capacity that ejection leaves."""

    slots: PositiveInt = 5
    """Requests that one target runs at the same time."""

    detection: DetectionPolicy = DetectionPolicy()
    """How gray failures are judged."""

    suspicion: SuspicionPolicy | None = None
    """Where short faults are usual: requests leave a target at its first failure; null waits for
    the evidence of `detection`."""

    retry_share: Share = 0.1
    """Retries and hedges allowed per request, over the service's recent requests."""

    retry_floor: PositiveFloat = 12.0
    """Retries and hedges that all fronts together may add in a window beyond the share."""

    retry_window_s: PositiveFloat = 60.0
    """Time for which a request or a spent retry counts against the budget, in seconds."""

    refusals_are_executions: bool = False
    """Whether repeats after a backend server's own refusal count as retries of executions. Its
    refusals cost little, so that repeats after them are limited to one for each request."""

    slow_start_s: PositiveFloat = 10.0
    """Time in which a new or returning target reaches its full share, in seconds."""

    key_required: bool = False
    """Whether an action without an `Idempotency-Key` is refused."""


class RoutePolicy(_Part, frozen=True, kw_only=True, gc=False):
    """Requests to one host name and path prefix, and how they are served."""

    host: Name
    """Host name of the requests, without port; case doesn't matter."""

    path_prefix: Annotated[str, msgspec.Meta(pattern="^/", max_length=1_000)] = "/"
    """Start of the path, up to a `/`; the longest matching prefix of a host wins."""

    methods: tuple[str, ...] = ()
    """Methods served; empty serves all."""

    service: ServiceName
    """Service that takes the requests."""

    split: dict[ServiceName, PositiveInt] = {}
    """Weights of the services that share the requests; empty sends all to `service`, which must
    be one of them."""

    idempotent: bool = False
    """Whether a request may run more than once."""

    priority: PriorityClass = PriorityClass.INTERACTIVE
    """Class of the requests; `helper` is shed first and never hedged."""

    rank: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    """Order among waiting requests of the same class; lower ones go first."""

    aim_ms: Milliseconds = 0
    """Time within which an answer is worth most, in milliseconds; 0 states none."""

    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=600_000)] = 5_000
    """Longest time for a request that brings no deadline, in milliseconds."""

    retry: RetryPolicy = RetryPolicy()
    """When attempts are repeated."""

    hedge: HedgePolicy = HedgePolicy()
    """When a second attempt starts early."""

    answer: ResponseCheck = ResponseCheck()
    """What a right answer looks like."""

    limit: RateLimit | None = None
    """Limit of each workspace on this route."""

    def __post_init__(self) -> None:
        """Compare the fields that depend on each other."""
        if self.split and self.service not in self.split:
            raise ValueError("`service` is none of the services in `split`")
        if self.aim_ms >= self.deadline_ms + AIM_MARGIN_MS:
            raise ValueError("`aim_ms` is a minute or more above `deadline_ms`")

    @property
    def services(self) -> tuple[ServiceName, ...]:
        """All services that may take the requests."""
        return tuple(self.split) if self.split else (self.service,)


class WorkspacePolicy(_Part, frozen=True, kw_only=True, gc=False):
    """Limits of one workspace."""

    limit: RateLimit | None = None
    """Limit over all routes; null takes the fleet's default."""


class TeamSection(_Part, frozen=True, kw_only=True, gc=False):
    """What one team owns: its services, their routes and workspaces."""

    services: dict[ServiceName, ServicePolicy] = {}
    """Policies by name of the service."""

    routes: tuple[RoutePolicy, ...] = ()
    """Routes of the team."""

    workspaces: dict[WorkspaceId, WorkspacePolicy] = {}
    """Policies by id of the workspace."""


class TeamAccess(_Part, frozen=True, kw_only=True, gc=False):
    """What one team may do."""

    token_sha256: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
    """SHA-256 of the team's bearer token, in lower-case hexadecimal."""

    sections: tuple[SectionName, ...] = ()
    """Sections that the team may change, also before they exist."""

    operate: bool = False
    """Whether the team may drain hosts, read dumps and change replicas."""


class AccessSection(_Part, frozen=True, kw_only=True, gc=False):
    """Teams, the hashes of their tokens and the sections they own."""

    teams: dict[TeamName, TeamAccess] = {}
    """Rights by name of the team."""


class LedgerLayout(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """How workspaces are spread over the groups of the action ledger.

    It never changes: two hosts that disagree about a workspace's group could run an action twice,
    and the claims of a moved workspace would be forgotten.
    """

    shards: int
    """Parts that workspaces are spread over."""

    groups: int
    """Replicated groups that the shards are spread over."""


class CallerConnectionPolicy(_Part, frozen=True, kw_only=True, gc=False):
    """What callers' connections may bring, and how long they may stay idle.

    The settings' bounds hold as well; the smaller one counts.
    """

    header_bytes: PositiveInt = 1 << 16
    """Largest head of a request, in bytes."""

    body_bytes: PositiveInt = 1 << 30
    """Largest body of a request, in bytes."""

    header_timeout_ms: Milliseconds = 60_000
    """Longest time in which the head of a request arrives, in milliseconds."""

    idle_timeout_ms: Milliseconds = 75_000
    """Longest time that a connection stays open between two requests, in milliseconds."""


class FleetSection(_Part, frozen=True, kw_only=True, gc=False):
    """What holds for the whole fleet."""

    caller_connections: CallerConnectionPolicy = CallerConnectionPolicy()
    """Bounds on callers' connections."""

    workspace_header: Name = "x-workspace"
    """Request header that names the caller's workspace."""

    default_limit: RateLimit | None = None
    """Limit of a workspace that no section names."""

    limit_fronts: PositiveInt = 1
    """Fronts that the requests of one workspace spread over; each grants its part of a limit."""

    ledger_retention_s: PositiveInt = 86_400
    """How long the outcome of an action is kept for resends, in seconds."""

    ledger_shards: Annotated[int, msgspec.Meta(ge=1, le=4_096)] = 64
    """Parts that workspaces are spread over in the action ledger; fixed by the first document."""

    ledger_groups: Annotated[int, msgspec.Meta(ge=0, le=256)] = 2
    """Replicated groups that the shards are spread over; fixed by the first document. 0 keeps no
    ledger: actions with a key are refused."""

    subset_size: PositiveInt = 20
    """Targets of one service that a front considers, where the service has more."""

    @property
    def ledger_layout(self) -> LedgerLayout:
        """How workspaces are spread over the groups of the action ledger."""
        return LedgerLayout(shards=self.ledger_shards, groups=self.ledger_groups)


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the whole document."""

    version: DocumentVersion
    access: AccessSection = AccessSection()
    fleet: FleetSection = FleetSection()
    teams: dict[SectionName, TeamSection] = {}
    section_versions: dict[SectionName, SectionVersion] = {}
