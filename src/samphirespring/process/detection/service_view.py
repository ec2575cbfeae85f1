"""A front's view of one service: which targets receive requests, and which terms agents apply."""

import math
import random

import msgspec

from samphirespring.process.detection.ejections import EJECTABLE, EjectionDecision, TargetStatus
from samphirespring.process.detection.pool_evaluator import PoolEvaluator
from samphirespring.process.detection.states import AdmissionLevel
from samphirespring.process.detection.target_evaluator import DetectionTerms
from samphirespring.process.ids import TargetId
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.targets import TargetLoad
from samphirespring.version.document import ServicePolicy
from samphirespring.version.ids import ServiceName

DECISION_INTERVAL_S = 0.25
"""Minimum time between two decisions while a target is not healthy, in seconds."""

MISSING_MAX_AGE_S = 600.0
"""Time for which a removed target still counts as missing capacity, in seconds."""

SILENT_FACTOR = 2.0
"""Multiple of the pool's 97th percentile without a response from which a target is silent."""

MIN_SILENT_S = 0.25
"""Minimum time without a response before a target counts as silent, in seconds."""

TRIAL_INTERVAL_S = 5.0
"""Maximum time between two trial requests of this front while it has requests, in seconds."""


class SuspectDump(msgspec.Struct, frozen=True, kw_only=True):
    """Latest report about a target that isn't healthy."""

    target: TargetId
    condition: TargetCondition
    severity: float
    """Strength of the evidence; targets with the highest severity are ejected first."""

    slots: int


class ServiceViewDump(msgspec.Struct, frozen=True, kw_only=True):
    """Decision of a front on one service."""

    service: ServiceName
    ejected: tuple[TargetId, ...]
    spared: tuple[TargetId, ...]
    """Unhealthy targets that the floor keeps in service."""

    common_cause: bool
    missing: tuple[TargetId, ...]
    """Recently removed targets, which count as missing capacity."""

    floor: float
    """Minimum share of the slots that ejections leave."""

    slots: int
    """Total capacity, including missing targets."""

    suspects: tuple[SuspectDump, ...]
    """Targets whose agents don't report them as healthy: the input of the decision."""


class _Member(msgspec.Struct, kw_only=True):
    load: TargetLoad
    reachable: bool = True
    removed_at_s: float | None = None
    last_trial_at_s: float = 0.0
    waiting_since_s: float | None = None
    """Monotonic time of the first request since the latest response; None if no request waits."""


class ServiceView:
    """Decides on ejections, trials and slow starts of one service; performs no I/O.

    Args:
        generator: Source of random numbers.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._policy = ServicePolicy()
        self._evaluator = PoolEvaluator()
        self._members: dict[TargetId, _Member] = {}
        self._decision_due_s = 0.0
        self._settled = False
        """Whether no target is in a condition that requires decisions."""

        self._max_weight = 1.0

    @property
    def decision(self) -> EjectionDecision:
        """The latest decision on ejections."""
        return self._evaluator.decision

    def is_excluded(self, target: TargetId) -> bool:
        """Return whether a target receives no requests, not even trials.

        Args:
            target: The target.
        """
        member = self._members.get(target)
        if member is None:
            return False
        return (
            self._evaluator.read_admission(target, member.load.condition) is AdmissionLevel.EJECTED
        )

    def is_ejected(self, target: TargetId) -> bool:
        """Return whether a target receives at most trials.

        Args:
            target: The target.
        """
        return target in self._evaluator.decision.ejected

    def use_policy(self, policy: ServicePolicy) -> None:
        """Replace the policy.

        Args:
            policy: The service's policy in the document.
        """
        self._policy = policy
        self._require_decision()

    def update_target(self, target: TargetId, load: TargetLoad) -> None:
        """Add a target, or update its load, as reported by the registry.

        Args:
            target: The target.
            load: Its load.
        """
        member = self._members.get(target)
        if member is None:
            self._members[target] = _Member(load=load)
            self._require_decision()
            return
        if member.removed_at_s is not None:
            member.removed_at_s = None
            self._require_decision()
        self._use_load(member, load)

    def update_load(self, target: TargetId, load: TargetLoad, *, now_s: float) -> None:
        """Update a target's load from a response.

        Args:
            target: The target.
            load: The load.
            now_s: Monotonic time, in seconds.
        """
        member = self._members.get(target)
        if member is None or member.removed_at_s is not None:
            return
        member.waiting_since_s = None
        if load.summary is not None:
            self._evaluator.record_summary(target, load.summary, now_s=now_s)
        self._use_load(member, load)

    def set_reachable(self, target: TargetId, *, reachable: bool) -> None:
        """Set whether this front can reach the target's host.

        Args:
            target: The target.
            reachable: Whether the host is reachable.
        """
        member = self._members.get(target)
        if member is not None and member.reachable is not reachable:
            member.reachable = reachable
            self._require_decision()

    def remove(self, target: TargetId, *, now_s: float) -> None:
        """Remove a target; it counts as missing capacity for `MISSING_MAX_AGE_S`.

        Args:
            target: The target.
            now_s: Monotonic time, in seconds.
        """
        member = self._members.get(target)
        if member is not None:
            member.removed_at_s = now_s
            self._evaluator.remove_target(target)
            self._require_decision()

    def may_send(self, target: TargetId, *, idempotent: bool, is_retry: bool, now_s: float) -> bool:
        """Return whether the next request may go to a target.

        Args:
            target: The target.
            idempotent: Whether the request is idempotent; other requests are never trials.
            is_retry: Whether the request has tried another target; slow starts are ignored then.
            now_s: Monotonic time, in seconds.
        """
        self.decide(now_s)
        if self._settled:
            return True
        member = self._members[target]
        condition = member.load.condition
        match self._evaluator.read_admission(target, condition):
            case AdmissionLevel.EJECTED:
                return False
            case AdmissionLevel.TRIAL:
                return idempotent and self._allows_trial(member, now_s)
            case AdmissionLevel.FULL:
                if is_retry or condition is not TargetCondition.SLOW_START:
                    return True
                # Weights are relative to the highest one, so that a pool in which all targets are
                # in their slow start still takes all requests.
                return self._generator.random() * self._max_weight < member.load.weight

    def record_sent(self, target: TargetId, *, now_s: float) -> None:
        """Record a request that was sent to a target.

        Args:
            target: The target.
            now_s: Monotonic time, in seconds.
        """
        member = self._members.get(target)
        if member is None:
            return
        if member.waiting_since_s is None:
            member.waiting_since_s = now_s
        if member.load.condition is TargetCondition.TRIAL:
            member.last_trial_at_s = now_s

    def read_terms(self, now_s: float) -> DetectionTerms:
        """Return the terms by which agents evaluate the service's targets.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return DetectionTerms(
            mode=self._policy.detection.mode,
            slow_start_s=self._policy.slow_start_s,
            reference=self._evaluator.read_reference(now_s),
        )

    @property
    def is_degraded(self) -> bool:
        """Whether a target is ejected, spared or missing, or there is a common cause."""
        decision = self._evaluator.decision
        return bool(
            decision.ejected
            or decision.spared
            or decision.common_cause
            or any(member.removed_at_s is not None for member in self._members.values())
        )

    def make_dump(self, service: ServiceName) -> ServiceViewDump:
        """Return the state for an operator.

        Args:
            service: The service.
        """
        decision = self._evaluator.decision
        missing = [t for t, member in self._members.items() if member.removed_at_s is not None]
        return ServiceViewDump(
            service=service,
            ejected=tuple(sorted(decision.ejected)),
            spared=tuple(sorted(decision.spared)),
            common_cause=decision.common_cause,
            missing=tuple(sorted(missing)),
            floor=self._policy.floor,
            slots=sum(member.load.slots for member in self._members.values()),
            suspects=tuple(
                SuspectDump(
                    target=target,
                    condition=member.load.condition,
                    severity=member.load.severity,
                    slots=member.load.slots,
                )
                for target, member in sorted(self._members.items())
                if member.load.condition is not TargetCondition.HEALTHY
            ),
        )

    def _allows_trial(self, member: _Member, now_s: float) -> bool:
        if now_s - member.last_trial_at_s >= TRIAL_INTERVAL_S:
            return True
        return self._generator.random() < member.load.weight

    def decide(self, now_s: float) -> None:
        """Make a new decision if one is due.

        Args:
            now_s: Monotonic time, in seconds.
        """
        if self._settled or now_s < self._decision_due_s:
            return
        self._decision_due_s = now_s + DECISION_INTERVAL_S
        self._drop_expired(now_s)
        silence_limit_s = self._find_silence_limit_s(now_s)
        statuses = [
            self._make_status(target, member, silence_limit_s=silence_limit_s)
            for target, member in self._members.items()
        ]
        decision = self._evaluator.decide(statuses, floor=self._policy.floor, now_s=now_s)
        self._max_weight = max(
            (m.load.weight for m in self._members.values() if m.removed_at_s is None), default=1.0
        )
        self._settled = not decision.ejected and all(_is_settled(s) for s in statuses)

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - MISSING_MAX_AGE_S
        for target, member in tuple(self._members.items()):
            if member.removed_at_s is not None and member.removed_at_s <= oldest_s:
                del self._members[target]

    def _find_silence_limit_s(self, now_s: float) -> float:
        """Return the latest monotonic time at which the wait of a silent target began."""
        reference = self._evaluator.read_reference(now_s)
        if reference is None:
            return -math.inf
        return now_s - max(MIN_SILENT_S, SILENT_FACTOR * reference.read_p97_s())

    def _make_status(
        self, target: TargetId, member: _Member, *, silence_limit_s: float
    ) -> TargetStatus:
        summary = self._evaluator.read_summary(target)
        return TargetStatus(
            target=target,
            slots=member.load.slots,
            phase=member.load.phase,
            condition=member.load.condition,
            severity=member.load.severity,
            present=member.removed_at_s is None,
            reachable=member.reachable,
            rate_step=None if summary is None else summary.rate_step,
            silent=member.waiting_since_s is not None and member.waiting_since_s <= silence_limit_s,
        )

    def _use_load(self, member: _Member, load: TargetLoad) -> None:
        if _differs(member.load, load):
            self._require_decision()
        member.load = load

    def _require_decision(self) -> None:
        self._settled = False
        self._decision_due_s = 0.0


def _differs(old: TargetLoad, new: TargetLoad) -> bool:
    return (
        old.phase is not new.phase or old.condition is not new.condition or old.slots != new.slots
    )


def _is_settled(status: TargetStatus) -> bool:
    if status.condition is TargetCondition.SLOW_START:
        return False
    return status.condition not in EJECTABLE or status.phase is not TargetPhase.SERVING
