"""Learns what the requests of one service cost, by their kind.

The cost of a request is its work: the time that a target of usual speed takes for it in a slot. It
is learned from the times of successful attempts, each divided by the pace of its target.
"""

import math

import msgspec

from samphirespring.process.ids import WorkKind
from samphirespring.version.ids import ServiceName

MAX_KINDS = 256
"""Largest number of kinds that are kept for a service; the one learned of least recently goes."""

MAX_WEIGHT = 40.0
"""Attempts that an estimate averages over at most."""

FORGET_S = 60.0
"""Time constant with which earlier attempts lose weight, in seconds."""

PRIOR_WEIGHT = 2.0
"""Attempts that the service's mean stands for in the estimate of a kind."""

OUTLIER_RATIO = 3.0
"""Ratio to the expected work above which a longer time counts as if it had this ratio, so that a
single slow attempt doesn't pass for the cost of its kind."""

PACE_GAIN = 0.02
"""Share of one attempt in the average of the paces of the targets that run the requests."""


class KindDump(msgspec.Struct, frozen=True, kw_only=True):
    """Learned cost of one kind of request."""

    kind: WorkKind
    work_s: float
    weight: float
    """Attempts that the estimate averages over."""


class ServiceWorkDump(msgspec.Struct, frozen=True, kw_only=True):
    """Learned costs of a service."""

    service: ServiceName
    work_s: float | None
    """Mean work of a request, in seconds; None before the first successful attempt."""

    kinds: tuple[KindDump, ...]


class _DecayingMean:
    """Mean of a time, in seconds; recent attempts count most."""

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._weight = 0.0
        self._updated_at_s = 0.0

    def read_weight(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self._updated_at_s)
        return self._weight * math.exp(-age_s / FORGET_S)

    def add(self, sample_s: float, *, now_s: float) -> None:
        self._weight = min(MAX_WEIGHT, self.read_weight(now_s) + 1.0)
        self._updated_at_s = now_s
        self.mean_s += (sample_s - self.mean_s) / self._weight


class WorkEstimator:
    """Estimates the work of a service's requests from earlier attempts."""

    def __init__(self) -> None:
        self._mean = _DecayingMean()
        self._kinds: dict[WorkKind, _DecayingMean] = {}
        self._usual_pace = 1.0

    def estimate(self, kind: WorkKind | None, *, now_s: float) -> float | None:
        """Return the expected work of a request, in seconds; None before anything is known.

        A kind of which little is known counts like the service's mean.

        Args:
            kind: Kind of the request; None if it isn't known.
            now_s: Monotonic time, in seconds.
        """
        if self._mean.read_weight(now_s) == 0.0:
            return None
        known = None if kind is None else self._kinds.get(kind)
        if known is None:
            return self._mean.mean_s
        weight = known.read_weight(now_s)
        total_s = weight * known.mean_s + PRIOR_WEIGHT * self._mean.mean_s
        return total_s / (weight + PRIOR_WEIGHT)

    def learn(self, kind: WorkKind, *, run_s: float, pace: float, now_s: float) -> None:
        """Learn from a successful attempt.

        Paces count in relation to their average: agents derive them from these estimates, and both
        would drift together otherwise.

        Args:
            kind: Kind of the request.
            run_s: Time that the attempt took in its slot, in seconds.
            pace: Pace of its target.
            now_s: Monotonic time, in seconds.
        """
        self._usual_pace += PACE_GAIN * (pace - self._usual_pace)
        sample_s = run_s * self._usual_pace / pace
        expected_s = self.estimate(kind, now_s=now_s)
        if expected_s:
            # An expected time of 0.0 says nothing: no time could exceed it by a ratio.
            sample_s = min(sample_s, OUTLIER_RATIO * expected_s)
        self._mean.add(sample_s, now_s=now_s)
        known = self._kinds.pop(kind, None) or _DecayingMean()
        known.add(sample_s, now_s=now_s)
        self._kinds[kind] = known
        if len(self._kinds) > MAX_KINDS:
            del self._kinds[next(iter(self._kinds))]

    def make_dump(self, service: ServiceName, *, now_s: float, limit: int) -> ServiceWorkDump:
        """Return the estimates for an operator.

        Args:
            service: The service.
            now_s: Monotonic time, in seconds.
            limit: Largest number of kinds, latest first.
        """
        latest = list(reversed(self._kinds.items()))[:limit]
        mean_s = self.estimate(None, now_s=now_s)
        return ServiceWorkDump(
            service=service,
            work_s=None if mean_s is None else round(mean_s, 4),
            kinds=tuple(
                KindDump(
                    kind=kind,
                    work_s=round(known.mean_s, 4),
                    weight=round(known.read_weight(now_s), 1),
                )
                for kind, known in latest
            ),
        )
