"""Messages between a front and an agent about one attempt, independent of any encoding.

They go as arrays without names, which would be half of most messages: new fields go to the end.
"""

import msgspec

from samphirespring.process.detection.target_evaluator import DetectionTerms
from samphirespring.process.ids import Incarnation, TargetId
from samphirespring.process.targets import TargetLoad
from samphirespring.request.ids import AttemptId, IdempotencyKey, RequestId
from samphirespring.request.states import FailureKind, RefusalCode
from samphirespring.version.document import AnswerCheck
from samphirespring.version.ids import DocumentVersion, ServiceName
from samphirespring.version.states import PriorityClass


class Header(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """One HTTP header; the name is in lower case."""

    name: bytes
    value: bytes


class AttemptRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One attempt to run a request on a target."""

    request: RequestId
    attempt: AttemptId
    target: TargetId
    service: ServiceName
    document_version: DocumentVersion
    method: bytes
    path: bytes
    """Path with query."""

    headers: tuple[Header, ...]
    key: IdempotencyKey | None = None
    body: bytes
    remaining_ms: int
    """Time left until the caller's deadline, in milliseconds."""

    priority: PriorityClass
    rank: int = 0
    """Order among waiting attempts of the same class; lower ones go first."""

    idempotent: bool
    answer: AnswerCheck
    max_risk: float = 1.0
    """Probability of a fault up to which the target is to run the attempt; the front knows of
    another target that is as good."""

    may_try: bool = False
    """Whether the attempt may show if a suspect target serves again."""

    incarnation: Incarnation | None = None
    """For an action: the only incarnation of the agent that may start the attempt."""

    terms: DetectionTerms | None = None
    """How to judge the target by this attempt."""

    start_by_wall_ms: int | None = None
    """For an action: latest start, in milliseconds of wall time."""


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="head"):
    """Status and headers of the answer."""

    attempt: AttemptId
    status: int
    headers: tuple[Header, ...]
    body_length: int | None
    """Length that the backend server stated, in bytes."""


class AnswerChunk(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="chunk"):
    """Part of the answer's body."""

    data: bytes


class AnswerEnd(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="end"):
    """The answer is complete."""

    attempt: AttemptId
    body_length: int
    """Length of the whole body as the agent read it, in bytes."""

    load: TargetLoad


class AttemptRefused(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="refused"):
    """The attempt did not start and never will."""

    attempt: AttemptId
    code: RefusalCode
    retry_after_ms: int | None = None
    load: TargetLoad | None = None
    by_target: bool = False
    """Whether the request reached the backend server, which refused it itself."""


class AttemptFailed(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="failed"):
    """The attempt ended without a complete answer."""

    attempt: AttemptId
    kind: FailureKind
    started: bool
    """False only if no byte of the request reached the backend server."""

    load: TargetLoad | None = None


AttemptFrame = AnswerHead | AnswerChunk | AnswerEnd | AttemptRefused | AttemptFailed
"""What an agent sends about an attempt; the last one is an end, a refusal or a failure."""

AttemptEnd = AnswerEnd | AttemptRefused | AttemptFailed
"""The last frame of an attempt."""


class FrameBatch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Frames of one attempt, in order, that travel together."""

    frames: tuple[AttemptFrame, ...]
