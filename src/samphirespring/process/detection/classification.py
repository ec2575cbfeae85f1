"""Evidence in one attempt: which outcome it is, and which latency is the target's own."""

import msgspec

from samphirespring.process.detection.reference import PoolReference
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.request.messages import AnswerHead, AttemptFailed
from samphirespring.request.states import FailureKind
from samphirespring.version.document import AnswerCheck

INSPECTED_BYTES = 1 << 16
"""Longest body whose members are checked."""

TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
NOT_MODIFIED = 304
BODYLESS_STATUSES = frozenset({204, NOT_MODIFIED})
CLIENT_ERRORS = range(400, 500)
FIRST_SERVER_ERROR = 500
MIN_TIMEOUT_S = 1.0
"""Time that an attempt must have been granted for its timeout to count without a reference."""

TIMEOUT_FACTOR = 3.0
"""Time granted over the pool's 97th percentile, from which a timeout counts."""

_FAILURE_OUTCOMES = {
    FailureKind.CONNECT: ObservedOutcome.RESET,
    FailureKind.RESET: ObservedOutcome.RESET,
    FailureKind.CUT: ObservedOutcome.CUT,
    FailureKind.WRONG: ObservedOutcome.WRONG,
    FailureKind.MISMATCH: ObservedOutcome.WRONG,
}
_MEMBERS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])


class ResponseInspector:
    """Compares an answer with what its route states, while it passes.

    Args:
        check: What a right answer looks like.
        bodyless: Whether the request's method brings no body back.
    """

    def __init__(self, check: AnswerCheck, *, bodyless: bool = False) -> None:
        self._bodyless = bodyless
        self._check = check
        self._head: AnswerHead | None = None
        self._body = bytearray()
        self._keep = False

    def feed_head(self, head: AnswerHead) -> None:
        """Take status and headers.

        Args:
            head: The head.
        """
        self._head = head
        length = head.body_length
        readable = length is None or length <= INSPECTED_BYTES
        self._keep = bool(self._check.required_members) and readable and not self._is_opaque(head)

    def _is_opaque(self, head: AnswerHead) -> bool:
        """Return whether the body, if there is one, can't be read as JSON text."""
        if self._bodyless or head.status in BODYLESS_STATUSES:
            return True
        return any(header.name == b"content-encoding" for header in head.headers)

    def feed_chunk(self, data: bytes) -> None:
        """Take part of the body.

        Args:
            data: The bytes.
        """
        if self._keep:
            self._body += data
            self._keep = len(self._body) <= INSPECTED_BYTES

    def classify(self) -> ObservedOutcome:
        """Return the outcome of the complete answer."""
        head = self._head
        if head is None:
            return ObservedOutcome.RESET
        status = head.status
        if status in self._check.statuses:
            return self._judge_content(head)
        if status == NOT_MODIFIED:
            # The caller asked for it by a condition in its request.
            return ObservedOutcome.OK
        if _is_shed(head):
            return ObservedOutcome.SHED
        if status in CLIENT_ERRORS:
            return ObservedOutcome.CLIENT_ERROR
        if status >= FIRST_SERVER_ERROR or self._check.statuses:
            return ObservedOutcome.WRONG
        return self._judge_content(head)

    def _judge_content(self, head: AnswerHead) -> ObservedOutcome:
        expected = self._check.content_type
        if expected is not None and _read_content_type(head) != expected.lower():
            return ObservedOutcome.WRONG
        if self._keep and not self._has_members():
            return ObservedOutcome.WRONG
        return ObservedOutcome.OK

    def _has_members(self) -> bool:
        try:
            members = _MEMBERS_DECODER.decode(self._body)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return False
        return all(name in members for name in self._check.required_members)


def classify_failure(
    failure: AttemptFailed,
    *,
    elapsed_s: float,
    granted_s: float,
    reference: PoolReference | None,
) -> ObservedOutcome | None:
    """Return the outcome of a failed attempt, or None where it says nothing of the target.

    Args:
        failure: How the attempt failed.
        elapsed_s: Time that the target took until then, in seconds.
        granted_s: Time that the attempt was granted, in seconds.
        reference: The pool's reference.
    """
    outcome = _FAILURE_OUTCOMES.get(failure.kind)
    if outcome is not None:
        return outcome
    usual_s = None if reference is None else reference.read_p97_s()
    if failure.kind is FailureKind.TIMEOUT:
        enough_s = MIN_TIMEOUT_S if usual_s is None else TIMEOUT_FACTOR * usual_s
        # A caller with little time left proves nothing against the target.
        return ObservedOutcome.TIMEOUT if granted_s >= enough_s else None
    if failure.kind is FailureKind.CANCELLED and usual_s is not None and elapsed_s > usual_s:
        # The target took at least this long: the loser of a hedge is slow evidence.
        return ObservedOutcome.OK
    return None


def _is_shed(head: AnswerHead) -> bool:
    if head.status == TOO_MANY_REQUESTS:
        return True
    return head.status == UNAVAILABLE and any(h.name == b"retry-after" for h in head.headers)


def _read_content_type(head: AnswerHead) -> str:
    for header in head.headers:
        if header.name == b"content-type":
            return header.value.decode("latin-1").partition(";")[0].strip().lower()
    return ""
