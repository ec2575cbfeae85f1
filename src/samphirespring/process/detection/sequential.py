"""Sequential detector: CUSUM tests over latency and over failures."""

import math

from samphirespring.process.detection.cusum import CumulativeSum
from samphirespring.process.detection.detector import Detector, Evidence
from samphirespring.process.detection.observations import FAILURES, Observation, Stall
from samphirespring.process.detection.parameters import DetectionParameters
from samphirespring.process.detection.reference import PoolReference, ReferenceScale
from samphirespring.process.detection.states import EvidenceKind, ObservedOutcome
from samphirespring.process.detection.summaries import (
    MIN_LATENCY_S,
    ResponseWindow,
    TargetSummary,
)

MIN_SCORE_SHIFT = 0.4
MAX_SCORE_SHIFT = 1.5
"""Bounds of the shift that the latency test is most sensitive to, in units of the score."""

REFERENCE_RISE = math.log(1.15)
"""Rise of the pool's log median from which earlier latencies are scored again."""

POOL_FAILURE_MARGIN = 1.5
"""Factor on the pool's share of failures, because healthy targets differ and the median of a few
shares is too low."""

MAX_HEALTHY_FAILURE_SHARE = 0.2
MIN_UNHEALTHY_FAILURE_SHARE = 0.3
MAX_UNHEALTHY_FAILURE_SHARE = 0.6
MIN_TREND_FAILURE_SHARE = 0.05
UNHEALTHY_FAILURE_FACTOR = 3.0
TREND_FAILURE_FACTOR = 4.0
"""Bounds of the assumed shares of failures, and their ratios to the share of a healthy pool."""

STALL_RATIO = 3.5
"""Log likelihood ratio of a stalled attempt, unhealthy over healthy. It is lower than that of a
failure, because with a heavy tail of latencies some attempts on healthy targets wait that long."""

DOUBLED_WAIT_RATIO = 2.5
"""Log likelihood ratio of each doubling of a stalled attempt's wait without any response."""

MAX_STALL_SHARE = 0.45
"""Maximum that one stalled attempt adds, as a share of the threshold, so that two of them never
reach it."""

PROBE_SEVERITY_STEP = 0.05
MAX_PROBE_SEVERITY = 0.15
"""Severity added by one failed probe, and maximum added by all probes."""

PROBE_HALF_LIFE_S = 60.0
MIN_LIVE_SEVERITY = 0.3
"""Severity from live responses below which failed probes are ignored."""

MILLISECONDS_PER_SECOND = 1_000


class SequentialDetector(Detector):
    """Compares each response with the pool's and accumulates log likelihood ratios.

    There are three sums: latency, a large share of failures, and a small share of failures over a
    longer time. The severity is the largest of them relative to its threshold.

    Args:
        parameters: Parameters of the detection mode.
    """

    def __init__(self, parameters: DetectionParameters) -> None:
        self._parameters = parameters
        self._window = ResponseWindow()
        self._scale: ReferenceScale | None = None
        self._shift = MIN_SCORE_SHIFT
        self._tolerance = math.log(parameters.tolerated_ratio)
        self._base_log_median = 0.0
        self._latency = CumulativeSum(threshold=parameters.latency_threshold)
        self._failures = CumulativeSum(threshold=parameters.failure_threshold)
        self._trend = CumulativeSum(threshold=parameters.failure_threshold)
        self._probe_severity = 0.0
        self._probe_failed_at_s = 0.0
        self._last_success_at_s = -math.inf
        self._pool_fails_often = False
        self._p97_s = 0.0
        self._use_failure_share(0.0)

    def observe(self, observation: Observation) -> None:
        """Add the outcome of an attempt."""
        if observation.stalled:
            self._record_late_end(observation)
        elif observation.outcome in FAILURES:
            self._add_outcome(failed=True, now_s=observation.at_s)
        elif observation.outcome is ObservedOutcome.OK:
            self._last_success_at_s = observation.at_s
            self._add_outcome(failed=False, now_s=observation.at_s)
            if observation.latency_s is not None:
                log_latency = math.log(max(MIN_LATENCY_S, observation.latency_s))
                self._add_latency(log_latency, now_s=observation.at_s)

    def record_stall(self, stall: Stall) -> None:
        """Add the evidence of an attempt in flight that has stalled."""
        if stall.first:
            self._window.add_outcome(failed=True)
        ratio = self._compute_stall_ratio(stall.stage, stall) - self._compute_stall_ratio(
            stall.counted_stage, stall
        )
        if ratio > 0.0:
            self._failures.add(ratio, now_s=stall.at_s)

    def use_reference(self, reference: PoolReference) -> None:
        """Replace the reference that observations are compared with."""
        if self._scale is not None and reference == self._scale.reference:
            return
        scale = ReferenceScale(reference)
        self._scale = scale
        self._p97_s = reference.read_p97_s()
        shift = math.log(self._parameters.unhealthy_ratio) - self._tolerance
        self._shift = min(MAX_SCORE_SHIFT, max(MIN_SCORE_SHIFT, shift / scale.log_scale))
        self._use_failure_share(scale.failure_share)
        if self._latency.since_s is None:
            self._base_log_median = scale.log_median
        elif scale.log_median > self._base_log_median + REFERENCE_RISE:
            self._rescore(self._latency.since_s)
            self._base_log_median = scale.log_median

    def record_probe(self, *, succeeded: bool, now_s: float) -> None:
        """Add the result of a probe; a success clears no evidence."""
        if succeeded:
            return
        self._probe_severity = min(
            MAX_PROBE_SEVERITY, self._read_probe_severity(now_s) + PROBE_SEVERITY_STEP
        )
        self._probe_failed_at_s = now_s

    def measure_severity(self, now_s: float) -> float:
        """Return the strength of the evidence; from 1 on the target is unhealthy."""
        strongest = self._find_strongest()
        severity = strongest.level
        if severity < MIN_LIVE_SEVERITY:
            return severity
        severity += self._read_probe_severity(now_s)
        if severity >= 1.0 and not self._may_reach_threshold(strongest, now_s):
            return math.nextafter(1.0, 0.0)
        return severity

    def explain(self, now_s: float) -> Evidence:
        """Return the evidence, for operators."""
        strongest = self._find_strongest()
        summary = self._window.summarize(now_s=now_s)
        scale = self._scale
        return Evidence(
            kind=self._name_kind(strongest),
            severity=round(self.measure_severity(now_s), 3),
            since_s=strongest.since_s,
            observation_count=strongest.count,
            latency=round(self._latency.level, 3),
            failures=round(self._failures.level, 3),
            failure_trend=round(self._trend.level, 3),
            probe=round(self._read_probe_severity(now_s), 3),
            failure_share=0.0 if summary is None else summary.failure_per_mille / 1_000,
            pool_failure_share=0.0 if scale is None else scale.failure_share,
            pool_median_ms=(
                None
                if scale is None
                else round(math.exp(scale.log_median) * MILLISECONDS_PER_SECOND, 3)
            ),
        )

    def summarize(self, now_s: float) -> TargetSummary | None:
        """Return the target's contribution to the pool's reference."""
        return self._window.summarize(now_s=now_s)

    def reset(self) -> None:
        """Discard the evidence, so that a trial starts without any."""
        self._latency.reset()
        self._failures.reset()
        self._trend.reset()
        self._probe_severity = 0.0

    def _compute_stall_ratio(self, stage: int, stall: Stall) -> float:
        if stage == 0:
            return 0.0
        first_ratio = min(STALL_RATIO, self._failure_ratio)
        overdue_s = stall.started_at_s + self._p97_s
        if self._last_success_at_s >= overdue_s or self._pool_fails_often:
            # If the target has responded since, or failures (stalls included) are common in the
            # pool, some requests simply take long: the length of the wait is no further evidence.
            return first_ratio
        max_ratio = MAX_STALL_SHARE * self._parameters.failure_threshold
        return min(max_ratio, first_ratio + (stage - 1) * DOUBLED_WAIT_RATIO)

    def _record_late_end(self, observation: Observation) -> None:
        """Add a stalled attempt's latency to the window; the sums already include the stall."""
        if observation.outcome is not ObservedOutcome.OK:
            return
        self._last_success_at_s = observation.at_s
        if observation.latency_s is not None:
            log_latency = math.log(max(MIN_LATENCY_S, observation.latency_s))
            self._window.add_latency(log_latency, now_s=observation.at_s)

    def _add_outcome(self, *, failed: bool, now_s: float) -> None:
        self._window.add_outcome(failed=failed)
        if failed:
            self._failures.add(self._failure_ratio, now_s=now_s)
            self._trend.add(self._trend_failure_ratio, now_s=now_s)
        else:
            self._failures.add(self._success_ratio, now_s=now_s)
            self._trend.add(self._trend_success_ratio, now_s=now_s)

    def _add_latency(self, log_latency: float, *, now_s: float) -> None:
        self._window.add_latency(log_latency, now_s=now_s)
        if self._scale is None:
            return
        self._latency.add(self._compute_latency_ratio(self._scale, log_latency), now_s=now_s)
        if self._latency.since_s is None:
            self._base_log_median = self._scale.log_median

    def _compute_latency_ratio(self, scale: ReferenceScale, log_latency: float) -> float:
        score = scale.score(log_latency - self._tolerance)
        return self._shift * (score - self._shift / 2)

    def _rescore(self, since_s: float) -> None:
        scale = self._scale
        if scale is None:
            return
        recent = self._window.read_recent_since(since_s)
        self._latency.reset()
        for log_latency in recent:
            self._latency.add(self._compute_latency_ratio(scale, log_latency), now_s=since_s)

    def _use_failure_share(self, pool_share: float) -> None:
        self._pool_fails_often = (
            POOL_FAILURE_MARGIN * pool_share > self._parameters.failure_share_floor
        )
        healthy = max(self._parameters.failure_share_floor, POOL_FAILURE_MARGIN * pool_share)
        healthy = min(MAX_HEALTHY_FAILURE_SHARE, healthy)
        unhealthy = min(
            MAX_UNHEALTHY_FAILURE_SHARE,
            max(MIN_UNHEALTHY_FAILURE_SHARE, UNHEALTHY_FAILURE_FACTOR * healthy),
        )
        trend = min(
            MAX_UNHEALTHY_FAILURE_SHARE,
            max(MIN_TREND_FAILURE_SHARE, TREND_FAILURE_FACTOR * healthy),
        )
        self._failure_ratio = math.log(unhealthy / healthy)
        self._success_ratio = math.log((1 - unhealthy) / (1 - healthy))
        self._trend_failure_ratio = math.log(trend / healthy)
        self._trend_success_ratio = math.log((1 - trend) / (1 - healthy))

    def _find_strongest(self) -> CumulativeSum:
        strongest = self._latency
        if self._failures.level > strongest.level:
            strongest = self._failures
        if self._trend.level > strongest.level:
            strongest = self._trend
        return strongest

    def _name_kind(self, strongest: CumulativeSum) -> EvidenceKind:
        if strongest.value == 0.0:
            return EvidenceKind.NONE
        if strongest is self._latency:
            return EvidenceKind.LATENCY
        if strongest is self._failures:
            return EvidenceKind.FAILURES
        return EvidenceKind.FAILURE_TREND

    def _may_reach_threshold(self, strongest: CumulativeSum, now_s: float) -> bool:
        # After a burst of failures has ended, a success must not make the target unhealthy.
        since_s = strongest.since_s
        return (
            strongest.rising
            and since_s is not None
            and now_s - since_s >= self._parameters.min_duration_s
        )

    def _read_probe_severity(self, now_s: float) -> float:
        if self._probe_severity == 0.0:
            return 0.0
        return self._probe_severity * math.exp2(
            (self._probe_failed_at_s - now_s) / PROBE_HALF_LIFE_S
        )
