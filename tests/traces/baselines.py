"""Baselines that the sequential detector is compared with."""

from collections import deque

from samphirespring.process.detection.detector import Detector, Evidence
from samphirespring.process.detection.observations import FAILURES
from samphirespring.process.detection.states import EvidenceKind, ObservedOutcome

CONSECUTIVE_LIMIT = 5
LATENCY_LIMIT_S = 0.1
"""Fixed latency limit: 2.5 times the median of the generated traces."""

LATENCY_WINDOW = 10
SLOW_LIMIT = 5


class _Baseline(Detector):
    kind = EvidenceKind.NONE

    def use_reference(self, reference):
        """Ignore the pool."""

    def record_stall(self, stall):
        """Ignore attempts that have not ended."""

    def record_probe(self, *, succeeded, now_s):
        """Ignore probes."""

    def summarize(self, now_s):
        """Contribute nothing to the reference."""

    def explain(self, now_s):
        """Return the evidence."""
        return Evidence(
            kind=self.kind,
            severity=self.measure_severity(now_s),
            since_s=None,
            observation_count=0,
        )


class ConsecutiveErrorsDetector(_Baseline):
    """Sick after a fixed number of failures in a row."""

    kind = EvidenceKind.CONSECUTIVE

    def __init__(self, parameters):
        self._count = 0

    def observe(self, observation):
        """Count failures in a row."""
        if observation.outcome in FAILURES:
            self._count += 1
        elif observation.outcome is ObservedOutcome.OK:
            self._count = 0

    def measure_severity(self, now_s):
        """Return the count as a share of the limit."""
        return self._count / CONSECUTIVE_LIMIT

    def reset(self):
        """Forget the failures."""
        self._count = 0


class FixedThresholdDetector(_Baseline):
    """Sick when half of the recent answers failed or took longer than a fixed time."""

    kind = EvidenceKind.THRESHOLD

    def __init__(self, parameters):
        self._slow = deque(maxlen=LATENCY_WINDOW)

    def observe(self, observation):
        """Compare one answer with the limit."""
        if observation.outcome in FAILURES:
            self._slow.append(True)
        elif observation.outcome is ObservedOutcome.OK:
            self._slow.append(observation.latency_s > LATENCY_LIMIT_S)

    def measure_severity(self, now_s):
        """Return the slow answers as a share of the limit."""
        return sum(self._slow) / SLOW_LIMIT

    def reset(self):
        """Forget the answers."""
        self._slow.clear()
