"""Fronts, agents and one ledger group, joined by a network of messages that a test delivers."""

import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import msgspec

from samphirespring.process.attempt_table import AttemptTable
from samphirespring.process.errors import ErrorCode
from samphirespring.process.ids import Incarnation, LogIndex, TargetId
from samphirespring.process.ledger.claim_machine import ClaimMachine
from samphirespring.process.ledger.claims import AttemptPlace, ClaimKey, StoredAnswer
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
from samphirespring.version.document import AnswerCheck
from samphirespring.version.ids import DocumentVersion, ServiceName, WorkspaceId
from samphirespring.version.states import PriorityClass

SERVICE = ServiceName("orders")
DEADLINE_S = 8.0
START_WINDOW_S = 5.0
RETENTION_MS = 120_000
SAYS_NOTHING_OF_EARLIER = {ErrorCode.KEY_REUSED}
"""Codes by which "not run" speaks of this request alone."""


@dataclass(eq=False)
class Message:
    """Something in the network: delivering it calls `act`."""

    name: str
    act: object
    front: int | None = None


@dataclass(eq=False)
class Tap:
    """One request of a caller at one front."""

    request: RequestId
    key: ClaimKey
    front: int
    coordinator: ActionCoordinator
    step_number: int = 0
    waiting_for: str = ""
    resume_s: float | None = None
    result: steps.Conclude | None = None
    told_s: float | None = None
    answer: StoredAnswer | None = None


@dataclass(eq=False)
class Agent:
    """One agent with the backend server behind it."""

    number: int
    skew_s: float
    incarnation: Incarnation
    book: AttemptTable
    running: dict[AttemptId, AttemptRequest] = field(default_factory=dict)
    listeners: dict[AttemptId, tuple[Tap, int]] = field(default_factory=dict)


class World:
    """All parts; every source of chance is the given generator."""

    def __init__(self, generator: random.Random, *, front_count=2, agent_count=2, skew_s=0.0):
        self.generator = generator
        self.now_s = 1_000.0
        self.network: list[Message] = []
        self.machine = ClaimMachine()
        self.clock = LedgerClock()
        self.index = 0
        self.available = True
        self.lagging = ClaimMachine()
        self.lag: list[LedgerCommand] = []
        self.limbo: list[LedgerCommand] = []
        self.front_skews = [generator.uniform(-skew_s, skew_s) for _ in range(front_count)]
        self.front_views: list[list[Incarnation]] = []
        self.agents = [
            self._make_agent(i, generator.uniform(-skew_s, skew_s)) for i in range(agent_count)
        ]
        self.front_views = [[a.incarnation for a in self.agents] for _ in range(front_count)]
        self.taps: list[Tap] = []
        self.tap_count = 0
        self.runs: Counter[ClaimKey] = Counter()
        self.attempt_runs: Counter[AttemptId] = Counter()
        self.request_of: dict[AttemptId, RequestId] = {}
        self.run_requests: set[RequestId] = set()
        self.bodies: dict[ClaimKey, set[bytes]] = defaultdict(set)
        self.counts: Counter[str] = Counter()
        self.faults: list[str] = []
        self.history: list[str] = []

    # Callers and fronts.

    def tap(self, key_name: str | None, front: int, *, digest: bytes = b"d") -> Tap:
        """Send an action; without a key its front makes one up."""
        self.tap_count += 1
        request = RequestId(f"r{self.tap_count}")
        name = IdempotencyKey(request if key_name is None else key_name)
        key = ClaimKey(workspace=WorkspaceId("w"), service=SERVICE, key=name)
        plan = ActionPlan(
            key=key,
            key_from_caller=key_name is not None,
            digest=digest,
            request=request,
            deadline_s=self.now_s + DEADLINE_S,
            reserve_s=0.05,
            max_attempts=3,
            retention_ms=RETENTION_MS,
        )
        tap = Tap(request=request, key=key, front=front, coordinator=ActionCoordinator(plan))
        self.taps.append(tap)
        self._perform(tap, tap.coordinator.start())
        return tap

    def crash_front(self, front: int) -> None:
        self.taps = [t for t in self.taps if t.front != front or t.result is not None]
        self.network = [m for m in self.network if m.front != front or not m.name.startswith("to")]

    def time_out(self, tap: Tap) -> None:
        """Let the front's wait for its latest step end without a reply."""
        match tap.waiting_for:
            case "ledger":
                self._feed(tap, steps.LedgerFailed(uncertain=True))
            case "fence":
                self._feed(tap, steps.FenceFailed())
            case "attempt":
                self._feed(tap, steps.AttemptLost(ended=False))

    def live_taps(self) -> list[Tap]:
        return [tap for tap in self.taps if tap.result is None]

    def _feed(self, tap: Tap, event) -> None:
        if tap.result is None:
            self.history.append(f"{self.now_s:.2f} {tap.request} {tap.key.key}: {event}")
            self._perform(tap, tap.coordinator.handle(event, now_s=self.now_s))

    def _feed_step(self, tap: Tap, number: int, event) -> None:
        # A reply that comes after the front stopped waiting is dropped, as on a closed stream.
        if tap.step_number == number:
            self._feed(tap, event)

    def _perform(self, tap: Tap, step) -> None:
        tap.step_number += 1
        number = tap.step_number
        tap.waiting_for = ""
        match step:
            case steps.ChooseTarget():
                self._feed(tap, self._choose(tap, step))
            case steps.CallLedger():
                tap.waiting_for = "ledger"
                self._send("ledger", lambda: self._serve_command(step.command, tap, number))
            case steps.ReadClaim():
                tap.waiting_for = "ledger"
                self._send("ledger", lambda: self._serve_read(step, tap, number))
            case steps.RunAttempt():
                tap.waiting_for = "attempt"
                self._dispatch(step.place, tap, number)
            case steps.FenceAttempt():
                tap.waiting_for = "fence"
                self._send("agent", lambda: self._serve_fence(step.place, tap, number))
            case steps.Pause():
                tap.resume_s = self.now_s + step.delay_s
            case steps.Conclude():
                self._conclude(tap, step)

    def _choose(self, tap: Tap, step):
        if self.generator.random() < 0.05:
            return steps.NoTarget()
        agent = self.generator.choice(self.agents)
        attempt = AttemptId(f"a{len(self.request_of)}")
        self.request_of[attempt] = tap.request
        front_wall_s = self.now_s + self.front_skews[tap.front]
        return steps.TargetChosen(
            place=AttemptPlace(
                attempt=attempt,
                target=TargetId(f"t{agent.number}"),
                link_address=str(agent.number),
                incarnation=self.front_views[tap.front][agent.number],
                start_by_wall_ms=int((front_wall_s + START_WINDOW_S) * 1_000),
            )
        )

    def _conclude(self, tap: Tap, step) -> None:
        tap.result = step
        tap.told_s = self.now_s
        self.counts[step.outcome.value] += 1
        if step.record is not None:
            self._send("ledger", lambda: self._commit(step.record))
        if step.outcome is Outcome.NOT_RUN:
            if tap.request in self.run_requests:
                self.faults.append(f"{tap.request} was told not-run after it ran")
            if step.error not in SAYS_NOTHING_OF_EARLIER and self.runs[tap.key]:
                self.faults.append(f"{tap.request} was told not-run after its key ran")
        answer = step.stored if step.stored is not None else tap.answer
        if step.error is None and (answer is None or answer.body not in self.bodies[tap.key]):
            self.faults.append(f"{tap.request} got another answer: {answer}")

    # The network.

    def _send(self, name: str, act, *, front: int | None = None) -> None:
        self.network.append(Message(name=name, act=act, front=front))

    def deliver(self, position: int) -> None:
        self.network.pop(position % len(self.network)).act()

    def drop(self, position: int) -> None:
        self.network.pop(position % len(self.network))

    def duplicate(self, position: int) -> None:
        self.network.append(self.network[position % len(self.network)])

    def advance(self, span_s: float) -> None:
        self.now_s += span_s
        for tap in list(self.taps):
            if tap.result is None and tap.resume_s is not None and tap.resume_s <= self.now_s:
                tap.resume_s = None
                self._feed(tap, steps.Resumed())

    # The ledger group: linearizable, with lost replies and times without a quorum.

    def _commit(self, command: LedgerCommand):
        if not self.available:
            return None
        return self.apply(command)

    def apply(self, command: LedgerCommand):
        stamp = self.clock.read(committed_ms=self.machine.clock_ms, now_s=self.now_s)
        self.index += 1
        stamped = msgspec.structs.replace(command, now_ms=stamp)
        result = self.machine.apply(index=LogIndex(self.index), command=stamped)
        self.lag.append(stamped)
        if self.generator.random() < 0.5:
            self.catch_up()
        self.history.append(f"{self.now_s:.2f} applied {command}: {result}")
        return result

    def catch_up(self) -> None:
        """Let the replica that lags apply what was committed."""
        commands, self.lag = self.lag, []
        for command in commands:
            self.lagging.apply(index=LogIndex(self.index), command=command)

    def _serve_command(self, command: LedgerCommand, tap: Tap, number: int) -> None:
        if not self.available:
            uncertain = self.generator.random() < 0.5
            if uncertain:
                self.limbo.append(command)
            self._reply(tap, number, steps.LedgerFailed(uncertain=uncertain))
            return
        self._reply(tap, number, steps.LedgerReplied(result=self.apply(command)))

    def _serve_read(self, step, tap: Tap, number: int) -> None:
        if not self.available and not (step.any_replica and self.generator.random() < 0.7):
            self._reply(tap, number, steps.LedgerFailed(uncertain=False))
            return
        replica = self.lagging if step.any_replica else self.machine
        self._reply(tap, number, steps.LedgerReplied(result=replica.read(tap.key)))

    def settle_limbo(self, *, committed: bool) -> None:
        """Commit or lose the commands whose commit was unknown."""
        commands, self.limbo = self.limbo, []
        for command in commands if committed else ():
            self.apply(command)

    def change_leader(self) -> None:
        """Restart the leading replica: its state comes back from an encoded snapshot."""
        data = msgspec.msgpack.encode(self.machine.capture_snapshot())
        self.machine = ClaimMachine()
        self.machine.restore_snapshot(msgspec.msgpack.decode(data, type=LedgerSnapshot))
        self.clock = LedgerClock()

    def resolve(self) -> None:
        """Let the leader ask the agents what became of claims without an end."""
        clock_ms = self.clock.read(committed_ms=self.machine.clock_ms, now_s=self.now_s)
        for claim in tuple(self.machine.iterate_unended()):
            if is_resolution_due(claim, clock_ms=clock_ms):
                self._send("agent", lambda claim=claim: self._resolve(claim))
                end = decide_resolution(claim, None, clock_ms=clock_ms)
                if end is not None:
                    self._commit(end)

    def _resolve(self, claim) -> None:
        agent = self.agents[int(claim.place.link_address)]
        fate = agent.book.fence(claim.place, now_ms=self._agent_ms(agent))
        end = decide_resolution(claim, fate, clock_ms=claim.changed_ms)
        if end is not None:
            self._send("ledger", lambda: self._commit(end))

    # Agents and backend servers.

    def _make_agent(self, number: int, skew_s: float, incarnation: int = 1) -> Agent:
        start = Incarnation(incarnation)
        book = AttemptTable(incarnation=start, capacity=64)
        return Agent(number=number, skew_s=skew_s, incarnation=start, book=book)

    def _agent_ms(self, agent: Agent) -> int:
        return int((self.now_s + agent.skew_s) * 1_000)

    def restart_agent(self, number: int) -> None:
        old = self.agents[number]
        self.agents[number] = self._make_agent(number, old.skew_s, old.incarnation + 1)
        for tap, step in old.listeners.values():
            self._reply(tap, step, steps.AttemptLost(ended=False))

    def refresh_view(self, front: int) -> None:
        self.front_views[front] = [agent.incarnation for agent in self.agents]

    def _dispatch(self, place: AttemptPlace, tap: Tap, number: int) -> None:
        if self.generator.random() < 0.05:
            self._reply(tap, number, self._refuse(tap, None))
            return
        request = AttemptRequest(
            request=tap.request,
            attempt=place.attempt,
            target=place.target,
            service=SERVICE,
            document_version=DocumentVersion(1),
            method=b"POST",
            path=b"/",
            headers=(),
            key=tap.key.key,
            body=b"",
            remaining_ms=1,
            priority=PriorityClass.ACTION,
            idempotent=False,
            answer=AnswerCheck(),
            incarnation=place.incarnation,
            start_by_wall_ms=place.start_by_wall_ms,
        )
        process = self.agents[int(place.link_address)]
        self._send("agent", lambda: self._serve_attempt(request, process, tap, number))

    def _serve_attempt(self, request: AttemptRequest, agent: Agent, tap: Tap, number: int) -> None:
        if self.agents[agent.number] is not agent:
            # A connection ends with the process: no copy reaches the next one.
            self._reply(tap, number, steps.AttemptLost(ended=False))
            return
        if agent.book.may_have_started(request):
            self._reply(tap, number, steps.AttemptLost(ended=False))
            return
        busy = RefusalCode.NO_SLOT if self.generator.random() < 0.15 else None
        code = agent.book.admit(request, refusal=busy, now_ms=self._agent_ms(agent))
        if code is not None:
            self._reply(tap, number, self._refuse(tap, code))
            return
        self._note_run(request, tap)
        agent.running[request.attempt] = request
        agent.listeners[request.attempt] = (tap, number)

    def _serve_fence(self, place: AttemptPlace, tap: Tap, number: int) -> None:
        agent = self.agents[int(place.link_address)]
        reply = agent.book.fence(place, now_ms=self._agent_ms(agent))
        self._reply(tap, number, steps.FateKnown(fate=reply.fate, answer=reply.answer))

    def _refuse(self, tap: Tap, code):
        more = tap.coordinator.attempt_count < 3 and self.generator.random() < 0.9
        return steps.AttemptNotStarted(code=code, retry_delay_s=0.02 if more else None)

    def _note_run(self, request: AttemptRequest, tap: Tap) -> None:
        self.runs[tap.key] += 1
        self.history.append(f"{self.now_s:.2f} {tap.request} {tap.key.key}: {request.attempt} runs")
        self.run_requests.add(request.request)
        if self.runs[tap.key] > 1:
            self.faults.append(f"{tap.key.key} ran {self.runs[tap.key]} times")
        if tap.result is not None and tap.result.outcome is Outcome.NOT_RUN:
            self.faults.append(f"{tap.request} ran after it was told not-run")

    def finish(self, number: int, *, well: bool) -> None:
        """Let the backend server behind one agent end its oldest attempt."""
        agent = self.agents[number]
        if not agent.running:
            return
        attempt, request = next(iter(agent.running.items()))
        del agent.running[attempt]
        tap, step = agent.listeners.pop(attempt)
        if not well:
            agent.book.end(attempt, AttemptFate.UNKNOWN, None)
            self._reply(tap, step, steps.AttemptLost(ended=True))
            return
        body = f"{request.key}/{attempt}".encode()
        answer = StoredAnswer(status=200, headers=(), body=body)
        self.bodies[tap.key].add(body)
        agent.book.end(attempt, AttemptFate.RAN, answer)
        event = steps.AttemptAnswered(state=ClaimState.DONE, answer=answer)
        self._send("to front", lambda: self._take_answer(tap, step, event), front=tap.front)

    def _take_answer(self, tap: Tap, number: int, event) -> None:
        if tap.step_number == number:
            tap.answer = event.answer
        self._feed_step(tap, number, event)

    def _reply(self, tap: Tap, number: int, event) -> None:
        self._send("to front", lambda: self._feed_step(tap, number, event), front=tap.front)

    # The end.

    def heal(self) -> None:
        """End all faults and run until nothing is left to do."""
        self.available = True
        self.settle_limbo(committed=self.generator.random() < 0.5)
        for _ in range(400):
            for _ in range(len(self.network)):
                self.deliver(0)
            for number in range(len(self.agents)):
                self.finish(number, well=True)
            self.resolve()
            if not self.network:
                for tap in self.live_taps():
                    self.time_out(tap)
            self.advance(0.5)
            self.refresh_view(0)
            self.refresh_view(1)
            if not (self.network or self.live_taps() or any(self.machine.iterate_unended())):
                return

    def check_end(self) -> None:
        if self.live_taps():
            self.faults.append(f"unended requests: {[t.request for t in self.live_taps()]}")
        unended = [claim.key.key for claim in self.machine.iterate_unended()]
        if unended:
            self.faults.append(f"keys without a final state: {unended}")
