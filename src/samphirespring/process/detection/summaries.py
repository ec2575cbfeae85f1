"""Compact summary of a target's recent responses, which is sent along with its load."""

import math
from collections import deque
from itertools import islice

import msgspec

WINDOW_CAPACITY = 64
"""Number of latencies in a summary."""

MIN_SUMMARY_COUNT = 8
SUMMARY_INTERVAL_S = 0.5
"""Minimum time between two summaries of one target, in seconds."""

STEPS_PER_UNIT = 16
"""Steps of the encoded latency per unit of its natural logarithm."""

FIRST_STEP_LOG = math.log(1e-4)
"""Natural logarithm of the latency at step 0, in seconds."""

MAX_STEP = 255
QUANTILES = (0.25, 0.50, 0.75, 0.90, 0.97)
FAILURE_WINDOW = 200
"""Number of observations over which the share of failures is averaged."""

MIN_LATENCY_S = 0.005
"""Latency below which differences are noise of the host, in seconds."""

PER_MILLE = 1_000


class ResponseQuantiles(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Quantiles of latency in logarithmic steps, and the share of failures."""

    p25: int
    p50: int
    p75: int
    p90: int
    p97: int
    failure_per_mille: int


class TargetSummary(ResponseQuantiles, frozen=True, array_like=True, gc=False):
    """Summary of one target's recent responses."""

    rate_step: int
    """Binary logarithm of the observations per hour, rounded down."""


def encode_log_latency(log_latency: float) -> int:
    """Return the step that encodes a latency.

    Args:
        log_latency: Natural logarithm of the latency in seconds.
    """
    step = round((log_latency - FIRST_STEP_LOG) * STEPS_PER_UNIT)
    return min(MAX_STEP, max(0, step))


def decode_log_latency(step: int) -> float:
    """Return the natural logarithm of a step's latency in seconds.

    Args:
        step: The step.
    """
    return FIRST_STEP_LOG + step / STEPS_PER_UNIT


class ResponseWindow:
    """Recent responses of one target."""

    def __init__(self) -> None:
        self._log_latencies: deque[float] = deque(maxlen=WINDOW_CAPACITY)
        self._recorded_at_s: deque[float] = deque(maxlen=WINDOW_CAPACITY)
        self._failure_share = 0.0
        self._count = 0
        self._summary: TargetSummary | None = None
        self._summary_due_s = -math.inf

    def add_latency(self, log_latency: float, *, now_s: float) -> None:
        """Add the latency of a correct response.

        Args:
            log_latency: Natural logarithm of the latency in seconds.
            now_s: Monotonic time, in seconds.
        """
        self._log_latencies.append(log_latency)
        self._recorded_at_s.append(now_s)

    def add_outcome(self, *, failed: bool) -> None:
        """Add an outcome to the share of failures.

        Args:
            failed: Whether it counts against the target.
        """
        self._count += 1
        share = 1.0 / min(self._count, FAILURE_WINDOW)
        self._failure_share += ((1.0 if failed else 0.0) - self._failure_share) * share

    def read_recent_since(self, start_s: float) -> tuple[float, ...]:
        """Return the log latencies recorded since a time, oldest first.

        Args:
            start_s: Monotonic time, in seconds.
        """
        skipped = sum(1 for time_s in self._recorded_at_s if time_s < start_s)
        return tuple(islice(self._log_latencies, skipped, None))

    def summarize(self, *, now_s: float) -> TargetSummary | None:
        """Return the summary, recomputed at most every `SUMMARY_INTERVAL_S`.

        Args:
            now_s: Monotonic time, in seconds.

        Returns:
            The summary, or None while there are too few responses.
        """
        if now_s >= self._summary_due_s and len(self._log_latencies) >= MIN_SUMMARY_COUNT:
            self._summary = self._make_summary()
            self._summary_due_s = now_s + SUMMARY_INTERVAL_S
        return self._summary

    def _make_summary(self) -> TargetSummary:
        ordered = sorted(self._log_latencies)
        last = len(ordered) - 1
        p25, p50, p75, p90, p97 = (
            encode_log_latency(ordered[round(share * last)]) for share in QUANTILES
        )
        return TargetSummary(
            p25=p25,
            p50=p50,
            p75=p75,
            p90=p90,
            p97=p97,
            failure_per_mille=round(self._failure_share * PER_MILLE),
            rate_step=self._compute_rate_step(),
        )

    def _compute_rate_step(self) -> int:
        duration_s = max(1e-3, self._recorded_at_s[-1] - self._recorded_at_s[0])
        per_hour = (len(self._recorded_at_s) - 1) * 3_600 / duration_s
        return max(0, int(math.log2(max(1.0, per_hour))))
