"""Record of the attempts of a request, for its log line."""

import msgspec

from samphirespring.request.messages import AttemptRefused, AttemptResult, ResponseEnd
from samphirespring.request.selection import Candidate


class AttemptTrace(msgspec.Struct, kw_only=True):
    """One attempt: the target as the front saw it, and the result.

    Attributes:
        candidate: The target as it was selected.
        started_ms: Time from the request's arrival to the start of the attempt, in milliseconds.
        ended_ms: Time from the request's arrival to the result, in milliseconds; None until then.
        result: Result of the attempt; None while it runs.
    """

    candidate: Candidate
    started_ms: int
    ended_ms: int | None = None
    result: AttemptResult | None = None

    def describe(self) -> dict[str, object]:
        """Return the fields of the attempt for the log."""
        fields: dict[str, object] = {
            "target": self.candidate.target,
            "host": self.candidate.locality.host,
            "condition": self.candidate.load.condition.value,
            "from_ms": self.started_ms,
            "to_ms": self.ended_ms,
            "end": _describe_result(self.result),
        }
        if self.candidate.risk is not None:
            fields["risk"] = round(self.candidate.risk, 3)
            fields["max_risk"] = round(self.candidate.max_risk, 3)
        if self.candidate.expected is not None:
            fields["wait_s"] = round(self.candidate.expected.wait_s, 3)
            fields["run_s"] = round(self.candidate.expected.run_s, 3)
        return fields


def _describe_result(result: AttemptResult | None) -> str:
    if result is None:
        return "open"
    if isinstance(result, ResponseEnd):
        return "answered"
    if isinstance(result, AttemptRefused):
        return f"refused:{result.code.value}"
    return f"failed:{result.kind.value}"
