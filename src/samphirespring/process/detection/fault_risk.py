"""Estimates the probability that a target is in a short fault, from its latest responses.

Ejection needs strong evidence because it removes capacity for a long time. This risk only decides
which target receives the next request: it changes with each response and decays without any.
"""

import math

import msgspec

MIN_RISK = 0.001
"""Bound of the risk: no run of successes or failures makes the state of a target certain."""


class FaultModel(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Two-state model of the short faults of a service's targets.

    Attributes:
        share: Share of the targets that are in a fault at any time.
        span_s: Mean length of a fault, in seconds.
        failures_if_faulty: Share of requests that fail at a target in a fault.
        failures_if_sound: Share of requests that fail at a healthy target.
    """

    share: float
    span_s: float
    failures_if_faulty: float = 0.9
    failures_if_sound: float = 0.012

    def decay(self, risk: float, age_s: float) -> float:
        """Return a risk after some time without a response: it approaches `share`.

        Args:
            risk: The risk after the latest response.
            age_s: Time since that response, in seconds.
        """
        # Faults end at the rate 1 / span_s and begin at the rate that keeps `share` constant.
        rate = 1.0 / (self.span_s * (1.0 - self.share))
        return self.share + (risk - self.share) * math.exp(-rate * max(0.0, age_s))

    def update(self, risk: float, *, failed: bool) -> float:
        """Return the risk after one more response, by Bayes' rule.

        Args:
            risk: The risk before the response.
            failed: Whether the target failed the request.
        """
        if failed:
            faulty, healthy = self.failures_if_faulty, self.failures_if_sound
        else:
            faulty, healthy = 1.0 - self.failures_if_faulty, 1.0 - self.failures_if_sound
        posterior = risk * faulty / (risk * faulty + (1.0 - risk) * healthy)
        return min(1.0 - MIN_RISK, max(MIN_RISK, posterior))


class FaultRisk:
    """Risk that one target is in a fault, as estimated by its agent.

    Args:
        model: Fault model of its service.
        now_s: Monotonic time, in seconds.
    """

    def __init__(self, model: FaultModel, *, now_s: float) -> None:
        self._model = model
        self._risk = model.share
        self._updated_at_s = now_s

    @property
    def model(self) -> FaultModel:
        """Fault model of the service."""
        return self._model

    def observe(self, *, failed: bool, now_s: float) -> None:
        """Update the risk with one response.

        Args:
            failed: Whether the target failed the request.
            now_s: Monotonic time, in seconds.
        """
        self._risk = self._model.update(self.read(now_s), failed=failed)
        self._updated_at_s = now_s

    def read(self, now_s: float) -> float:
        """Return the current risk.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return self._model.decay(self._risk, now_s - self._updated_at_s)
