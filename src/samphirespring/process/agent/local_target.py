"""State of one target on the agent's own host."""

import math

import msgspec

from samphirespring.process.agent.admission_queue import Admission, AdmissionQueue, SlotPace
from samphirespring.process.agent.agent_messages import Announcement, LocalTargetDump
from samphirespring.process.agent.brief_queue import BriefQueue
from samphirespring.process.agent.waiting_room import WaitingRoom
from samphirespring.process.detection.fault_risk import FaultModel
from samphirespring.process.detection.target_evaluator import TargetEvaluator
from samphirespring.process.ids import TargetId
from samphirespring.process.states import TargetPhase
from samphirespring.process.suspicion import Suspicion
from samphirespring.process.targets import TargetLoad, TargetWork
from samphirespring.process.work.remaining_work import RemainingWork
from samphirespring.request.ids import AttemptId
from samphirespring.request.states import RefusalCode
from samphirespring.version.states import AdmissionMode

DEFAULT_RUN_S = 0.5
"""Duration that a request is taken to have while the pool's isn't known, in seconds."""


class LocalTarget(msgspec.Struct, kw_only=True):
    """A target with its lease, slots and health.

    Attributes:
        target: The target's id.
        announcement: The latest announcement.
        slots: Limit of concurrent requests.
        lease_expires_at_s: End of the lease, in seconds of monotonic time.
        running: Attempts in flight.
        queue: Attempts that wait for a slot.
        admission: What happens to attempts that find no free slot.
        withdrawn: Whether it was withdrawn; it is dropped once no attempt is in flight.
        evaluator: Derives the target's condition from the outcomes of attempts and probes.
        suspicion: Tracks short faults, if the service's policy enables it.
        work: Tracks the work that is left, if the service's requests are placed by work.
    """

    target: TargetId
    announcement: Announcement
    slots: int
    lease_expires_at_s: float
    evaluator: TargetEvaluator
    suspicion: Suspicion | None = None
    work: RemainingWork | None = None
    running: int = 0
    queue: AdmissionQueue = msgspec.field(default_factory=BriefQueue)
    admission: AdmissionMode = AdmissionMode.BRIEF
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
        if restarted and self.work is not None:
            self.work = RemainingWork()
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

    @property
    def pace(self) -> SlotPace:
        """How fast the slots become free, by the usual duration in the pool."""
        reference = self.evaluator.reference
        if reference is None:
            return SlotPace(slots=self.slots, run_s=DEFAULT_RUN_S, slow_run_s=DEFAULT_RUN_S)
        return SlotPace(
            slots=self.slots, run_s=reference.read_p50_s(), slow_run_s=reference.read_p75_s()
        )

    def use_admission(self, mode: AdmissionMode) -> None:
        """Set what happens to attempts that find no free slot; those that wait are refused.

        Args:
            mode: What happens to them.
        """
        if mode is self.admission:
            return
        self.queue.refuse_all(RefusalCode.NO_SLOT)
        self.admission = mode
        self.queue = WaitingRoom() if mode is AdmissionMode.QUEUE else BriefQueue()

    def withdraw(self) -> None:
        """Refuse new and waiting attempts from now on."""
        self.announcement = msgspec.structs.replace(self.announcement, phase=TargetPhase.DRAINING)
        self.withdrawn = True
        self.queue.refuse_all(RefusalCode.DRAINING)

    def track_work(self, *, enabled: bool) -> None:
        """Set whether fronts weigh the work that the target still has to do.

        Args:
            enabled: Whether they do.
        """
        if not enabled:
            self.work = None
        elif self.work is None:
            self.work = RemainingWork()

    def start(self, attempt: AttemptId, *, work_s: float | None, now_s: float) -> Admission:
        """Acquire a slot for one attempt.

        Args:
            attempt: The attempt.
            work_s: Its expected work, in seconds; None if its front expects nothing.
            now_s: Monotonic time, in seconds.
        """
        self.running += 1
        if self.work is not None:
            self.work.begin(attempt, work_s=work_s, now_s=now_s)
        if self.suspicion is not None:
            self.suspicion.begin(attempt, now_s=now_s)
        return Admission(address=self.announcement.address)

    def end(self, attempt: AttemptId, *, run_s: float | None) -> None:
        """Release the slot of an attempt.

        Args:
            attempt: The attempt.
            run_s: Time that it took, in seconds; None if that says nothing about its cost.
        """
        self.running -= 1
        if self.work is not None:
            self.work.end(attempt, run_s=run_s)

    def read_load(self, now_s: float, *, run_s: float | None = None) -> TargetLoad:
        """Return the load that is reported to fronts.

        Args:
            now_s: Monotonic time, in seconds.
            run_s: Time that the attempt that carries the report took, in seconds; None if that says
                nothing about its cost.
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
            work=self._read_work(now_s, run_s),
            sheds=None if self.suspicion is None else self.suspicion.read_sheds(now_s),
        )

    def _read_work(self, now_s: float, run_s: float | None) -> TargetWork | None:
        if self.work is None:
            return None
        return self.work.read(now_s, waiting_s=self.queue.waiting_work_s, run_s=run_s)

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
