"""Messages between a front and an agent about one attempt, independent of their encoding.

The messages are encoded as arrays without field names, which would make up half of most messages.
New fields must therefore be added at the end.
"""

import msgspec

from samphirespring.process.detection.target_evaluator import DetectionTerms
from samphirespring.process.ids import Incarnation, TargetId
from samphirespring.process.targets import TargetLoad
from samphirespring.request.ids import AttemptId, IdempotencyKey, RequestId
from samphirespring.request.states import FailureKind, RefusalCode
from samphirespring.version.document import ResponseCheck
from samphirespring.version.ids import (
    NO_WORKSPACE,
    ApiKeyFingerprint,
    DocumentVersion,
    ServiceName,
    WorkspaceId,
)
from samphirespring.version.states import PriorityClass


class Header(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """One HTTP header. The name is in lower case."""

    name: bytes
    value: bytes


class AttemptRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Requests that an agent runs a request on a target once."""

    request: RequestId
    attempt: AttemptId
    target: TargetId
    service: ServiceName
    document_version: DocumentVersion
    method: bytes
    path: bytes
    """Path with query string."""

    headers: tuple[Header, ...]
    key: IdempotencyKey | None = None
    body: bytes
    remaining_ms: int
    """Time remaining until the caller's deadline, in milliseconds."""

    priority: PriorityClass
    rank: int = 0
    """Order among queued attempts of the same priority class; lower ranks run first."""

    idempotent: bool
    answer: ResponseCheck
    max_risk: float = 1.0
    """Highest probability of a fault at which the target accepts the attempt; above it, the front
    has another target that is at least as good."""

    may_try: bool = False
    """Whether the attempt may be used to test if a suspect target has recovered."""

    incarnation: Incarnation | None = None
    """For actions: the only incarnation of the agent that may start the attempt."""

    terms: DetectionTerms | None = None
    """How the agent evaluates the target from this attempt."""

    start_by_wall_ms: int | None = None
    """For actions: latest time at which the attempt may start, in milliseconds of wall time."""

    body_follows: bool = False
    """Whether the body is sent after the agent has admitted the attempt; `body` is empty then."""

    body_length: int | None = None
    """Length of a body that follows, in bytes; None if the caller didn't declare it."""

    workspace: WorkspaceId = NO_WORKSPACE
    """The workspace that the request belongs to."""

    api_key: ApiKeyFingerprint | None = None
    """Fingerprint of the API key that the request depends on; None if it needs none."""

    aim_left_ms: int | None = None
    """Time left until the request's aim, in milliseconds; below 0 once it has passed, None without
    an aim."""

    work_s: float | None = None
    """Expected work, in seconds of a target of usual speed; None if the front expects nothing."""

    sheds_are_load: bool = False
    """Whether what the target sheds is no sign of a fault, as most targets of its service shed."""


class ResponseHead(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="head"):
    """Status and headers of the response."""

    attempt: AttemptId
    status: int
    headers: tuple[Header, ...]
    body_length: int | None
    """Body length that the backend server declared, in bytes; None if it declared none."""


class ResponseChunk(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="chunk"):
    """Part of the response body."""

    data: bytes


class ResponseEnd(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="end"):
    """Marks the response as complete."""

    attempt: AttemptId
    body_length: int
    """Length of the whole body that the agent read, in bytes."""

    load: TargetLoad


class AttemptRefused(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="refused"):
    """The attempt did not start and never will start."""

    attempt: AttemptId
    code: RefusalCode
    retry_after_ms: int | None = None
    load: TargetLoad | None = None
    by_target: bool = False
    """Whether the backend server received the request and refused it itself."""


class AttemptFailed(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="failed"):
    """The attempt ended without a complete response."""

    attempt: AttemptId
    kind: FailureKind
    started: bool
    """False only if no byte of the request was sent to the backend server."""

    load: TargetLoad | None = None


AttemptFrame = ResponseHead | ResponseChunk | ResponseEnd | AttemptRefused | AttemptFailed
"""Frame that an agent sends about an attempt. The last frame is an `AttemptResult`."""

AttemptResult = ResponseEnd | AttemptRefused | AttemptFailed
"""Result of an attempt, which is its last frame."""


class FrameBatch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Consecutive frames of one attempt that are sent in one message."""

    frames: tuple[AttemptFrame, ...]
