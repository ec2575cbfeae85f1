"""Simple detectors that the sequential detector is compared with."""

from collections import deque

from samphirespring.process.detection.detector import Detector, Evidence
from samphirespring.process.detection.observations import FAILURES
from samphirespring.process.detection.states import EvidenceKind, ObservedOutcome

CONSECUTIVE_LIMIT = 5
LATENCY_LIMIT_S = 0.1
"""Fixed limit of the latency, in seconds: 2.5 times the median of the generated traces."""

LATENCY_WINDOW = 10
FAILED_OR_SLOW_LIMIT = 5


class _Baseline(Detector):
    kind = EvidenceKind.NONE

    def use_reference(self, reference):
        """Ignore the pool's reference."""

    def record_stall(self, stall):
        """Ignore attempts that have not ended."""

    def record_probe(self, *, succeeded, now_s):
        """Ignore probes."""

    def summarize(self, now_s):
        """Return no summary for the reference."""

    def explain(self, now_s):
        """Return the evidence."""
        return Evidence(
            kind=self.kind,
            severity=self.measure_severity(now_s),
            since_s=None,
            observation_count=0,
        )


class ConsecutiveErrorsDetector(_Baseline):
    """Reports a target as unhealthy after a fixed number of consecutive failures."""

    kind = EvidenceKind.CONSECUTIVE

    def __init__(self, parameters):
        self._count = 0

    def observe(self, observation):
        """Count consecutive failures."""
        if observation.outcome in FAILURES:
            self._count += 1
        elif observation.outcome is ObservedOutcome.OK:
            self._count = 0

    def measure_severity(self, now_s):
        """Return the count as a share of the limit."""
        return self._count / CONSECUTIVE_LIMIT

    def reset(self):
        """Reset the count."""
        self._count = 0


class FixedThresholdDetector(_Baseline):
    """Reports a target as unhealthy when half of its recent responses failed or were slow."""

    kind = EvidenceKind.THRESHOLD

    def __init__(self, parameters):
        self._failed_or_slow = deque(maxlen=LATENCY_WINDOW)

    def observe(self, observation):
        """Compare a response with the limit."""
        if observation.outcome in FAILURES:
            self._failed_or_slow.append(True)
        elif observation.outcome is ObservedOutcome.OK:
            self._failed_or_slow.append(observation.latency_s > LATENCY_LIMIT_S)

    def measure_severity(self, now_s):
        """Return the number of failed or slow responses as a share of the limit."""
        return sum(self._failed_or_slow) / FAILED_OR_SLOW_LIMIT

    def reset(self):
        """Discard the responses."""
        self._failed_or_slow.clear()
