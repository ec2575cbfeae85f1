"""The sequential detector: cumulative sums over latency and over failures."""

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
"""Bounds of the shift that the latency test is most sensitive to, in units of score."""

REFERENCE_RISE = math.log(1.15)
"""Rise of the pool's median, in units of log latency, after which old evidence is rescored."""

POOL_FAILURE_MARGIN = 1.5
"""Factor on the pool's share of failures: healthy targets differ, and a median of few is low."""

MAX_HEALTHY_FAILURE_SHARE = 0.2
MIN_UNHEALTHY_FAILURE_SHARE = 0.3
MAX_UNHEALTHY_FAILURE_SHARE = 0.6
MIN_TREND_FAILURE_SHARE = 0.05
UNHEALTHY_FAILURE_FACTOR = 3.0
TREND_FAILURE_FACTOR = 4.0
"""Shares of failures of a healthy pool and of sick targets, and their factors."""

STALL_RATIO = 3.5
"""Log likelihood ratio of an attempt that has stalled, sick over healthy: under that of a failure,
because a few healthy attempts wait that long where latencies have a heavy tail."""

DOUBLED_WAIT_RATIO = 2.5
"""Log likelihood ratio of a stalled attempt's wait that has doubled, while no answer comes."""

MAX_STALL_SHARE = 0.45
"""Most that one stalled attempt adds, as a share of the threshold: no two of them decide."""

PROBE_SEVERITY_STEP = 0.05
MAX_PROBE_SEVERITY = 0.15
"""Severity that one failed probe adds, and that probes add at most."""

PROBE_HALF_LIFE_S = 60.0
MIN_LIVE_SEVERITY = 0.3
"""Live evidence below which failed probes count for nothing."""

MILLISECONDS_PER_SECOND = 1_000


class SequentialDetector(Detector):
    """Compares each answer with the pool's and accumulates log likelihood ratios.

    Three sums run side by side: latency, a large share of failures, and a small share over a
    longer time. The largest one, relative to its threshold, is the severity.

    Args:
        parameters: The policy's parameters.
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
        self._probe = 0.0
        self._probe_s = 0.0
        self._answered_s = -math.inf
        self._fails_often = False
        self._usual_s = 0.0
        self._use_failure_share(0.0)

    def observe(self, observation: Observation) -> None:
        """Take one attempt's outcome."""
        if observation.stalled:
            self._note_late_end(observation)
        elif observation.outcome in FAILURES:
            self._add_outcome(failed=True, now_s=observation.at_s)
        elif observation.outcome is ObservedOutcome.OK:
            self._answered_s = observation.at_s
            self._add_outcome(failed=False, now_s=observation.at_s)
            if observation.latency_s is not None:
                log_latency = math.log(max(MIN_LATENCY_S, observation.latency_s))
                self._add_latency(log_latency, now_s=observation.at_s)

    def record_stall(self, stall: Stall) -> None:
        """Take what a wait says of an attempt that has not ended."""
        if stall.first:
            self._window.add_outcome(failed=True)
        ratio = self._rate_stage(stall.stage, stall) - self._rate_stage(stall.counted_stage, stall)
        if ratio > 0.0:
            self._failures.add(ratio, now_s=stall.at_s)

    def use_reference(self, reference: PoolReference) -> None:
        """Compare with this reference from now on."""
        if self._scale is not None and reference == self._scale.reference:
            return
        scale = ReferenceScale(reference)
        self._scale = scale
        self._usual_s = reference.read_p97_s()
        shift = math.log(self._parameters.unhealthy_ratio) - self._tolerance
        self._shift = min(MAX_SCORE_SHIFT, max(MIN_SCORE_SHIFT, shift / scale.log_scale))
        self._use_failure_share(scale.failure_share)
        if self._latency.since_s is None:
            self._base_log_median = scale.log_median
        elif scale.log_median > self._base_log_median + REFERENCE_RISE:
            self._rescore(self._latency.since_s)
            self._base_log_median = scale.log_median

    def record_probe(self, *, succeeded: bool, now_s: float) -> None:
        """Take the result of a probe; a success clears no evidence."""
        if succeeded:
            return
        self._probe = min(MAX_PROBE_SEVERITY, self._read_probe(now_s) + PROBE_SEVERITY_STEP)
        self._probe_s = now_s

    def measure_severity(self, now_s: float) -> float:
        """Return the strength of the evidence; at 1 the target is sick."""
        strongest = self._find_strongest()
        level = strongest.level
        if level < MIN_LIVE_SEVERITY:
            return level
        level += self._read_probe(now_s)
        if level >= 1.0 and not self._may_decide(strongest, now_s):
            return math.nextafter(1.0, 0.0)
        return level

    def explain(self, now_s: float) -> Evidence:
        """Return the evidence."""
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
            probe=round(self._read_probe(now_s), 3),
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
        """Forget the evidence, for a trial."""
        self._latency.reset()
        self._failures.reset()
        self._trend.reset()
        self._probe = 0.0

    def _rate_stage(self, stage: int, stall: Stall) -> float:
        if stage == 0:
            return 0.0
        first = min(STALL_RATIO, self._failure_ratio)
        overdue_s = stall.started_s + self._usual_s
        if self._answered_s >= overdue_s or self._fails_often:
            # A target that goes on answering, or a pool that often makes wait, has some requests
            # that take long; how long says nothing then.
            return first
        most = MAX_STALL_SHARE * self._parameters.failure_threshold
        return min(most, first + (stage - 1) * DOUBLED_WAIT_RATIO)

    def _note_late_end(self, observation: Observation) -> None:
        """Let a stalled attempt's latency into the pool's reference; the sums hold it already."""
        if observation.outcome is not ObservedOutcome.OK:
            return
        self._answered_s = observation.at_s
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
        self._latency.add(self._rate_latency(self._scale, log_latency), now_s=now_s)
        if self._latency.since_s is None:
            self._base_log_median = self._scale.log_median

    def _rate_latency(self, scale: ReferenceScale, log_latency: float) -> float:
        score = scale.score(log_latency - self._tolerance)
        return self._shift * (score - self._shift / 2)

    def _rescore(self, since_s: float) -> None:
        scale = self._scale
        if scale is None:
            return
        recent = self._window.read_recent_since(since_s)
        self._latency.reset()
        for log_latency in recent:
            self._latency.add(self._rate_latency(scale, log_latency), now_s=since_s)

    def _use_failure_share(self, pool_share: float) -> None:
        self._fails_often = POOL_FAILURE_MARGIN * pool_share > self._parameters.failure_share_floor
        healthy = max(self._parameters.failure_share_floor, POOL_FAILURE_MARGIN * pool_share)
        healthy = min(MAX_HEALTHY_FAILURE_SHARE, healthy)
        sick = min(
            MAX_UNHEALTHY_FAILURE_SHARE,
            max(MIN_UNHEALTHY_FAILURE_SHARE, UNHEALTHY_FAILURE_FACTOR * healthy),
        )
        trend = min(
            MAX_UNHEALTHY_FAILURE_SHARE,
            max(MIN_TREND_FAILURE_SHARE, TREND_FAILURE_FACTOR * healthy),
        )
        self._failure_ratio = math.log(sick / healthy)
        self._success_ratio = math.log((1 - sick) / (1 - healthy))
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

    def _may_decide(self, strongest: CumulativeSum, now_s: float) -> bool:
        # After a burst that is over, answers that speak for the target decide nothing against it.
        since_s = strongest.since_s
        return (
            strongest.rising
            and since_s is not None
            and now_s - since_s >= self._parameters.min_duration_s
        )

    def _read_probe(self, now_s: float) -> float:
        if self._probe == 0.0:
            return 0.0
        return self._probe * math.exp2((self._probe_s - now_s) / PROBE_HALF_LIFE_S)
