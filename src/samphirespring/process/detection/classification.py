"""Classifies the outcome of one attempt as evidence about its target."""

import msgspec

from samphirespring.process.detection.reference import PoolReference
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.errors import DECODE_ERRORS
from samphirespring.request.messages import AttemptFailed, ResponseHead
from samphirespring.request.states import FailureKind
from samphirespring.version.document import ResponseCheck

INSPECTED_BYTES = 1 << 16
"""Maximum length of a body whose JSON members are checked, in bytes."""

TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
NOT_MODIFIED = 304
BODYLESS_STATUSES = frozenset({204, NOT_MODIFIED})
CLIENT_ERRORS = range(400, 500)
FIRST_SERVER_ERROR = 500
MIN_TIMEOUT_S = 1.0
"""Timeout from which a timed-out attempt counts while there is no reference, in seconds."""

TIMEOUT_FACTOR = 3.0
"""Multiple of the pool's 97th percentile from which a timed-out attempt counts."""

_FAILURE_OUTCOMES = {
    FailureKind.CONNECT: ObservedOutcome.RESET,
    FailureKind.RESET: ObservedOutcome.RESET,
    FailureKind.CUT: ObservedOutcome.CUT,
    FailureKind.WRONG: ObservedOutcome.WRONG,
    FailureKind.MISMATCH: ObservedOutcome.WRONG,
}
_MEMBERS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])


class ResponseInspector:
    """Checks a streamed response against the expectations of its route.

    Args:
        check: Status, content type and members that a correct response has.
        bodyless: Whether responses to the request's method have no body.
    """

    def __init__(self, check: ResponseCheck, *, bodyless: bool = False) -> None:
        self._bodyless = bodyless
        self._check = check
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._collects_body = False

    def feed_head(self, head: ResponseHead) -> None:
        """Process the status and the headers.

        Args:
            head: Head of the response.
        """
        self._head = head
        length = head.body_length
        is_short = length is None or length <= INSPECTED_BYTES
        self._collects_body = (
            bool(self._check.required_members) and is_short and not self._is_opaque(head)
        )

    def _is_opaque(self, head: ResponseHead) -> bool:
        """Return whether there is no body, or its encoding keeps it from being parsed as JSON."""
        if self._bodyless or head.status in BODYLESS_STATUSES:
            return True
        return any(header.name == b"content-encoding" for header in head.headers)

    def feed_chunk(self, data: bytes) -> None:
        """Process part of the body.

        Args:
            data: The bytes.
        """
        if self._collects_body:
            self._body += data
            self._collects_body = len(self._body) <= INSPECTED_BYTES

    def classify(self) -> ObservedOutcome:
        """Return the outcome of the complete response."""
        head = self._head
        if head is None:
            return ObservedOutcome.RESET
        status = head.status
        if status in self._check.statuses:
            return self._classify_content(head)
        if status == NOT_MODIFIED:
            # Response to a conditional request of the caller.
            return ObservedOutcome.OK
        if _is_shed(head):
            return ObservedOutcome.SHED
        if status in CLIENT_ERRORS:
            return ObservedOutcome.CLIENT_ERROR
        if status >= FIRST_SERVER_ERROR or self._check.statuses:
            return ObservedOutcome.WRONG
        return self._classify_content(head)

    def _classify_content(self, head: ResponseHead) -> ObservedOutcome:
        expected = self._check.content_type
        if expected is not None and _read_content_type(head) != expected.lower():
            return ObservedOutcome.WRONG
        if self._collects_body and not self._has_members():
            return ObservedOutcome.WRONG
        return ObservedOutcome.OK

    def _has_members(self) -> bool:
        try:
            members = _MEMBERS_DECODER.decode(self._body)
        except DECODE_ERRORS:
            return False
        return all(name in members for name in self._check.required_members)


def classify_failure(
    failure: AttemptFailed,
    *,
    elapsed_s: float,
    timeout_s: float,
    reference: PoolReference | None,
) -> ObservedOutcome | None:
    """Return the outcome of a failed attempt, or None if it is no evidence about the target.

    Args:
        failure: How the attempt failed.
        elapsed_s: Time that the target spent on the attempt, in seconds.
        timeout_s: Timeout of the attempt, in seconds.
        reference: The pool's reference, if there is one.
    """
    outcome = _FAILURE_OUTCOMES.get(failure.kind)
    if outcome is not None:
        return outcome
    p97_s = None if reference is None else reference.read_p97_s()
    if failure.kind is FailureKind.TIMEOUT:
        min_timeout_s = MIN_TIMEOUT_S if p97_s is None else TIMEOUT_FACTOR * p97_s
        # A timeout shortened by the caller's deadline is no evidence against the target.
        return ObservedOutcome.TIMEOUT if timeout_s >= min_timeout_s else None
    if failure.kind is FailureKind.CANCELLED and p97_s is not None and elapsed_s > p97_s:
        # The latency of a cancelled hedge is at least the elapsed time: evidence of slowness.
        return ObservedOutcome.OK
    return None


def _is_shed(head: ResponseHead) -> bool:
    if head.status == TOO_MANY_REQUESTS:
        return True
    return head.status == UNAVAILABLE and any(h.name == b"retry-after" for h in head.headers)


def _read_content_type(head: ResponseHead) -> str:
    for header in head.headers:
        if header.name == b"content-type":
            return header.value.decode("latin-1").partition(";")[0].strip().lower()
    return ""
