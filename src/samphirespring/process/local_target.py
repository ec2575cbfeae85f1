"""State of one target on the agent's own host."""

from dataclasses import dataclass, field

import msgspec

from samphirespring.process.admission_queue import Admission, AdmissionQueue
from samphirespring.process.agent_messages import Announcement, LocalTargetDump
from samphirespring.process.detection.fault_risk import FaultModel
from samphirespring.process.detection.target_evaluator import TargetEvaluator
from samphirespring.process.ids import TargetId
from samphirespring.process.states import TargetPhase
from samphirespring.process.suspicion import Suspicion
from samphirespring.process.targets import TargetLoad
from samphirespring.request.states import RefusalCode


@dataclass(slots=True, kw_only=True)
class LocalTarget:
    """A target with its lease and slots.

    Attributes:
        target: The target's id.
        announcement: The latest announcement.
        slots: Requests that it runs at the same time.
        expires_s: End of the lease, in seconds of monotonic time.
        running: Attempts in flight.
        queue: Attempts that wait for a slot.
        withdrawn: Whether it left; it is forgotten once nothing runs.
        judge: Judges it by the evidence of its answers.
        suspicion: Follows short faults, where the service's policy says so.
    """

    target: TargetId
    announcement: Announcement
    slots: int
    expires_s: float
    judge: TargetEvaluator
    suspicion: Suspicion | None = None
    running: int = 0
    queue: AdmissionQueue = field(default_factory=AdmissionQueue)
    withdrawn: bool = False

    def renew(
        self, announcement: Announcement, *, slots: int, expires_s: float, now_s: float
    ) -> None:
        """Take a newer announcement; a target that begins to serve starts slowly.

        Args:
            announcement: The announcement.
            slots: Requests that the target runs at the same time.
            expires_s: New end of the lease, in seconds of monotonic time.
            now_s: Monotonic time, in seconds.
        """
        begins = self.announcement.phase is not TargetPhase.SERVING
        restarted = announcement.started_ms > self.announcement.started_ms
        if restarted or (begins and announcement.phase is TargetPhase.SERVING):
            self.start_cold(announcement, now_s)
        self.announcement = announcement
        self.slots = slots
        self.expires_s = expires_s
        self.withdrawn = False

    def start_cold(self, announcement: Announcement, now_s: float) -> None:
        """Begin a slow start, unless the backend server says that it is over.

        Args:
            announcement: The announcement.
            now_s: Monotonic time, in seconds.
        """
        if announcement.cold_s != 0.0:
            self.judge.health.start_cold(now_s, duration_s=announcement.cold_s)

    def use_fault_model(self, model: FaultModel | None, *, now_s: float) -> None:
        """Follow short faults by this model from now on.

        Args:
            model: How targets of the service fail; None follows none.
            now_s: Monotonic time, in seconds.
        """
        if model is None:
            self.suspicion = None
        elif self.suspicion is None:
            self.suspicion = Suspicion(model, now_s=now_s)
        else:
            self.suspicion.use_model(model, now_s=now_s)

    def withdraw(self) -> None:
        """Refuse new work from now on."""
        self.announcement = msgspec.structs.replace(self.announcement, phase=TargetPhase.DRAINING)
        self.withdrawn = True
        self.queue.refuse_all(RefusalCode.DRAINING)

    def start(self) -> Admission:
        """Take a slot for one attempt."""
        self.running += 1
        return Admission(address=self.announcement.address)

    def read_load(self, now_s: float) -> TargetLoad:
        """Return what fronts should know.

        Args:
            now_s: Monotonic time, in seconds.
        """
        return TargetLoad(
            phase=self.announcement.phase,
            condition=self.judge.health.read_condition(now_s),
            free_slots=max(0, self.slots - self.running),
            slots=self.slots,
            severity=round(self.judge.health.read_severity(now_s), 3),
            weight=round(self.judge.health.read_weight(now_s), 3),
            risk=None if self.suspicion is None else round(self.suspicion.read(now_s), 4),
            summary=self.judge.health.summarize(now_s),
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
            lease_left_s=round(self.expires_s - now_s, 3),
            health=self.judge.health.make_dump(now_s),
        )
