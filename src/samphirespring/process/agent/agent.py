"""The agent: admits attempts into the slots of its host's targets and reports their state."""

import math
from functools import partial

import anyio
import msgspec
from anyio.abc import TaskGroup

from samphirespring.process.agent.admission_queue import Admission, SlotPace, Waiter
from samphirespring.process.agent.agent_messages import (
    AdmitAttempt,
    AgentDump,
    AgentMessage,
    AnnouncementReceipt,
    AnnounceTarget,
    DrainHost,
    FinishAttempt,
    ListProbePlans,
    ReadAgentDump,
    ReadHostRecord,
    RecordProbe,
    RecordStall,
    SetDrain,
    UseLeaveRecord,
    UsePolicies,
    WithdrawTarget,
)
from samphirespring.process.agent.announced_targets import AnnouncedTargets
from samphirespring.process.agent.condition_watch import ConditionWatch
from samphirespring.process.agent.departure_guard import DepartureGuard
from samphirespring.process.agent.departure_recorder import DepartureRecorder
from samphirespring.process.agent.departure_store import DepartureStore
from samphirespring.process.agent.local_policies import LocalPolicies
from samphirespring.process.agent.local_target import LocalTarget
from samphirespring.process.agent.operator_drain import OperatorDrain
from samphirespring.process.detection.observations import Observation
from samphirespring.process.detection.probe_schedule import ProbePlan
from samphirespring.process.detection.states import ObservedOutcome
from samphirespring.process.detection.target_health import TRIAL_WEIGHT
from samphirespring.process.errors import InternalError
from samphirespring.process.ids import Incarnation, TargetId
from samphirespring.process.logs.event_log import EventLog
from samphirespring.process.mailbox import Mailbox, ReplySlot, ReplyT, ask
from samphirespring.process.metrics.metric_names import Counter, Gauge, Timing
from samphirespring.process.metrics.metrics import Metrics
from samphirespring.process.states import TargetCondition, TargetPhase
from samphirespring.process.targets import (
    HostRecord,
    LeaveRecord,
    Locality,
    TargetLoad,
    TargetRecord,
)
from samphirespring.process.tasks import OwnerTask
from samphirespring.process.timers import TimerService
from samphirespring.request.key_gate import KeyGate
from samphirespring.request.messages import AttemptRefused, AttemptRequest
from samphirespring.request.states import RefusalCode

FIRST_REPORT_WAIT_S = 2.0
"""Time after the process start before a host without targets is reported as empty, in seconds."""

INBOX_CAPACITY = 10_000
EXPIRY_INTERVAL_S = 0.5
REPORTED_WEIGHTS = {TargetCondition.TRIAL: TRIAL_WEIGHT, TargetCondition.SLOW_START: 0.5}
"""Weights that are reported to the registry by condition; the progress of a slow start isn't."""


_log = EventLog()


class Agent(OwnerTask):
    """Owns the targets of one host: their leases, slots and health records.

    Args:
        locality: Region, failure domain and id of the host.
        link_address: `IP:port` of this process's link server.
        lease_s: Time after which a target without a renewed announcement expires, in seconds.
        timers: The timer service.
        metrics: Receives counters and gauges.
        departures: Keeps departures of targets over restarts of this process; None keeps them in
            memory only.
        keys: Checks attempts that come, so that none waits in vain; None checks nothing.
    """

    def __init__(
        self,
        *,
        locality: Locality,
        link_address: str,
        lease_s: float,
        timers: TimerService,
        metrics: Metrics,
        departures: DepartureStore | None = None,
        keys: KeyGate | None = None,
    ) -> None:
        self.inbox: Mailbox[AgentMessage] = Mailbox(name=self.name, capacity=INBOX_CAPACITY)
        self.incarnation = Incarnation(timers.read_wall_ns())
        self._locality = locality
        self._link_address = link_address
        self._lease_s = lease_s
        self._timers = timers
        self._metrics = metrics
        self._keys = keys
        self._condition_watch = ConditionWatch(metrics)
        self._policies = LocalPolicies()
        self._wait_tasks: TaskGroup
        self._host_drain: DrainHost | None = None
        self._operator_drain = OperatorDrain()
        self._record: HostRecord | None = None
        self._first_report_at_s = timers.read_now_s() + FIRST_REPORT_WAIT_S
        self._departure_recorder = DepartureRecorder(departures, timers=timers)
        self._targets = AnnouncedTargets(
            policies=self._policies,
            lease_s=lease_s,
            guard=DepartureGuard(is_loaded=departures is None, now_s=timers.read_now_s()),
        )

    @property
    def name(self) -> str:
        """Name in dumps and logs."""
        return "agent"

    async def run(self) -> None:
        """Serve messages and expire targets until cancelled."""
        async with anyio.create_task_group() as group:
            self._wait_tasks = group
            group.start_soon(self._expire_targets)
            if self._departure_recorder.has_store:
                group.start_soon(self._read_leave_record)
            while True:
                self._handle(await self.inbox.receive())

    async def dump(self) -> AgentDump:
        """Return the agent's state at one moment."""
        return await ask(self.inbox, lambda reply: ReadAgentDump(reply=reply))

    def _handle(self, message: AgentMessage) -> None:
        match message:
            case AdmitAttempt():
                self._admit(message)
            case FinishAttempt():
                message.reply.send(self._finish(message))
            case ListProbePlans():
                message.reply.send(self._list_probe_plans())
            case RecordProbe():
                self._record_probe(message)
            case RecordStall():
                self._record_stall(message)
            case AnnounceTarget():
                self._announce(message)
            case WithdrawTarget():
                self._withdraw(message)
            case UseLeaveRecord():
                self._use_leave_record(message.record)
            case ReadHostRecord():
                message.reply.send(self._read_record())
            case DrainHost():
                self._host_drain = message
                self._refuse_waiting()
            case UsePolicies():
                self._use_policies(message)
            case SetDrain():
                message.reply.send(self._set_drain(message))
            case ReadAgentDump():
                message.reply.send(self._make_dump())

    def _admit(self, message: AdmitAttempt) -> None:
        if message.reply.abandoned:
            # Nobody would release its slot.
            return
        request = message.request
        target = self._targets.find(request.target)
        if target is None or target.announcement.service != request.service:
            message.reply.send(
                AttemptRefused(attempt=request.attempt, code=RefusalCode.UNKNOWN_TARGET)
            )
            return
        code = (
            self._check_refusal(target, request.remaining_ms)
            or self._check_key(request)
            or self._check_suspicion(target, request)
        )
        if code is None and target.running >= target.slots:
            code = self._enqueue(target, message)
        elif code is None:
            message.reply.send(self._start(target, request))
        if code is not None:
            self._metrics.count(Counter.AGENT_REFUSALS, code.value)
            load = self._read_load(target)
            message.reply.send(AttemptRefused(attempt=request.attempt, code=code, load=load))

    def _check_refusal(self, target: LocalTarget, remaining_ms: int) -> RefusalCode | None:
        if remaining_ms <= 0:
            return RefusalCode.EXPIRED
        return self._check_state(target)

    def _check_state(self, target: LocalTarget) -> RefusalCode | None:
        """Return why a target takes no attempts now, or None."""
        if self._is_draining(target) or target.announcement.phase is not TargetPhase.SERVING:
            return RefusalCode.DRAINING
        if not self._policies.has_policy_for(target.announcement):
            return RefusalCode.STALE_DOCUMENT
        return None

    def _check_key(self, request: AttemptRequest) -> RefusalCode | None:
        return None if self._keys is None else self._keys.check(request)

    def _check_suspicion(self, target: LocalTarget, request: AttemptRequest) -> RefusalCode | None:
        suspicion = target.suspicion
        if suspicion is None or suspicion.admits(request, now_s=self._timers.read_now_s()):
            return None
        return RefusalCode.SUSPECT

    def _enqueue(self, target: LocalTarget, message: AdmitAttempt) -> RefusalCode | None:
        now_s = self._timers.read_now_s()
        request = message.request
        pace = target.pace
        waiter = Waiter(
            request=request,
            arrived_at_s=now_s,
            deadline_at_s=now_s + request.remaining_ms / 1_000,
            wait_ends_at_s=target.queue.find_wait_end(request, pace=pace, now_s=now_s),
            aim_needs_start_by_s=_find_aim_start(request, pace=pace, now_s=now_s),
            reply=message.reply,
        )
        code = target.queue.offer(waiter, pace=pace, now_s=now_s)
        if code is None:
            self._wait_tasks.start_soon(self._expire_waiter, target, waiter)
        return code

    async def _expire_waiter(self, target: LocalTarget, waiter: Waiter) -> None:
        # The task ends with the wait, as it would keep the attempt and its body.
        with self._timers.move_on_at(waiter.wait_ends_at_s):
            await waiter.reply.wait()
        if target.queue.remove(waiter):
            waiter.expire(self._timers.read_now_s())

    def _use_policies(self, message: UsePolicies) -> None:
        self._policies.apply(message)
        for target in self._targets:
            target.slots = self._policies.find_slots(target.announcement)
            self._targets.update_policy(target, now_s=self._timers.read_now_s())
            self._admit_waiting(target)

    def _admit_waiting(self, target: LocalTarget) -> None:
        while target.queue and target.running < target.slots:
            waiter = target.queue.pop_next(pace=target.pace, now_s=self._timers.read_now_s())
            if waiter is None:
                return
            code = self._recheck(target, waiter.request)
            if code is not None:
                waiter.refuse(code)
                continue
            self._metrics.record_duration(
                Timing.AGENT_SLOT_WAIT, self._timers.read_now_s() - waiter.arrived_at_s
            )
            waiter.reply.send(self._start(target, waiter.request))

    def _recheck(self, target: LocalTarget, request: AttemptRequest) -> RefusalCode | None:
        """Return why an attempt that has waited isn't started after all, or None."""
        code = self._check_state(target)
        if code is not None or not target.queue.rechecks_suspicion:
            return code
        # A small risk is no reason to lose the place for which the attempt has waited.
        suspicion = target.suspicion
        if suspicion is None or not suspicion.is_suspect(self._timers.read_now_s()):
            return None
        return self._check_suspicion(target, request)

    def _start(self, target: LocalTarget, request: AttemptRequest) -> Admission:
        return target.start(request.attempt, work_s=request.work_s, now_s=self._timers.read_now_s())

    def _refuse_waiting(self) -> None:
        for target in self._targets:
            if self._check_state(target) is RefusalCode.DRAINING:
                target.queue.refuse_all(RefusalCode.DRAINING)

    def _finish(self, message: FinishAttempt) -> TargetLoad:
        target = self._targets.find(message.target)
        if target is None:
            raise InternalError(f"target {message.target} was dropped with an attempt in flight")
        self._observe(target, message)
        run_s = message.latency_s if message.outcome is ObservedOutcome.OK else None
        target.end(message.attempt, run_s=run_s)
        self._admit_waiting(target)
        load = self._read_load(target, run_s=run_s)
        self._targets.drop_if_finished(target)
        return load

    def _observe(self, target: LocalTarget, message: FinishAttempt) -> None:
        now_s = self._timers.read_now_s()
        target.evaluator.use_terms(message.terms, now_s=now_s)
        if target.suspicion is not None:
            target.suspicion.end(
                message.attempt,
                message.outcome,
                now_s=now_s,
                as_slow_as_usual=_is_as_slow_as_usual(message),
            )
        if message.outcome is not None:
            self._condition_watch.observe(
                target.evaluator.health,
                Observation(
                    at_s=now_s,
                    outcome=message.outcome,
                    latency_s=message.latency_s,
                    stalled=message.stalled,
                ),
                target=target.target,
                service=target.announcement.service,
            )

    def _list_probe_plans(self) -> tuple[ProbePlan, ...]:
        plans = (self._plan_probe(target) for target in self._targets)
        return tuple(plan for plan in plans if plan is not None)

    def _plan_probe(self, target: LocalTarget) -> ProbePlan | None:
        announcement = target.announcement
        # A target that receives no requests needs no probes.
        if self._is_draining(target) or announcement.phase is not TargetPhase.SERVING:
            return None
        if announcement.health_path is None:
            return None
        policy = self._policies.find_detection(announcement.service)
        return ProbePlan(
            target=target.target,
            address=announcement.address,
            path=announcement.health_path,
            interval_s=policy.probe_interval_s,
            timeout_s=policy.probe_timeout_s,
        )

    def _record_probe(self, message: RecordProbe) -> None:
        target = self._targets.find(message.target)
        if target is not None:
            now_s = self._timers.read_now_s()
            target.evaluator.health.record_probe(succeeded=message.succeeded, now_s=now_s)

    def _record_stall(self, message: RecordStall) -> None:
        target = self._targets.find(message.target)
        if target is None:
            return
        target.evaluator.use_terms(message.terms, now_s=self._timers.read_now_s())
        self._condition_watch.record_stall(
            target.evaluator.health,
            message.stall,
            target=target.target,
            service=target.announcement.service,
        )

    def _announce(self, message: AnnounceTarget) -> None:
        target_id, announcement = message.target, message.announcement
        serves = announcement.phase is TargetPhase.SERVING
        now_s = self._timers.read_now_s()
        if self._targets.announce(target_id, announcement, now_s=now_s) and serves:
            self._departure_recorder.forget(target_id)
        self._refuse_waiting()
        target = self._targets.find(target_id)
        if target is not None:
            # It may have announced more slots.
            self._admit_waiting(target)
        receipt = AnnouncementReceipt(
            target=target_id, incarnation=self.incarnation, lease_s=self._lease_s
        )
        if serves or not self._targets.is_leaving(target_id):
            message.reply.send(receipt)
        else:
            self._confirm_departure(target_id, message.reply, receipt)

    def _withdraw(self, message: WithdrawTarget) -> None:
        was_announced = self._targets.find(message.target) is not None
        if self._targets.withdraw(message.target, started_ms=message.started_ms):
            self._confirm_departure(message.target, message.reply, was_announced)
        else:
            message.reply.send(False)

    def _confirm_departure(
        self, target_id: TargetId, reply: ReplySlot[ReplyT], value: ReplyT
    ) -> None:
        """Reply to who announced a departure once it is recorded."""
        departure = self._targets.make_departure(target_id)
        if departure is None or self._departure_recorder.covers(departure):
            reply.send(value)
            return
        self._wait_tasks.start_soon(
            partial(self._departure_recorder.confirm, departure, reply=reply, value=value)
        )

    async def _read_leave_record(self) -> None:
        record = await self._departure_recorder.read()
        self.inbox.post_always(UseLeaveRecord(record=record))

    def _use_leave_record(self, record: LeaveRecord) -> None:
        # Targets that were held back until now may be among the drained ones.
        self._operator_drain.restore(record.drained)
        self._targets.use_departures(record.departures, now_s=self._timers.read_now_s())
        self._refuse_waiting()

    def _measure_load(self) -> None:
        targets = tuple(self._targets)
        waiting = sum(len(target.queue) for target in targets)
        self._metrics.set_gauge(Gauge.AGENT_QUEUE_WAITING, value=waiting)
        slots = sum(target.slots for target in targets)
        self._metrics.set_gauge(Gauge.AGENT_SLOTS, value=slots)
        running = sum(target.running for target in targets)
        self._metrics.set_gauge(Gauge.AGENT_SLOTS_USED, value=running)

    async def _expire_targets(self) -> None:
        async for tick in self._timers.subscribe(interval_s=EXPIRY_INTERVAL_S):
            self._measure_load()
            for target in self._targets:
                self._condition_watch.advance(
                    target.evaluator.health,
                    target=target.target,
                    service=target.announcement.service,
                    now_s=tick.now_s,
                )
                if target.lease_expires_at_s <= tick.now_s:
                    self._targets.retire(target)

    def _read_load(self, target: LocalTarget, *, run_s: float | None = None) -> TargetLoad:
        load = target.read_load(self._timers.read_now_s(), run_s=run_s)
        if self._is_draining(target):
            return msgspec.structs.replace(load, phase=TargetPhase.DRAINING)
        return load

    def _is_draining(self, target: LocalTarget) -> bool:
        if self._operator_drain.covers(target.target):
            return True
        drain = self._host_drain
        now_s = self._timers.read_now_s()
        return drain is not None and not drain.admits(target.evaluator.reference, now_s=now_s)

    def _set_drain(self, message: SetDrain) -> bool:
        # A target that isn't known yet, as after a restart, keeps to the drain once it is.
        self._operator_drain.set(message.target, draining=message.draining)
        self._refuse_waiting()
        return message.target is None or self._targets.find(message.target) is not None

    def _read_record(self) -> HostRecord | None:
        """Return the host's record, or None while targets may still have to announce themselves.

        After a restart, the record of the earlier process in the registry is more accurate than a
        record without targets.
        """
        is_first = self._record is None and not self._targets
        if is_first and self._timers.read_now_s() < self._first_report_at_s:
            return None
        return self._make_record()

    def _make_record(self) -> HostRecord:
        """Return the host's record; its sequence number grows when the content changes."""
        previous = self._record
        sequence = 0 if previous is None else previous.sequence
        record = HostRecord(
            locality=self._locality,
            incarnation=self.incarnation,
            link_address=self._link_address,
            sequence=sequence,
            targets=tuple(
                TargetRecord(
                    target=target.target,
                    service=target.announcement.service,
                    load=_make_registry_load(self._read_load(target)),
                )
                for target in self._targets
            ),
        )
        if record != previous:
            record = msgspec.structs.replace(record, sequence=sequence + 1)
        self._record = record
        return record

    def _make_dump(self) -> AgentDump:
        now_s = self._timers.read_now_s()
        return AgentDump(
            incarnation=self.incarnation,
            draining=self._host_drain is not None or self._operator_drain.whole_host,
            document_version=self._policies.version,
            drained_by_operator=self._operator_drain.read_targets(),
            targets=tuple(
                msgspec.structs.replace(target.make_dump(now_s), load=self._read_load(target))
                for target in self._targets
            ),
            running=sum(target.running for target in self._targets),
            waiting_messages=self.inbox.waiting_count,
        )


def _make_registry_load(load: TargetLoad) -> TargetLoad:
    """Return a load without the fields that change with each response.

    Reporting them would flood the registry with updates.
    """
    condition = load.condition
    if condition is TargetCondition.SUSPECT:
        condition = TargetCondition.HEALTHY
    ejectable = condition in (TargetCondition.UNHEALTHY, TargetCondition.TRIAL)
    return TargetLoad(
        phase=load.phase,
        condition=condition,
        free_slots=load.slots,
        slots=load.slots,
        severity=1.0 if ejectable else 0.0,
        weight=REPORTED_WEIGHTS.get(condition, 1.0),
    )


def _find_aim_start(request: AttemptRequest, *, pace: SlotPace, now_s: float) -> float:
    """Return the latest start for a response within the aim, in seconds of monotonic time."""
    if request.aim_left_ms is None:
        return math.inf
    return now_s + request.aim_left_ms / 1_000 - pace.expect_slow_run_s(request)


def _is_as_slow_as_usual(message: FinishAttempt) -> bool:
    """Return whether an attempt took as long as three quarters of the pool's responses do."""
    reference = None if message.terms is None else message.terms.reference
    return reference is not None and message.latency_s >= reference.read_p25_s()
