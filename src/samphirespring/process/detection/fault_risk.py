"""Probability that a target is in a fault now, from its last answers: suspicion at once.

Ejection needs strong evidence, because it takes capacity out for long. Suspicion only decides which
target gets the next request: it follows each answer, and fades by itself.
"""

import math

import msgspec

MIN_RISK = 0.001
"""No run of good answers proves that a target is sound; no run of failures that it isn't."""


class FaultModel(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """How targets of a service fall into faults and out of them.

    Attributes:
        share: Share of the targets that are in a fault at any time.
        span_s: Mean length of a fault, in seconds.
        failures_if_faulty: Share of requests that fail at a target in a fault.
        failures_if_sound: Share of requests that fail at a sound target.
    """

    share: float
    span_s: float
    failures_if_faulty: float = 0.9
    failures_if_sound: float = 0.012

    def decay(self, risk: float, age_s: float) -> float:
        """Return what a risk has become after a while without news.

        Args:
            risk: The risk as it was known.
            age_s: Time since then, in seconds.
        """
        # Faults end at the rate 1 / span and begin at the one that keeps their share constant.
        rate = 1.0 / (self.span_s * (1.0 - self.share))
        return self.share + (risk - self.share) * math.exp(-rate * max(0.0, age_s))

    def update(self, risk: float, *, failed: bool) -> float:
        """Return the risk after one more answer, by Bayes' rule.

        Args:
            risk: The risk before it.
            failed: Whether the request failed by the target's fault.
        """
        if failed:
            faulty, sound = self.failures_if_faulty, self.failures_if_sound
        else:
            faulty, sound = 1.0 - self.failures_if_faulty, 1.0 - self.failures_if_sound
        learned = risk * faulty / (risk * faulty + (1.0 - risk) * sound)
        return min(1.0 - MIN_RISK, max(MIN_RISK, learned))


class FaultRisk:
    """The risk of one target as its agent sees it.

    Args:
        model: How targets of its service fail.
        now_s: Monotonic time, in seconds.
    """

    def __init__(self, model: FaultModel, *, now_s: float) -> None:
        self._model = model
        self._risk = model.share
        self._at_s = now_s

    @property
    def model(self) -> FaultModel:
        """How targets of the service fail."""
        return self._model

    def observe(self, *, failed: bool, now_s: float) -> None:
        """Take one answer.

        Args:
            failed: Whether the request failed by the target's fault.
            now_s: Monotonic time, in seconds.
        """
        self._risk = self._model.update(self.read(now_s), failed=failed)
        self._at_s = now_s

    def read(self, now_s: float) -> float:
        """Return the risk now.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return self._model.decay(self._risk, now_s - self._at_s)
