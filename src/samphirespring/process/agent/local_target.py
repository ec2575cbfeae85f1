"""State of one target on the agent's own host."""

import math

import msgspec

from samphirespring.process.agent.admission_queue import Admission, AdmissionQueue
from samphirespring.process.agent.agent_messages import Announcement, LocalTargetDump
from samphirespring.process.detection.fault_risk import FaultModel
from samphirespring.process.detection.target_evaluator import TargetEvaluator
from samphirespring.process.ids import TargetId
from samphirespring.process.states import TargetPhase
from samphirespring.process.suspicion import Suspicion
from samphirespring.process.targets import TargetLoad
from samphirespring.request.ids import AttemptId
from samphirespring.request.states import RefusalCode


class LocalTarget(msgspec.Struct, kw_only=True):
    """A target with its lease, slots and health.

    Attributes:
        target: The target's id.
        announcement: The latest announcement.
        slots: Limit of concurrent requests.
        lease_expires_at_s: End of the lease, in seconds of monotonic time.
        running: Attempts in flight.
        queue: Attempts that wait for a slot.
        withdrawn: Whether it was withdrawn; it is dropped once no attempt is in flight.
        evaluator: Derives the target's condition from the outcomes of attempts and probes.
        suspicion: Tracks short faults, if the service's policy enables it.
    """

    target: TargetId
    announcement: Announcement
    slots: int
    lease_expires_at_s: float
    evaluator: TargetEvaluator
    suspicion: Suspicion | None = None
    running: int = 0
    queue: AdmissionQueue = msgspec.field(default_factory=AdmissionQueue)
    withdrawn: bool = False

    def renew(
        self, announcement: Announcement, *, slots: int, lease_expires_at_s: float, now_s: float
    ) -> None:
        """Apply a newer announcement; a target that begins to serve gets a slow start.

        Args:
            announcement: The announcement.
            slots: Limit of concurrent requests.
            lease_expires_at_s: New end of the lease, in seconds of monotonic time.
            now_s: Monotonic time, in seconds.
        """
        was_not_serving = self.announcement.phase is not TargetPhase.SERVING
        restarted = announcement.started_ms > self.announcement.started_ms
        if restarted or (was_not_serving and announcement.phase is TargetPhase.SERVING):
            self.begin_slow_start(announcement, now_s)
        self.announcement = announcement
        self.slots = slots
        self.lease_expires_at_s = lease_expires_at_s
        self.withdrawn = False

    def begin_slow_start(self, announcement: Announcement, now_s: float) -> None:
        """Begin a slow start, unless the announcement states that it is over (`cold_s` is 0).

        Args:
            announcement: The announcement.
            now_s: Monotonic time, in seconds.
        """
        if announcement.cold_s != 0.0:
            self.evaluator.health.start_cold(now_s, duration_s=announcement.cold_s)

    def use_fault_model(self, model: FaultModel | None, *, now_s: float) -> None:
        """Replace the model by which short faults are tracked.

        Args:
            model: Fault model of the service; None ends the tracking.
            now_s: Monotonic time, in seconds.
        """
        self.evaluator.use_fault_span(math.inf if model is None else model.span_s)
        if model is None:
            self.suspicion = None
        elif self.suspicion is None:
            self.suspicion = Suspicion(model, now_s=now_s)
        else:
            self.suspicion.use_model(model, now_s=now_s)

    def withdraw(self) -> None:
        """Refuse new and waiting attempts from now on."""
        self.announcement = msgspec.structs.replace(self.announcement, phase=TargetPhase.DRAINING)
        self.withdrawn = True
        self.queue.refuse_all(RefusalCode.DRAINING)

    def start(self, attempt: AttemptId, *, now_s: float) -> Admission:
        """Acquire a slot for one attempt.

        Args:
            attempt: The attempt.
            now_s: Monotonic time, in seconds.
        """
        self.running += 1
        if self.suspicion is not None:
            self.suspicion.begin(attempt, now_s=now_s)
        return Admission(address=self.announcement.address)

    def read_load(self, now_s: float) -> TargetLoad:
        """Return the load that is reported to fronts.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return TargetLoad(
            phase=self.announcement.phase,
            condition=self.evaluator.health.read_condition(now_s),
            free_slots=max(0, self.slots - self.running),
            slots=self.slots,
            severity=round(self.evaluator.health.read_severity(now_s), 3),
            weight=round(self.evaluator.health.read_weight(now_s), 3),
            risk=None if self.suspicion is None else round(self.suspicion.read(now_s), 4),
            summary=self.evaluator.health.summarize(now_s),
            sheds=None if self.suspicion is None else self.suspicion.read_sheds(now_s),
        )

    def make_dump(self, now_s: float) -> LocalTargetDump:
        """Return the state for an operator.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return LocalTargetDump(
            target=self.target,
            announcement=self.announcement,
            load=self.read_load(now_s),
            running=self.running,
            waiting=len(self.queue),
            lease_left_s=round(self.lease_expires_at_s - now_s, 3),
            health=self.evaluator.health.make_dump(now_s),
        )
