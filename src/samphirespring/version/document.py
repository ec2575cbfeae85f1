"""The document: its sections and their fields, as decoded from JSON."""

import re
from typing import Annotated

import msgspec

from samphirespring.version.ids import (
    ApiKeyDigest,
    DocumentVersion,
    SectionName,
    SectionVersion,
    ServiceName,
    TeamName,
    WorkspaceId,
)
from samphirespring.version.states import (
    AdmissionMode,
    DetectionMode,
    PlacementMode,
    PriorityClass,
    RetryPlan,
)

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0.0)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Rank = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Digest = Annotated[ApiKeyDigest, msgspec.Meta(pattern="^[0-9a-f]{64}$")]

HEADER_SAFE_ID = re.compile(r"^[!-~]{1,200}\Z")
"""Ids of workspaces that can be sent as the value of a header."""

AIM_MARGIN_MS = 60_000
"""Excess of `aim_ms` over `deadline_ms` from which it is rejected as a mistake, in milliseconds."""

ACCESS_SECTION = SectionName("access")
FLEET_SECTION = SectionName("fleet")


class _Part(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, gc=False):
    """Base of all parts of the document; unknown fields are errors, and parts contain no cycles."""


class RetryPolicy(_Part, frozen=True, kw_only=True, gc=False):
    """When and how often a request may be retried."""

    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 3
    """Most attempts of one request, including the first."""

    execution_reserve_ms: Milliseconds = 50
    """Time that must remain until the deadline for a retry to start, in milliseconds."""

    capacity_wait_ms: Milliseconds = 1_000
    """Longest time that one request waits for free capacity in total, in milliseconds."""

    rate_limit_wait_ms: Milliseconds = 20_000
    """Longest time that one request waits for rate limits in total, in milliseconds; 0 disables
    waiting."""


class HedgePolicy(_Part, frozen=True, kw_only=True, gc=False):
    """When a second attempt of an idempotent read may start before the first one has ended."""

    enabled: bool = False
    """Whether hedging is enabled."""

    delay_ms: Milliseconds = 100
    """Delay of the second attempt after the first, in milliseconds."""


class ResponseCheck(_Part, frozen=True, kw_only=True, gc=False, omit_defaults=True):
    """Conditions that a correct response of a route meets."""

    statuses: tuple[int, ...] = ()
    """Accepted status codes; an empty list accepts all below 500."""

    content_type: str | None = None
    """Accepted media type, without parameters; null accepts all."""

    required_members: tuple[str, ...] = ()
    """Members that the JSON object in the body must contain."""


class RateLimit(_Part, frozen=True, kw_only=True, gc=False):
    """Rate limit by a token bucket."""

    requests_per_s: PositiveFloat
    """Tokens added to the bucket each second."""

    burst: PositiveInt
    """Largest number of tokens in the bucket."""


class DetectionPolicy(_Part, frozen=True, kw_only=True, gc=False):
    """How gray failures of a service's targets are detected."""

    mode: DetectionMode = DetectionMode.CAREFUL
    """`fast` prefers a short detection time, `careful` prefers few false ejections."""

    probe_interval_s: PositiveFloat = 5.0
    """Mean interval between probes of a target that announces a health path, in seconds."""

    probe_timeout_s: PositiveFloat = 1.0
    """Time after which a probe without a response fails, in seconds."""


class SuspicionPolicy(_Part, frozen=True, kw_only=True, gc=False):
    """Frequency and duration of short faults of targets, used when a target is chosen."""

    share: Annotated[float, msgspec.Meta(gt=0.0, lt=1.0)]
    """Share of the targets that have a fault at any time."""

    span_s: PositiveFloat
    """Mean duration of a fault, in seconds."""


class ServicePolicy(_Part, frozen=True, kw_only=True, gc=False):
    """Settings of all targets of one service."""

    floor: Share = 0.7
    """Least share of the service's capacity that remains when targets are ejected."""

    slots: PositiveInt = 5
    """Requests that one target runs concurrently."""

    detection: DetectionPolicy = DetectionPolicy()
    """How gray failures are detected."""

    suspicion: SuspicionPolicy | None = None
    """Model of short faults, for services where they are common: requests avoid a target from its
    first failure on; null waits for the evidence of `detection`."""

    placement: PlacementMode = PlacementMode.SLOTS
    """What decides, beside risk and distance, which target a request goes to: `slots` counts free
    slots, `work` weighs the learned cost of the request against what each target has to do."""

    retry_share: Share = 0.1
    """Retries and hedges allowed for each request, over the service's recent requests."""

    retry_floor: PositiveFloat = 12.0
    """Retries and hedges that all fronts together may add to the share in one window."""

    retry_window_s: PositiveFloat = 60.0
    """Window of the retry budget: time for which a request or a retry counts, in seconds."""

    admission: AdmissionMode = AdmissionMode.BRIEF
    """What happens to attempts that find no free slot: `brief` lets them try other targets, `queue`
    lets them wait by rank, aim and fair shares of the workspaces as long as they can be in time."""

    refusals_are_executions: bool = False
    """Whether retries after a backend server's own refusal count as retries of executions. Its
    refusals cost little, so retries after them are limited to one for each request."""

    retry_plan: RetryPlan = RetryPlan.BY_FRONT
    """Who decides on retries while most targets of the service shed: each front (`by_front`), or
    one host for many fronts, which needs `suspicion` (`by_service`)."""

    pooled_retry_factor: PositiveFloat = 1.0
    """Factor on `retry_share` and `retry_floor` for retries that one host grants for many fronts:
    it can spend a budget to the full that fronts must not, each by itself."""

    slow_start_s: PositiveFloat = 10.0
    """Time in which a new or returning target ramps up to its full share, in seconds."""

    key_required: bool = False
    """Whether an action without an `Idempotency-Key` is rejected."""


class RoutePolicy(_Part, frozen=True, kw_only=True, gc=False):
    """How requests to one host name and path prefix are served."""

    host: Name
    """Host name of the requests, without port and case-insensitive."""

    path_prefix: Annotated[str, msgspec.Meta(pattern="^/", max_length=1_000)] = "/"
    """Prefix of the path, matched at a `/` boundary; a host's longest matching prefix applies."""

    methods: tuple[str, ...] = ()
    """Methods that the route serves; an empty list serves all."""

    service: ServiceName
    """Service that receives the requests."""

    split: dict[ServiceName, PositiveInt] = {}
    """Weights of the services that share the requests, with `service` among them; empty sends all
    requests to `service`."""

    idempotent: bool = False
    """Whether a request may run more than once."""

    priority: PriorityClass = PriorityClass.INTERACTIVE
    """Priority of the requests; `helper` is shed first and never hedged."""

    rank: Rank = 0
    """Order of waiting requests of the same priority; lower ranks go first."""

    aim_ms: Milliseconds = 0
    """Time within which a response is most useful, in milliseconds; 0 sets no such time."""

    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=600_000)] = 5_000
    """Deadline of a request that carries none, in milliseconds."""

    retry: RetryPolicy = RetryPolicy()
    """When attempts are retried."""

    hedge: HedgePolicy = HedgePolicy()
    """When a second attempt starts before the first has ended."""

    answer: ResponseCheck = ResponseCheck()
    """Conditions that a correct response meets."""

    limit: RateLimit | None = None
    """Rate limit of each workspace on this route; null sets none."""

    key_exempt: bool = False
    """Whether requests need no API key although workspaces have keys."""

    def __post_init__(self) -> None:
        """Validate the fields that depend on each other."""
        if self.split and self.service not in self.split:
            raise ValueError("`service` is not among the services in `split`")
        if self.aim_ms >= self.deadline_ms + AIM_MARGIN_MS:
            raise ValueError("`aim_ms` is a minute or more above `deadline_ms`")

    @property
    def services(self) -> tuple[ServiceName, ...]:
        """All services that may receive the requests."""
        return tuple(self.split) if self.split else (self.service,)


class WorkspacePolicy(_Part, frozen=True, kw_only=True, gc=False):
    """Rate limits, API keys and priority of one workspace."""

    limit: RateLimit | None = None
    """Limit over all routes, applied by each front; null uses the fleet's default."""

    quota: RateLimit | None = None
    """Limit over all routes and all fronts together; null sets none."""

    api_keys: tuple[Digest, ...] = ()
    """SHA-256 of each API key that shows that a request belongs to the workspace."""

    rank: Rank | None = None
    """Order of waiting requests of the same priority; replaces the route's; null keeps it."""


class TeamSection(_Part, frozen=True, kw_only=True, gc=False):
    """Services, routes and workspaces that one team owns."""

    services: dict[ServiceName, ServicePolicy] = {}
    """Policies by service name."""

    routes: tuple[RoutePolicy, ...] = ()
    """Routes of the team."""

    workspaces: dict[WorkspaceId, WorkspacePolicy] = {}
    """Policies by workspace id."""

    def __post_init__(self) -> None:
        """Validate the ids of workspaces with API keys, which are sent in a header."""
        for workspace, policy in self.workspaces.items():
            if policy.api_keys and not HEADER_SAFE_ID.match(workspace):
                raise ValueError("the id of a workspace with `api_keys` isn't visible ASCII")


class TeamAccess(_Part, frozen=True, kw_only=True, gc=False):
    """Permissions of one team."""

    token_sha256: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
    """SHA-256 of the team's bearer token, in lower-case hexadecimal."""

    sections: tuple[SectionName, ...] = ()
    """Sections that the team may change, or add if they don't exist yet."""

    operate: bool = False
    """Whether the team may drain hosts and targets, read dumps and change replicas."""


class AccessSection(_Part, frozen=True, kw_only=True, gc=False):
    """Teams, the hashes of their tokens and the sections they own."""

    teams: dict[TeamName, TeamAccess] = {}
    """Permissions by team name."""


class LedgerLayout(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """How workspaces are distributed over the groups of the action ledger.

    The layout never changes: two hosts that disagree about a workspace's group could run an action
    twice, and the claims of a workspace that moves to another group would be lost.
    """

    shards: int
    """Number of shards that workspaces are distributed over."""

    groups: int
    """Number of replicated groups that the shards are distributed over."""


class CallerConnectionPolicy(_Part, frozen=True, kw_only=True, gc=False):
    """Limits on the requests of callers' connections and on their idle time.

    The limits in the node's settings apply as well; the smaller of the two is used.
    """

    header_bytes: PositiveInt = 1 << 16
    """Largest size of a request's head, in bytes."""

    body_bytes: PositiveInt = 1 << 30
    """Largest body of a request, in bytes."""

    header_timeout_ms: Milliseconds = 60_000
    """Longest time until the head of a request has arrived, in milliseconds."""

    idle_timeout_ms: Milliseconds = 75_000
    """Longest time that a connection stays open between two requests, in milliseconds."""


class FleetSection(_Part, frozen=True, kw_only=True, gc=False):
    """Settings of the whole fleet."""

    caller_connections: CallerConnectionPolicy = CallerConnectionPolicy()
    """Limits on callers' connections."""

    workspace_header: Name = "x-workspace"
    """Request header that names the caller's workspace."""

    default_limit: RateLimit | None = None
    """Rate limit of a workspace that has none of its own; null sets none."""

    limit_fronts: PositiveInt = 1
    """Fronts that the requests of one workspace are spread over; each grants a share of a limit."""

    api_key_header: Name = "samphire-api-key"
    """Request header that carries the API key; it isn't passed on to backend servers."""

    api_keys_required: bool = False
    """Whether requests need an API key even if no workspace holds one; as soon as any workspace
    holds one, they always do."""

    key_lease_ms: Milliseconds = 0
    """Longest time for which a host runs requests with API keys after the control hosts confirmed
    that its document is the newest, in milliseconds; 0 sets no limit."""

    quota_overshoot: Share = 0.0
    """Share by which all fronts together may exceed a quota within `quota_window_s`, used by fronts
    that can't reach the control hosts."""

    quota_slack: Annotated[int, msgspec.Meta(ge=0)] = 0
    """Requests that all fronts together may add to a quota within `quota_window_s`, used like
    `quota_overshoot`."""

    quota_window_s: PositiveFloat = 5.0
    """Window over which `quota_overshoot` and `quota_slack` apply, in seconds."""

    ledger_retention_s: PositiveInt = 86_400
    """Time for which the outcome of an action is kept for resends, in seconds."""

    ledger_shards: Annotated[int, msgspec.Meta(ge=1, le=4_096)] = 64
    """Shards of the action ledger that workspaces are distributed over; fixed by the first
    document."""

    ledger_groups: Annotated[int, msgspec.Meta(ge=0, le=256)] = 2
    """Replicated groups that the shards are distributed over; fixed by the first document. With 0
    there is no ledger, and actions with a key are rejected."""

    subset_size: PositiveInt = 20
    """Most targets of one service that a front considers."""

    @property
    def ledger_layout(self) -> LedgerLayout:
        """How workspaces are distributed over the groups of the action ledger."""
        return LedgerLayout(shards=self.ledger_shards, groups=self.ledger_groups)


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the whole document."""

    version: DocumentVersion
    access: AccessSection = AccessSection()
    fleet: FleetSection = FleetSection()
    teams: dict[SectionName, TeamSection] = {}
    section_versions: dict[SectionName, SectionVersion] = {}
