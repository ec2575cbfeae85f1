"""Estimates the probability that a target is in a short fault, from its latest responses.

Ejection needs strong evidence because it removes capacity for a long time. This risk only decides
which target receives the next request: it changes with each response and decays without any.
"""

import math

import msgspec

from samphirespring.request.ids import AttemptId

MIN_RISK = 0.001
"""Bound of the risk: no run of successes or failures makes the state of a target certain."""

SLOW_FAILURE_RATIO = 2.0
"""Weight of a failure that took as long as a successful response."""

MAX_EVIDENCE = 32
"""Number of a target's attempts that are kept beside as many as are in flight, by their starts."""

INITIAL_FAILURE_LATENCY_S = 0.1
"""Mean time to a failure at a target in a fault before the first one is seen, in seconds."""

MIN_FAILURE_LATENCY_S = 0.005
LATENCY_LEARNING_RATE = 0.2
"""Share of the difference by which each failure changes the mean time to a failure."""


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

    def weigh(self, *, failed: bool, as_slow_as_usual: bool = False) -> float:
        """Return how much likelier a response is at a target in a fault than at a healthy one.

        Args:
            failed: Whether the target failed the request.
            as_slow_as_usual: Whether the response took as long as successful ones do. Faults mostly
                fail requests at once; a failure after the usual work more often comes from the
                request itself, or from a call that the target made for it.
        """
        if not failed:
            return (1.0 - self.failures_if_faulty) / (1.0 - self.failures_if_sound)
        if as_slow_as_usual:
            return SLOW_FAILURE_RATIO
        return self.failures_if_faulty / self.failures_if_sound

    def weigh_silence(self, age_s: float, *, failure_latency_s: float) -> float:
        """Return how much likelier no response after some time is at a target in a fault.

        Args:
            age_s: Time since the start of the attempt, in seconds.
            failure_latency_s: Mean time after which targets in a fault fail requests, in seconds.
        """
        fails_later = math.exp(-age_s / failure_latency_s)
        return 1.0 - self.failures_if_faulty * (1.0 - fails_later)


class _Evidence(msgspec.Struct, gc=False):
    """One attempt as evidence.

    Attributes:
        began_at_s: Start of the attempt, in seconds of monotonic time.
        ratio: How much likelier its response is at a target in a fault; None while it is in flight.
    """

    began_at_s: float
    ratio: float | None = None


class FaultRisk:
    """Risk that one target is in a fault, as estimated by its agent.

    A response tells the state of the target at the start of its attempt, which may be seconds ago;
    the attempts of a target end in another order than they began. Faults mostly fail requests at
    once: an attempt that has been in flight for longer is a sign that the target was healthy.

    Args:
        model: Fault model of its service.
        now_s: Monotonic time, in seconds.
    """

    def __init__(self, model: FaultModel, *, now_s: float) -> None:
        self._model = model
        self._base_risk = model.share
        """Risk at `_base_at_s` from all evidence that is no longer kept."""

        self._base_at_s = now_s
        self._evidence: list[_Evidence] = []
        """Recent evidence in the order in which the attempts began."""

        self._in_flight: dict[AttemptId, _Evidence] = {}
        self._failure_latency_s = INITIAL_FAILURE_LATENCY_S

    @property
    def model(self) -> FaultModel:
        """Fault model of the service."""
        return self._model

    def begin(self, attempt: AttemptId, *, now_s: float) -> None:
        """Record the start of an attempt.

        Args:
            attempt: The attempt.
            now_s: Monotonic time, in seconds.
        """
        evidence = _Evidence(began_at_s=now_s)
        self._in_flight[attempt] = evidence
        self._evidence.append(evidence)

    def end(
        self, attempt: AttemptId, *, failed: bool | None, as_slow_as_usual: bool, now_s: float
    ) -> None:
        """Record the end of an attempt.

        Args:
            attempt: The attempt; one whose start isn't known counts as just started.
            failed: Whether the target failed the request; None if the end says nothing.
            as_slow_as_usual: Whether the response took as long as successful ones do.
            now_s: Monotonic time, in seconds.
        """
        evidence = self._in_flight.pop(attempt, None)
        if evidence is None:
            evidence = _Evidence(began_at_s=now_s)
            self._evidence.append(evidence)
        age_s = max(0.0, now_s - evidence.began_at_s)
        if failed is None:
            evidence.ratio = self._weigh_silence(age_s)
        else:
            evidence.ratio = self._model.weigh(failed=failed, as_slow_as_usual=as_slow_as_usual)
            if failed and not as_slow_as_usual:
                self._learn_failure_latency(age_s)
        self._drop_oldest(now_s)

    def read(self, now_s: float) -> float:
        """Return the current risk.

        Args:
            now_s: Monotonic time, in seconds.
        """
        risk, at_s = self._base_risk, self._base_at_s
        for evidence in self._evidence:
            risk = self._advance(risk, at_s, evidence, now_s)
            at_s = evidence.began_at_s
        return self._model.decay(risk, now_s - at_s)

    def _advance(self, risk: float, at_s: float, evidence: _Evidence, now_s: float) -> float:
        """Return the risk after evidence that began later, by Bayes' rule."""
        ratio = evidence.ratio
        if ratio is None:
            ratio = self._weigh_silence(now_s - evidence.began_at_s)
        prior = self._model.decay(risk, evidence.began_at_s - at_s)
        posterior = prior * ratio / (prior * ratio + 1.0 - prior)
        return min(1.0 - MIN_RISK, max(MIN_RISK, posterior))

    def _weigh_silence(self, age_s: float) -> float:
        return self._model.weigh_silence(age_s, failure_latency_s=self._failure_latency_s)

    def _learn_failure_latency(self, latency_s: float) -> None:
        change_s = LATENCY_LEARNING_RATE * (latency_s - self._failure_latency_s)
        self._failure_latency_s = max(MIN_FAILURE_LATENCY_S, self._failure_latency_s + change_s)

    def _drop_oldest(self, now_s: float) -> None:
        """Fold the oldest evidence into the base risk while there is too much of it.

        An attempt that is still in flight counts by its silence so far, and its end as evidence of
        its own: while a target holds one attempt for long, it may serve many others.
        """
        while len(self._evidence) > MAX_EVIDENCE + len(self._in_flight):
            oldest = self._evidence.pop(0)
            self._base_risk = self._advance(self._base_risk, self._base_at_s, oldest, now_s)
            self._base_at_s = oldest.began_at_s
            if oldest.ratio is None:
                # The attempts in flight are in the order of their starts, too.
                del self._in_flight[next(iter(self._in_flight))]
