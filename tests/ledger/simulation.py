"""Simulation of fronts, agents and one ledger group; the test delivers their messages."""

import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import msgspec

from samphirespring.process.attempt_table import AttemptTable
from samphirespring.process.errors import ErrorCode
from samphirespring.process.ids import Incarnation, LogIndex, TargetId
from samphirespring.process.ledger.claim_state_machine import ClaimStateMachine
from samphirespring.process.ledger.claims import AttemptAssignment, ClaimKey, StoredResponse
from samphirespring.process.ledger.clock import LedgerClock
from samphirespring.process.ledger.commands import LedgerCommand, LedgerSnapshot
from samphirespring.process.ledger.resolution import decide_resolution, is_resolution_due
from samphirespring.process.ledger.states import AttemptFate, ClaimState
from samphirespring.request import action_messages as steps
from samphirespring.request.action_coordinator import ActionCoordinator
from samphirespring.request.action_progress import ActionPlan
from samphirespring.request.ids import AttemptId, IdempotencyKey, RequestId
from samphirespring.request.messages import AttemptRequest
from samphirespring.request.states import Outcome, RefusalCode
from samphirespring.version.document import ResponseCheck
from samphirespring.version.ids import DocumentVersion, ServiceName, WorkspaceId
from samphirespring.version.states import PriorityClass

SERVICE = ServiceName("orders")
DEADLINE_S = 8.0
START_WINDOW_S = 5.0
RETENTION_MS = 120_000
CODES_FOR_ONE_REQUEST = {ErrorCode.KEY_REUSED}
"""Errors whose outcome "not-run" refers to this request only, not to earlier ones with its key."""


@dataclass(eq=False)
class Message:
    """A message in the network; its delivery calls `on_delivery`."""

    name: str
    on_delivery: object
    front: int | None = None


@dataclass(eq=False)
class ActionCall:
    """One request of a caller, handled by one front."""

    request: RequestId
    key: ClaimKey
    front: int
    coordinator: ActionCoordinator
    step_number: int = 0
    waiting_for: str = ""
    resume_at_s: float | None = None
    result: steps.Conclude | None = None
    concluded_at_s: float | None = None
    response: StoredResponse | None = None


@dataclass(eq=False)
class Agent:
    """One process of an agent, with its backend server."""

    number: int
    skew_s: float
    incarnation: Incarnation
    attempts: AttemptTable
    running: dict[AttemptId, AttemptRequest] = field(default_factory=dict)
    waiting_calls: dict[AttemptId, tuple[ActionCall, int]] = field(default_factory=dict)


class ActionSimulation:
    """Callers, fronts, agents and the ledger; the given generator makes all random choices."""

    def __init__(self, generator: random.Random, *, front_count=2, agent_count=2, skew_s=0.0):
        self.generator = generator
        self.now_s = 1_000.0
        self.network: list[Message] = []
        self.state_machine = ClaimStateMachine()
        self.clock = LedgerClock()
        self.index = 0
        self.available = True
        self.lagging_replica = ClaimStateMachine()
        self.unapplied_commands: list[LedgerCommand] = []
        self.uncertain_commands: list[LedgerCommand] = []
        self.front_skews = [generator.uniform(-skew_s, skew_s) for _ in range(front_count)]
        self.front_views: list[list[Incarnation]] = []
        self.agents = [
            self._make_agent(i, generator.uniform(-skew_s, skew_s)) for i in range(agent_count)
        ]
        self.front_views = [
            [agent.incarnation for agent in self.agents] for _ in range(front_count)
        ]
        self.calls: list[ActionCall] = []
        self.call_count = 0
        self.runs: Counter[ClaimKey] = Counter()
        self.attempt_runs: Counter[AttemptId] = Counter()
        self.requests_by_attempt: dict[AttemptId, RequestId] = {}
        self.run_requests: set[RequestId] = set()
        self.response_bodies: dict[ClaimKey, set[bytes]] = defaultdict(set)
        self.counts: Counter[str] = Counter()
        self.faults: list[str] = []
        self.history: list[str] = []

    # Callers and fronts.

    def send_action(self, key_name: str | None, front: int, *, digest: bytes = b"d") -> ActionCall:
        """Send an action; without a key the front generates one."""
        self.call_count += 1
        request = RequestId(f"r{self.call_count}")
        name = IdempotencyKey(request if key_name is None else key_name)
        key = ClaimKey(workspace=WorkspaceId("w"), service=SERVICE, key=name)
        plan = ActionPlan(
            key=key,
            key_from_caller=key_name is not None,
            digest=digest,
            request=request,
            deadline_at_s=self.now_s + DEADLINE_S,
            reserve_s=0.05,
            max_attempts=3,
            retention_ms=RETENTION_MS,
        )
        call = ActionCall(
            request=request, key=key, front=front, coordinator=ActionCoordinator(plan)
        )
        self.calls.append(call)
        self._perform(call, call.coordinator.start())
        return call

    def crash_front(self, front: int) -> None:
        self.calls = [call for call in self.calls if call.front != front or call.result is not None]
        self.network = [
            message
            for message in self.network
            if message.front != front or not message.name.startswith("to")
        ]

    def time_out(self, call: ActionCall) -> None:
        """End the front's wait for its latest step without a reply."""
        match call.waiting_for:
            case "ledger":
                self._feed(call, steps.LedgerFailed(uncertain=True))
            case "fence":
                self._feed(call, steps.FenceFailed())
            case "attempt":
                self._feed(call, steps.AttemptLost(ended=False))

    def list_unfinished_calls(self) -> list[ActionCall]:
        return [call for call in self.calls if call.result is None]

    def _feed(self, call: ActionCall, event) -> None:
        if call.result is None:
            self.history.append(f"{self.now_s:.2f} {call.request} {call.key.key}: {event}")
            self._perform(call, call.coordinator.handle(event, now_s=self.now_s))

    def _feed_step(self, call: ActionCall, number: int, event) -> None:
        # A reply that arrives after the front stopped waiting is dropped, as on a closed stream.
        if call.step_number == number:
            self._feed(call, event)

    def _perform(self, call: ActionCall, step) -> None:
        call.step_number += 1
        number = call.step_number
        call.waiting_for = ""
        match step:
            case steps.ChooseTarget():
                self._feed(call, self._choose_target(call, step))
            case steps.CallLedger():
                call.waiting_for = "ledger"
                self._send("ledger", lambda: self._serve_command(step.command, call, number))
            case steps.ReadClaim():
                call.waiting_for = "ledger"
                self._send("ledger", lambda: self._serve_read(step, call, number))
            case steps.RunAttempt():
                call.waiting_for = "attempt"
                self._dispatch(step.assignment, call, number)
            case steps.FenceAttempt():
                call.waiting_for = "fence"
                self._send("agent", lambda: self._serve_fence(step.assignment, call, number))
            case steps.Pause():
                call.resume_at_s = self.now_s + step.delay_s
            case steps.Conclude():
                self._conclude(call, step)

    def _choose_target(self, call: ActionCall, step):
        if self.generator.random() < 0.05:
            return steps.NoTarget()
        agent = self.generator.choice(self.agents)
        attempt = AttemptId(f"a{len(self.requests_by_attempt)}")
        self.requests_by_attempt[attempt] = call.request
        front_wall_s = self.now_s + self.front_skews[call.front]
        return steps.TargetChosen(
            assignment=AttemptAssignment(
                attempt=attempt,
                target=TargetId(f"t{agent.number}"),
                link_address=str(agent.number),
                incarnation=self.front_views[call.front][agent.number],
                start_by_wall_ms=int((front_wall_s + START_WINDOW_S) * 1_000),
            )
        )

    def _conclude(self, call: ActionCall, step) -> None:
        call.result = step
        call.concluded_at_s = self.now_s
        self.counts[step.outcome.value] += 1
        if step.end_command is not None:
            self._send("ledger", lambda: self._commit(step.end_command))
        if step.outcome is Outcome.NOT_RUN:
            if call.request in self.run_requests:
                self.faults.append(f"{call.request} was reported as not-run after it ran")
            if step.error not in CODES_FOR_ONE_REQUEST and self.runs[call.key]:
                self.faults.append(f"{call.request} was reported as not-run after its key ran")
        response = step.stored if step.stored is not None else call.response
        if step.error is None and (
            response is None or response.body not in self.response_bodies[call.key]
        ):
            self.faults.append(f"{call.request} got an unexpected response: {response}")

    # The network.

    def _send(self, name: str, on_delivery, *, front: int | None = None) -> None:
        self.network.append(Message(name=name, on_delivery=on_delivery, front=front))

    def deliver(self, position: int) -> None:
        self.network.pop(position % len(self.network)).on_delivery()

    def drop(self, position: int) -> None:
        self.network.pop(position % len(self.network))

    def duplicate(self, position: int) -> None:
        self.network.append(self.network[position % len(self.network)])

    def advance(self, duration_s: float) -> None:
        self.now_s += duration_s
        for call in list(self.calls):
            if (
                call.result is None
                and call.resume_at_s is not None
                and call.resume_at_s <= self.now_s
            ):
                call.resume_at_s = None
                self._feed(call, steps.Resumed())

    # The ledger group: linearizable, with lost replies and periods without a quorum.

    def _commit(self, command: LedgerCommand):
        if not self.available:
            return None
        return self.apply(command)

    def apply(self, command: LedgerCommand):
        timestamp_ms = self.clock.read(committed_ms=self.state_machine.clock_ms, now_s=self.now_s)
        self.index += 1
        timestamped = msgspec.structs.replace(command, now_ms=timestamp_ms)
        result = self.state_machine.apply(index=LogIndex(self.index), command=timestamped)
        self.unapplied_commands.append(timestamped)
        if self.generator.random() < 0.5:
            self.catch_up()
        self.history.append(f"{self.now_s:.2f} applied {command}: {result}")
        return result

    def catch_up(self) -> None:
        """Apply the committed commands on the lagging replica."""
        commands, self.unapplied_commands = self.unapplied_commands, []
        for command in commands:
            self.lagging_replica.apply(index=LogIndex(self.index), command=command)

    def _serve_command(self, command: LedgerCommand, call: ActionCall, number: int) -> None:
        if not self.available:
            uncertain = self.generator.random() < 0.5
            if uncertain:
                self.uncertain_commands.append(command)
            self._reply(call, number, steps.LedgerFailed(uncertain=uncertain))
            return
        self._reply(call, number, steps.LedgerReplied(result=self.apply(command)))

    def _serve_read(self, step, call: ActionCall, number: int) -> None:
        if not self.available and not (step.any_replica and self.generator.random() < 0.7):
            self._reply(call, number, steps.LedgerFailed(uncertain=False))
            return
        replica = self.lagging_replica if step.any_replica else self.state_machine
        self._reply(call, number, steps.LedgerReplied(result=replica.read(call.key)))

    def settle_uncertain_commands(self, *, committed: bool) -> None:
        """Commit or drop the commands whose commit was uncertain."""
        commands, self.uncertain_commands = self.uncertain_commands, []
        for command in commands if committed else ():
            self.apply(command)

    def change_leader(self) -> None:
        """Replace the leader by a replica that restores its state from an encoded snapshot."""
        data = msgspec.msgpack.encode(self.state_machine.capture_snapshot())
        self.state_machine = ClaimStateMachine()
        self.state_machine.restore_snapshot(msgspec.msgpack.decode(data, type=LedgerSnapshot))
        self.clock = LedgerClock()

    def resolve(self) -> None:
        """Let the leader query the agents for the fate of open claims."""
        clock_ms = self.clock.read(committed_ms=self.state_machine.clock_ms, now_s=self.now_s)
        for claim in tuple(self.state_machine.iterate_open_claims()):
            if is_resolution_due(claim, clock_ms=clock_ms):
                self._send("agent", lambda claim=claim: self._resolve(claim))
                end = decide_resolution(claim, None, clock_ms=clock_ms)
                if end is not None:
                    self._commit(end)

    def _resolve(self, claim) -> None:
        agent = self.agents[int(claim.place.link_address)]
        fate = agent.attempts.fence(claim.place, now_ms=self._agent_ms(agent))
        end = decide_resolution(claim, fate, clock_ms=claim.changed_ms)
        if end is not None:
            self._send("ledger", lambda: self._commit(end))

    # Agents and backend servers.

    def _make_agent(self, number: int, skew_s: float, incarnation: int = 1) -> Agent:
        start = Incarnation(incarnation)
        attempts = AttemptTable(incarnation=start, capacity=64)
        return Agent(number=number, skew_s=skew_s, incarnation=start, attempts=attempts)

    def _agent_ms(self, agent: Agent) -> int:
        return int((self.now_s + agent.skew_s) * 1_000)

    def restart_agent(self, number: int) -> None:
        old = self.agents[number]
        self.agents[number] = self._make_agent(number, old.skew_s, old.incarnation + 1)
        for call, step in old.waiting_calls.values():
            self._reply(call, step, steps.AttemptLost(ended=False))

    def refresh_view(self, front: int) -> None:
        self.front_views[front] = [agent.incarnation for agent in self.agents]

    def _dispatch(self, assignment: AttemptAssignment, call: ActionCall, number: int) -> None:
        if self.generator.random() < 0.05:
            self._reply(call, number, self._refuse(call, None))
            return
        request = AttemptRequest(
            request=call.request,
            attempt=assignment.attempt,
            target=assignment.target,
            service=SERVICE,
            document_version=DocumentVersion(1),
            method=b"POST",
            path=b"/",
            headers=(),
            key=call.key.key,
            body=b"",
            remaining_ms=1,
            priority=PriorityClass.ACTION,
            idempotent=False,
            answer=ResponseCheck(),
            incarnation=assignment.incarnation,
            start_by_wall_ms=assignment.start_by_wall_ms,
        )
        agent = self.agents[int(assignment.link_address)]
        self._send("agent", lambda: self._serve_attempt(request, agent, call, number))

    def _serve_attempt(
        self, request: AttemptRequest, agent: Agent, call: ActionCall, number: int
    ) -> None:
        if self.agents[agent.number] is not agent:
            # The connection ends with the agent's process, so no copy reaches the next process.
            self._reply(call, number, steps.AttemptLost(ended=False))
            return
        if agent.attempts.may_have_started(request):
            self._reply(call, number, steps.AttemptLost(ended=False))
            return
        refusal = RefusalCode.NO_SLOT if self.generator.random() < 0.15 else None
        code = agent.attempts.admit(request, refusal=refusal, now_ms=self._agent_ms(agent))
        if code is not None:
            self._reply(call, number, self._refuse(call, code))
            return
        self._record_run(request, call)
        agent.running[request.attempt] = request
        agent.waiting_calls[request.attempt] = (call, number)

    def _serve_fence(self, assignment: AttemptAssignment, call: ActionCall, number: int) -> None:
        agent = self.agents[int(assignment.link_address)]
        reply = agent.attempts.fence(assignment, now_ms=self._agent_ms(agent))
        self._reply(call, number, steps.FateReported(fate=reply.fate, response=reply.answer))

    def _refuse(self, call: ActionCall, code):
        may_retry = call.coordinator.attempt_count < 3 and self.generator.random() < 0.9
        return steps.AttemptNotStarted(code=code, retry_delay_s=0.02 if may_retry else None)

    def _record_run(self, request: AttemptRequest, call: ActionCall) -> None:
        self.runs[call.key] += 1
        self.history.append(
            f"{self.now_s:.2f} {call.request} {call.key.key}: {request.attempt} runs"
        )
        self.run_requests.add(request.request)
        if self.runs[call.key] > 1:
            self.faults.append(f"{call.key.key} ran {self.runs[call.key]} times")
        if call.result is not None and call.result.outcome is Outcome.NOT_RUN:
            self.faults.append(f"{call.request} ran after it was reported as not-run")

    def finish(self, number: int, *, succeeds: bool) -> None:
        """End the oldest attempt of one agent's backend server."""
        agent = self.agents[number]
        if not agent.running:
            return
        attempt, request = next(iter(agent.running.items()))
        del agent.running[attempt]
        call, step = agent.waiting_calls.pop(attempt)
        if not succeeds:
            agent.attempts.end(attempt, AttemptFate.UNKNOWN, None)
            self._reply(call, step, steps.AttemptLost(ended=True))
            return
        body = f"{request.key}/{attempt}".encode()
        response = StoredResponse(status=200, headers=(), body=body)
        self.response_bodies[call.key].add(body)
        agent.attempts.end(attempt, AttemptFate.RAN, response)
        event = steps.AttemptCompleted(state=ClaimState.DONE, response=response)
        self._send("to front", lambda: self._receive_response(call, step, event), front=call.front)

    def _receive_response(self, call: ActionCall, number: int, event) -> None:
        if call.step_number == number:
            call.response = event.response
        self._feed_step(call, number, event)

    def _reply(self, call: ActionCall, number: int, event) -> None:
        self._send("to front", lambda: self._feed_step(call, number, event), front=call.front)

    # End of the simulation.

    def run_to_completion(self) -> None:
        """End all faults and run until no messages, requests or open claims remain."""
        self.available = True
        self.settle_uncertain_commands(committed=self.generator.random() < 0.5)
        for _ in range(400):
            for _ in range(len(self.network)):
                self.deliver(0)
            for number in range(len(self.agents)):
                self.finish(number, succeeds=True)
            self.resolve()
            if not self.network:
                for call in self.list_unfinished_calls():
                    self.time_out(call)
            self.advance(0.5)
            self.refresh_view(0)
            self.refresh_view(1)
            if not (
                self.network
                or self.list_unfinished_calls()
                or any(self.state_machine.iterate_open_claims())
            ):
                return

    def check_final_state(self) -> None:
        if self.list_unfinished_calls():
            self.faults.append(
                f"unfinished requests: {[call.request for call in self.list_unfinished_calls()]}"
            )
        open_keys = [claim.key.key for claim in self.state_machine.iterate_open_claims()]
        if open_keys:
            self.faults.append(f"keys without a final state: {open_keys}")
